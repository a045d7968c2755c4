"""Chooses the cheapest way to serve a model request, or refuses it."""

from collections.abc import Iterable, Mapping

import attrs

from mimosaworks.deployment import TargetState
from mimosaworks.dispatch.capacity_queue import CapacityQueue
from mimosaworks.dispatch.engine_target import EngineTarget
from mimosaworks.dispatch.job import Job, Refusal
from mimosaworks.dispatch.latency_estimator import (
    LatencyEstimator,
    ServingOption,
)
from mimosaworks.dispatch.load_time import min_ready_s, needs_store_load
from mimosaworks.dispatch.requested_models import RequestedModels
from mimosaworks.dispatch.store_load_scheduler import StoreLoadScheduler
from mimosaworks.errors import ErrorKind

MIN_RETRY_S = 0.3
MAX_RETRY_S = 3.0
NO_TARGET_RETRY_S = 1.0
# Share of the expected generation time that has to fit the deadline: many
# answers are shorter than expected.
SHORT_ANSWER_SHARE = 0.5


@attrs.define(eq=False)
class TargetSelector:
    """Compares the targets of one service for a request.

    The engine pool uses it for each request and updates targets and
    replica_counts, the number of replicas of each model. refused_models are
    the models with copies on a target that requests were refused for.
    """

    targets: Mapping[str, EngineTarget]
    replica_counts: Mapping[str, int]
    estimator: LatencyEstimator
    store_loads: StoreLoadScheduler
    refused_models: RequestedModels
    capacity_queue: CapacityQueue

    def usable_targets(self, job: Job, now: float) -> list[EngineTarget]:
        """Return the targets that a request may be sent to."""
        rejection_limits = self.estimator.rate_limit_queue.rejection_limits
        return [
            target
            for target in self.targets.values()
            if _is_usable(target, job, now)
            and not rejection_limits.is_full(target.entry.name, now)
        ]

    def cheapest_option(
        self, usable_targets: Iterable[EngineTarget], job: Job, now: float
    ) -> ServingOption | None:
        """Return the cheapest way to serve a request now, or None.

        Targets that cannot be cheaper than the best one so far are skipped.
        """
        model = self.store_loads.engine_cfg.models.get(
            job.assignment_req.profile.model
        )
        if model is None:
            return None
        bounded_targets = [
            (min_ready_s(target, model, now), position, target)
            for position, target in enumerate(usable_targets)
        ]
        best: ServingOption | None = None
        for lower_bound_s, _, target in sorted(bounded_targets):
            if best is not None and best.cost_s <= lower_bound_s:
                break
            best = _cheaper_option(
                best, self._permitted_option(target, job, now)
            )
        return best

    def choose_option(self, job: Job, now: float) -> ServingOption | Refusal:
        """Return the cheapest way to serve a request in time, or a refusal."""
        usable_targets = self.usable_targets(job, now)
        if not usable_targets:
            return Refusal(
                ErrorKind.NO_TARGET, NO_TARGET_RETRY_S, 'no target in service'
            )
        best = self.cheapest_option(usable_targets, job, now)
        if best is None or self.store_loads.is_outranked(best.steps, now):
            return Refusal(
                ErrorKind.MODEL_NOT_READY,
                self._record_refused_model(job, now) or NO_TARGET_RETRY_S,
                _no_capacity_reason(usable_targets, job),
            )
        if not self._meets_deadlines(best, job, now):
            self._record_refused_model(job, now)
            return self._deadline_refusal(best, job, now)
        if best.exceeds_queue_limit:
            return Refusal(
                ErrorKind.MODEL_NOT_READY,
                _clamp_retry_s(best.ready_s),
                f'queued orders take {best.queue_s:.2f} s before its load',
            )
        return best

    def may_queue(self, job: Job, refusal: Refusal, now: float) -> bool:
        """Return whether a refused job may wait for memory of a target."""
        model = self.store_loads.engine_cfg.models.get(
            job.assignment_req.profile.model
        )
        if model is None or refusal.kind is not ErrorKind.MODEL_NOT_READY:
            return False
        has_local_copy = any(
            model.name not in target.models
            and not needs_store_load(target, model)
            for target in self.usable_targets(job, now)
            if target.has_local_copy(model.name)
        )
        return has_local_copy and self.capacity_queue.can_wait(job, model, now)

    def _permitted_option(
        self, target: EngineTarget, job: Job, now: float
    ) -> ServingOption | None:
        option = self.estimator.estimate_option(target, job, now)
        if option is None or not self.store_loads.can_start_load(
            target, option.steps, now
        ):
            return None
        return option

    def _meets_deadlines(
        self, best: ServingOption, job: Job, now: float
    ) -> bool:
        """Return whether first event and complete answer may be in time."""
        generation_s = (
            self.estimator.generation_time.expected_generation_s(job)
            * SHORT_ANSWER_SHARE
        )
        remaining_s = (
            min(
                job.assignment_req.first_event_deadline_s,
                job.assignment_req.deadline_s - generation_s,
            )
            - now
        )
        return best.first_event_s < remaining_s

    def _record_refused_model(self, job: Job, now: float) -> float | None:
        """Record the model of a refused request, to be loaded later.

        Returns the seconds until it could be loaded from the weight store,
        None unless it is a known model that is on no target.
        """
        model = job.assignment_req.profile.model
        if (
            model not in self.replica_counts
            and self.store_loads.count_targets_with_model(model, now)
        ):
            self.refused_models.record_refusal(job, now, would_wait=True)
        return self.store_loads.record_refusal(job, now)

    def _deadline_refusal(
        self, best: ServingOption, job: Job, now: float
    ) -> Refusal:
        remaining_s = (
            min(
                job.assignment_req.first_event_deadline_s,
                job.assignment_req.deadline_s,
            )
            - now
        )
        reason = (
            f'predicted {best.first_event_s:.2f} s to the first event, '
            f'{remaining_s:.2f} s left'
        )
        limits = self.estimator.rate_limit_queue.limits
        name = best.target.entry.name
        if (
            not limits.is_limited(name)
            or best.rate_limit_wait_s < best.first_event_s / 2
        ):
            return Refusal(
                ErrorKind.DEADLINE_UNREACHABLE,
                _clamp_retry_s(self._retry_after_s(best, job)),
                reason,
            )
        retry_s = limits.schedule_retry(name, best.rate_limit_wait_s, now)
        return Refusal(
            ErrorKind.DEADLINE_UNREACHABLE,
            max(retry_s, MIN_RETRY_S),
            '; '.join((
                reason,
                limits.describe_wait(name, best.rate_limit_wait_s),
            )),
            is_rate_limited=True,
        )

    def _retry_after_s(self, best: ServingOption, job: Job) -> float:
        """Return when a refused caller can be served after earlier ones."""
        returning_callers = self.refused_models.count_returning_callers(
            job.assignment_req.profile.model
        )
        slots = max(self.store_loads.engine_cfg.slots, 1)
        extra_wait_s = (
            returning_callers * self.estimator.generation_time.mean_s / slots
        )
        return best.ready_s + extra_wait_s


def _is_usable(target: EngineTarget, job: Job, now: float) -> bool:
    return (
        target.entry.state is TargetState.READY
        and target.entry.name not in job.assignment_req.excluded
        and target.runs_version(job.assignment_req.software_version)
        and not target.health.is_down(now, job.assignment_req.direct_node)
    )


def _no_capacity_reason(usable_targets: list[EngineTarget], job: Job) -> str:
    model = job.assignment_req.profile.model
    copy_count = sum(target.has_local_copy(model) for target in usable_targets)
    return (
        f'none of {len(usable_targets)} targets can load the model now, '
        f'{copy_count} have a copy of its weights'
    )


def _cheaper_option(
    best: ServingOption | None, other: ServingOption | None
) -> ServingOption | None:
    if best is None or other is None:
        return best or other
    return other if other.cost_s < best.cost_s else best


def _clamp_retry_s(retry_s: float) -> float:
    return min(max(retry_s, MIN_RETRY_S), MAX_RETRY_S)
