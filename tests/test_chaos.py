"""Faults on all parts at once, with a load whose promises are checked."""

from pathlib import Path

import pytest

from bench.chaos_oracle import REPLICAS, violations
from bench.chaos_record import ChaosRecord
from bench.chaos_run import run_chaos

DURATION_S = 12.0
SEEDS = (2, 3)
RUN_ONCE = pytest.mark.parametrize('record', SEEDS, indirect=True)
_records: dict[int, ChaosRecord] = {}


@pytest.fixture
async def record(request: pytest.FixtureRequest, tmp_path: Path) -> ChaosRecord:
    """The record of a seed's run, which all tests of this module read."""
    seed: int = request.param
    if seed not in _records:
        _records[seed] = await run_chaos(seed, DURATION_S, tmp_path)
    return _records[seed]


@RUN_ONCE
async def test_promises_hold_under_several_faults(
    record: ChaosRecord,
) -> None:
    broken = [one for one in violations(record) if REPLICAS not in one]
    assert not broken, record.summary()


@RUN_ONCE
async def test_replicas_max_holds_under_several_faults(
    record: ChaosRecord,
) -> None:
    broken = [one for one in violations(record) if REPLICAS in one]
    assert not broken, record.summary()
