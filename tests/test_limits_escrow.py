"""Tests of a member's share and its transfers."""

from mimosaworks.limits.bucket import Bucket
from mimosaworks.limits.escrow import RESERVE_S, TRANSFER_S, Share

CAP = 100.0


def share(level: float = CAP, rate: float = 0) -> Share:
    return Share(Bucket(rate, CAP, 0, level), CAP)


def test_a_donor_cannot_refill_what_is_on_its_way() -> None:
    donor = share(rate=CAP)
    assert donor.give('t', 60, 0) == 60
    assert donor.usable(TRANSFER_S) == 40
    assert donor.usable(RESERVE_S) == 40
    assert donor.usable(RESERVE_S + 1) == CAP


def test_an_ask_that_comes_twice_debits_once() -> None:
    donor = share()
    assert donor.give('t', 60, 0) == 60
    assert donor.give('t', 60, 0.1) == 60
    assert donor.usable(0.1) == 40


def test_a_grant_counts_once_and_only_in_time() -> None:
    taker = share(level=0)
    taker.ask('t', 0)
    taker.ask('late', 0)
    assert taker.receive('t', 60, 0.5)
    assert not taker.receive('t', 60, 0.6)
    assert not taker.receive('late', 30, TRANSFER_S)
    assert not taker.receive('never asked', 30, 0.7)
    assert taker.usable(0.7) == 60


def test_what_does_not_fit_is_held_only_for_the_time_of_the_transfer() -> None:
    taker = share(level=80)
    taker.ask('t', 0)
    taker.receive('t', 60, 0.5)
    assert taker.usable(0.9) == 140
    assert taker.usable(TRANSFER_S) == CAP


def test_a_request_above_the_share_is_served_from_held_tokens() -> None:
    taker = share()
    taker.ask('t', 0)
    taker.receive('t', 60, 0.5)
    assert taker.take(160, 0.6) is not None
    assert taker.usable(0.6) == 0


def test_unused_tokens_come_back() -> None:
    owner = share()
    serial = owner.take(80, 0)
    assert owner.put_back(serial, 50, 1) == 50
    assert owner.usable(1) == 70


def test_unused_tokens_that_had_no_room_in_the_meantime_are_lost() -> None:
    owner = share(rate=10)
    first = owner.take(80, 0)
    assert owner.take(100, 8) is not None
    assert owner.put_back(first, 80, 8) == 0


def test_two_refunds_share_the_room_that_there_was() -> None:
    owner = share(rate=10)
    first = owner.take(40, 0)
    second = owner.take(40, 0)
    # At 5 s there was room for 30 of the 80 tokens.
    assert owner.take(70, 5) is not None
    assert owner.put_back(first, 40, 5) == 30
    assert owner.put_back(second, 40, 5) == 0
    assert owner.take(30, 5) is not None
    assert owner.put_back(second, 40, 5) == 0
