"""Requests for which no target can load their model at the moment."""

from collections import Counter

import attrs

from mimosaworks.deployment import EngineModel
from mimosaworks.dispatch.demand import ModelDemand
from mimosaworks.dispatch.job import Job

ROOM_WAIT_S = 3.0  # for targets in use; about the length of a long answer
PATIENCE_SHARE = 0.5  # of a patient caller's time, spent on waiting for room
ROOM_PERIOD_S = 0.1  # between two looks for room
READ_S = 0.2  # for the prompt, once the model is loaded
MAX_WAITING = 500  # more than targets could make room for in ROOM_WAIT_S
HORIZON_S = 10.0  # about how long a model stays loaded
BUSY = 10.0  # requests in HORIZON_S from which a model is a busy one

_Order = tuple[float, int, int, float]


@attrs.define(eq=False)
class WaitingRoom:
    """Holds requests until a target can make room for their models.

    What targets run and load changes from moment to moment, so that waiting
    serves a caller sooner than coming back. Busy models go first; then the
    most urgent requests, those that can still be answered in their target
    latency before the others, the one whose time ends first before later ones.
    """

    _jobs: dict[str, Job] = attrs.field(factory=dict)
    _looked_s: float = 0
    _has_changed: bool = False

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return len(self._jobs)

    def add(self, job: Job) -> None:
        """Take in a request."""
        self._jobs[job.ask.call] = job

    def discard(self, job: Job) -> None:
        """Forget a request that is placed, refused or withdrawn."""
        self._jobs.pop(job.ask.call, None)

    def note_change(self) -> None:
        """Note that a target may have room from now on."""
        self._has_changed = True

    def due(self, demand: ModelDemand, now: float) -> list[Job]:
        """Return the requests to place anew, in their order."""
        if not self._has_changed and now - self._looked_s < ROOM_PERIOD_S:
            return []
        self._has_changed = False
        self._looked_s = now
        waiting = Counter(job.ask.facts.model for job in self._jobs.values())

        def order(job: Job) -> _Order:
            model = job.ask.facts.model
            asked = demand.per_s(model, now) * HORIZON_S + waiting[model]
            busy = asked if asked >= BUSY else 0
            on_time_s = job.arrived_s + job.ask.target_s
            if on_time_s - now > READ_S:
                return (-busy, job.ask.priority, 0, on_time_s)
            return (-busy, job.ask.priority, 1, job.ask.first_by_s)

        return sorted(self._jobs.values(), key=order)

    def may_hold(self, job: Job, model: EngineModel, now: float) -> bool:
        """Tell whether a request can wait and still be answered in time."""
        patience_s = job.ask.first_by_s - job.arrived_s
        longest_s = max(ROOM_WAIT_S, patience_s * PATIENCE_SHARE)
        room_by_s = min(
            job.arrived_s + longest_s,
            job.ask.first_by_s - model.disk_load_s - READ_S,
        )
        return now < room_by_s and len(self._jobs) < MAX_WAITING
