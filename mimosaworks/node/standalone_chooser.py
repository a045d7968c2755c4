"""Chooses targets by a node's own view while no lease holder answers."""

import math
import random
from collections.abc import Callable, Mapping

import attrs

from mimosaworks.deployment import (
    Deployment,
    RequestProfile,
    TargetEntry,
    TargetState,
)
from mimosaworks.dispatch import (
    Assignment,
    Refusal,
    ResendBudgetConfig,
    ResendBudgets,
)
from mimosaworks.dispatch.workspace_limiter import WorkspaceLimiter
from mimosaworks.errors import ErrorKind
from mimosaworks.node.standalone_permits import StandalonePermits
from mimosaworks.wire import CallAsk

# About the time in which a new holder is elected.
RETRY_AFTER_S = 1.0
DEFAULT_ENGINE_PRIORITY = 5


def _no_limit(_target: str) -> float:
    return math.inf


@attrs.define(eq=False)
class StandaloneChooser:
    """Target choice of a standalone node within its share of all limits.

    Only targets that have a request's model loaded are chosen. The node uses
    no more of a workspace's tokens and a target's slots than its share among
    all members. find_rate_limit returns a target's rate limit in calls a
    second, inf without one, find_brittle_share how many requests this node may
    have at a target, inf if it is not brittle. running_counts are this node's
    running requests by target.
    """

    limiter: WorkspaceLimiter = attrs.field(factory=WorkspaceLimiter)
    find_rate_limit: Callable[[str], float] = _no_limit
    find_brittle_share: Callable[[str], float] = _no_limit
    permits: StandalonePermits = attrs.field(factory=StandalonePermits)
    running_counts: dict[str, int] = attrs.field(factory=dict)
    _deployment_version: int = 0
    _member_count: int = 0
    _resend_budgets: ResendBudgets | None = None

    def adjust_running_count(self, target: str, delta: int) -> None:
        """Count a request that begins (delta 1) or ends (-1) at a target."""
        running_count = self.running_counts.get(target, 0) + delta
        if running_count > 0:
            self.running_counts[target] = running_count
        else:
            self.running_counts.pop(target, None)

    def apply_token_shares(
        self,
        deployment: Deployment,
        token_balances: Mapping[str, float],
        member_count: int,
        now: float,
    ) -> None:
        """Limit workspaces to this node's share of their rates.

        token_balances are the balances that the holder reported last.
        """
        share_key = (deployment.version, member_count)
        if share_key == (self._deployment_version, self._member_count):
            return
        self._deployment_version = deployment.version
        self._member_count = member_count
        workspace_cfgs = {
            name: attrs.evolve(
                workspace_cfg,
                tokens_per_s=workspace_cfg.tokens_per_s / member_count,
                burst_tokens=workspace_cfg.burst_tokens / member_count,
            )
            for name, workspace_cfg in deployment.workspaces.items()
        }
        self.limiter.apply_workspaces(workspace_cfgs, now)
        self.limiter.cap_balances(
            {
                name: balance / member_count
                for name, balance in token_balances.items()
            },
            now,
        )

    def apply_resend_share(self, resend_cfg: ResendBudgetConfig) -> None:
        """Limit resends to this node's share of the budget of all nodes."""
        slack = resend_cfg.slack / max(self._member_count, 1)
        share_cfg = attrs.evolve(resend_cfg, slack=slack)
        if self._resend_budgets is None:
            # inf: a part of the budget is always left for the sends that the
            # last holder and the next one count.
            self._resend_budgets = ResendBudgets(share_cfg, math.inf)
        self._resend_budgets.budget_cfg = share_cfg

    def reset_token_shares(self) -> None:
        """Drop the shares of the rates, as a holder counts tokens again."""
        if self._deployment_version:
            self.limiter = WorkspaceLimiter()
            self._deployment_version = 0

    def choose_target(
        self,
        call_ask: CallAsk,
        profile: RequestProfile,
        targets: Mapping[str, TargetEntry],
        now: float,
    ) -> Assignment | Refusal:
        """Return a usable target with the model loaded, or a refusal."""
        if not self._admit_send(call_ask, now):
            reason = "this node's share of the resend budget is used up"
            return Refusal(ErrorKind.NO_TARGET, RETRY_AFTER_S, reason)
        acquisition = self.limiter.acquire(
            call_ask.workspace, call_ask.cost, now
        )
        if not acquisition.is_acquired:
            reason = "this node's share of the workspace's rate is used up"
            return Refusal(ErrorKind.RATE_EXCEEDED, acquisition.wait_s, reason)
        usable_entries = [
            entry
            for entry in targets.values()
            if self._is_usable(entry, call_ask, profile)
            and self._has_permit(entry, now)
        ]
        if not usable_entries:
            self.limiter.refund(call_ask.workspace, call_ask.cost)
            kind = ErrorKind.NO_TARGET
            if profile.model:
                kind = ErrorKind.MODEL_NOT_READY
            reason = (
                'no holder answers, and no suitable target is known to be free'
            )
            return Refusal(kind, RETRY_AFTER_S, reason)
        sampled_entries = random.sample(
            usable_entries, min(2, len(usable_entries))
        )
        chosen_entry = min(sampled_entries, key=self._running_count)
        self.permits.consume_permit(chosen_entry.name, now)
        return Assignment(
            chosen_entry.name,
            chosen_entry.address,
            DEFAULT_ENGINE_PRIORITY,
            'no holder answers',
            granted_s=now,
            has_permit=self.find_rate_limit(chosen_entry.name) < math.inf,
            incarnation=chosen_entry.incarnation,
            software_version=chosen_entry.software_version,
        )

    def _admit_send(self, call_ask: CallAsk, now: float) -> bool:
        """Count a send; return whether the resend budget allows it."""
        if self._resend_budgets is None:
            return True
        return self._resend_budgets.count_send(
            call_ask.service, now, is_resend=bool(call_ask.resends)
        )

    def _is_usable(
        self, entry: TargetEntry, call_ask: CallAsk, profile: RequestProfile
    ) -> bool:
        is_usable = (
            entry.service == call_ask.service
            and entry.state is TargetState.READY
            and entry.name not in call_ask.excluded
            and entry.runs_version(call_ask.software_version)
        )
        return (
            is_usable
            and _holds_model(entry, profile)
            and self._has_free_slot(entry)
        )

    def _has_permit(self, entry: TargetEntry, now: float) -> bool:
        limit_per_s = self.find_rate_limit(entry.name)
        if limit_per_s == math.inf:
            return True
        return self.permits.has_permit(
            entry.name, limit_per_s, self._member_count, now
        )

    def _running_count(self, entry: TargetEntry) -> int:
        return self.running_counts.get(entry.name, 0)

    def _has_free_slot(self, entry: TargetEntry) -> bool:
        slot_share = -(-entry.slots // max(self._member_count, 1))
        running_count = self._running_count(entry)
        return (
            running_count <= slot_share
            and running_count < self.find_brittle_share(entry.name)
        )


def _holds_model(entry: TargetEntry, profile: RequestProfile) -> bool:
    if not profile.model:
        return True
    return any(
        residence.model == profile.model
        and (not profile.adapter or profile.adapter in residence.adapters)
        for residence in entry.resident_models
    )
