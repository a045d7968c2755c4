"""Chooses targets for model requests, and what to load on them."""

from collections.abc import Iterable

import attrs

from mimosaworks.deployment import EngineTerms, TargetEntry, TargetState
from mimosaworks.dispatch.demand import ModelDemand
from mimosaworks.dispatch.engine_target import (
    EngineTarget,
    LoadedAdapter,
    LoadedModel,
    Step,
)
from mimosaworks.dispatch.estimate import Estimator, Option
from mimosaworks.dispatch.job import Assignment, Job, Refusal
from mimosaworks.dispatch.prefix_cache import PrefixCache
from mimosaworks.dispatch.reconcile import adopt_entry, forget_model
from mimosaworks.dispatch.swap import SwapPlanner
from mimosaworks.errors import ErrorKind
from mimosaworks.placement.budget import LoadBudget

MIN_RETRY_S = 0.3
MAX_RETRY_S = 3.0
NO_TARGET_RETRY_S = 1.0
# Engines take priorities 0 to 9, where 0 is first.
LAST_PRIORITY = 9
# One target in this many may load from the weight store: the load keeps it
# from loading anything else for seconds.
STORE_LOAD_SHARE = 4
OVERDUE_S = 0.4  # about the time of a load from disk


@attrs.define(eq=False)
class EnginePool:
    """All targets of a service with engines, and the requests for them."""

    terms: EngineTerms
    targets: dict[str, EngineTarget] = attrs.field(factory=dict)
    demand: ModelDemand = attrs.field(factory=ModelDemand)
    copies: dict[str, int] = attrs.field(factory=dict)
    budget: LoadBudget = attrs.field(init=False)
    estimator: Estimator = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.budget = LoadBudget(self.terms.loads_per_s)
        self.estimator = Estimator(SwapPlanner(self.demand, self.copies))

    def holds(self, target: EngineTarget) -> bool:
        """Tell whether a target is still the one of its name."""
        return self.targets.get(target.entry.name) is target

    def set_terms(self, terms: EngineTerms) -> None:
        """Follow new bounds and models."""
        self.terms = terms
        self.budget.loads_per_s = terms.loads_per_s
        for target in self.targets.values():
            target.terms = terms

    def submit(self, job: Job, now: float) -> Assignment | Refusal | None:
        """Choose a target; None while the request waits for its model."""
        if not job.ask.resends:
            self.demand.note(job.ask.facts.model, now)
        option = self._choose(job, now)
        if isinstance(option, Refusal):
            return option
        target = option.target
        self._enqueue(target, option.steps, now)
        job.due_s = now + option.ready_s
        target.add_job(job, now)
        job.prefill_tokens = option.prefill_tokens
        if target.is_ready_for(job):
            return self.grant(job, now)
        return None

    def grant(self, job: Job, now: float) -> Assignment:
        """Return the assignment of a request whose model is loaded."""
        target = self.targets[job.target]
        facts = job.ask.facts
        others_s = self.estimator.backlog_s(target, job.ask.priority)
        own_s = job.prefill_tokens / self.terms.kv_tokens
        job.estimate_s = max(others_s - own_s, 0) + self.estimator.read_s(
            target, facts.model, job.prefill_tokens
        )
        job.is_granted = True
        job.granted_s = now
        target.cache.note(facts.model, facts.adapter, facts.parts)
        return Assignment(
            target=target.entry.name,
            address=target.entry.address,
            priority=min(max(job.ask.priority, 0), LAST_PRIORITY),
            reason=f'predicted {job.estimate_s:.3f} s to the first event',
        )

    def ready_jobs(self, target: EngineTarget) -> list[Job]:
        """Return the waiting requests whose model is loaded now."""
        return [
            job
            for job in target.jobs.values()
            if not job.is_granted and target.is_ready_for(job)
        ]

    def overdue(self, now: float) -> list[Job]:
        """Return waiting requests whose orders take longer than predicted.

        They are not placed on the same target again.
        """
        late = [
            job
            for target in self.targets.values()
            for job in _waiting(target)
            if now > job.due_s + OVERDUE_S
        ]
        for job in late:
            job.ask = attrs.evolve(
                job.ask, excluded=job.ask.excluded | {job.target}
            )
        return late

    def drop(self, job: Job) -> None:
        """Forget a request that ended or was withdrawn."""
        target = self.targets.get(job.target)
        if target is not None:
            target.drop_job(job)

    def started(self, job: Job, first_s: float) -> None:
        """Note that a request's first event came first_s after its send."""
        job.is_started = True
        target = self.targets.get(job.target)
        if target is not None and job.estimate_s:
            self.estimator.learn(target, job, first_s)

    def adopt(self, entries: Iterable[TargetEntry], now: float) -> list[Job]:
        """Take over what targets say; return requests to place anew."""
        displaced: list[Job] = []
        known = {entry.name: entry for entry in entries}
        for name in self.targets.keys() - known.keys():
            displaced += _clear(self.targets.pop(name))
        for entry in known.values():
            target = self.targets.get(entry.name)
            if target is None or target.entry.born != entry.born:
                if target is not None:
                    displaced += _clear(target)
                target = self._new_target(entry)
                self.targets[entry.name] = target
            adopt_entry(target, entry, now)
        self._count_copies()
        return displaced

    def fits(self, target: EngineTarget, step: Step) -> bool:
        """Tell whether a target has the memory that an order needs."""
        if not step.is_load:
            return True
        held_mb = sum(
            loaded.size_mb
            for loaded in target.models.values()
            if loaded.is_ready and loaded.terms.name != step.model
        )
        loaded = target.models.get(step.model)
        own_mb = 0 if loaded is None else loaded.size_mb
        return (
            held_mb + own_mb <= self.terms.weights_mb
            and target.adapter_count <= self.terms.adapter_slots
        )

    def step_done(
        self, target: EngineTarget, step: Step, now: float
    ) -> None:
        """Note that an order was carried out."""
        loaded = target.models.get(step.model)
        if step.adapter:
            _adapter_done(loaded, step)
        elif not step.is_load:
            forget_model(target, step.model)
        elif loaded is not None:
            loaded.is_ready = True
            target.in_memory.add(step.model)
            target.on_disk.add(step.model)
            target.loaded_s = now
        if step.is_from_store:
            target.is_store_loading = False
        left_s = sum(queued.duration_s for queued in target.steps)
        target.steps_end_s = now + left_s
        self._count_copies()

    def step_failed(
        self, target: EngineTarget, step: Step, now: float
    ) -> list[Job]:
        """Drop all orders of a target; return requests to place anew.

        The target has to be asked what it holds before the next order.
        """
        dropped = (step, *target.steps)
        target.steps.clear()
        target.steps_end_s = now
        target.is_store_loading = False
        target.is_synced = False
        for undone in dropped:
            _undo(target, undone)
        self._count_copies()
        return _stranded(target)

    def _choose(self, job: Job, now: float) -> Option | Refusal:
        usable = [
            target
            for target in self.targets.values()
            if _is_usable(target, job, now)
        ]
        if not usable:
            return Refusal(
                ErrorKind.NO_TARGET, NO_TARGET_RETRY_S, 'no target in service'
            )
        found = (self.estimator.option(target, job, now) for target in usable)
        options = [
            option
            for option in found
            if option is not None and self._has_budget(option, now)
        ]
        best = min(options, key=_cost, default=None)
        if best is None:
            return Refusal(
                ErrorKind.MODEL_NOT_READY,
                NO_TARGET_RETRY_S,
                'no target has room for the model',
            )
        left_s = job.ask.give_up_s - now - self.estimator.write_s(job)
        if best.wait_s >= left_s:
            return Refusal(
                ErrorKind.DEADLINE_UNREACHABLE,
                min(max(best.wait_s - left_s, MIN_RETRY_S), MAX_RETRY_S),
                f'predicted {best.wait_s:.2f} s, {left_s:.2f} s left',
            )
        return best

    def _has_budget(self, option: Option, now: float) -> bool:
        if not any(step.is_from_store for step in option.steps):
            return True
        loading = sum(
            target.is_store_loading for target in self.targets.values()
        )
        return (
            loading < max(len(self.targets) // STORE_LOAD_SHARE, 1)
            and not option.target.is_store_loading
            and self.budget.has_room(now)
        )

    def _enqueue(
        self, target: EngineTarget, steps: tuple[Step, ...], now: float
    ) -> None:
        end_s = max(target.steps_end_s, now)
        for step in steps:
            end_s += step.duration_s
            target.steps.append(step)
            self.estimator.order_rates.note(target.entry.name, now)
            if step.is_from_store:
                target.is_store_loading = True
                self.budget.try_take(now)
            _expect(target, step, end_s, now)
        target.steps_end_s = end_s
        self._count_copies()

    def _new_target(self, entry: TargetEntry) -> EngineTarget:
        return EngineTarget(
            entry, self.terms, PrefixCache(self.terms.kv_tokens)
        )

    def _count_copies(self) -> None:
        self.copies.clear()
        for target in self.targets.values():
            for name, loaded in target.models.items():
                if not loaded.is_leaving:
                    self.copies[name] = self.copies.get(name, 0) + 1


def _is_usable(target: EngineTarget, job: Job, now: float) -> bool:
    return (
        target.entry.state is TargetState.READY
        and target.entry.name not in job.ask.excluded
        and not target.health.is_down(now)
    )


def _cost(option: Option) -> float:
    return option.cost_s


def _waiting(target: EngineTarget) -> list[Job]:
    return [job for job in target.jobs.values() if not job.is_granted]


def _clear(target: EngineTarget) -> list[Job]:
    """Empty a target that ended; return the requests that waited there."""
    waiting = _waiting(target)
    target.jobs.clear()
    target.steps.clear()
    return waiting


def _stranded(target: EngineTarget) -> list[Job]:
    """Return waiting requests whose model or adapter will not come."""
    return [job for job in _waiting(target) if not _will_come(target, job)]


def _will_come(target: EngineTarget, job: Job) -> bool:
    facts = job.ask.facts
    loaded = target.models.get(facts.model)
    if loaded is None or loaded.is_leaving:
        return False
    return not facts.adapter or facts.adapter in loaded.adapters


def _expect(
    target: EngineTarget, step: Step, end_s: float, now: float
) -> None:
    """Change the target's models to what the order will bring."""
    if step.adapter:
        loaded = target.models[step.model]
        if step.is_load:
            loaded.adapters[step.adapter] = LoadedAdapter(
                step.adapter, now, is_ready=False
            )
        else:
            # It leaves at once, in the order of the queue.
            loaded.adapters.pop(step.adapter, None)
    elif step.is_load:
        target.models[step.model] = LoadedModel(
            target.terms.models[step.model], now, end_s, is_ready=False
        )
    else:
        target.models[step.model].is_leaving = True


def _adapter_done(loaded: LoadedModel | None, step: Step) -> None:
    if loaded is None or not step.is_load:
        return
    adapter = loaded.adapters.get(step.adapter)
    if adapter is not None:
        adapter.is_ready = True


def _undo(target: EngineTarget, step: Step) -> None:
    """Take back what was expected of an order that will not be sent."""
    loaded = target.models.get(step.model)
    if loaded is None:
        return
    if step.adapter:
        adapter = loaded.adapters.get(step.adapter)
        if adapter is not None and not adapter.is_ready:
            loaded.adapters.pop(step.adapter)
    elif not step.is_load:
        loaded.is_leaving = False
    elif not loaded.is_ready:
        forget_model(target, step.model)
