"""Chooses targets for model requests, and what to load on them."""

from collections.abc import Iterable

import attrs

from mimosaworks.deployment import EngineTerms, TargetEntry, TargetState
from mimosaworks.dispatch.demand import ModelDemand
from mimosaworks.dispatch.engine_target import EngineTarget, Step
from mimosaworks.dispatch.estimate import Estimator
from mimosaworks.dispatch.job import Assignment, Job, Refusal
from mimosaworks.dispatch.late_jobs import outrun_jobs, overdue_jobs
from mimosaworks.dispatch.option_choice import OptionChoice
from mimosaworks.dispatch.paced_jobs import PacedJobs
from mimosaworks.dispatch.prefix_cache import PrefixCache
from mimosaworks.dispatch.reconcile import adopt_entry
from mimosaworks.dispatch.store_loads import StoreLoads
from mimosaworks.dispatch.swap import SwapPlanner, count_copies
from mimosaworks.dispatch.target_books import (
    clear_target,
    drop_steps,
    expect_step,
    finish_step,
    stranded_jobs,
    waiting_jobs,
)
from mimosaworks.dispatch.target_limits import TargetLimits
from mimosaworks.dispatch.waiting_room import WaitingRoom
from mimosaworks.dispatch.wanted import WantedModels

CHECK_S = 0.02  # between two looks for loads that take too long
# Engines take priorities 0 to 9, where 0 is first.
LAST_PRIORITY = 9


@attrs.define(eq=False)
class EnginePool:
    """All targets of a service with engines, and the requests for them.

    refused are the models at hand that requests were refused for, _outrun
    requests that wait for a model on one target while another has it, paced
    those that wait for a place within their target's limit.
    """

    terms: EngineTerms
    limits: TargetLimits = attrs.field(factory=TargetLimits)
    targets: dict[str, EngineTarget] = attrs.field(factory=dict)
    demand: ModelDemand = attrs.field(factory=ModelDemand)
    copies: dict[str, int] = attrs.field(factory=dict)
    waiting: WaitingRoom = attrs.field(factory=WaitingRoom)
    _outrun: list[Job] = attrs.field(factory=list)
    _checked_s: float = 0
    refused: WantedModels = attrs.field(init=False)
    loads: StoreLoads = attrs.field(init=False)
    paced: PacedJobs = attrs.field(init=False)
    estimator: Estimator = attrs.field(init=False)
    choice: OptionChoice = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.loads = StoreLoads(self.terms, self.targets, self.demand)
        self.refused = WantedModels(self.demand)
        self.paced = PacedJobs(self.limits)
        swaps = SwapPlanner(self.demand, self.copies, self.loads.count_at_hand)
        self.estimator = Estimator(swaps, self.paced)
        self.choice = OptionChoice(
            targets=self.targets,
            copies=self.copies,
            estimator=self.estimator,
            loads=self.loads,
            refused=self.refused,
            waiting=self.waiting,
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
        option = self.choice.choose(job, now)
        if isinstance(option, Refusal):
            if not self.choice.may_wait(job, option, now):
                return option
            self.waiting.add(job)
            return None
        target = option.target
        self.enqueue(target, option.steps, now)
        target.add_job(job, now)
        job.due_s = now + max(option.ready_s, option.limit_s)
        job.limit_s = option.limit_s
        job.prefill_tokens = option.prefill_tokens
        if target.is_ready_for(job) and self.paced.enter(job, now):
            return self.grant(job, now)
        return None

    def next_grants(self, now: float) -> list[tuple[Job, Assignment]]:
        """Send waiting requests for which limits have a place by now."""
        if not self.paced:
            return []
        admitted = self.paced.admitted(now)
        return [(job, self.grant(job, now)) for job in admitted]

    def grant(self, job: Job, now: float) -> Assignment:
        """Return the assignment of a request whose model is loaded."""
        target = self.targets[job.target]
        facts = job.ask.facts
        job.is_granted = True
        job.granted_s = now
        slot_s = self.estimator.slot_s(target, job)
        job.waits_for_slot = slot_s > 0
        job.estimate_s = self.estimator.first_s(target, job, slot_s, now)
        read_until_s = now + job.estimate_s
        target.read_until_s = max(target.read_until_s, read_until_s)
        target.cache.note(facts.model, facts.adapter, facts.parts)
        return Assignment(
            target=target.entry.name,
            address=target.entry.address,
            priority=min(max(job.ask.priority, 0), LAST_PRIORITY),
            reason=_describe(job, self.estimator.writing.write_s(job)),
            granted_s=now,
            is_counted=self.limits.is_limited(target.entry.name),
            born=target.entry.born,
        )

    def overdue(self, now: float) -> list[Job]:
        """Return waiting requests whose orders take longer than predicted.

        They are not placed on the same target again. Those that wait for
        room are among them.
        """
        late = self.waiting.due(self.demand, self.copies, now)
        late.extend(job for job in self._outrun if not job.is_granted)
        self._outrun.clear()
        if now - self._checked_s >= CHECK_S:
            self._checked_s = now
            late.extend(self.paced.late(now))
            for target in self.targets.values():
                late.extend(overdue_jobs(target, now))
        return list(dict.fromkeys(late))

    def drop(self, job: Job) -> None:
        """Forget a request that ended or was withdrawn."""
        self.waiting.discard(job)
        self.paced.discard(job)
        target = self.targets.get(job.target)
        if target is not None:
            target.drop_job(job)

    def started(self, job: Job, first_s: float) -> None:
        """Note that a request's first event came first_s after its send."""
        job.is_started = True
        job.first_s = first_s
        target = self.targets.get(job.target)
        if target is not None and job.estimate_s:
            self.estimator.learn(target, job, first_s)

    def note_whole(self, job: Job, duration_s: float) -> None:
        """Note that an answer was whole duration_s after its send."""
        if job.is_started:
            self.estimator.writing.learn(job, duration_s - job.first_s)

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
        if step.is_load and not step.adapter:
            self._outrun.extend(outrun_jobs(self.targets.values(), step.model))
        ready = [
            job for job in waiting_jobs(target) if target.is_ready_for(job)
        ]
        return [job for job in ready if self.paced.enter(job, now)]

    def step_failed(
        self, target: EngineTarget, step: Step, now: float
    ) -> list[Job]:
        """Drop all orders of a target; return requests to place anew."""
        drop_steps(target, step, now)
        self.loads.gate.forget(target.entry.name)
        self._count_copies()
        return stranded_jobs(target)

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

    def _count_copies(self) -> None:
        self.copies.clear()
        self.copies.update(count_copies(self.targets.values()))


def _describe(job: Job, write_s: float) -> str:
    first_s = job.estimate_s
    return f'predicted {first_s:.3f} s to the first event, {write_s:.2f} s more'
