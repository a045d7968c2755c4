"""Chooses targets for model requests, and what to load on them."""

from collections.abc import Iterable

import attrs

from mimosaworks.deployment import EngineTerms, TargetEntry, TargetState
from mimosaworks.dispatch.demand import ModelDemand
from mimosaworks.dispatch.engine_target import EngineTarget, Step
from mimosaworks.dispatch.estimate import Estimator, Option
from mimosaworks.dispatch.job import Assignment, Job, Refusal
from mimosaworks.dispatch.prefix_cache import PrefixCache
from mimosaworks.dispatch.reconcile import adopt_entry
from mimosaworks.dispatch.store_loads import StoreLoads
from mimosaworks.dispatch.swap import SwapPlanner, count_copies
from mimosaworks.dispatch.target_books import (
    clear_target,
    drop_steps,
    expect_step,
    finish_step,
    overdue_jobs,
    stranded_jobs,
    waiting_jobs,
)
from mimosaworks.errors import ErrorKind

MIN_RETRY_S = 0.3
MAX_RETRY_S = 3.0
NO_TARGET_RETRY_S = 1.0
ROOM_WAIT_S = 3.0  # for targets in use; about the length of a long answer
ROOM_PERIOD_S = 0.1  # between two looks for room
# Engines take priorities 0 to 9, where 0 is first.
LAST_PRIORITY = 9


@attrs.define(eq=False)
class EnginePool:
    """All targets of a service with engines, and the requests for them.

    roomless are requests for which no target can make room at the moment.
    """

    terms: EngineTerms
    targets: dict[str, EngineTarget] = attrs.field(factory=dict)
    demand: ModelDemand = attrs.field(factory=ModelDemand)
    copies: dict[str, int] = attrs.field(factory=dict)
    roomless: list[Job] = attrs.field(factory=list)
    _looked_s: float = 0
    loads: StoreLoads = attrs.field(init=False)
    estimator: Estimator = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.loads = StoreLoads(self.terms, self.targets, self.demand)
        self.estimator = Estimator(
            SwapPlanner(self.demand, self.copies, self.loads.count_at_hand)
        )

    def follow_terms(self, terms: EngineTerms) -> None:
        """Follow new bounds and models."""
        self.terms = terms
        self.loads.terms = terms
        self.loads.budget.loads_per_s = terms.loads_per_s
        for target in self.targets.values():
            target.terms = terms

    def holds(self, target: EngineTarget) -> bool:
        """Tell whether a target is still the one of its name."""
        return self.targets.get(target.entry.name) is target

    def submit(self, job: Job, now: float) -> Assignment | Refusal | None:
        """Choose a target; None while the request waits for its model."""
        if not job.ask.resends and not job.is_noted:
            job.is_noted = True
            self.demand.note(job.ask.facts.model, now)
            self.loads.asked_s = now
        option = self._choose(job, now)
        if isinstance(option, Refusal):
            if not _may_wait_for_room(self, job, option, now):
                return option
            self.roomless.append(job)
            return None
        target = option.target
        self.enqueue(target, option.steps, now)
        target.add_job(job, now)
        job.due_s = now + option.ready_s
        job.prefill_tokens = option.prefill_tokens
        if target.is_ready_for(job):
            return self.grant(job, now)
        return None

    def grant(self, job: Job, now: float) -> Assignment:
        """Return the assignment of a request whose model is loaded."""
        target = self.targets[job.target]
        facts = job.ask.facts
        job.is_granted = True
        job.granted_s = now
        job.estimate_s = self.estimator.first_s(target, job, now)
        target.read_until_s = now + job.estimate_s
        target.cache.note(facts.model, facts.adapter, facts.parts)
        return Assignment(
            target=target.entry.name,
            address=target.entry.address,
            priority=min(max(job.ask.priority, 0), LAST_PRIORITY),
            reason=f'predicted {job.estimate_s:.3f} s to the first event',
        )

    def overdue(self, now: float) -> list[Job]:
        """Return waiting requests whose orders take longer than predicted.

        They are not placed on the same target again. Those that wait for
        room are among them.
        """
        late: list[Job] = []
        if now - self._looked_s >= ROOM_PERIOD_S:
            self._looked_s = now
            late.extend(self.roomless)
        for target in self.targets.values():
            late.extend(overdue_jobs(target, now))
        return late

    def drop(self, job: Job) -> None:
        """Forget a request that ended or was withdrawn."""
        if job in self.roomless:
            self.roomless.remove(job)
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
            gone = self.targets.pop(name)
            if gone.entry.state is TargetState.READY:
                self.loads.note_vanished(gone, now)
            displaced.extend(clear_target(gone))
            self.loads.gate.forget(name)
        for entry in known.values():
            target = self.targets.get(entry.name)
            if target is not None and target.entry.born != entry.born:
                displaced.extend(clear_target(target))
                self.loads.gate.forget(entry.name)
                target = None
            if target is None:
                self.loads.grown_s = now
                cache = PrefixCache(self.terms.kv_tokens)
                target = EngineTarget(entry, self.terms, cache)
                self.targets[entry.name] = target
            adopt_entry(target, entry, now)
            if entry.state is not TargetState.READY:
                displaced.extend(waiting_jobs(target))
        self._count_copies()
        return displaced

    def step_done(
        self, target: EngineTarget, step: Step, now: float
    ) -> list[Job]:
        """Note that an order was carried out; return what it made ready."""
        finish_step(target, step, now)
        if step.is_from_store:
            self.loads.ended(target, step, now)
        self._count_copies()
        return [job for job in waiting_jobs(target) if target.is_ready_for(job)]

    def step_failed(
        self, target: EngineTarget, step: Step, now: float
    ) -> list[Job]:
        """Drop all orders of a target; return requests to place anew."""
        drop_steps(target, step, now)
        self.loads.gate.forget(target.entry.name)
        self._count_copies()
        return stranded_jobs(target)

    def usable(self, job: Job, now: float) -> list[EngineTarget]:
        """Return the targets that a request may go to."""
        return [
            target
            for target in self.targets.values()
            if _is_usable(target, job, now)
        ]

    def cheapest(
        self, usable: Iterable[EngineTarget], job: Job, now: float
    ) -> Option | None:
        """Return the best way to serve a request that is open now."""
        found = (self.estimator.option(target, job, now) for target in usable)
        options = (
            option
            for option in found
            if option is not None
            and self.loads.allows(option.target, option.steps, now)
        )
        return min(options, key=_cost, default=None)

    def enqueue(
        self, target: EngineTarget, steps: tuple[Step, ...], now: float
    ) -> None:
        """Queue orders at a target."""
        end_s = max(target.steps_end_s, now)
        for step in steps:
            end_s += step.duration_s
            target.steps.append(step)
            self.estimator.order_rates.note(target.entry.name, now)
            if step.is_from_store:
                self.loads.begin(target, now)
            expect_step(target, step, end_s, now)
        target.steps_end_s = end_s
        self._count_copies()

    def _choose(self, job: Job, now: float) -> Option | Refusal:
        usable = self.usable(job, now)
        if not usable:
            return Refusal(
                ErrorKind.NO_TARGET, NO_TARGET_RETRY_S, 'no target in service'
            )
        best = self.cheapest(usable, job, now)
        if best is None or self.loads.is_outranked(best.steps, now):
            return Refusal(
                ErrorKind.MODEL_NOT_READY,
                self.loads.refused(job, now) or NO_TARGET_RETRY_S,
                _describe(usable, job),
            )
        write_s = self.estimator.write_s(job)
        refusal = _check_time(best, job, write_s, now)
        if refusal is None:
            return best
        self.loads.refused(job, now)
        return refusal

    def _count_copies(self) -> None:
        self.copies.clear()
        self.copies.update(count_copies(self.targets.values()))


