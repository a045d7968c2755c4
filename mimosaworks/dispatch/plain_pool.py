"""Assigns requests for plain services to targets."""

import operator
import statistics
from collections.abc import Iterable

import attrs

from mimosaworks.deployment import TargetEntry, TargetState
from mimosaworks.dispatch.health import Health
from mimosaworks.dispatch.job import Assignment, Job, Refusal
from mimosaworks.dispatch.target_limits import TargetLimits, until_used_s
from mimosaworks.errors import ErrorKind

# Expected duration of a request until one has been measured.
INITIAL_DURATION_S = 0.05
DURATION_WEIGHT = 0.05
MIN_RETRY_S = 0.05
MAX_RETRY_S = 2.0
# Part of a busy slot: the request needs two more network delays.
OTHER_CENTRE_PENALTY_SLOTS = 0.2
# A failed request costs more than a short wait.
FAILURE_PENALTY_SLOTS = 4.0
# A target is penalized if its failure rate exceeds the mean by this factor.
TOLERATED_FAILURE_RATIO = 1.5

_QUEUE_ORDER = operator.attrgetter('turn')


@attrs.define(eq=False)
class PlainTarget:
    """One target of a plain service and the requests assigned to it."""

    entry: TargetEntry
    health: Health = attrs.field(factory=Health)
    jobs: dict[str, Job] = attrs.field(factory=dict)

    @property
    def has_free_slot(self) -> bool:
        """Whether it has a free slot for another request."""
        return len(self.jobs) < self.entry.slots

    def add_job(self, job: Job, now: float) -> None:
        """Assign a request to this target."""
        self.jobs[job.ask.call] = job
        job.target = self.entry.name


