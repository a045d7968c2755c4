"""Predicts the latency and cost of serving a request on a target."""

import attrs

from mimosaworks.deployment import RequestProfile
from mimosaworks.dispatch.engine_target import EngineTarget, Step
from mimosaworks.dispatch.event_rates import EventRates
from mimosaworks.dispatch.generation_time import GenerationTimeEstimator
from mimosaworks.dispatch.job import Job
from mimosaworks.dispatch.rate_limit_queue import RateLimitQueue
from mimosaworks.dispatch.swap import (
    ADAPTER_LOAD_DURATION_S,
    SwapPlanner,
    plan_adapter_load,
)
from mimosaworks.dispatch.target_rate_limits import time_to_use_s

# Prefill rate of the engines until their times have been measured.
PREFILL_TOKENS_PER_S = 38_000.0
# Duration of one step of an engine's batch.
BATCH_STEP_S = 0.008
# Exponent of the error factor of one measured time, by which it corrects the
# slowdowns.
SLOWDOWN_EXPONENT = 0.15
MIN_SLOWDOWN = 0.5
MAX_SLOWDOWN = 8.0
# One measured time counts at most as this much longer or shorter.
MAX_ERROR_FACTOR = 4.0
# Expected wait for KV cache memory of an engine whose memory is full.
KV_FULL_PENALTY_S = 1.0
# Cost of preemptions when the overflow is as large as the KV cache.
KV_OVERFLOW_PENALTY_S = 4.0
# Two round trips, and bytes between data centres.
OTHER_CENTRE_PENALTY_S = 0.006
# Cost of an order apart from its duration.
ORDER_COST_S = 0.01
# A load from the weight store uses up a rate that all targets share.
STORE_LOAD_COST_S = 1.0
# Orders that a load delays wait for half of its duration on average.
DELAYED_ORDER_SHARE = 0.5
# About the duration of one load from disk.
MAX_ORDER_QUEUE_S = 1.0
# Time that is lost when the target fails the request.
FAILURE_PENALTY_S = 1.5
# Requests are packed on one replica where that costs them little latency, so
# that other replicas of their model become idle and can be evicted.
IDLE_REPLICA_PENALTY_S = 0.05

# Orders, seconds until the model is ready, and cost of evictions in seconds.
LoadPlan = tuple[tuple[Step, ...], float, float]


@attrs.frozen
class ServingOption:
    """One way to serve a request: a target and the orders that it needs.

    Times are in seconds from now: queue_s until the target can start the
    orders, ready_s until the model is loaded, first_event_s until the first
    event, rate_limit_wait_s until the target's rate limit has permits for the
    orders and the request. cost_s is first_event_s with penalties; the
    selector takes the option with the least.
    """

    target: EngineTarget
    steps: tuple[Step, ...]
    queue_s: float
    ready_s: float
    first_event_s: float
    cost_s: float
    prefill_tokens: int
    rate_limit_wait_s: float = 0

    @property
    def exceeds_queue_limit(self) -> bool:
        """Whether a model load would wait long behind other orders.

        If such a load is queued later, a model with higher demand can go
        first.
        """
        is_model_load = any(
            step.is_load and not step.adapter for step in self.steps
        )
        return is_model_load and self.queue_s > MAX_ORDER_QUEUE_S


