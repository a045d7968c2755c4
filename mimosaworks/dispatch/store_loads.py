"""Decides which weights the weight store is asked for, and when."""

from collections import Counter
from collections.abc import Iterable

import attrs

from mimosaworks.deployment import EngineModel, EngineTerms
from mimosaworks.dispatch.demand import ModelDemand
from mimosaworks.dispatch.engine_target import EngineTarget, Step
from mimosaworks.dispatch.job import Job
from mimosaworks.dispatch.store_gate import StoreGate
from mimosaworks.dispatch.wanted import WantedModels
from mimosaworks.placement.budget import LoadBudget

# One target in this many may load from the weight store: the load keeps it
# from loading anything else for seconds.
STORE_LOAD_SHARE = 4
# The same while no requests come.
QUIET_LOAD_SHARE = 2
QUIET_S = 2.0  # without a request; a few pauses between requests
SETTLED_S = 1.5  # without a new target; longer than a heartbeat interval
RETURN_S = 2.0  # after a crashed target's entry lapsed; it is mostly back
NOTICE_S = 0.25  # after which a report shows that a load has ended
MAX_LOAD_RETRY_S = 10.0  # callers bound it by the time that they have left


@attrs.define(eq=False)
class StoreLoads:
    """The weight store's rate and width, and what to load next.

    targets are all of the service, by name. asked_s is when a request came
    last, grown_s when a target registered last. _missing tells until when
    models of vanished targets are expected back. _held counts the targets that
    had each model at hand at _held_at_s.
    """

    terms: EngineTerms
    targets: dict[str, EngineTarget]
    demand: ModelDemand
    gate: StoreGate = attrs.field(factory=StoreGate)
    asked_s: float | None = None
    grown_s: float = 0
    _missing: dict[str, float] = attrs.field(factory=dict)
    _held_at_s: float | None = None
    _held: Counter[str] = attrs.field(factory=Counter)
    budget: LoadBudget = attrs.field(init=False)
    wanted: WantedModels = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.budget = LoadBudget(self.terms.loads_per_s)
        self.wanted = WantedModels(self.demand)

    def allows(
        self, target: EngineTarget, steps: Iterable[Step], now: float
    ) -> bool:
        """Tell whether the weight store has room for what orders load.

        Its last load at once is kept for models that no target has at hand.
        """
        model = _loaded_from_store(steps)
        if not model:
            return True
        if self.gate.is_loading(target.entry.name):
            return False
        loads = 1 if self.is_absent(model, now) else 2
        most = max(len(self.targets) // self._share(now), 1)
        return self.gate.has_room(most, loads) and self.budget.has_room(now)

    def begin(self, target: EngineTarget, now: float) -> None:
        """Note that a load was queued."""
        self._held_at_s = None
        self.gate.begin(target.entry.name, now)
        self.budget.try_take(now)

    def sent(self, target: EngineTarget, step: Step, now: float) -> None:
        """Note that the order of a load is sent; foresee its end."""
        name = target.entry.name
        self.gate.restart_clock(name, now)
        alone_s = self.terms.models[step.model].store_load_s
        end_s = now + self.gate.expected_s(name, alone_s) + NOTICE_S
        loaded = target.models.get(step.model)
        if loaded is not None:
            loaded.ready_s = end_s
        target.expect_steps_from(end_s)

    def ended(self, target: EngineTarget, step: Step, now: float) -> None:
        """Note that a load was carried out."""
        alone_s = self.terms.models[step.model].store_load_s
        self.gate.end(target.entry.name, alone_s, now)
        for job in target.jobs.values():
            # An adapter that was queued behind it begins to load now.
            job.due_s = max(job.due_s, now)

    def is_quiet(self, now: float) -> bool:
        """Tell whether no requests have come for a while."""
        if self.asked_s is None:
            self.asked_s = now
        return now - self.asked_s > QUIET_S

    def is_settled(self, now: float) -> bool:
        """Tell whether the targets that run have registered by now.

        A holder that begins may know some of them only, and weights that it
        knows of nowhere may lie on the others.
        """
        return now - self.grown_s > SETTLED_S

    def note_vanished(self, target: EngineTarget, now: float) -> None:
        """Note that a target is gone that did not tell that it would leave."""
        self._held_at_s = None
        self._missing.update(dict.fromkeys(target.at_hand(), now + RETURN_S))

    def is_absent(self, model: str, now: float) -> bool:
        """Tell whether no target holds a model or has its weights at hand.

        Targets count that vanished lately: they are expected back.
        """
        if self._missing.get(model, now) > now:
            return False
        return not self.count_at_hand(model, now)

    def count_at_hand(self, model: str, now: float) -> int:
        """Return the number of targets that have a model's weights."""
        # One decision asks this for each target.
        if self._held_at_s != now:
            self._held_at_s = now
            self._held = Counter(
                name
                for target in self.targets.values()
                for name in target.at_hand()
            )
        return self._held[model]

    def is_outranked(self, steps: Iterable[Step], now: float) -> bool:
        """Tell whether orders would load what others want less."""
        model = _loaded_from_store(steps)
        if not model or not self.is_absent(model, now):
            return False
        return self.wanted.is_outranked(model, now)

    def absent(self, now: float) -> list[EngineModel]:
        """Return the models that no target has at hand, in a fixed order."""
        return [
            model
            for name, model in sorted(self.terms.models.items())
            if self.is_absent(name, now)
        ]

    def refused(self, job: Job, now: float) -> float | None:
        """Note a request that is refused for want of its model.

        Returns the seconds until it could be loaded, None when that can't
        be told.
        """
        model = self.terms.models.get(job.ask.facts.model)
        if model is None or not self.is_absent(model.name, now):
            return None
        left_s = job.ask.first_by_s - now
        load_s = model.store_load_s
        self.wanted.note(job, now, would_wait=left_s > load_s)
        return min(
            self.gate.next_room_s(load_s, now) + load_s, MAX_LOAD_RETRY_S
        )

    def _share(self, now: float) -> int:
        return QUIET_LOAD_SHARE if self.is_quiet(now) else STORE_LOAD_SHARE


def _loaded_from_store(steps: Iterable[Step]) -> str:
    return next((step.model for step in steps if step.is_from_store), '')