def _is_usable(target: EngineTarget, job: Job, now: float) -> bool:
    return (
        target.entry.state is TargetState.READY
        and target.entry.name not in job.ask.excluded
        and not target.health.is_down(now)
    )


def _may_wait_for_room(
    pool: EnginePool, job: Job, refusal: Refusal, now: float
) -> bool:
    """Tell whether a target may have room for a model in time.

    What targets run changes from moment to moment.
    """
    model = pool.terms.models.get(job.ask.facts.model)
    if model is None or refusal.kind is not ErrorKind.MODEL_NOT_READY:
        return False
    is_near = any(
        model.name not in target.models and not target.needs_store(model)
        for target in pool.usable(job, now)
    )
    room_by_s = min(
        job.arrived_s + ROOM_WAIT_S, job.ask.first_by_s - 2 * model.disk_load_s
    )
    return is_near and now < room_by_s


def _describe(usable: list[EngineTarget], job: Job) -> str:
    model = job.ask.facts.model
    at_hand = sum(target.has_copy(model) for target in usable)
    return (
        f'none of {len(usable)} targets can load the model now, '
        f'{at_hand} have its weights at hand'
    )


def _cost(option: Option) -> float:
    return option.cost_s


def _check_time(
    best: Option, job: Job, write_s: float, now: float
) -> Refusal | None:
    """Refuse when the first event or the whole answer would come too late."""
    ask = job.ask
    left_s = min(ask.first_by_s, ask.give_up_s - write_s) - now
    if best.wait_s < left_s:
        return None
    retry_s = min(max(best.ready_s, MIN_RETRY_S), MAX_RETRY_S)
    reason = f'predicted {best.wait_s:.2f} s, {left_s:.2f} s left'
    return Refusal(ErrorKind.DEADLINE_UNREACHABLE, retry_s, reason)
