"""Chooses targets for requests to plain services."""

import statistics
from collections.abc import Iterable

import attrs

from mimosaworks.deployment import TargetEntry, TargetState
from mimosaworks.dispatch.health import Health
from mimosaworks.dispatch.job import Assignment, Job, Refusal
from mimosaworks.errors import ErrorKind

FIRST_WORK_S = 0.05  # expected duration before any was measured
WORK_WEIGHT = 0.05
MIN_RETRY_S = 0.05
MAX_RETRY_S = 2.0
OTHER_CENTRE_LOAD = 0.2  # of a slot: two more network delays
FAILURE_LOAD = 4.0  # slots: a failed request costs more than a short wait
REST_SHARE = 1.5  # failures over the mean by this factor count


@attrs.define(eq=False)
class PlainTarget:
    """One target of a plain service and the requests that it has."""

    entry: TargetEntry
    health: Health = attrs.field(factory=Health)
    jobs: dict[str, Job] = attrs.field(factory=dict)

    @property
    def has_slot(self) -> bool:
        """Whether another request would start at once."""
        return len(self.jobs) < self.entry.slots

    def add_job(self, job: Job, now: float) -> None:
        """Book a request on this target."""
        self.jobs[job.ask.call] = job
        job.target = self.entry.name


@attrs.define(eq=False)
class PlainPool:
    """All targets of a plain service, and the requests that wait.

    work_s is the average duration of a request at a target.
    """

    targets: dict[str, PlainTarget] = attrs.field(factory=dict)
    waiting: list[Job] = attrs.field(factory=list)
    work_s: float = FIRST_WORK_S

    def submit(self, job: Job, now: float) -> Assignment | Refusal | None:
        """Choose a target; None while all slots are taken."""
        usable = self._usable(job, now)
        if not usable:
            return Refusal(
                ErrorKind.NO_TARGET, MAX_RETRY_S / 2, 'no target in service'
            )
        free = [target for target in usable if target.has_slot]
        if free:
            return self._grant(job, free, now)
        wait_s = self.wait_s(job, usable)
        left_s = job.ask.give_up_s - now
        if wait_s + self.work_s >= left_s:
            retry_s = min(max(wait_s, MIN_RETRY_S), MAX_RETRY_S)
            reason = f'predicted {wait_s:.2f} s of queue, {left_s:.2f} s left'
            return Refusal(ErrorKind.DEADLINE_UNREACHABLE, retry_s, reason)
        self.waiting.append(job)
        return None

    def wait_s(self, job: Job, usable: list[PlainTarget]) -> float:
        """Return the expected wait behind requests that go first."""
        own = _order(job)
        before = [other for other in self.waiting if _order(other) <= own]
        slots = sum(target.entry.slots for target in usable)
        return (len(before) + 1) * self.work_s / max(slots, 1)

    def next_grants(self, now: float) -> list[tuple[Job, Assignment]]:
        """Give free slots to waiting requests, the most urgent first."""
        grants = []
        for job in sorted(self.waiting, key=_order):
            free = [
                target for target in self._usable(job, now) if target.has_slot
            ]
            if free:
                self.waiting.remove(job)
                grants.append((job, self._grant(job, free, now)))
        return grants

    def hopeless(self, now: float) -> list[Job]:
        """Take out and return waiting requests that can't be in time."""
        late = [
            job
            for job in self.waiting
            if job.ask.give_up_s - now <= self.work_s / 2
        ]
        for job in late:
            self.waiting.remove(job)
        return late

    def drop(self, job: Job) -> None:
        """Forget a request that ended or was withdrawn."""
        if job in self.waiting:
            self.waiting.remove(job)
        target = self.targets.get(job.target)
        if target is not None:
            target.jobs.pop(job.ask.call, None)

    def note_whole(self, job: Job, duration_s: float) -> None:
        """Learn from the duration of an answered request."""
        self.work_s += WORK_WEIGHT * (duration_s - self.work_s)
        target = self.targets.get(job.target)
        if target is not None:
            target.health.note_duration(duration_s, self.work_s)

    def adopt(self, entries: Iterable[TargetEntry], now: float) -> list[Job]:
        """Take over what targets say; no request has to move."""
        known = {entry.name: entry for entry in entries}
        for name in self.targets.keys() - known.keys():
            self.targets.pop(name)
        for entry in known.values():
            target = self.targets.get(entry.name)
            if target is None or target.entry.born != entry.born:
                self.targets[entry.name] = PlainTarget(entry)
            else:
                target.entry = entry
        return []

    def _usable(self, job: Job, now: float) -> list[PlainTarget]:
        ready = [
            target for target in self.targets.values() if _takes(target, job)
        ]
        reachable = [
            target for target in ready if not target.health.is_down(now)
        ]
        return reachable or ready

    def _grant(
        self, job: Job, free: list[PlainTarget], now: float
    ) -> Assignment:
        usual = statistics.fmean(target.health.failures(now) for target in free)

        def load(target: PlainTarget) -> float:
            excess = target.health.failures(now) - usual * REST_SHARE
            busy = (len(target.jobs) + 1) * target.health.slowness
            if target.entry.data_centre != job.ask.data_centre:
                busy += OTHER_CENTRE_LOAD
            return busy + FAILURE_LOAD * max(excess, 0)

        chosen = min(free, key=load)
        slots = chosen.entry.slots
        chosen.add_job(job, now)
        job.is_granted = True
        job.granted_s = now
        return Assignment(
            chosen.entry.name,
            chosen.entry.address,
            job.ask.priority,
            f'slot {len(chosen.jobs)} of {slots}',
        )


def _takes(target: PlainTarget, job: Job) -> bool:
    return (
        target.entry.state is TargetState.READY
        and target.entry.name not in job.ask.excluded
    )


def _order(job: Job) -> tuple[int, float]:
    return (job.ask.priority, job.arrived_s)
