"""Tests of a member's fraction of a grant while the holder set changes."""

import pytest

from mimosaworks.limits.escrow import RESERVATION_S
from mimosaworks.limits.holder_sets import HolderSets


def confirmed_sets(*addresses: str) -> HolderSets:
    """Return the holder sets of member a with epoch 1 in force."""
    sets = HolderSets('a')
    sets.add_epoch(1, addresses)
    sets.confirm_epoch(1, 0)
    assert sets.current_fraction(RESERVATION_S) == pytest.approx(
        1 / len(addresses)
    )
    return sets


def test_a_member_starts_with_nothing_until_transfers_have_ended() -> None:
    sets = HolderSets('a')
    sets.add_epoch(1, ['a'])
    assert sets.current_fraction(100) == 0
    sets.confirm_epoch(1, 100)
    assert sets.current_fraction(100 + RESERVATION_S - 0.01) == 0
    assert sets.current_fraction(100 + RESERVATION_S) == 1


def test_a_part_shrinks_at_once() -> None:
    sets = confirmed_sets('a', 'b')
    sets.add_epoch(2, ['a', 'b', 'c', 'd'])
    assert sets.current_fraction(RESERVATION_S) == pytest.approx(0.25)
    sets.add_epoch(3, ['b'])
    assert sets.current_fraction(RESERVATION_S) == 0


def test_a_part_grows_when_the_set_is_in_force_and_transfers_ended() -> None:
    sets = confirmed_sets('a', 'b')
    sets.add_epoch(2, ['a'])
    assert sets.current_fraction(50) == pytest.approx(0.5)
    sets.confirm_epoch(2, 50)
    assert sets.current_fraction(50) == pytest.approx(0.5)
    assert sets.current_fraction(50 + RESERVATION_S) == 1


def test_a_member_that_missed_an_epoch_has_nothing() -> None:
    sets = confirmed_sets('a', 'b')
    sets.add_epoch(3, ['a', 'b'])
    assert sets.current_fraction(50) == 0
    sets.confirm_epoch(3, 50)
    assert sets.current_fraction(50 + RESERVATION_S) == pytest.approx(0.5)


def test_an_earlier_epoch_in_force_does_not_lift_a_later_one() -> None:
    sets = HolderSets('a')
    sets.add_epoch(1, ['a'])
    sets.add_epoch(2, ['a', 'b'])
    sets.confirm_epoch(1, 0)
    assert sets.current_fraction(RESERVATION_S) == pytest.approx(0.5)
    assert not sets.add_epoch(1, ['a'])
