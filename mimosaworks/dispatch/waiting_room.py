"""Requests for which no target can load their model at the moment."""

from collections import Counter
from collections.abc import Callable, Collection, Iterable

import attrs

from mimosaworks.deployment import EngineModel
from mimosaworks.dispatch.demand import ModelDemand
from mimosaworks.dispatch.job import Job

ROOM_WAIT_S = 3.0  # for targets in use; about the length of a long answer
PATIENCE_SHARE = 0.5  # of a patient caller's time, spent on waiting for room
LOOK_S = 0.02  # between two looks for room; each costs the holder some ms
ROOM_PERIOD_S = 0.1  # between two tries for one model
MAX_TRIED = 10  # models at one look
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
    _tried_s: dict[str, float] = attrs.field(factory=dict)
    _looked_s: float = 0

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return len(self._jobs)

    def add(self, job: Job) -> None:
        """Take in a request."""
        self._jobs[job.ask.call] = job

    def discard(self, job: Job) -> None:
        """Forget a request that is placed, refused or withdrawn."""
        self._jobs.pop(job.ask.call, None)

    def due(
        self, demand: ModelDemand, loaded: Collection[str], now: float
    ) -> list[Job]:
        """Return the requests to place anew, in their order.

        Those whose model is loaded by now, or whose time to wait is over, are
        all among them, of other models one request each: what has no room
        for one has none for the next. loaded are the models with a replica.
        """
        if now - self._looked_s < LOOK_S:
            return []
        self._looked_s = now
        ordered = sorted(self._jobs.values(), key=self._make_order(demand, now))
        heads: dict[str, Job] = {}
        due: list[Job] = []
        for job in ordered:
            model = job.ask.facts.model
            if now >= job.room_by_s:
                due.append(job)
            elif self._is_open(model, now):
                heads.setdefault(model, job)
                if model in loaded:
                    due.append(job)
        present = heads.keys() & set(loaded)
        missing = [model for model in heads if model not in present]
        tried = missing[:MAX_TRIED]
        due.extend(heads[model] for model in tried)
        self._note_tried((*tried, *present), now)
        return due

    def may_hold(self, job: Job, model: EngineModel, now: float) -> bool:
        """Tell whether a request can wait and still be answered in time."""
        patience_s = job.ask.first_by_s - job.arrived_s
        longest_s = max(ROOM_WAIT_S, patience_s * PATIENCE_SHARE)
        job.room_by_s = min(
            job.arrived_s + longest_s,
            job.ask.first_by_s - model.disk_load_s - READ_S,
        )
        return now < job.room_by_s and len(self._jobs) < MAX_WAITING

    def _note_tried(self, models: Iterable[str], now: float) -> None:
        recent = {
            model: at_s
            for model, at_s in self._tried_s.items()
            if now - at_s < ROOM_PERIOD_S
        }
        self._tried_s = recent | dict.fromkeys(models, now)

    def _is_open(self, model: str, now: float) -> bool:
        """Tell whether a model was not tried just now."""
        tried_s = self._tried_s.get(model)
        return tried_s is None or now - tried_s >= ROOM_PERIOD_S

    def _make_order(
        self, demand: ModelDemand, now: float
    ) -> Callable[[Job], _Order]:
        waiting = Counter(job.ask.facts.model for job in self._jobs.values())
        asked = {
            model: demand.per_s(model, now) * HORIZON_S + count
            for model, count in waiting.items()
        }

        def order(job: Job) -> _Order:
            needed = asked[job.ask.facts.model]
            busy = needed if needed >= BUSY else 0
            on_time_s = job.arrived_s + job.ask.target_s
            if on_time_s - now > READ_S:
                return (-busy, job.ask.priority, 0, on_time_s)
            return (-busy, job.ask.priority, 1, job.ask.first_by_s)

        return order
