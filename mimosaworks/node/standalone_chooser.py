"""Chooses targets from a node's own view while no holder is heard."""

import math
import random
from collections.abc import Callable, Mapping

import attrs

from mimosaworks.deployment import (
    CallFacts,
    Deployment,
    TargetEntry,
    TargetState,
)
from mimosaworks.dispatch import (
    Assignment,
    Refusal,
    ResendBudgets,
    ResendTerms,
)
from mimosaworks.dispatch.limiter import Limiter
from mimosaworks.errors import ErrorKind
from mimosaworks.node.standalone_permits import StandalonePermits
from mimosaworks.wire import CallAsk

RETRY_AFTER_S = 1.0  # about the time in which a new holder is elected
DEFAULT_PRIORITY = 5


def _no_limit(_target: str) -> float:
    return math.inf


@attrs.define(eq=False)
class StandaloneChooser:
    """The requests of one node at targets, and its share of the rates.

    It sends only to targets that hold a request's model, and takes no more
    of a target's slots than one of members nodes may. limit_of gives the rate
    limit of a target, inf without one.
    """

    limiter: Limiter = attrs.field(factory=Limiter)
    find_rate_limit: Callable[[str], float] = _no_limit
    permits: StandalonePermits = attrs.field(factory=StandalonePermits)
    running_counts: dict[str, int] = attrs.field(factory=dict)
    _deployment_version: int = 0
    _member_count: int = 0
    _resend_budgets: ResendBudgets | None = None

    def adjust_running_count(self, target: str, delta: int) -> None:
        """Count a request that begins (1) or ends (-1) at a target."""
        count = self.running_counts.get(target, 0) + delta
        if count > 0:
            self.running_counts[target] = count
        else:
            self.running_counts.pop(target, None)

    def apply_token_shares(
        self,
        deployment: Deployment,
        token_balances: Mapping[str, float],
        member_count: int,
        now: float,
    ) -> None:
        """Take this node's share of the rates, from the levels known last."""
        share_key = (deployment.version, member_count)
        if share_key == (self._deployment_version, self._member_count):
            return
        self._deployment_version = deployment.version
        self._member_count = member_count
        terms = {
            name: attrs.evolve(
                workspace_terms,
                rate=workspace_terms.rate / member_count,
                burst=workspace_terms.burst / member_count,
            )
            for name, workspace_terms in deployment.workspaces.items()
        }
        self.limiter.follow_terms(terms, now)
        self.limiter.cap_levels(
            {
                name: balance / member_count
                for name, balance in token_balances.items()
            },
            now,
        )

    def apply_resend_share(self, terms: ResendTerms) -> None:
        """Take this node's share of the resends of all nodes."""
        slack = terms.slack / max(self._member_count, 1)
        share = attrs.evolve(terms, slack=slack)
        if self._resend_budgets is None:
            # The last holder's sends, and the next one's, count as well.
            self._resend_budgets = ResendBudgets(share, math.inf)
        self._resend_budgets.terms = share

    def reset_token_shares(self) -> None:
        """Forget the shares: a holder counts again."""
        if self._deployment_version:
            self.limiter = Limiter()
            self._deployment_version = 0

    def choose_target(
        self,
        call_ask: CallAsk,
        facts: CallFacts,
        targets: Mapping[str, TargetEntry],
        now: float,
    ) -> Assignment | Refusal:
        """Return a target that holds the model, or a refusal."""
        if not self._admit_send(call_ask, now):
            reason = "this node's share of the resends is used up"
            return Refusal(ErrorKind.NO_TARGET, RETRY_AFTER_S, reason)
        token_wait = self.limiter.take(call_ask.workspace, call_ask.cost, now)
        if not token_wait.is_taken:
            reason = "this node's share is used up"
            return Refusal(ErrorKind.RATE_EXCEEDED, token_wait.wait_s, reason)
        usable_entries = [
            entry
            for entry in targets.values()
            if self._is_usable(entry, call_ask, facts)
            and self._has_permit(entry, now)
        ]
        if not usable_entries:
            self.limiter.give_back(call_ask.workspace, call_ask.cost)
            kind = ErrorKind.NO_TARGET
            if facts.model:
                kind = ErrorKind.MODEL_NOT_READY
            reason = 'no holder is heard, and no free target is known to fit'
            return Refusal(kind, RETRY_AFTER_S, reason)
        sampled_entries = random.sample(
            usable_entries, min(2, len(usable_entries))
        )
        chosen = min(sampled_entries, key=self._running_count)
        self.permits.consume_permit(chosen.name, now)
        return Assignment(
            chosen.name,
            chosen.address,
            DEFAULT_PRIORITY,
            'no holder is heard',
            granted_s=now,
            is_counted=self.find_rate_limit(chosen.name) < math.inf,
            born=chosen.born,
        )

    def _admit_send(self, call_ask: CallAsk, now: float) -> bool:
        """Count a send; tell whether resends have room for it."""
        if self._resend_budgets is None:
            return True
        return self._resend_budgets.admit(
            call_ask.service, now, is_resend=bool(call_ask.resends)
        )

    def _is_usable(
        self, entry: TargetEntry, call_ask: CallAsk, facts: CallFacts
    ) -> bool:
        is_usable = (
            entry.service == call_ask.service
            and entry.state is TargetState.READY
            and entry.name not in call_ask.excluded
        )
        return (
            is_usable
            and _holds_model(entry, facts)
            and self._has_free_slot(entry)
        )

    def _has_permit(self, entry: TargetEntry, now: float) -> bool:
        per_s = self.find_rate_limit(entry.name)
        if per_s == math.inf:
            return True
        return self.permits.has_permit(
            entry.name, per_s, self._member_count, now
        )

    def _running_count(self, entry: TargetEntry) -> int:
        return self.running_counts.get(entry.name, 0)

    def _has_free_slot(self, entry: TargetEntry) -> bool:
        share = -(-entry.slots // max(self._member_count, 1))
        return self._running_count(entry) <= share


def _holds_model(entry: TargetEntry, facts: CallFacts) -> bool:
    if not facts.model:
        return True
    return any(
        residence.model == facts.model
        and (not facts.adapter or facts.adapter in residence.adapters)
        for residence in entry.residences
    )
