"""Assigns requests for plain services to targets."""

import operator
import statistics
from collections.abc import Iterable

import attrs

from mimosaworks.deployment import TargetEntry, TargetState
from mimosaworks.dispatch.job import Assignment, Job, Refusal
from mimosaworks.dispatch.rejection_limits import RejectionLimits
from mimosaworks.dispatch.target_health import TargetHealth
from mimosaworks.dispatch.target_rate_limits import (
    TargetRateLimits,
    time_to_use_s,
)
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

_QUEUE_ORDER = operator.attrgetter('queue_key')


@attrs.define(eq=False)
class PlainTarget:
    """One target of a plain service and the requests assigned to it."""

    entry: TargetEntry
    health: TargetHealth = attrs.field(factory=TargetHealth)
    jobs: dict[str, Job] = attrs.field(factory=dict)

    @property
    def has_free_slot(self) -> bool:
        """Whether it has a free slot for another request."""
        return len(self.jobs) < self.entry.slots

    def add_job(self, job: Job, now: float) -> None:
        """Assign a request to this target."""
        self.jobs[job.assignment_req.call_id] = job
        job.target = self.entry.name


@attrs.define(eq=False)
class PlainPool:
    """The targets of one plain service, and the requests that wait.

    The dispatcher has one pool for each such service. mean_duration_s is the
    average duration of a request at a target.
    """

    rate_limits: TargetRateLimits = attrs.field(factory=TargetRateLimits)
    rejection_limits: RejectionLimits = attrs.field(factory=RejectionLimits)
    targets: dict[str, PlainTarget] = attrs.field(factory=dict)
    waiting_jobs: list[Job] = attrs.field(factory=list)
    mean_duration_s: float = INITIAL_DURATION_S

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
        wait_s = self.expected_wait_s(job, usable_targets, now)
        if now + wait_s + self.mean_duration_s >= job.assignment_req.deadline_s:
            return self._deadline_refusal(job, usable_targets, wait_s, now)
        self.waiting_jobs.append(job)
        if all(
            self.rate_limits.is_limited(one.entry.name)
            for one in usable_targets
        ):
            job.permit_wait_s = wait_s
        return None

    def expected_wait_s(
        self, job: Job, usable_targets: list[PlainTarget], now: float
    ) -> float:
        """Return the expected wait in seconds for requests that go first."""
        own_turn = job.queue_key
        jobs_before = [
            other for other in self.waiting_jobs if other.queue_key <= own_turn
        ]
        position = len(jobs_before) + 1
        names = [target.entry.name for target in usable_targets]
        limited_names = set(filter(self.rate_limits.is_limited, names))
        slots = sum(
            min(
                target.entry.slots,
                self.rejection_limits.most_at_once(target.entry.name),
            )
            for target in usable_targets
            if target.entry.name not in limited_names
            or len(limited_names) == len(names)
        )
        slot_wait_s = position * self.mean_duration_s / max(slots, 1)
        permit_wait_s = self.rate_limits.shared_permit_wait_s(
            names, position, now
        )
        return max(slot_wait_s, time_to_use_s(permit_wait_s))

    def grant_waiting_jobs(self, now: float) -> list[tuple[Job, Assignment]]:
        """Assign free slots to waiting requests, the most urgent first."""
        grants = []
        for job in sorted(self.waiting_jobs, key=_QUEUE_ORDER):
            free_targets = self._free_targets(
                self._usable_targets(job, now), now
            )
            if free_targets:
                self.waiting_jobs.remove(job)
                grants.append((
                    job,
                    self._grant_least_loaded(job, free_targets, now),
                ))
        return grants

    def pop_expired_jobs(self, now: float) -> list[Job]:
        """Remove and return waiting requests that can't meet their deadline."""
        expired_jobs = [
            job for job in self.waiting_jobs if self._is_expired(job, now)
        ]
        for job in expired_jobs:
            self.waiting_jobs.remove(job)
        return expired_jobs

    def remove_job(self, job: Job) -> None:
        """Remove a request that ended or was withdrawn."""
        if job in self.waiting_jobs:
            self.waiting_jobs.remove(job)
        target = self.targets.get(job.target)
        if target is not None:
            target.jobs.pop(job.assignment_req.call_id, None)

    def record_complete_answer(self, job: Job, duration_s: float) -> None:
        """Record the duration of an answered request."""
        self.mean_duration_s += DURATION_WEIGHT * (
            duration_s - self.mean_duration_s
        )
        target = self.targets.get(job.target)
        if target is not None:
            target.health.record_duration(duration_s, self.mean_duration_s)

    def apply_entries(
        self, entries: Iterable[TargetEntry], now: float
    ) -> list[Job]:
        """Apply the targets' entries; no request has to be reassigned."""
        entries_by_name = {entry.name: entry for entry in entries}
        for name in self.targets.keys() - entries_by_name.keys():
            self.targets.pop(name)
        for entry in entries_by_name.values():
            target = self.targets.get(entry.name)
            if target is None or target.entry.incarnation != entry.incarnation:
                self.targets[entry.name] = PlainTarget(entry)
            else:
                target.entry = entry
        return []

    def _free_targets(
        self, usable_targets: Iterable[PlainTarget], now: float
    ) -> list[PlainTarget]:
        """Return the targets with a free slot and a rate-limit permit.

        Brittle ones must stand it if they turn away what may be too much.
        """
        return [
            target
            for target in usable_targets
            if target.has_free_slot
            and not self.rate_limits.permit_wait_s(target.entry.name, 1, now)
            and self.rejection_limits.allows_another(
                target.entry.name, target.jobs.values(), now
            )
        ]

    def _must_queue_behind_others(
        self, job: Job, free_targets: Iterable[PlainTarget]
    ) -> bool:
        """Return whether waiting requests go first on the free targets."""
        own_turn = job.queue_key
        return any(
            _accepts_job(target, other)
            for target in free_targets
            if self.rate_limits.is_limited(target.entry.name)
            for other in self.waiting_jobs
            if other.queue_key <= own_turn
        )

    def _is_expired(self, job: Job, now: float) -> bool:
        remaining_s = job.assignment_req.deadline_s - now
        if remaining_s <= self.mean_duration_s / 2:
            return True
        if not job.permit_wait_s:
            return False
        # More urgent requests may have taken the permits that it waited for.
        names = [target.entry.name for target in self._usable_targets(job, now)]
        own_turn = job.queue_key
        position = sum(
            other.queue_key <= own_turn for other in self.waiting_jobs
        )
        permit_wait_s = self.rate_limits.shared_permit_wait_s(
            names, position, now
        )
        return permit_wait_s + self.mean_duration_s / 2 >= remaining_s

    def _deadline_refusal(
        self,
        job: Job,
        usable_targets: list[PlainTarget],
        wait_s: float,
        now: float,
    ) -> Refusal:
        remaining_s = job.assignment_req.deadline_s - now
        reason = (
            f'predicted queue wait {wait_s:.2f} s, {remaining_s:.2f} s left'
        )
        names = [target.entry.name for target in usable_targets]
        if not all(map(self.rate_limits.is_limited, names)):
            retry_s = min(max(wait_s, MIN_RETRY_S), MAX_RETRY_S)
            return Refusal(ErrorKind.DEADLINE_UNREACHABLE, retry_s, reason)
        # The target with the highest rate limit is reported to the caller.
        name = max(names, key=self.rate_limits.get_send_rate)
        retry_s = self.rate_limits.schedule_retry(name, wait_s, now)
        return Refusal(
            ErrorKind.DEADLINE_UNREACHABLE,
            max(retry_s, MIN_RETRY_S),
            '; '.join((reason, self.rate_limits.describe_wait(name, wait_s))),
            is_rate_limited=True,
        )

    def _usable_targets(self, job: Job, now: float) -> list[PlainTarget]:
        ready_targets = [
            target
            for target in self.targets.values()
            if _accepts_job(target, job)
        ]
        node = job.assignment_req.direct_node
        reachable_targets = [
            target
            for target in ready_targets
            if not target.health.is_down(now, node)
        ]
        return reachable_targets or ready_targets

    def _grant_least_loaded(
        self, job: Job, free_targets: list[PlainTarget], now: float
    ) -> Assignment:
        mean_failure_rate = statistics.fmean(
            target.health.failure_rate(now) for target in free_targets
        )

        def effective_load(target: PlainTarget) -> float:
            excess_failure_rate = (
                target.health.failure_rate(now)
                - mean_failure_rate * TOLERATED_FAILURE_RATIO
            )
            busy_slots = (len(target.jobs) + 1) * target.health.slowdown
            if target.entry.data_centre != job.assignment_req.data_centre:
                busy_slots += OTHER_CENTRE_PENALTY_SLOTS
            return busy_slots + FAILURE_PENALTY_SLOTS * max(
                excess_failure_rate, 0
            )

        chosen_target = min(free_targets, key=effective_load)
        slots = chosen_target.entry.slots
        name = chosen_target.entry.name
        self.rate_limits.try_acquire(name, now)
        chosen_target.add_job(job, now)
        job.is_granted = True
        job.granted_s = now
        return Assignment(
            name,
            chosen_target.entry.address,
            job.assignment_req.priority,
            f'slot {len(chosen_target.jobs)} of {slots}',
            granted_s=now,
            has_permit=self.rate_limits.is_limited(name),
            incarnation=chosen_target.entry.incarnation,
            software_version=chosen_target.entry.software_version,
        )


def _accepts_job(target: PlainTarget, job: Job) -> bool:
    return (
        target.entry.state is TargetState.READY
        and target.entry.name not in job.assignment_req.excluded
        and target.entry.runs_version(job.assignment_req.software_version)
    )
