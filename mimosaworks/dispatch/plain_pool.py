"""Chooses targets for requests to plain services."""

import operator
import statistics
from collections.abc import Iterable

import attrs

from mimosaworks.deployment import TargetEntry, TargetState
from mimosaworks.dispatch.health import Health
from mimosaworks.dispatch.job import Assignment, Job, Refusal
from mimosaworks.dispatch.target_limits import TargetLimits, until_used_s
from mimosaworks.errors import ErrorKind

FIRST_WORK_S = 0.05  # expected duration before any was measured
WORK_WEIGHT = 0.05
MIN_RETRY_S = 0.05
MAX_RETRY_S = 2.0
OTHER_CENTRE_LOAD = 0.2  # of a slot: two more network delays
FAILURE_LOAD = 4.0  # slots: a failed request costs more than a short wait
REST_SHARE = 1.5  # failures over the mean by this factor count

_TURN = operator.attrgetter('turn')


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

    limits: TargetLimits = attrs.field(factory=TargetLimits)
    targets: dict[str, PlainTarget] = attrs.field(factory=dict)
    waiting: list[Job] = attrs.field(factory=list)
    work_s: float = FIRST_WORK_S

    def submit(self, job: Job, now: float) -> Assignment | Refusal | None:
        """Choose a target; None while all slots and places are taken."""
        usable = self._usable(job, now)
        if not usable:
            return Refusal(
                ErrorKind.NO_TARGET, MAX_RETRY_S / 2, 'no target in service'
            )
        free = self._free(usable, now)
        if free and not self._is_behind(job, free):
            return self._grant(job, free, now)
        wait_s = self.wait_s(job, usable, now)
        if now + wait_s + self.work_s >= job.ask.give_up_s:
            return self._refuse(job, usable, wait_s, now)
        self.waiting.append(job)
        if all(self.limits.is_limited(one.entry.name) for one in usable):
            job.limit_s = wait_s
        return None

    def wait_s(self, job: Job, usable: list[PlainTarget], now: float) -> float:
        """Return the expected wait behind requests that go first."""
        own = job.turn
        before = [other for other in self.waiting if other.turn <= own]
        places = len(before) + 1
        names = [target.entry.name for target in usable]
        limited = set(filter(self.limits.is_limited, names))
        slots = sum(
            target.entry.slots
            for target in usable
            if target.entry.name not in limited or len(limited) == len(names)
        )
        slot_s = places * self.work_s / max(slots, 1)
        place_s = self.limits.shared_wait_s(names, places, now)
        return max(slot_s, until_used_s(place_s))

    def next_grants(self, now: float) -> list[tuple[Job, Assignment]]:
        """Give free slots to waiting requests, the most urgent first."""
        grants = []
        for job in sorted(self.waiting, key=_TURN):
            free = self._free(self._usable(job, now), now)
            if free:
                self.waiting.remove(job)
                grants.append((job, self._grant(job, free, now)))
        return grants

    def hopeless(self, now: float) -> list[Job]:
        """Take out and return waiting requests that can't be in time."""
        late = [job for job in self.waiting if self._is_hopeless(job, now)]
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

    def _free(
        self, usable: Iterable[PlainTarget], now: float
    ) -> list[PlainTarget]:
        """Return the targets that would begin a request at once."""
        return [
            target
            for target in usable
            if target.has_slot
            and not self.limits.wait_s(target.entry.name, 1, now)
        ]

    def _is_behind(self, job: Job, free: Iterable[PlainTarget]) -> bool:
        """Tell whether the free places are those of requests that wait."""
        own = job.turn
        return any(
            _takes(target, other)
            for target in free
            if self.limits.is_limited(target.entry.name)
            for other in self.waiting
            if other.turn <= own
        )

    def _is_hopeless(self, job: Job, now: float) -> bool:
        left_s = job.ask.give_up_s - now
        if left_s <= self.work_s / 2:
            return True
        if not job.limit_s:
            return False
        # More urgent requests may have taken the places that it waited for.
        names = [target.entry.name for target in self._usable(job, now)]
        own = job.turn
        places = sum(other.turn <= own for other in self.waiting)
        place_s = self.limits.shared_wait_s(names, places, now)
        return place_s + self.work_s / 2 >= left_s

    def _refuse(
        self, job: Job, usable: list[PlainTarget], wait_s: float, now: float
    ) -> Refusal:
        left_s = job.ask.give_up_s - now
        reason = f'predicted {wait_s:.2f} s of queue, {left_s:.2f} s left'
        names = [target.entry.name for target in usable]
        if not all(map(self.limits.is_limited, names)):
            retry_s = min(max(wait_s, MIN_RETRY_S), MAX_RETRY_S)
            return Refusal(ErrorKind.DEADLINE_UNREACHABLE, retry_s, reason)
        # The one with the most places.
        name = max(names, key=self.limits.rate)
        retry_s = self.limits.book_return(name, wait_s, now)
        return Refusal(
            ErrorKind.DEADLINE_UNREACHABLE,
            max(retry_s, MIN_RETRY_S),
            '; '.join((reason, self.limits.describe(name, wait_s))),
            is_limited=True,
        )

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
        name = chosen.entry.name
        self.limits.take(name, now)
        chosen.add_job(job, now)
        job.is_granted = True
        job.granted_s = now
        return Assignment(
            name,
            chosen.entry.address,
            job.ask.priority,
            f'slot {len(chosen.jobs)} of {slots}',
            granted_s=now,
            is_counted=self.limits.is_limited(name),
            born=chosen.entry.born,
        )


def _takes(target: PlainTarget, job: Job) -> bool:
    return (
        target.entry.state is TargetState.READY
        and target.entry.name not in job.ask.excluded
    )
