"""Predicts when a target would answer a request."""

import attrs

from mimosaworks.deployment import CallFacts
from mimosaworks.dispatch.demand import ModelDemand
from mimosaworks.dispatch.engine_target import EngineTarget, Step
from mimosaworks.dispatch.job import Job
from mimosaworks.dispatch.paced_jobs import PacedJobs
from mimosaworks.dispatch.swap import (
    ADAPTER_LOAD_S,
    SwapPlanner,
    plan_adapter,
)
from mimosaworks.dispatch.target_limits import until_used_s
from mimosaworks.dispatch.writing_time import WritingTime

PREFILL_TOKENS_PER_S = 38_000.0  # the engines' rate before any measurement
STEP_S = 0.008  # one step of an engine's batch
PACE_WEIGHT = 0.15  # how fast measured times correct the predictions
MIN_PACE = 0.5
MAX_PACE = 8.0
MAX_ERROR = 4.0  # of one measured time, either way
FULL_S = 1.0  # expected wait for memory of a full engine
KV_OVERFLOW_S = 4.0  # cost of a preemption, for a memory of overflow
OTHER_CENTRE_S = 0.006  # two round trips, and bytes between data centres
ORDER_S = 0.01  # an order's own cost
STORE_LOAD_S = 1.0  # a load from the weight store uses a shared rate
# Orders that a load holds up wait for half of it on average.
HELD_UP_SHARE = 0.5
MAX_QUEUED_S = 1.0  # about one load from disk
FAILURE_S = 1.5  # loss when the target fails the request
# Requests go together where they wait little longer for it, so that other
# replicas of their model fall idle and can make way.
IDLE_REPLICA_S = 0.05

Plan = tuple[tuple[Step, ...], float, float]  # orders, ready_s, loss_s


@attrs.frozen
class Option:
    """One way to serve a request.

    queued_s is the time until the target can load, ready_s that until the
    model is loaded, wait_s that to the first event, limit_s that until the
    target's limit has a place for its orders and the request.
    """

    target: EngineTarget
    steps: tuple[Step, ...]
    queued_s: float
    ready_s: float
    wait_s: float
    cost_s: float
    prefill_tokens: int
    limit_s: float = 0

    @property
    def is_early(self) -> bool:
        """Whether its orders would wait long behind others.

        Where they are queued later, a model that is wanted more goes first.
        """
        is_swap = any(step.is_load and not step.adapter for step in self.steps)
        return is_swap and self.queued_s > MAX_QUEUED_S


