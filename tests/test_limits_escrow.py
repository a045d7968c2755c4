"""Tests of a member's token share and its transfers."""

from mimosaworks.limits.escrow import (
    RESERVATION_S,
    TRANSFER_TIMEOUT_S,
    TokenShare,
)
from mimosaworks.limits.token_bucket import TokenBucket

CAP = 100.0


def make_share(level: float = CAP, rate: float = 0) -> TokenShare:
    return TokenShare(TokenBucket(rate, CAP, 0, level), CAP)


def test_a_donor_cannot_refill_what_is_on_its_way() -> None:
    donor = make_share(rate=CAP)
    assert donor.grant_transfer('t', 60, 0) == 60
    assert donor.usable_tokens(TRANSFER_TIMEOUT_S) == 40
    assert donor.usable_tokens(RESERVATION_S) == 40
    assert donor.usable_tokens(RESERVATION_S + 1) == CAP


def test_an_ask_that_comes_twice_debits_once() -> None:
    donor = make_share()
    assert donor.grant_transfer('t', 60, 0) == 60
    assert donor.grant_transfer('t', 60, 0.1) == 60
    assert donor.usable_tokens(0.1) == 40


def test_a_grant_counts_once_and_only_in_time() -> None:
    taker = make_share(level=0)
    taker.record_requested_transfer('t', 0)
    taker.record_requested_transfer('late', 0)
    assert taker.receive_transfer('t', 60, 0.5)
    assert not taker.receive_transfer('t', 60, 0.6)
    assert not taker.receive_transfer('late', 30, TRANSFER_TIMEOUT_S)
    assert not taker.receive_transfer('never asked', 30, 0.7)
    assert taker.usable_tokens(0.7) == 60


def test_what_does_not_fit_is_held_only_for_the_time_of_the_transfer() -> None:
    taker = make_share(level=80)
    taker.record_requested_transfer('t', 0)
    taker.receive_transfer('t', 60, 0.5)
    assert taker.usable_tokens(0.9) == 140
    assert taker.usable_tokens(TRANSFER_TIMEOUT_S) == CAP


def test_a_request_above_the_share_is_served_from_held_tokens() -> None:
    taker = make_share()
    taker.record_requested_transfer('t', 0)
    taker.receive_transfer('t', 60, 0.5)
    assert taker.try_acquire(160, 0.6) is not None
    assert taker.usable_tokens(0.6) == 0


def test_unused_tokens_come_back() -> None:
    owner = make_share()
    serial = owner.try_acquire(80, 0)
    assert owner.refund(serial, 50, 1) == 50
    assert owner.usable_tokens(1) == 70


def test_unused_tokens_that_had_no_room_in_the_meantime_are_lost() -> None:
    owner = make_share(rate=10)
    first = owner.try_acquire(80, 0)
    assert owner.try_acquire(100, 8) is not None
    assert owner.refund(first, 80, 8) == 0


def test_two_refunds_share_the_room_that_there_was() -> None:
    owner = make_share(rate=10)
    first = owner.try_acquire(40, 0)
    second = owner.try_acquire(40, 0)
    # At 5 s there was headroom for 30 of the 80 tokens.
    assert owner.try_acquire(70, 5) is not None
    assert owner.refund(first, 40, 5) == 30
    assert owner.refund(second, 40, 5) == 0
    assert owner.try_acquire(30, 5) is not None
    assert owner.refund(second, 40, 5) == 0