@attrs.define(eq=False)
class PlainPool:
    """The targets of one plain service, and the requests that wait.

    The dispatcher has one pool for each such service. mean_duration_s is the
    average duration of a request at a target.
    """

    limits: TargetLimits = attrs.field(factory=TargetLimits)
    targets: dict[str, PlainTarget] = attrs.field(factory=dict)
    waiting: list[Job] = attrs.field(factory=list)
    work_s: float = INITIAL_DURATION_S

    def submit(self, job: Job, now: float) -> Assignment | Refusal | None:
        """Choose a target; None while no slot or rate-limit permit is free."""
        usable_targets = self._usable_targets(job, now)
        if not usable_targets:
            return Refusal(
                ErrorKind.NO_TARGET, MAX_RETRY_S / 2, 'no target in service'
            )
        free_targets = self._free_targets(usable_targets, now)
        if free_targets and not self._must_queue_behind_others(
            job, free_targets
        ):
            return self._grant_least_loaded(job, free_targets, now)
        wait_s = self.wait_s(job, usable_targets, now)
        if now + wait_s + self.work_s >= job.ask.give_up_s:
            return self._deadline_refusal(job, usable_targets, wait_s, now)
        self.waiting.append(job)
        if all(
            self.limits.is_limited(one.entry.name) for one in usable_targets
        ):
            job.limit_s = wait_s
        return None

    def wait_s(
        self, job: Job, usable_targets: list[PlainTarget], now: float
    ) -> float:
        """Return the expected wait in seconds for requests that go first."""
        own_turn = job.turn
        jobs_before = [
            other for other in self.waiting if other.turn <= own_turn
        ]
        position = len(jobs_before) + 1
        names = [target.entry.name for target in usable_targets]
        limited_names = set(filter(self.limits.is_limited, names))
        slots = sum(
            target.entry.slots
            for target in usable_targets
            if target.entry.name not in limited_names
            or len(limited_names) == len(names)
        )
        slot_wait_s = position * self.work_s / max(slots, 1)
        permit_wait_s = self.limits.shared_wait_s(names, position, now)
        return max(slot_wait_s, until_used_s(permit_wait_s))

    def next_grants(self, now: float) -> list[tuple[Job, Assignment]]:
        """Assign free slots to waiting requests, the most urgent first."""
        grants = []
        for job in sorted(self.waiting, key=_QUEUE_ORDER):
            free_targets = self._free_targets(
                self._usable_targets(job, now), now
            )
            if free_targets:
                self.waiting.remove(job)
                grants.append((
                    job,
                    self._grant_least_loaded(job, free_targets, now),
                ))
        return grants

    def hopeless(self, now: float) -> list[Job]:
        """Remove and return waiting requests that can't meet their deadline."""
        expired_jobs = [
            job for job in self.waiting if self._is_expired(job, now)
        ]
        for job in expired_jobs:
            self.waiting.remove(job)
        return expired_jobs

    def drop(self, job: Job) -> None:
        """Remove a request that ended or was withdrawn."""
        if job in self.waiting:
            self.waiting.remove(job)
        target = self.targets.get(job.target)
        if target is not None:
            target.jobs.pop(job.ask.call, None)

    def note_whole(self, job: Job, duration_s: float) -> None:
        """Record the duration of an answered request."""
        self.work_s += DURATION_WEIGHT * (duration_s - self.work_s)
        target = self.targets.get(job.target)
        if target is not None:
            target.health.note_duration(duration_s, self.work_s)

    def adopt(self, entries: Iterable[TargetEntry], now: float) -> list[Job]:
        """Apply the targets' entries; no request has to be reassigned."""
        entries_by_name = {entry.name: entry for entry in entries}
        for name in self.targets.keys() - entries_by_name.keys():
            self.targets.pop(name)
        for entry in entries_by_name.values():
            target = self.targets.get(entry.name)
            if target is None or target.entry.born != entry.born:
                self.targets[entry.name] = PlainTarget(entry)
            else:
                target.entry = entry
        return []

    def _free_targets(
        self, usable_targets: Iterable[PlainTarget], now: float
    ) -> list[PlainTarget]:
        """Return the targets with a free slot and a rate-limit permit."""
        return [
            target
            for target in usable_targets
            if target.has_free_slot
            and not self.limits.wait_s(target.entry.name, 1, now)
        ]

    def _must_queue_behind_others(
        self, job: Job, free_targets: Iterable[PlainTarget]
    ) -> bool:
        """Return whether waiting requests go first on the free targets."""
        own_turn = job.turn
        return any(
            _accepts_job(target, other)
            for target in free_targets
            if self.limits.is_limited(target.entry.name)
            for other in self.waiting
            if other.turn <= own_turn
        )

    def _is_expired(self, job: Job, now: float) -> bool:
        remaining_s = job.ask.give_up_s - now
        if remaining_s <= self.work_s / 2:
            return True
        if not job.limit_s:
            return False
        # More urgent requests may have taken the permits that it waited for.
        names = [target.entry.name for target in self._usable_targets(job, now)]
        own_turn = job.turn
        position = sum(other.turn <= own_turn for other in self.waiting)
        permit_wait_s = self.limits.shared_wait_s(names, position, now)
        return permit_wait_s + self.work_s / 2 >= remaining_s

    def _deadline_refusal(
        self,
        job: Job,
        usable_targets: list[PlainTarget],
        wait_s: float,
        now: float,
    ) -> Refusal:
        remaining_s = job.ask.give_up_s - now
        reason = (
            f'predicted queue wait {wait_s:.2f} s, {remaining_s:.2f} s left'
        )
        names = [target.entry.name for target in usable_targets]
        if not all(map(self.limits.is_limited, names)):
            retry_s = min(max(wait_s, MIN_RETRY_S), MAX_RETRY_S)
            return Refusal(ErrorKind.DEADLINE_UNREACHABLE, retry_s, reason)
        # The target with the highest rate limit is reported to the caller.
        name = max(names, key=self.limits.rate)
        retry_s = self.limits.book_return(name, wait_s, now)
        return Refusal(
            ErrorKind.DEADLINE_UNREACHABLE,
            max(retry_s, MIN_RETRY_S),
            '; '.join((reason, self.limits.describe(name, wait_s))),
            is_limited=True,
        )

    def _usable_targets(self, job: Job, now: float) -> list[PlainTarget]:
        ready_targets = [
            target
            for target in self.targets.values()
            if _accepts_job(target, job)
        ]
        reachable_targets = [
            target for target in ready_targets if not target.health.is_down(now)
        ]
        return reachable_targets or ready_targets

    def _grant_least_loaded(
        self, job: Job, free_targets: list[PlainTarget], now: float
    ) -> Assignment:
        mean_failure_rate = statistics.fmean(
            target.health.failures(now) for target in free_targets
        )

        def effective_load(target: PlainTarget) -> float:
            excess_failure_rate = (
                target.health.failures(now)
                - mean_failure_rate * TOLERATED_FAILURE_RATIO
            )
            busy_slots = (len(target.jobs) + 1) * target.health.slowness
            if target.entry.data_centre != job.ask.data_centre:
                busy_slots += OTHER_CENTRE_PENALTY_SLOTS
            return busy_slots + FAILURE_PENALTY_SLOTS * max(
                excess_failure_rate, 0
            )

        chosen_target = min(free_targets, key=effective_load)
        slots = chosen_target.entry.slots
        name = chosen_target.entry.name
        self.limits.take(name, now)
        chosen_target.add_job(job, now)
        job.is_granted = True
        job.granted_s = now
        return Assignment(
            name,
            chosen_target.entry.address,
            job.ask.priority,
            f'slot {len(chosen_target.jobs)} of {slots}',
            granted_s=now,
            is_counted=self.limits.is_limited(name),
            born=chosen_target.entry.born,
        )


def _accepts_job(target: PlainTarget, job: Job) -> bool:
    return (
        target.entry.state is TargetState.READY
        and target.entry.name not in job.ask.excluded
    )