@attrs.define
class Estimator:
    """Predicts waits, and learns each model's pace from measured ones.

    order_rates counts the orders to each target, paced are the requests
    that wait for places within limits.
    """

    swaps: SwapPlanner
    paced: PacedJobs
    order_rates: ModelDemand = attrs.field(factory=ModelDemand)
    paces: dict[str, float] = attrs.field(factory=dict)
    writing: WritingTime = attrs.field(factory=WritingTime)

    def pace(self, model: str) -> float:
        """Return how slow a model is, against the engines' rate."""
        return self.paces.get(model, 1.0)

    def option(
        self, target: EngineTarget, job: Job, now: float
    ) -> Option | None:
        """Return what it takes to serve a request on a target, or None."""
        plan = self._plan_model(target, job, now)
        if plan is None:
            return None
        steps, ready_s, loss_s = plan
        facts = job.ask.facts
        tokens = _tokens_to_read(target, facts)
        limit_s = self.limit_s(target, job, len(steps), now)
        wait_s = max(ready_s, limit_s, self._busy_s(target, job, now))
        wait_s += self.read_s(target, facts.model, tokens)
        extra_s = loss_s + _penalty_s(target, job, now)
        if not steps and self._is_spare(target, facts.model):
            extra_s += IDLE_REPLICA_S
        rate = self.order_rates.per_s(target.entry.name, now)
        extra_s += sum(_order_cost_s(step, rate) for step in steps)
        return Option(
            target=target,
            steps=steps,
            queued_s=max(target.steps_end_s - now, 0),
            ready_s=ready_s,
            wait_s=wait_s,
            cost_s=wait_s + extra_s,
            prefill_tokens=tokens,
            limit_s=limit_s,
        )

    def limit_s(
        self, target: EngineTarget, job: Job, orders: int, now: float
    ) -> float:
        """Return the wait for places of orders and of the request."""
        name = target.entry.name
        places = self.paced.count_before(name, job) + orders + 1
        return until_used_s(self.paced.limits.wait_s(name, places, now))

    def backlog_s(
        self, target: EngineTarget, tokens: float, now: float
    ) -> float:
        """Return how long tokens take that are read before a new prompt.

        Nodes tell of first events a little later than they come, so that
        the prompts' predicted end bounds the wait as well.
        """
        read_s = tokens / PREFILL_TOKENS_PER_S * target.health.slowness
        return min(read_s, max(target.read_until_s - now, 0))

    def read_s(self, target: EngineTarget, model: str, tokens: int) -> float:
        """Return how long a target reads a prompt of a model."""
        alone_s = tokens / PREFILL_TOKENS_PER_S + STEP_S
        return alone_s * self.pace(model) * target.health.slowness

    def slot_s(self, target: EngineTarget, job: Job) -> float:
        """Return the expected wait for a slot that is taken."""
        before = target.count_before(job) - target.terms.slots + 1
        return max(before, 0) / target.terms.slots * self.writing.mean_s

    def first_s(
        self, target: EngineTarget, job: Job, slot_s: float, now: float
    ) -> float:
        """Return the predicted time to the first event of a booked job.

        slot_s is its wait for a slot.
        """
        others = target.backlog_tokens(job.ask.priority) - job.prefill_tokens
        others_s = self.backlog_s(target, max(others, 0), now)
        model = job.ask.facts.model
        read_s = self.read_s(target, model, job.prefill_tokens)
        return max(others_s, slot_s) + read_s

    def learn(self, target: EngineTarget, job: Job, measured_s: float) -> None:
        """Correct the paces of model and target by a measured wait.

        A wait for a slot tells nothing of either.
        """
        if job.waits_for_slot:
            return
        error = measured_s / max(job.estimate_s, STEP_S)
        error = min(max(error, 1 / MAX_ERROR), MAX_ERROR) ** PACE_WEIGHT
        model = job.ask.facts.model
        self.paces[model] = _bounded(self.pace(model) * error)
        target.health.slowness = _bounded(target.health.slowness * error)

    def _busy_s(self, target: EngineTarget, job: Job, now: float) -> float:
        """Return how long prompts and answers before this one take."""
        before = target.backlog_tokens(job.ask.priority)
        return max(
            self.backlog_s(target, before, now), self.slot_s(target, job)
        )

    def _is_spare(self, target: EngineTarget, model: str) -> bool:
        """Tell whether a replica is idle that is not the only one."""
        loaded = target.models.get(model)
        is_idle = loaded is not None and not loaded.jobs
        return is_idle and self.swaps.copies.get(model, 1) > 1

    def _plan_model(
        self, target: EngineTarget, job: Job, now: float
    ) -> Plan | None:
        facts = job.ask.facts
        queued_s = max(target.steps_end_s - now, 0)
        loaded = target.models.get(facts.model)
        if loaded is None:
            return self._plan_swap(target, job, queued_s, now)
        if not loaded.is_open(now):
            return None
        ready_s = 0 if loaded.is_ready else max(loaded.ready_s - now, 0)
        if not facts.adapter or facts.adapter in loaded.adapters:
            return ((), ready_s, 0)
        steps = plan_adapter(target, loaded, facts.adapter)
        if steps is None:
            return None
        return (steps, max(ready_s, queued_s) + ADAPTER_LOAD_S, 0)

    def _plan_swap(
        self, target: EngineTarget, job: Job, queued_s: float, now: float
    ) -> Plan | None:
        facts = job.ask.facts
        model = target.terms.models.get(facts.model)
        if model is None:
            return None
        swap = self.swaps.plan_model(target, model, now)
        if swap is None:
            return None
        ready_s = queued_s + swap.duration_s
        if not facts.adapter:
            return (swap.steps, ready_s, swap.loss_s)
        if target.adapter_count >= target.terms.adapter_slots:
            return None
        adapter = Step(
            is_load=True,
            model=model.name,
            adapter=facts.adapter,
            duration_s=ADAPTER_LOAD_S,
        )
        steps = (*swap.steps, adapter)
        return (steps, ready_s + ADAPTER_LOAD_S, swap.loss_s)


def _bounded(pace: float) -> float:
    return min(max(pace, MIN_PACE), MAX_PACE)


def _tokens_to_read(target: EngineTarget, facts: CallFacts) -> int:
    cached = target.cache.cached_tokens(facts.model, facts.adapter, facts.parts)
    return max(facts.tokens_in - cached, 1)


def _order_cost_s(step: Step, rate: float) -> float:
    held_up = rate * step.duration_s
    cost_s = ORDER_S + held_up * step.duration_s * HELD_UP_SHARE
    if step.is_from_store:
        cost_s += STORE_LOAD_S
    return cost_s


def _penalty_s(target: EngineTarget, job: Job, now: float) -> float:
    ask = job.ask
    penalty = FAILURE_S * target.health.failures(now)
    if target.entry.data_centre != ask.data_centre:
        penalty += OTHER_CENTRE_S
    needed = ask.facts.tokens_in + ask.facts.expected_out
    overflow = target.kv_tokens + needed - target.terms.kv_tokens
    if overflow > 0:
        penalty += KV_OVERFLOW_S * overflow / target.terms.kv_tokens + FULL_S
    return penalty