@attrs.define
class LatencyEstimator:
    """Predicts latencies, and corrects the predictions by measured ones.

    order_rates are the rates of orders to each target, rate_limit_queue the
    requests that wait for permits within rate limits. slowdowns gives each
    model's measured by expected prefill time.
    """

    swap_planner: SwapPlanner
    rate_limit_queue: RateLimitQueue
    order_rates: EventRates = attrs.field(factory=EventRates)
    slowdowns: dict[str, float] = attrs.field(factory=dict)
    generation_time: GenerationTimeEstimator = attrs.field(
        factory=GenerationTimeEstimator
    )

    def model_slowdown(self, model: str) -> float:
        """Return a model's prefill time relative to the engines' rate."""
        return self.slowdowns.get(model, 1.0)

    def estimate_option(
        self, target: EngineTarget, job: Job, now: float
    ) -> ServingOption | None:
        """Return how a target would serve a request, None if it can't now."""
        plan = self._plan_model(target, job, now)
        if plan is None:
            return None
        steps, ready_s, eviction_cost_s = plan
        profile = job.assignment_req.profile
        prefill_tokens = _uncached_tokens(target, profile)
        rate_limit_wait_s = self.rate_limit_wait_s(target, job, len(steps), now)
        first_event_s = max(
            ready_s, rate_limit_wait_s, self._contention_s(target, job, now)
        )
        first_event_s += self.prefill_s(target, profile.model, prefill_tokens)
        extra_s = eviction_cost_s + _penalty_s(target, job, now)
        if not steps and self._has_idle_extra_replica(target, profile.model):
            extra_s += IDLE_REPLICA_PENALTY_S
        orders_per_s = self.order_rates.rate_per_s(target.entry.name, now)
        extra_s += sum(_order_cost_s(step, orders_per_s) for step in steps)
        return ServingOption(
            target=target,
            steps=steps,
            queue_s=max(target.steps_end_s - now, 0),
            ready_s=ready_s,
            first_event_s=first_event_s,
            cost_s=first_event_s + extra_s,
            prefill_tokens=prefill_tokens,
            rate_limit_wait_s=rate_limit_wait_s,
        )

    def rate_limit_wait_s(
        self, target: EngineTarget, job: Job, order_count: int, now: float
    ) -> float:
        """Return the wait for permits for the orders and the request.

        A brittle target begins to answer earlier requests first.
        """
        name = target.entry.name
        queue = self.rate_limit_queue
        ahead = queue.count_ahead(name, job)
        permit_wait_s = queue.limits.permit_wait_s(
            name, ahead + order_count + 1, now
        )
        return max(
            time_to_use_s(permit_wait_s), queue.begin_wait_s(name, ahead)
        )

    def prefill_backlog_s(
        self, target: EngineTarget, tokens: float, now: float
    ) -> float:
        """Return how long the prefill of tokens before a new prompt takes.

        Nodes report first events a little later than they come, so that the
        predicted end of the granted prompts bounds the wait as well.
        """
        prefill_s = tokens / PREFILL_TOKENS_PER_S * target.health.slowdown
        return min(prefill_s, max(target.prefill_end_s - now, 0))

    def prefill_s(self, target: EngineTarget, model: str, tokens: int) -> float:
        """Return the prefill time of a prompt on a target in seconds."""
        unloaded_s = tokens / PREFILL_TOKENS_PER_S + BATCH_STEP_S
        return unloaded_s * self.model_slowdown(model) * target.health.slowdown

    def slot_wait_s(self, target: EngineTarget, job: Job) -> float:
        """Return the expected wait until a slot is free for a request."""
        excess_jobs = (
            target.count_jobs_before(job) - target.engine_cfg.slots + 1
        )
        return (
            max(excess_jobs, 0)
            / target.engine_cfg.slots
            * self.generation_time.mean_s
        )

    def estimate_first_event_s(
        self, target: EngineTarget, job: Job, slot_wait_s: float, now: float
    ) -> float:
        """Return the predicted time to the first event of an assigned job.

        slot_wait_s is its expected wait for a slot.
        """
        backlog_tokens = (
            target.prefill_backlog_tokens(job.assignment_req.priority)
            - job.prefill_tokens
        )
        backlog_s = self.prefill_backlog_s(target, max(backlog_tokens, 0), now)
        model = job.assignment_req.profile.model
        prefill_s = self.prefill_s(target, model, job.prefill_tokens)
        return max(backlog_s, slot_wait_s) + prefill_s

    def record_first_event_time(
        self, target: EngineTarget, job: Job, measured_s: float
    ) -> None:
        """Correct the slowdowns of model and target by a measured time.

        A time that includes a wait for a slot says nothing about either.
        """
        if job.waits_for_slot:
            return
        error_factor = measured_s / max(
            job.estimated_first_event_s, BATCH_STEP_S
        )
        error_factor = (
            min(max(error_factor, 1 / MAX_ERROR_FACTOR), MAX_ERROR_FACTOR)
            ** SLOWDOWN_EXPONENT
        )
        model = job.assignment_req.profile.model
        self.slowdowns[model] = _clamp_slowdown(
            self.model_slowdown(model) * error_factor
        )
        target.health.slowdown = _clamp_slowdown(
            target.health.slowdown * error_factor
        )

    def _contention_s(
        self, target: EngineTarget, job: Job, now: float
    ) -> float:
        """Return the wait for earlier prompts and for a free slot."""
        backlog_tokens = target.prefill_backlog_tokens(
            job.assignment_req.priority
        )
        return max(
            self.prefill_backlog_s(target, backlog_tokens, now),
            self.slot_wait_s(target, job),
        )

    def _has_idle_extra_replica(self, target: EngineTarget, model: str) -> bool:
        """Return whether the replica here is idle and not the only one."""
        loaded = target.models.get(model)
        is_idle = loaded is not None and not loaded.job_count
        return is_idle and self.swap_planner.replica_counts.get(model, 1) > 1

    def _plan_model(
        self, target: EngineTarget, job: Job, now: float
    ) -> LoadPlan | None:
        profile = job.assignment_req.profile
        queue_s = max(target.steps_end_s - now, 0)
        loaded = target.models.get(profile.model)
        if loaded is None:
            return self._plan_load(target, job, queue_s, now)
        if not loaded.accepts_requests(now):
            return None
        ready_s = 0 if loaded.is_ready else max(loaded.ready_s - now, 0)
        if not profile.adapter or profile.adapter in loaded.adapters:
            return ((), ready_s, 0)
        steps = plan_adapter_load(target, loaded, profile.adapter)
        if steps is None:
            return None
        return (steps, max(ready_s, queue_s) + ADAPTER_LOAD_DURATION_S, 0)

    def _plan_load(
        self, target: EngineTarget, job: Job, queue_s: float, now: float
    ) -> LoadPlan | None:
        profile = job.assignment_req.profile
        model = target.engine_cfg.models.get(profile.model)
        if model is None:
            return None
        swap = self.swap_planner.plan_load(target, model, now)
        if swap is None:
            return None
        ready_s = queue_s + swap.duration_s
        if not profile.adapter:
            return (swap.steps, ready_s, swap.eviction_cost_s)
        if target.adapter_count >= target.engine_cfg.adapter_slots:
            return None
        adapter_step = Step(
            is_load=True,
            model=model.name,
            adapter=profile.adapter,
            duration_s=ADAPTER_LOAD_DURATION_S,
        )
        steps = (*swap.steps, adapter_step)
        return (steps, ready_s + ADAPTER_LOAD_DURATION_S, swap.eviction_cost_s)


