"""Assigns model requests to targets and queues the loads that they need."""

from collections.abc import Iterable

import attrs

from mimosaworks.deployment import EngineConfig, TargetEntry, TargetState
from mimosaworks.dispatch.capacity_queue import CapacityQueue
from mimosaworks.dispatch.engine_target import EngineTarget, Step
from mimosaworks.dispatch.event_rates import EventRates
from mimosaworks.dispatch.job import Assignment, Job, Refusal
from mimosaworks.dispatch.late_jobs import (
    collect_overdue_jobs,
    find_jobs_of_superseded_loads,
)
from mimosaworks.dispatch.latency_estimator import LatencyEstimator
from mimosaworks.dispatch.prefix_cache import PrefixCache
from mimosaworks.dispatch.rate_limit_queue import RateLimitQueue
from mimosaworks.dispatch.reconcile import apply_entry
from mimosaworks.dispatch.rejection_limits import RejectionLimits
from mimosaworks.dispatch.requested_models import RequestedModels
from mimosaworks.dispatch.store_load_scheduler import StoreLoadScheduler
from mimosaworks.dispatch.swap import SwapPlanner, count_replicas
from mimosaworks.dispatch.target_rate_limits import TargetRateLimits
from mimosaworks.dispatch.target_selector import TargetSelector
from mimosaworks.dispatch.target_updates import (
    apply_finished_step,
    apply_queued_step,
    clear_crashed_target,
    discard_failed_steps,
    find_stranded_jobs,
    find_waiting_jobs,
)

# Interval of the checks for loads that take longer than predicted.
OVERDUE_CHECK_INTERVAL_S = 0.02
# Engines accept priorities 0 to 9; 0 is the most urgent.
LOWEST_PRIORITY = 9


