"""Tests of a member's part through changes of the holder set."""

import pytest

from mimosaworks.limits.escrow import RESERVE_S
from mimosaworks.limits.holder_sets import HolderSets


def in_force(*addresses: str) -> HolderSets:
    """Return member a's parts after epoch 1 is in force."""
    sets = HolderSets('a')
    sets.learn(1, addresses)
    sets.confirm(1, 0)
    assert sets.part(RESERVE_S) == pytest.approx(1 / len(addresses))
    return sets


def test_a_member_starts_with_nothing_until_transfers_have_ended() -> None:
    sets = HolderSets('a')
    sets.learn(1, ['a'])
    assert sets.part(100) == 0
    sets.confirm(1, 100)
    assert sets.part(100 + RESERVE_S - 0.01) == 0
    assert sets.part(100 + RESERVE_S) == 1


def test_a_part_shrinks_at_once() -> None:
    sets = in_force('a', 'b')
    sets.learn(2, ['a', 'b', 'c', 'd'])
    assert sets.part(RESERVE_S) == pytest.approx(0.25)
    sets.learn(3, ['b'])
    assert sets.part(RESERVE_S) == 0


def test_a_part_grows_when_the_set_is_in_force_and_transfers_ended() -> None:
    sets = in_force('a', 'b')
    sets.learn(2, ['a'])
    assert sets.part(50) == pytest.approx(0.5)
    sets.confirm(2, 50)
    assert sets.part(50) == pytest.approx(0.5)
    assert sets.part(50 + RESERVE_S) == 1


def test_a_member_that_missed_an_epoch_has_nothing() -> None:
    sets = in_force('a', 'b')
    sets.learn(3, ['a', 'b'])
    assert sets.part(50) == 0
    sets.confirm(3, 50)
    assert sets.part(50 + RESERVE_S) == pytest.approx(0.5)


def test_an_earlier_epoch_in_force_does_not_lift_a_later_one() -> None:
    sets = HolderSets('a')
    sets.learn(1, ['a'])
    sets.learn(2, ['a', 'b'])
    sets.confirm(1, 0)
    assert sets.part(RESERVE_S) == pytest.approx(0.5)
    assert not sets.learn(1, ['a'])
