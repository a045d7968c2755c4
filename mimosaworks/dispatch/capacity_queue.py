"""Queues requests whose models no target has memory to load now."""

from collections import Counter
from collections.abc import Callable, Collection, Iterable

import attrs

from mimosaworks.deployment import EngineModel
from mimosaworks.dispatch.event_rates import EventRates
from mimosaworks.dispatch.job import Job

# Wait for targets in use: about the duration of a long answer.
CAPACITY_WAIT_S = 3.0
# Share of a caller's wait for the first event that may be spent in the queue,
# where that is longer.
MAX_WAIT_SHARE = 0.5
# Each check of the queue takes the holder some ms.
CAPACITY_CHECK_INTERVAL_S = 0.02
# Time between two tries to place requests for the same model.
MODEL_RETRY_INTERVAL_S = 0.1
MAX_MODELS_PER_CHECK = 10
# Time to read the prompt once the model is loaded.
PREFILL_S = 0.2
# More than the targets could get memory for within CAPACITY_WAIT_S.
MAX_QUEUED_JOBS = 500
# About how long a model stays loaded.
DEMAND_HORIZON_S = 10.0
# A model with this many requests within DEMAND_HORIZON_S is a busy one.
BUSY_MODEL_REQUESTS = 10.0

# Demand of a busy model (negative), priority, 1 if late, and the time at which
# the request becomes late or expires.
_QueueKey = tuple[float, int, int, float]


@attrs.define(eq=False)
class CapacityQueue:
    """Requests that wait until a target has memory for their models.

    The engine pool adds requests that it would otherwise refuse: what targets
    run and load changes all the time, so that waiting serves a caller sooner
    than a retry. Busy models go first, then the most urgent requests. Of
    these, requests that can still be answered within their target latency go
    before the others, and earlier deadlines before later ones.
    """

    _jobs: dict[str, Job] = attrs.field(factory=dict)
    _last_tried_s: dict[str, float] = attrs.field(factory=dict)
    _last_check_s: float = 0

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return len(self._jobs)

    def add(self, job: Job) -> None:
        """Add a request to the queue."""
        self._jobs[job.assignment_req.call_id] = job

    def discard(self, job: Job) -> None:
        """Remove a request that is assigned, refused or withdrawn."""
        self._jobs.pop(job.assignment_req.call_id, None)

    def jobs_to_retry(
        self,
        request_rates: EventRates,
        loaded_models: Collection[str],
        now: float,
    ) -> list[Job]:
        """Return the queued requests to place again, in the queue's order.

        These are all requests whose model is loaded now or whose time in the
        queue is over, and one request for each other model: a target without
        memory for one has none for the next. loaded_models are the models
        with a replica.
        """
        if now - self._last_check_s < CAPACITY_CHECK_INTERVAL_S:
            return []
        self._last_check_s = now
        ordered_jobs = sorted(
            self._jobs.values(), key=self._make_queue_key(request_rates, now)
        )
        first_job_by_model: dict[str, Job] = {}
        due_jobs: list[Job] = []
        for job in ordered_jobs:
            model = job.assignment_req.profile.model
            if now >= job.capacity_deadline_s:
                due_jobs.append(job)
            elif self._may_retry(model, now):
                first_job_by_model.setdefault(model, job)
                if model in loaded_models:
                    due_jobs.append(job)
        replicated_models = first_job_by_model.keys() & set(loaded_models)
        missing_models = [
            model
            for model in first_job_by_model
            if model not in replicated_models
        ]
        tried_models = missing_models[:MAX_MODELS_PER_CHECK]
        due_jobs.extend(first_job_by_model[model] for model in tried_models)
        self._record_tried((*tried_models, *replicated_models), now)
        return due_jobs

    def can_wait(self, job: Job, model: EngineModel, now: float) -> bool:
        """Return whether a request can queue and still be answered in time."""
        max_wait_s = job.assignment_req.first_event_deadline_s - job.arrived_s
        max_queue_s = max(CAPACITY_WAIT_S, max_wait_s * MAX_WAIT_SHARE)
        job.capacity_deadline_s = min(
            job.arrived_s + max_queue_s,
            job.assignment_req.first_event_deadline_s
            - model.disk_load_s
            - PREFILL_S,
        )
        return (
            now < job.capacity_deadline_s and len(self._jobs) < MAX_QUEUED_JOBS
        )

    def _record_tried(self, models: Iterable[str], now: float) -> None:
        recently_tried_s = {
            model: at_s
            for model, at_s in self._last_tried_s.items()
            if now - at_s < MODEL_RETRY_INTERVAL_S
        }
        self._last_tried_s = recently_tried_s | dict.fromkeys(models, now)

    def _may_retry(self, model: str, now: float) -> bool:
        """Return whether the last try for a model is long enough ago."""
        tried_s = self._last_tried_s.get(model)
        return tried_s is None or now - tried_s >= MODEL_RETRY_INTERVAL_S

    def _make_queue_key(
        self, request_rates: EventRates, now: float
    ) -> Callable[[Job], _QueueKey]:
        queued_counts = Counter(
            job.assignment_req.profile.model for job in self._jobs.values()
        )
        demand = {
            model: request_rates.rate_per_s(model, now) * DEMAND_HORIZON_S
            + count
            for model, count in queued_counts.items()
        }

        def queue_key(job: Job) -> _QueueKey:
            model_demand = demand[job.assignment_req.profile.model]
            busy_demand = (
                model_demand if model_demand >= BUSY_MODEL_REQUESTS else 0
            )
            target_latency_end_s = (
                job.arrived_s + job.assignment_req.latency_target_s
            )
            if target_latency_end_s - now > PREFILL_S:
                return (
                    -busy_demand,
                    job.assignment_req.priority,
                    0,
                    target_latency_end_s,
                )
            return (
                -busy_demand,
                job.assignment_req.priority,
                1,
                job.assignment_req.first_event_deadline_s,
            )

        return queue_key
