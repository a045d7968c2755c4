"""Predicts when a target would answer a request."""

import attrs

from mimosaworks.deployment import CallFacts
from mimosaworks.dispatch.demand import ModelDemand
from mimosaworks.dispatch.engine_target import EngineTarget, Step
from mimosaworks.dispatch.job import Job
from mimosaworks.dispatch.swap import (
    ADAPTER_LOAD_S,
    SwapPlanner,
    plan_adapter,
)

PREFILL_TOKENS_PER_S = 38_000.0  # the engines' rate before any measurement
STEP_S = 0.008  # one step of an engine's batch
PACE_WEIGHT = 0.15  # how fast measured times correct the predictions
MAX_PACE = 8.0
FULL_S = 1.0  # expected wait for a slot of a full engine
KV_OVERFLOW_S = 4.0  # cost of a preemption, for a memory of overflow
OTHER_CENTRE_S = 0.006  # two round trips, and bytes between data centres
ORDER_S = 0.01  # an order's own cost
STORE_LOAD_S = 1.0  # a load from the weight store uses a shared rate
# Orders that a load holds up wait for half of it on average.
HELD_UP_SHARE = 0.5
FAILURE_S = 1.5  # loss when the target fails the request

Plan = tuple[tuple[Step, ...], float, float]  # orders, ready_s, loss_s


@attrs.frozen
class Option:
    """One way to serve a request.

    ready_s is the time until its model is loaded, wait_s the time to its
    first event.
    """

    target: EngineTarget
    steps: tuple[Step, ...]
    ready_s: float
    wait_s: float
    cost_s: float
    prefill_tokens: int


@attrs.define
class Estimator:
    """Predicts waits, and learns each model's pace from measured ones.

    order_rates counts the orders to each target.
    """

    swaps: SwapPlanner
    order_rates: ModelDemand = attrs.field(factory=ModelDemand)
    paces: dict[str, float] = attrs.field(factory=dict)

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
        before = target.backlog_tokens(job.ask.priority)
        wait_s = max(ready_s, self.backlog_s(target, before, now))
        wait_s += self.read_s(target, facts.model, tokens)
        extra_s = loss_s + _penalty_s(target, job, now)
        rate = self.order_rates.per_s(target.entry.name, now)
        extra_s += sum(_order_cost_s(step, rate) for step in steps)
        return Option(target, steps, ready_s, wait_s, wait_s + extra_s, tokens)

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

    def first_s(self, target: EngineTarget, job: Job, now: float) -> float:
        """Return the predicted time to the first event of a booked job."""
        others = target.backlog_tokens(job.ask.priority) - job.prefill_tokens
        others_s = self.backlog_s(target, max(others, 0), now)
        model = job.ask.facts.model
        return others_s + self.read_s(target, model, job.prefill_tokens)

    def write_s(self, job: Job) -> float:
        """Return how long an engine generates the rest of an answer."""
        facts = job.ask.facts
        return facts.expected_out * STEP_S * self.pace(facts.model)

    def learn(self, target: EngineTarget, job: Job, measured_s: float) -> None:
        """Correct the paces of model and target by a measured wait."""
        error = measured_s / max(job.estimate_s, STEP_S)
        model = job.ask.facts.model
        pace = self.pace(model) * error**PACE_WEIGHT
        self.paces[model] = min(max(pace, 1 / MAX_PACE), MAX_PACE)
        slowness = target.health.slowness * error**PACE_WEIGHT
        target.health.slowness = min(max(slowness, 1 / 2), MAX_PACE)

    def _plan_model(
        self, target: EngineTarget, job: Job, now: float
    ) -> Plan | None:
        facts = job.ask.facts
        queued_s = max(target.steps_end_s - now, 0)
        loaded = target.models.get(facts.model)
        if loaded is None:
            return self._plan_swap(target, job, queued_s, now)
        if loaded.is_leaving:
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
    if len(target.jobs) >= target.terms.slots:
        penalty += FULL_S
    needed = ask.facts.tokens_in + ask.facts.expected_out
    overflow = target.kv_tokens + needed - target.terms.kv_tokens
    if overflow > 0:
        penalty += KV_OVERFLOW_S * overflow / target.terms.kv_tokens + FULL_S
    return penalty