def _clamp_slowdown(slowdown: float) -> float:
    return min(max(slowdown, MIN_SLOWDOWN), MAX_SLOWDOWN)


def _uncached_tokens(target: EngineTarget, profile: RequestProfile) -> int:
    cached_tokens = target.cache.count_cached_tokens(
        profile.model, profile.adapter, profile.parts
    )
    return max(profile.tokens_in - cached_tokens, 1)


def _order_cost_s(step: Step, orders_per_s: float) -> float:
    delayed_orders = orders_per_s * step.duration_s
    cost_s = (
        ORDER_COST_S + delayed_orders * step.duration_s * DELAYED_ORDER_SHARE
    )
    if step.is_from_store:
        cost_s += STORE_LOAD_COST_S
    return cost_s


def _penalty_s(target: EngineTarget, job: Job, now: float) -> float:
    req = job.assignment_req
    penalty_s = FAILURE_PENALTY_S * target.health.failure_rate(now)
    if target.entry.data_centre != req.data_centre:
        penalty_s += OTHER_CENTRE_PENALTY_S
    needed_tokens = req.profile.tokens_in + req.profile.expected_tokens_out
    overflow_tokens = (
        target.kv_tokens + needed_tokens - target.engine_cfg.kv_tokens
    )
    if overflow_tokens > 0:
        penalty_s += (
            KV_OVERFLOW_PENALTY_S
            * overflow_tokens
            / target.engine_cfg.kv_tokens
            + KV_FULL_PENALTY_S
        )
    return penalty_s
