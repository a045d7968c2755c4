"""Tests of the plan of transfers from peers."""

from mimosaworks.limits.planner import (
    UNANSWERED_HOLDOFF_S,
    GrantTerms,
    PeerBalances,
    split_among_peers,
)

TERMS = GrantTerms(rate=100, burst=1000, fraction=0.1)


def test_the_richest_peers_are_asked_for_what_is_wanted() -> None:
    balances = {'a': 10, 'b': 50, 'c': 30}
    assert split_among_peers(60, 70, balances) == {'b': 50, 'c': 20}


def test_nobody_is_asked_if_all_together_have_too_little() -> None:
    assert not split_among_peers(91, 91, {'a': 10, 'b': 50, 'c': 30})


def test_a_balance_grows_with_its_age_up_to_a_share() -> None:
    balances = PeerBalances(('a',))
    assert balances.estimate_balances('w', TERMS, 0) == {'a': 100}
    balances.record_balance('a', 'w', 30, 0)
    assert balances.estimate_balances('w', TERMS, 2) == {'a': 50}
    assert balances.estimate_balances('w', TERMS, 99) == {'a': 100}


def test_a_peer_in_debt_is_left_alone_until_its_refill_has_paid() -> None:
    balances = PeerBalances(('a',))
    balances.record_balance('a', 'w', -30, 0)
    assert not balances.estimate_balances('w', TERMS, 2)
    assert balances.estimate_balances('w', TERMS, 4) == {'a': 10}


def test_a_silent_peer_is_left_alone_for_a_while() -> None:
    balances = PeerBalances(('a',))
    balances.record_missing_reply('a', 0)
    assert not balances.estimate_balances(
        'w', TERMS, UNANSWERED_HOLDOFF_S - 0.1
    )
    assert balances.estimate_balances('w', TERMS, UNANSWERED_HOLDOFF_S) == {
        'a': 100
    }