@attrs.define(eq=False)
class EnginePool:
    """The targets of one service with engines, and the requests for them.

    The dispatcher has one pool for each such service. refused_models are the
    models with weights on some target that requests were refused for,
    store_loads schedules the loads from the weight store. _superseded_jobs
    are requests that wait for a model on one target while another target has
    finished loading it, rate_limit_queue those that wait for a permit within
    their target's rate limit, or for a brittle target to begin others.
    """

    engine_cfg: EngineConfig
    rate_limits: TargetRateLimits = attrs.field(factory=TargetRateLimits)
    rejection_limits: RejectionLimits = attrs.field(factory=RejectionLimits)
    targets: dict[str, EngineTarget] = attrs.field(factory=dict)
    request_rates: EventRates = attrs.field(factory=EventRates)
    replica_counts: dict[str, int] = attrs.field(factory=dict)
    capacity_queue: CapacityQueue = attrs.field(factory=CapacityQueue)
    _superseded_jobs: list[Job] = attrs.field(factory=list)
    _last_overdue_check_s: float = 0
    refused_models: RequestedModels = attrs.field(init=False)
    store_loads: StoreLoadScheduler = attrs.field(init=False)
    rate_limit_queue: RateLimitQueue = attrs.field(init=False)
    estimator: LatencyEstimator = attrs.field(init=False)
    selector: TargetSelector = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.store_loads = StoreLoadScheduler(
            self.engine_cfg, self.targets, self.request_rates
        )
        self.refused_models = RequestedModels(self.request_rates)
        self.rate_limit_queue = RateLimitQueue(
            self.rate_limits, self.rejection_limits, self.targets
        )
        swap_planner = SwapPlanner(
            self.request_rates,
            self.replica_counts,
            self.store_loads.count_targets_with_model,
        )
        self.estimator = LatencyEstimator(swap_planner, self.rate_limit_queue)
        self.selector = TargetSelector(
            targets=self.targets,
            replica_counts=self.replica_counts,
            estimator=self.estimator,
            store_loads=self.store_loads,
            refused_models=self.refused_models,
            capacity_queue=self.capacity_queue,
        )

    def update_config(self, engine_cfg: EngineConfig) -> None:
        """Apply the limits and models of a new deployment version."""
        self.engine_cfg = engine_cfg
        self.store_loads.engine_cfg = engine_cfg
        self.store_loads.budget.loads_per_s = engine_cfg.loads_per_s
        for target in self.targets.values():
            target.engine_cfg = engine_cfg

    def contains_target(self, target: EngineTarget) -> bool:
        """Return whether a target is still the one registered by its name."""
        return self.targets.get(target.entry.name) is target

    def submit(self, job: Job, now: float) -> Assignment | Refusal | None:
        """Choose a target; None while the request waits for model or permit."""
        if not job.assignment_req.resends and not job.is_demand_recorded:
            job.is_demand_recorded = True
            self.request_rates.record(job.assignment_req.profile.model, now)
            self.store_loads.last_request_s = now
        option = self.selector.choose_option(job, now)
        if isinstance(option, Refusal):
            if not self.selector.may_queue(job, option, now):
                return option
            self.capacity_queue.add(job)
            return None
        target = option.target
        self.enqueue_steps(target, option.steps, now)
        target.add_job(job, now)
        job.expected_ready_s = now + max(
            option.ready_s, option.rate_limit_wait_s
        )
        if self.rate_limits.is_limited(target.entry.name):
            job.permit_wait_s = option.rate_limit_wait_s
        job.prefill_tokens = option.prefill_tokens
        if target.is_ready_for(job) and self.rate_limit_queue.admit_or_queue(
            job, now
        ):
            return self.grant(job, now)
        return None

    def grant_waiting_jobs(self, now: float) -> list[tuple[Job, Assignment]]:
        """Grant waiting requests for which rate limits have permits now."""
        if not self.rate_limit_queue:
            return []
        admitted_jobs = self.rate_limit_queue.pop_admitted(now)
        return [(job, self.grant(job, now)) for job in admitted_jobs]

    def grant(self, job: Job, now: float) -> Assignment:
        """Grant a request whose model is loaded; return its assignment."""
        target = self.targets[job.target]
        profile = job.assignment_req.profile
        job.is_granted = True
        job.granted_s = now
        slot_wait_s = self.estimator.slot_wait_s(target, job)
        job.waits_for_slot = slot_wait_s > 0
        job.estimated_first_event_s = self.estimator.estimate_first_event_s(
            target, job, slot_wait_s, now
        )
        prefill_end_s = now + job.estimated_first_event_s
        target.prefill_end_s = max(target.prefill_end_s, prefill_end_s)
        target.cache.record_prompt(
            profile.model, profile.adapter, profile.parts
        )
        return Assignment(
            target=target.entry.name,
            address=target.entry.address,
            priority=min(max(job.assignment_req.priority, 0), LOWEST_PRIORITY),
            reason=_assignment_reason(
                job, self.estimator.generation_time.expected_generation_s(job)
            ),
            granted_s=now,
            has_permit=self.rate_limits.is_limited(target.entry.name),
            incarnation=target.entry.incarnation,
            software_version=target.software_version,
        )

    def collect_jobs_to_reassign(self, now: float) -> list[Job]:
        """Return waiting requests for which a target has to be chosen again.

        These are requests that are due in the capacity queue, superseded
        ones, those that more urgent requests delay beyond their deadline,
        and those whose orders take longer than predicted. The last are not
        assigned to the same target again.
        """
        reassigned_jobs = self.capacity_queue.jobs_to_retry(
            self.request_rates, self.replica_counts, now
        )
        reassigned_jobs.extend(
            job for job in self._superseded_jobs if not job.is_granted
        )
        self._superseded_jobs.clear()
        if now - self._last_overdue_check_s >= OVERDUE_CHECK_INTERVAL_S:
            self._last_overdue_check_s = now
            reassigned_jobs.extend(self.rate_limit_queue.find_late_jobs(now))
            for target in self.targets.values():
                reassigned_jobs.extend(collect_overdue_jobs(target, now))
        return list(dict.fromkeys(reassigned_jobs))

    def remove_job(self, job: Job) -> None:
        """Remove a request that ended or was withdrawn."""
        self.capacity_queue.discard(job)
        self.rate_limit_queue.remove(job)
        target = self.targets.get(job.target)
        if target is not None:
            target.remove_job(job)

    def record_first_event(self, job: Job, first_event_s: float) -> None:
        """Record that a request's first event came so long after its send."""
        job.is_started = True
        job.first_event_s = first_event_s
        self.rate_limit_queue.record_begin(first_event_s)
        target = self.targets.get(job.target)
        if target is not None and job.estimated_first_event_s:
            self.estimator.record_first_event_time(target, job, first_event_s)

    def record_complete_answer(self, job: Job, duration_s: float) -> None:
        """Record that an answer was complete duration_s after its send."""
        if job.is_started:
            self.estimator.generation_time.record_answer(
                job, duration_s - job.first_event_s
            )

    def apply_entries(
        self, entries: Iterable[TargetEntry], now: float
    ) -> list[Job]:
        """Apply the targets' entries; return requests to assign again."""
        displaced_jobs: list[Job] = []
        entries_by_name = {entry.name: entry for entry in entries}
        for name in self.targets.keys() - entries_by_name.keys():
            removed_target = self.targets.pop(name)
            if removed_target.entry.state is TargetState.READY:
                self.store_loads.record_vanished_target(removed_target, now)
            displaced_jobs.extend(clear_crashed_target(removed_target))
            self.store_loads.concurrency.cancel_load(name)
        for entry in entries_by_name.values():
            target = self.targets.get(entry.name)
            if (
                target is not None
                and target.entry.incarnation != entry.incarnation
            ):
                displaced_jobs.extend(clear_crashed_target(target))
                self.store_loads.concurrency.cancel_load(entry.name)
                target = None
            if target is None:
                self.store_loads.last_target_added_s = now
                cache = PrefixCache(self.engine_cfg.kv_tokens)
                target = EngineTarget(entry, self.engine_cfg, cache)
                self.targets[entry.name] = target
            apply_entry(target, entry, now)
            if entry.state is not TargetState.READY:
                displaced_jobs.extend(find_waiting_jobs(target))
        self._update_replica_counts()
        return displaced_jobs

    def record_finished_step(
        self, target: EngineTarget, step: Step, now: float
    ) -> list[Job]:
        """Record that an order was carried out; return requests to grant."""
        apply_finished_step(target, step, now)
        if step.is_from_store:
            self.store_loads.complete_load(target, step, now)
        self._update_replica_counts()
        if step.is_load and not step.adapter:
            self._superseded_jobs.extend(
                find_jobs_of_superseded_loads(self.targets.values(), step.model)
            )
        ready_jobs = [
            job for job in find_waiting_jobs(target) if target.is_ready_for(job)
        ]
        return [
            job
            for job in ready_jobs
            if self.rate_limit_queue.admit_or_queue(job, now)
        ]

    def record_failed_step(
        self, target: EngineTarget, step: Step, now: float
    ) -> list[Job]:
        """Drop all orders of a target; return requests without a model."""
        discard_failed_steps(target, step, now)
        self.store_loads.concurrency.cancel_load(target.entry.name)
        self._update_replica_counts()
        return find_stranded_jobs(target)

    def enqueue_steps(
        self, target: EngineTarget, steps: tuple[Step, ...], now: float
    ) -> None:
        """Queue orders at a target and predict when they end."""
        end_s = max(target.steps_end_s, now)
        for step in steps:
            end_s += step.duration_s
            target.steps.append(step)
            self.estimator.order_rates.record(target.entry.name, now)
            if step.is_from_store:
                self.store_loads.reserve_load(target, now)
            apply_queued_step(target, step, end_s, now)
        target.steps_end_s = end_s
        self._update_replica_counts()

    def _update_replica_counts(self) -> None:
        self.replica_counts.clear()
        self.replica_counts.update(count_replicas(self.targets.values()))


def _assignment_reason(job: Job, generation_s: float) -> str:
    first_event_s = job.estimated_first_event_s
    return (
        f'predicted {first_event_s:.3f} s to the first event, '
        f'{generation_s:.2f} s more'
    )
