"""Promises on what engines hold, checked on a chaos run's record."""

from collections.abc import Iterable, Iterator

from bench.chaos_plan import MODELS
from bench.chaos_record import ChaosRecord
from bench.chaos_step import ChaosStep
from bench.chaos_system import ENGINE_BYTES, REPLICAS_MAX
from bench.chaos_unit import ChaosUnit


def memory_holds(record: ChaosRecord) -> Iterator[str]:
    """Yield engines that had more loaded, or ordered, than they can hold."""
    for name, _, stats in record.system.watch.boots:
        if stats['peak_bytes'] > ENGINE_BYTES or stats['overcommits']:
            peak, over = stats['peak_bytes'], stats['overcommits']
            yield f'{name}: peak {peak} bytes, {over} orders did not fit'


def replicas_hold(record: ChaosRecord) -> Iterator[str]:
    """Yield models with more replicas ready at once than replicas_max."""
    most = dict(zip(MODELS, REPLICAS_MAX, strict=True))
    ready: set[ChaosStep] = set()
    for step in _steps(record):
        ready = {held for held in ready if not step.ends(held)}
        if step.what == 'ready':
            ready.add(step)
            names = {one.engine for one in ready if one.model == step.model}
            if len(names) > most[step.model]:
                yield f'{step.model} at {step.at_s:.2f} on {sorted(names)}'


def loads_are_decided(record: ChaosRecord) -> Iterator[str]:
    """Yield models that an engine held while no intent was in the table.

    An engine must have held it over a whole reading of the table, so that
    no tolerance is needed.
    """
    for start, end in _holdings(record):
        lacking = [
            asked_s
            for asked_s, told_s, held in record.system.watch.intents
            if start.at_s < asked_s
            and told_s < end.at_s
            and (start.engine, start.model) not in held
        ]
        if lacking:
            yield f'{start.model} at {min(lacking):.2f} on {start.engine}'


def _holdings(
    record: ChaosRecord,
) -> Iterator[tuple[ChaosStep, ChaosStep]]:
    """Yield the steps with which each holding began and ended."""
    steps = _steps(record)
    for rank, start in enumerate(steps):
        if start.what == 'reserved':
            later = steps[rank + 1 :]
            yield start, next(step for step in later if step.ends(start))


def _steps(record: ChaosRecord) -> list[ChaosStep]:
    """Return all engines' steps in order; the last reading ends them."""
    boots = record.system.watch.boots
    histories = {
        (name, tuple(stats['history'][0])): stats['history']
        for name, _, stats in boots
        if stats['history']
    }
    steps = [
        ChaosStep(at_s, what, name, model)
        for (name, _), history in histories.items()
        for at_s, what, model in history
    ]
    last_s = max((at_s for _, at_s, _ in boots), default=0)
    return sorted([*steps, *_ends(record.system.engines(), last_s)])


def _ends(engines: Iterable[ChaosUnit], last_s: float) -> Iterator[ChaosStep]:
    for unit in engines:
        yield ChaosStep(last_s, 'read', unit.name)
        for down_s, _ in unit.down:
            yield ChaosStep(down_s, 'killed', unit.name)
