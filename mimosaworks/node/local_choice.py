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
from mimosaworks.node.alone_places import AlonePlaces
from mimosaworks.wire import CallAsk

RETRY_S = 1.0  # about the time in which a new holder is elected
DEFAULT_PRIORITY = 5


def _no_limit(_target: str) -> float:
    return math.inf


@attrs.define(eq=False)
class LocalChoice:
    """The requests of one node at targets, and its share of the rates.

    It sends only to targets that hold a request's model, and takes no more
    of a target's slots than one of members nodes may. limit_of gives the rate
    limit of a target, inf without one.
    """

    limiter: Limiter = attrs.field(factory=Limiter)
    limit_of: Callable[[str], float] = _no_limit
    places: AlonePlaces = attrs.field(factory=AlonePlaces)
    running: dict[str, int] = attrs.field(factory=dict)
    _version: int = 0
    _shares: int = 0
    _resends: ResendBudgets | None = None

    def note(self, target: str, change: int) -> None:
        """Count a request that begins (1) or ends (-1) at a target."""
        count = self.running.get(target, 0) + change
        if count > 0:
            self.running[target] = count
        else:
            self.running.pop(target, None)

    def enter(
        self,
        deployment: Deployment,
        levels: Mapping[str, float],
        members: int,
        now: float,
    ) -> None:
        """Take this node's share of the rates, from the levels known last."""
        key = (deployment.version, members)
        if key == (self._version, self._shares):
            return
        self._version = deployment.version
        self._shares = members
        terms = {
            name: attrs.evolve(
                one, rate=one.rate / members, burst=one.burst / members
            )
            for name, one in deployment.workspaces.items()
        }
        self.limiter.follow_terms(terms, now)
        self.limiter.cap_levels(
            {name: level / members for name, level in levels.items()}, now
        )

    def bound_resends(self, terms: ResendTerms) -> None:
        """Take this node's share of the resends of all nodes."""
        slack = terms.slack / max(self._shares, 1)
        share = attrs.evolve(terms, slack=slack)
        if self._resends is None:
            # The last holder's sends, and the next one's, count as well.
            self._resends = ResendBudgets(share, math.inf)
        self._resends.terms = share

    def leave(self) -> None:
        """Forget the shares: a holder counts again."""
        if self._version:
            self.limiter = Limiter()
            self._version = 0

    def choose(
        self,
        ask: CallAsk,
        facts: CallFacts,
        targets: Mapping[str, TargetEntry],
        now: float,
    ) -> Assignment | Refusal:
        """Return a target that holds the model, or a refusal."""
        if not self._may_send(ask, now):
            reason = "this node's share of the resends is used up"
            return Refusal(ErrorKind.NO_TARGET, RETRY_S, reason)
        taken = self.limiter.take(ask.workspace, ask.cost, now)
        if not taken.is_taken:
            reason = "this node's share is used up"
            return Refusal(ErrorKind.RATE_EXCEEDED, taken.wait_s, reason)
        fitting = [
            entry
            for entry in targets.values()
            if self._fits(entry, ask, facts) and self._has_place(entry, now)
        ]
        if not fitting:
            self.limiter.give_back(ask.workspace, ask.cost)
            kind = ErrorKind.NO_TARGET
            if facts.model:
                kind = ErrorKind.MODEL_NOT_READY
            reason = 'no holder is heard, and no free target is known to fit'
            return Refusal(kind, RETRY_S, reason)
        pair = random.sample(fitting, min(2, len(fitting)))
        chosen = min(pair, key=self._load)
        self.places.use(chosen.name, now)
        return Assignment(
            chosen.name,
            chosen.address,
            DEFAULT_PRIORITY,
            'no holder is heard',
            granted_s=now,
            is_counted=self.limit_of(chosen.name) < math.inf,
            born=chosen.born,
        )

    def _may_send(self, ask: CallAsk, now: float) -> bool:
        """Count a send; tell whether resends have room for it."""
        if self._resends is None:
            return True
        return self._resends.admit(
            ask.service, now, is_resend=bool(ask.resends)
        )

    def _fits(self, entry: TargetEntry, ask: CallAsk, facts: CallFacts) -> bool:
        is_usable = (
            entry.service == ask.service
            and entry.state is TargetState.READY
            and entry.name not in ask.excluded
        )
        return is_usable and _holds(entry, facts) and self._has_slot(entry)

    def _has_place(self, entry: TargetEntry, now: float) -> bool:
        per_s = self.limit_of(entry.name)
        if per_s == math.inf:
            return True
        return self.places.is_open(entry.name, per_s, self._shares, now)

    def _load(self, entry: TargetEntry) -> int:
        return self.running.get(entry.name, 0)

    def _has_slot(self, entry: TargetEntry) -> bool:
        share = -(-entry.slots // max(self._shares, 1))
        return self._load(entry) <= share


def _holds(entry: TargetEntry, facts: CallFacts) -> bool:
    if not facts.model:
        return True
    return any(
        one.model == facts.model
        and (not facts.adapter or facts.adapter in one.adapters)
        for one in entry.residences
    )
