"""Logs lost and found weights of models, and loads that wait for the store."""

from collections.abc import Mapping

import attrs

from mimosaworks.dispatch import EnginePool, EngineTarget, PlainPool
from mimosaworks.events import Event, log_event

# Entries of targets change about once a second.
WEIGHTS_CHECK_INTERVAL_S = 0.5
_ModelsByTarget = Mapping[str, frozenset[str]]


@attrs.define(eq=False)
class WeightsMonitor:
    """The models whose weights each target had at the last check.

    _models_by_service gives them by service and target.
    """

    _last_check_s: float = 0
    _models_by_service: dict[str, _ModelsByTarget] = attrs.field(factory=dict)

    def log_changes(
        self, pools: Mapping[str, EnginePool | PlainPool], now: float
    ) -> None:
        """Log what has changed since the last check."""
        if now - self._last_check_s < WEIGHTS_CHECK_INTERVAL_S:
            return
        self._last_check_s = now
        for service, pool in pools.items():
            if not isinstance(pool, EnginePool) or not pool.targets:
                continue
            if pool.store_loads.has_all_targets(now):
                self._log_weight_changes(service, pool)
                _log_delayed_store_load(service, pool, now)

    def _log_weight_changes(self, service: str, pool: EnginePool) -> None:
        models_by_target = {
            name: frozenset(target.local_models())
            for name, target in pool.targets.items()
        }
        previous_models = self._models_by_service.get(service)
        self._models_by_service[service] = models_by_target
        present_models = frozenset().union(*models_by_target.values())
        if previous_models is None:
            log_event(
                Event.WEIGHTS_COUNTED,
                service=service,
                models=len(pool.engine_cfg.models),
                targets=len(models_by_target),
                absent=sorted(pool.engine_cfg.models.keys() - present_models),
            )
            return
        previously_present_models = frozenset().union(*previous_models.values())
        for model in sorted(present_models - previously_present_models):
            log_event(
                Event.WEIGHTS_FOUND,
                service=service,
                model=model,
                target=_find_target_with_model(model, models_by_target),
            )
        for model in sorted(previously_present_models - present_models):
            _log_lost_weights(service, model, previous_models, models_by_target)


def log_store_load_start(
    service: str, pool: EnginePool, target: EngineTarget, model: str
) -> None:
    """Log that a load from the weight store is being sent."""
    log_event(
        Event.STORE_LOAD_BEGUN,
        service=service,
        target=target.entry.name,
        model=model,
        copies=sum(
            pool_target.has_local_copy(model)
            for pool_target in pool.targets.values()
        ),
        at_once=pool.store_loads.concurrency.load_count,
        limit=pool.store_loads.concurrency.limit,
        wanted=len(pool.store_loads.requested_models),
    )


def log_store_load_end(
    service: str,
    pool: EnginePool,
    target: EngineTarget,
    model: str,
    *,
    is_done: bool,
) -> None:
    """Log that a load from the weight store has ended."""
    log_event(
        Event.STORE_LOAD_ENDED,
        service=service,
        target=target.entry.name,
        model=model,
        is_done=is_done,
        at_once=pool.store_loads.concurrency.load_count,
        limit=pool.store_loads.concurrency.limit,
    )


def _log_lost_weights(
    service: str,
    model: str,
    previous_models: _ModelsByTarget,
    models_by_target: _ModelsByTarget,
) -> None:
    target = _find_target_with_model(model, previous_models)
    is_target_present = target in models_by_target
    log_event(
        Event.WEIGHTS_LOST,
        service=service,
        model=model,
        target=target,
        cause='evicted' if is_target_present else 'target_gone',
        added=sorted(models_by_target[target] - previous_models[target])
        if is_target_present
        else [],
    )


def _log_delayed_store_load(service: str, pool: EnginePool, now: float) -> None:
    loads = pool.store_loads
    requested_models = loads.requested_models.jobs_by_demand(now)
    if not requested_models or not loads.concurrency.has_capacity(
        len(pool.targets)
    ):
        return
    job = requested_models[0]
    model = pool.engine_cfg.models.get(job.assignment_req.profile.model)
    if model is None:
        return
    planner = pool.estimator.swap_planner
    usable_targets = pool.selector.usable_targets(job, now)
    log_event(
        Event.STORE_LOAD_HELD_UP,
        service=service,
        model=model.name,
        wanted=len(requested_models),
        at_once=loads.concurrency.load_count,
        limit=loads.concurrency.limit,
        targets=len(usable_targets),
        fitting=sum(
            planner.plan_load(target, model, now) is not None
            for target in usable_targets
        ),
    )


def _find_target_with_model(
    model: str, models_by_target: _ModelsByTarget
) -> str:
    return next(
        name for name, models in models_by_target.items() if model in models
    )
