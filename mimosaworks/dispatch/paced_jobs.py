"""Requests that wait until their target's limit has a place for them."""

import operator
from collections import Counter

import attrs

from mimosaworks.dispatch.job import Job
from mimosaworks.dispatch.target_limits import TargetLimits

_TURN = operator.attrgetter('turn')


@attrs.define(eq=False)
class PacedJobs:
    """Holds requests that are ready to be sent, the most urgent first."""

    limits: TargetLimits
    _jobs: dict[str, Job] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return len(self._jobs)

    def enter(self, job: Job, now: float) -> bool:
        """Take a place for a request; False if it has to wait for one."""
        is_first = not self.count_before(job.target, job)
        if is_first and self.limits.take(job.target, now):
            self.discard(job)
            return True
        self._jobs[job.ask.call] = job
        # Other requests may have gone first; late() looks after it.
        job.due_s = job.ask.first_by_s
        return False

    def discard(self, job: Job) -> None:
        """Forget a request that was sent, placed anew or withdrawn."""
        self._jobs.pop(job.ask.call, None)

    def count_before(self, target: str, job: Job) -> int:
        """Return how many requests a target gets before this one."""
        if not self.limits.is_limited(target):
            return 0
        own = job.turn
        return sum(
            other.target == target and other.turn < own
            for other in self._jobs.values()
        )

    def admitted(self, now: float) -> list[Job]:
        """Take out and return the requests that may be sent now."""
        admitted = [
            job
            for job in sorted(self._jobs.values(), key=_TURN)
            if self.limits.take(job.target, now)
        ]
        for job in admitted:
            self.discard(job)
        return admitted

    def late(self, now: float) -> list[Job]:
        """Return the requests that more urgent ones have made late."""
        late: list[Job] = []
        places: Counter[str] = Counter()
        for job in sorted(self._jobs.values(), key=_TURN):
            places[job.target] += 1
            count = places[job.target]
            wait_s = self.limits.wait_s(job.target, count, now)
            if now + wait_s > job.ask.first_by_s:
                late.append(job)
        return late
