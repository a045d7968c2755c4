"""What a soak says of brittle targets that turn away too much."""

import types

import pytest

from bench.soak_brittle import BrittleTime, broken_times, count_falls

MOST_PER_S = 3
NO_TIMES = BrittleTime((), MOST_PER_S, 10, 20)


@pytest.mark.parametrize(
    ('times_s', 'falls'),
    [
        ([], 0),
        ([11, 11.1, 11.2], 0),
        ([11, 11.1, 11.2, 11.9], 1),
        ([11, 11.4, 11.8, 12.2, 12.6], 0),
        ([11, 11, 11, 11, 11.5, 11.5, 11.5, 11.5], 2),
        ([9.5, 9.6, 10, 10.1, 10.2], 0),
        ([19.9, 19.9, 20, 20.1, 20.2], 0),
    ],
)
def test_more_rejections_in_a_second_than_allowed_are_a_fall(
    times_s: list[float], falls: int
) -> None:
    assert count_falls(times_s, NO_TIMES) == falls


# Guards against a soak that passes whatever brittle targets had to turn away.
@pytest.mark.parametrize(('falls', 'is_broken'), [(2, False), (3, True)])
def test_targets_that_fall_too_often_break_a_soak(
    falls: int, is_broken: bool
) -> None:
    times_s = [11, 11, 11, 11]
    fallen = types.SimpleNamespace(service='ledger', turned_away_s=times_s)
    targets = (fallen,) * falls
    brittle = types.SimpleNamespace(
        times=[BrittleTime(targets, MOST_PER_S, 10, 20)]  # type: ignore[arg-type]
    )
    broken = list(broken_times(brittle))  # type: ignore[arg-type]
    assert bool(broken) is is_broken
