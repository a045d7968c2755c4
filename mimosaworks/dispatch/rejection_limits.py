"""Brittle targets, which crash when they turn away too many requests."""

import math
from collections.abc import Callable, Collection, Iterable, Mapping

import attrs

from mimosaworks.bounded import forget_oldest
from mimosaworks.dispatch.job import Job

# Share of the requests that a target may turn away in a second. The last
# holder, the next one and standalone nodes may send at the same time.
UNSTARTED_SHARE = 0.5
# Requests at once at a target of which no process has had an answer.
UNHEARD_AT_ONCE = 2
# A request that was not turned away within this time was accepted. Targets may
# be silent for about a second.
REJECTION_TIMEOUT_S = 2.0
# Targets count what they turn away by the second.
FULL_PAUSE_S = 1.0
# More than the number of targets in a deployment.
MAX_BRITTLE_TARGETS = 1000
# Time after which a target without an entry is forgotten.
REMOVED_TARGET_TTL_S = 60.0


def _is_always_known(_target: str) -> bool:
    return True


@attrs.define
class _BrittleTarget:
    """How many requests a target may turn away in a second, and since when.

    full_until_s: it turned a request away, and gets none until then.
    """

    most_per_s: int
    recorded_s: float
    full_until_s: float = -math.inf


@attrs.define(eq=False)
class RejectionLimits:
    """How many requests brittle targets may turn away in a second.

    Used by the lease holder. A target is sent so few requests at once that it
    stands it if all are turned away. version grows with each change.
    is_known tells of a target without a limit whether this process would know
    one. Otherwise it may be brittle until an answer of it has come.
    """

    version: int = 0
    is_known: Callable[[str], bool] = _is_always_known
    _targets: dict[str, _BrittleTarget] = attrs.field(factory=dict)
    _answering_targets: set[str] = attrs.field(factory=set)

    def record_limit(
        self, target: str, most_per_s: int | None, granted_s: float, now: float
    ) -> None:
        """Record what a target announced; most_per_s is None if not brittle.

        Answers may arrive out of order: a higher limit is applied only if its
        request was granted after the known limit was recorded. granted_s is
        -inf for a request that was not granted by this holder.
        """
        brittle = self._targets.get(target)
        if brittle is None:
            if most_per_s is not None:
                self._targets[target] = _BrittleTarget(most_per_s, now)
                forget_oldest(self._targets, MAX_BRITTLE_TARGETS)
                self.version += 1
            return
        is_raised = most_per_s is None or most_per_s > brittle.most_per_s
        if is_raised and granted_s <= brittle.recorded_s:
            return
        if most_per_s is None:
            self._targets.pop(target)
            self.version += 1
            return
        self.version += most_per_s != brittle.most_per_s
        brittle.most_per_s = most_per_s
        brittle.recorded_s = now

    def import_limits(self, limits: Mapping[str, int], now: float) -> None:
        """Record what this process knew before its election."""
        for target, most_per_s in limits.items():
            self.record_limit(target, most_per_s, -math.inf, now)

    def record_rejection(self, target: str, now: float) -> None:
        """Record that a brittle target turned a request away."""
        brittle = self._targets.get(target)
        if brittle is not None:
            brittle.full_until_s = now + FULL_PAUSE_S

    def assume_limits(
        self, targets: Iterable[str], service_targets: Iterable[str], now: float
    ) -> None:
        """Take targets for as brittle as any other target of their service.

        This holds until an answer of theirs says otherwise.
        """
        known_limits = [
            self._targets[name].most_per_s
            for name in service_targets
            if name in self._targets
        ]
        if not known_limits:
            return
        for target in targets:
            if target not in self._targets:
                self.record_limit(target, min(known_limits), -math.inf, now)

    def record_answer(self, target: str) -> None:
        """Record an answer of a target, after what it said of limits."""
        if not self.is_known(target):
            self._answering_targets.add(target)

    def is_bounded(self, target: str) -> bool:
        """Return whether a target is brittle, or may be as far as is known."""
        return target in self._targets or not (
            self.is_known(target) or target in self._answering_targets
        )

    def is_brittle(self, target: str) -> bool:
        """Return whether a target is brittle."""
        return target in self._targets

    def is_full(self, target: str, now: float) -> bool:
        """Return whether a brittle target turned a request away lately."""
        brittle = self._targets.get(target)
        return brittle is not None and now < brittle.full_until_s

    def most_at_once(self, target: str) -> float:
        """Return how many requests may be open that may be turned away.

        inf for a target that is not known as brittle.
        """
        brittle = self._targets.get(target)
        if brittle is None:
            return math.inf
        return max(int(brittle.most_per_s * UNSTARTED_SHARE), 1)

    def allows_another(
        self, target: str, jobs: Iterable[Job], now: float
    ) -> bool:
        """Return whether a target with these requests may be sent another."""
        if not self.is_bounded(target):
            return True
        most_at_once: float = UNHEARD_AT_ONCE
        if target in self._targets:
            most_at_once = self.most_at_once(target)
        unstarted = sum(_may_be_turned_away(job, now) for job in jobs)
        return not self.is_full(target, now) and unstarted < most_at_once

    def limits_by_target(self) -> dict[str, int]:
        """Return how many requests each brittle target may turn away."""
        return {
            name: brittle.most_per_s for name, brittle in self._targets.items()
        }

    def forget_removed_targets(
        self, targets: Collection[str], now: float
    ) -> None:
        """Remove the targets that have had no entry for a while."""
        removed_names = [
            name
            for name, brittle in self._targets.items()
            if name not in targets
            and now - brittle.recorded_s > REMOVED_TARGET_TTL_S
        ]
        for name in removed_names:
            self._targets.pop(name)
        self._answering_targets.intersection_update(targets)
        self.version += bool(removed_names)


def _may_be_turned_away(job: Job, now: float) -> bool:
    # Requests that ran before this holder's election have no time of a grant.
    sent_s = job.granted_s or job.arrived_s
    return (
        job.is_granted
        and not job.is_started
        and now - sent_s < REJECTION_TIMEOUT_S
    )
