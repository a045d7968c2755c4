"""An engine's report as placement reads it."""

import functools
from collections.abc import Mapping
from typing import Any

import attrs
import cattrs


@attrs.frozen
class LoadedState:
    """One model or adapter in a report.

    state is 'loading', 'ready' or 'unloading'; running counts requests.
    """

    state: str = 'ready'
    order_id: str = ''
    size_bytes: int = 0
    running: int = 0


@attrs.frozen
class OrderReport:
    """What became of an order: 'running', 'done' or 'failed'."""

    state: str
    reason: str = ''


@attrs.frozen
class CachedCheckpoints:
    """Checkpoints that a target needn't fetch from the weight store."""

    memory: tuple[str, ...] = ()
    disk: tuple[str, ...] = ()


@attrs.frozen
class Report:
    """A target's answer to GET /report; sizes in bytes."""

    generation: str | int
    memory_bytes: int = 0
    used_bytes: int = 0
    running: int = 0
    queued: int = 0
    models: Mapping[str, LoadedState] = attrs.field(factory=dict)
    adapters: Mapping[str, LoadedState] = attrs.field(factory=dict)
    orders: Mapping[str, OrderReport] = attrs.field(factory=dict)
    cached: CachedCheckpoints = attrs.field(factory=CachedCheckpoints)


def report_from_dict(fields: dict[str, Any]) -> Report:
    """Return the report in a JSON answer; unknown fields are ignored.

    Raises ValueError when the answer is no report.
    """
    try:
        return _converter().structure(fields, Report)
    except (cattrs.BaseValidationError, KeyError, TypeError) as exc:
        raise ValueError(f'not a report: {exc!r}') from exc


@functools.cache
def _converter() -> cattrs.Converter:
    # Made once: a converter compiles a function for each type that it meets.
    converter = cattrs.Converter()
    converter.register_structure_hook(str | int, lambda raw, _: raw)
    converter.register_structure_hook(
        str, lambda raw, _: '' if raw is None else str(raw)
    )
    return converter
