"""Decides which weights are loaded from the weight store, and when."""

from collections import Counter
from collections.abc import Iterable

import attrs

from mimosaworks.deployment import EngineConfig, EngineModel
from mimosaworks.dispatch.concurrency_limiter import ConcurrencyLimiter
from mimosaworks.dispatch.engine_target import EngineTarget, Step
from mimosaworks.dispatch.event_rates import EventRates
from mimosaworks.dispatch.job import Job
from mimosaworks.dispatch.requested_models import RequestedModels
from mimosaworks.placement.budget import LoadBudget

# One in this many targets may load from the weight store: for seconds, the
# load keeps the target from loading anything else.
TARGETS_PER_STORE_LOAD = 4
# The same while no requests come.
IDLE_TARGETS_PER_STORE_LOAD = 2
# Time without a request: a few usual gaps between requests.
IDLE_AFTER_S = 2.0
# Time without a new target: longer than a heartbeat interval.
REGISTRATION_SETTLE_S = 1.5
# A crashed target has mostly returned this long after its entry expired.
CRASHED_TARGET_RETURN_S = 2.0
# Time until a report shows that a load has ended.
LOAD_REPORT_DELAY_S = 0.25
# The retry delay is also bounded by the time that the caller has left.
MAX_LOAD_RETRY_S = 10.0


@attrs.define(eq=False)
class StoreLoadScheduler:
    """Schedules the loads from the weight store for one engine pool.

    It keeps to the store's rate and to the limit on concurrent loads, and
    records which models requests were refused for. targets are all targets of
    the service by name. last_request_s is when a request came last,
    last_target_added_s when a target registered last. _expected_return_s
    gives until when the models of crashed targets are expected back.
    _local_counts are the numbers of targets that had each model loaded or
    copied at _local_counts_time_s.
    """

    engine_cfg: EngineConfig
    targets: dict[str, EngineTarget]
    request_rates: EventRates
    concurrency: ConcurrencyLimiter = attrs.field(factory=ConcurrencyLimiter)
    last_request_s: float | None = None
    last_target_added_s: float = 0
    _expected_return_s: dict[str, float] = attrs.field(factory=dict)
    _local_counts_time_s: float | None = None
    _local_counts: Counter[str] = attrs.field(factory=Counter)
    budget: LoadBudget = attrs.field(init=False)
    requested_models: RequestedModels = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.budget = LoadBudget(self.engine_cfg.loads_per_s)
        self.requested_models = RequestedModels(self.request_rates)

    def can_start_load(
        self, target: EngineTarget, steps: Iterable[Step], now: float
    ) -> bool:
        """Return whether the weight store has capacity for these orders.

        The last concurrent load is reserved for models that are on no target.
        """
        model = _find_store_load(steps)
        if not model:
            return True
        if self.concurrency.is_loading(target.entry.name):
            return False
        loads = 1 if self.is_absent(model, now) else 2
        max_loads = max(len(self.targets) // self._targets_per_load(now), 1)
        return self.concurrency.has_capacity(
            max_loads, loads
        ) and self.budget.has_room(now)

    def reserve_load(self, target: EngineTarget, now: float) -> None:
        """Record that a load was queued, and acquire its token."""
        self._local_counts_time_s = None
        self.concurrency.reserve_load(target.entry.name, now)
        self.budget.try_take(now)

    def record_load_sent(
        self, target: EngineTarget, step: Step, now: float
    ) -> None:
        """Record that the order of a load is sent, and predict its end."""
        name = target.entry.name
        self.concurrency.record_load_start(name, now)
        unshared_s = self.engine_cfg.models[step.model].store_load_s
        end_s = (
            now
            + self.concurrency.expected_shared_load_s(name, unshared_s)
            + LOAD_REPORT_DELAY_S
        )
        loaded = target.models.get(step.model)
        if loaded is not None:
            loaded.ready_s = end_s
        target.predict_steps_end(end_s)

    def complete_load(
        self, target: EngineTarget, step: Step, now: float
    ) -> None:
        """Record that a load from the weight store was carried out."""
        unshared_s = self.engine_cfg.models[step.model].store_load_s
        self.concurrency.complete_load(target.entry.name, unshared_s, now)
        for job in target.jobs.values():
            # An adapter that was queued after the load starts to load now.
            job.expected_ready_s = max(job.expected_ready_s, now)

    def is_idle(self, now: float) -> bool:
        """Return whether no requests have come for IDLE_AFTER_S."""
        if self.last_request_s is None:
            self.last_request_s = now
        return now - self.last_request_s > IDLE_AFTER_S

    def has_all_targets(self, now: float) -> bool:
        """Return whether all running targets should have registered by now.

        A new holder may know only some of them, and weights that seem to be
        on no target may be on the others.
        """
        return now - self.last_target_added_s > REGISTRATION_SETTLE_S

    def record_vanished_target(self, target: EngineTarget, now: float) -> None:
        """Record that a target is gone that had not announced its leaving."""
        self._local_counts_time_s = None
        self._expected_return_s.update(
            dict.fromkeys(target.local_models(), now + CRASHED_TARGET_RETURN_S)
        )

    def is_absent(self, model: str, now: float) -> bool:
        """Return whether no target has a model loaded or a copy of it.

        Targets that crashed lately count as well: they are expected back.
        """
        if self._expected_return_s.get(model, now) > now:
            return False
        return not self.count_targets_with_model(model, now)

    def count_targets_with_model(self, model: str, now: float) -> int:
        """Return how many targets have a model loaded or a copy of it."""
        # One decision calls this for each target, so the counts are cached.
        if self._local_counts_time_s != now:
            self._local_counts_time_s = now
            self._local_counts = Counter(
                name
                for target in self.targets.values()
                for name in target.local_models()
            )
        return self._local_counts[model]

    def is_outranked(self, steps: Iterable[Step], now: float) -> bool:
        """Return whether another requested model has higher demand."""
        model = _find_store_load(steps)
        if not model or not self.is_absent(model, now):
            return False
        return self.requested_models.is_outranked(model, now)

    def absent_models(self, now: float) -> list[EngineModel]:
        """Return the models that are on no target, ordered by name."""
        return [
            model
            for name, model in sorted(self.engine_cfg.models.items())
            if self.is_absent(name, now)
        ]

    def record_refusal(self, job: Job, now: float) -> float | None:
        """Record a request that is refused because its model is absent.

        Returns the seconds until the model could be loaded, None if it is not
        absent or not known.
        """
        model = self.engine_cfg.models.get(job.assignment_req.profile.model)
        if model is None or not self.is_absent(model.name, now):
            return None
        remaining_s = job.assignment_req.first_event_deadline_s - now
        load_s = model.store_load_s
        self.requested_models.record_refusal(
            job, now, would_wait=remaining_s > load_s
        )
        return min(
            self.concurrency.next_capacity_s(load_s, now) + load_s,
            MAX_LOAD_RETRY_S,
        )

    def _targets_per_load(self, now: float) -> int:
        return (
            IDLE_TARGETS_PER_STORE_LOAD
            if self.is_idle(now)
            else TARGETS_PER_STORE_LOAD
        )


def _find_store_load(steps: Iterable[Step]) -> str:
    return next((step.model for step in steps if step.is_from_store), '')
