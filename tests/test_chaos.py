"""Faults on all parts at once, with a load whose promises are checked."""

from pathlib import Path

import pytest

from bench.chaos_oracle import violations
from bench.chaos_run import run_chaos

DURATION_S = 12.0


@pytest.mark.parametrize('seed', [1, 2])
async def test_all_promises_hold_under_several_faults(
    seed: int, tmp_path: Path
) -> None:
    record = await run_chaos(seed, DURATION_S, tmp_path)
    assert not violations(record), record.summary()
