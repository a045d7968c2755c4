"""Requests that wait for a permit of their target's rate limit."""

import operator
from collections import Counter

import attrs

from mimosaworks.dispatch.job import Job
from mimosaworks.dispatch.target_rate_limits import TargetRateLimits

_QUEUE_KEY = operator.attrgetter('queue_key')


@attrs.define(eq=False)
class RateLimitQueue:
    """Queue of requests that only lack a permit, the most urgent first."""

    limits: TargetRateLimits
    _jobs: dict[str, Job] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._jobs)

    def admit_or_queue(self, job: Job, now: float) -> bool:
        """Acquire a permit for a request; queue it and return False if none."""
        is_first = not self.count_ahead(job.target, job)
        if is_first and self.limits.try_acquire(job.target, now):
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
        if not self.limits.is_limited(target):
            return 0
        own_key = job.queue_key
        return sum(
            other.target == target and other.queue_key < own_key
            for other in self._jobs.values()
        )

    def pop_admitted(self, now: float) -> list[Job]:
        """Remove and return the requests that got a permit now."""
        admitted_jobs = [
            job
            for job in sorted(self._jobs.values(), key=_QUEUE_KEY)
            if self.limits.try_acquire(job.target, now)
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
            wait_s = self.limits.permit_wait_s(job.target, count, now)
            if now + wait_s > job.assignment_req.first_event_deadline_s:
                late_jobs.append(job)
        return late_jobs
