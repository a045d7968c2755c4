"""Requests that wait until their target may be sent another one."""

import operator
from collections import Counter
from collections.abc import Mapping

import attrs

from mimosaworks.dispatch.engine_target import EngineTarget
from mimosaworks.dispatch.job import Job
from mimosaworks.dispatch.rejection_limits import RejectionLimits
from mimosaworks.dispatch.target_rate_limits import TargetRateLimits

# Time from a send to the first event until one has been measured.
INITIAL_BEGIN_S = 0.1
BEGIN_WEIGHT = 0.1

_QUEUE_KEY = operator.attrgetter('queue_key')


@attrs.define(eq=False)
class RateLimitQueue:
    """Queue of requests whose models are loaded, the most urgent first.

    They wait for a permit of their target's rate limit, or until a brittle
    target has begun to answer others. mean_begin_s is the average time from a
    send to the first event.
    """

    limits: TargetRateLimits
    rejection_limits: RejectionLimits
    targets: Mapping[str, EngineTarget]
    mean_begin_s: float = INITIAL_BEGIN_S
    _jobs: dict[str, Job] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._jobs)

    def admit_or_queue(self, job: Job, now: float) -> bool:
        """Grant a request; queue it and return False if that has to wait."""
        is_first = not self.count_ahead(job.target, job)
        if is_first and self._try_grant(job, now):
            self.remove(job)
            return True
        self._jobs[job.assignment_req.call_id] = job
        # Other requests may acquire permits first; find_late_jobs() returns
        # those that are late for this reason.
        job.expected_ready_s = job.assignment_req.first_event_deadline_s
        return False

    def remove(self, job: Job) -> None:
        """Remove a request that was sent, reassigned or withdrawn."""
        self._jobs.pop(job.assignment_req.call_id, None)

    def count_ahead(self, target: str, job: Job) -> int:
        """Return how many queued requests a target gets before this one."""
        if not self._limits_target(target):
            return 0
        own_key = job.queue_key
        return sum(
            other.target == target and other.queue_key < own_key
            for other in self._jobs.values()
        )

    def pop_admitted(self, now: float) -> list[Job]:
        """Remove and return the requests that are granted now."""
        admitted_jobs = [
            job
            for job in sorted(self._jobs.values(), key=_QUEUE_KEY)
            if self._try_grant(job, now)
        ]
        for job in admitted_jobs:
            self.remove(job)
        return admitted_jobs

    def find_late_jobs(self, now: float) -> list[Job]:
        """Return requests that miss their first event's deadline in the queue.

        More urgent requests have moved ahead of them.
        """
        late_jobs: list[Job] = []
        permits_by_target: Counter[str] = Counter()
        for job in sorted(self._jobs.values(), key=_QUEUE_KEY):
            permits_by_target[job.target] += 1
            count = permits_by_target[job.target]
            wait_s = max(
                self.limits.permit_wait_s(job.target, count, now),
                self.begin_wait_s(job.target, count - 1),
            )
            if now + wait_s > job.assignment_req.first_event_deadline_s:
                late_jobs.append(job)
        return late_jobs

    def begin_wait_s(self, target: str, ahead: int) -> float:
        """Return the wait until a brittle target has begun to answer others.

        ahead is the number of requests that it gets first.
        """
        return (
            ahead
            // self.rejection_limits.most_at_once(target)
            * self.mean_begin_s
        )

    def record_begin(self, first_event_s: float) -> None:
        """Record the measured time from a send to the first event."""
        self.mean_begin_s += BEGIN_WEIGHT * (first_event_s - self.mean_begin_s)

    def _limits_target(self, target: str) -> bool:
        return self.limits.is_limited(
            target
        ) or self.rejection_limits.is_bounded(target)

    def _try_grant(self, job: Job, now: float) -> bool:
        target = self.targets[job.target]
        if not self.rejection_limits.allows_another(
            job.target, target.jobs.values(), now
        ) or not self.limits.try_acquire(job.target, now):
            return False
        # Counts for the next one at the same target.
        job.is_granted = True
        job.granted_s = now
        return True
