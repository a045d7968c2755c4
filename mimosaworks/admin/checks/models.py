"""Checks of models and adapters."""

from collections.abc import Iterator

from mimosaworks.admin.checks.common import empty_pool_warning, pool_targets
from mimosaworks.admin.fault import Fault
from mimosaworks.entities import Adapter, Catalogue, Model

KIND = 'model'
ADAPTER_KIND = 'adapter'
MINUTES_A_DAY = 1440
UNSCHEDULED_MIN = -1


def model_faults(catalogue: Catalogue) -> Iterator[Fault]:
    """Yield the faults of models, and warnings about their pools."""
    for model in catalogue.model.values():
        yield from _replica_faults(model)
        yield from _schedule_faults(model)
        yield from _pool_warnings(catalogue, model)


def adapter_faults(catalogue: Catalogue) -> Iterator[Fault]:
    """Yield the faults of adapters and of what they refer to."""
    for adapter in catalogue.adapter.values():
        yield from _own_faults(catalogue, adapter)


def _own_faults(catalogue: Catalogue, adapter: Adapter) -> Iterator[Fault]:
    if adapter.model not in catalogue.model:
        yield Fault(
            ADAPTER_KIND,
            adapter.name,
            KIND,
            f'there is no model {adapter.model!r}',
            missing=adapter.model,
        )
    # Callers name a model or an adapter in the same place.
    if adapter.name in catalogue.model:
        yield Fault(
            ADAPTER_KIND, adapter.name, 'name', 'is also the name of a model'
        )


def _replica_faults(model: Model) -> Iterator[Fault]:
    if model.replicas_min < 0:
        yield Fault(KIND, model.name, 'replicas_min', 'must not be negative')
    if model.replicas_max < max(1, model.replicas_min):
        yield Fault(
            KIND,
            model.name,
            'replicas_max',
            'must be at least 1 and not below replicas_min',
        )


def _schedule_faults(model: Model) -> Iterator[Fault]:
    start, end = model.ready_from_min, model.ready_until_min
    if start == end == UNSCHEDULED_MIN:
        return
    if not 0 <= start < MINUTES_A_DAY:
        yield Fault(
            KIND, model.name, 'ready_from_min', 'must be a time of the day'
        )
    if not 0 <= end <= MINUTES_A_DAY or start == end:
        yield Fault(
            KIND,
            model.name,
            'ready_until_min',
            'must be a time of the day other than that of ready_from_min',
        )


def _pool_warnings(catalogue: Catalogue, model: Model) -> Iterator[Fault]:
    pool = pool_targets(catalogue, model.pool)
    largest = max((target.memory_bytes for target in pool), default=0)
    if not pool:
        yield empty_pool_warning(KIND, model.name, model.pool)
    elif largest < model.size_bytes:
        yield Fault(
            KIND,
            model.name,
            'size_bytes',
            f'no target of pool {model.pool} has this much memory',
            is_warning=True,
        )
