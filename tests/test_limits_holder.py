"""Tests of the token allocator of one member."""

import attrs
import pytest

from mimosaworks.entities import Workspace
from mimosaworks.limits.account import Waiter
from mimosaworks.limits.escrow import RESERVATION_S
from mimosaworks.limits.holder import TokenHolder
from mimosaworks.wire import TokenAsk, TokenGrant

GRANT = Workspace('w', 100, 1000)
FULL_AT = RESERVATION_S + 10
ASK = TokenAsk('t', 'w', 100, 1, 100, 1000)


def make_allocator() -> TokenHolder:
    """Return the allocator of member a of two; its share is full at FULL_AT."""
    member = TokenHolder('a', 'boot')
    member.book.set_grants({'w': GRANT}, 0)
    member.set_holders(1, ['a', 'b'], 0)
    member.confirm_holders(1, 0)
    member.book.advance_clock(RESERVATION_S)
    assert usable_tokens(member, FULL_AT) == 500
    return member


def usable_tokens(
    member: TokenHolder, now: float, workspace: str = 'w'
) -> float:
    now = member.book.advance_clock(now)
    account = member.book.accounts[workspace]
    return account.share.usable_tokens(now)


def test_a_member_that_starts_is_empty() -> None:
    member = make_allocator()
    started = TokenHolder('a', 'boot2')
    started.set_holders(1, ['a', 'b'], FULL_AT)
    started.confirm_holders(1, FULL_AT)
    later = FULL_AT + RESERVATION_S
    started.book.advance_clock(later)
    started.book.set_grants({'w': GRANT}, later)
    assert usable_tokens(member, later) == 500
    assert usable_tokens(started, later) == 0


def test_a_workspace_that_is_new_in_a_running_system_is_full() -> None:
    member = make_allocator()
    member.book.set_grants({'w': GRANT, 'x': GRANT}, FULL_AT)
    assert usable_tokens(member, FULL_AT, 'x') == 500


def test_a_workspace_that_is_removed_and_comes_back_is_empty() -> None:
    member = make_allocator()
    member.book.set_grants({}, FULL_AT)
    assert usable_tokens(member, FULL_AT) == 0
    member.book.set_grants({'w': GRANT}, FULL_AT)
    assert usable_tokens(member, FULL_AT) == 0


def test_a_shrinking_share_refills_at_the_old_rate_only_until_then() -> None:
    member = make_allocator()
    member.arrive('w', Waiter(1, 500, FULL_AT + 1))
    assert member.poll('w', FULL_AT).dispatched
    member.set_holders(2, ['a', 'b', 'c', 'd'], FULL_AT + 1)
    assert usable_tokens(member, FULL_AT + 2) == pytest.approx(75)


def test_a_donor_gives_under_the_same_epoch_and_grant_only() -> None:
    member = make_allocator()
    for other in ({'epoch': 2}, {'rate': 101}, {'burst': 999}):
        ask = attrs.evolve(ASK, **other)
        assert member.on_ask(ask, FULL_AT).tokens == 0
    assert member.on_ask(ASK, FULL_AT).tokens == 100


def test_a_donor_keeps_what_its_own_requests_wait_for() -> None:
    member = make_allocator()
    member.arrive('w', Waiter(1, 450, FULL_AT + 1))
    assert member.on_ask(ASK, FULL_AT) == TokenGrant('t', 'w', 50, 0)


def test_a_grant_asked_for_under_earlier_terms_is_void() -> None:
    member = make_allocator()
    member.arrive('w', Waiter(1, 600, FULL_AT + 1))
    ask = member.poll('w', FULL_AT).asks[0].ask
    changed = {'w': Workspace('w', 100, 900)}
    member.book.set_grants(changed, FULL_AT)
    grant = TokenGrant(ask.transfer, 'w', 100, 0)
    assert not member.on_grant('b', grant, FULL_AT)
    assert usable_tokens(member, FULL_AT) == 450


def test_a_short_member_that_has_asked_does_not_ask_in_a_loop() -> None:
    member = make_allocator()
    member.arrive('w', Waiter(1, 900, FULL_AT + 9))
    asks = member.poll('w', FULL_AT).asks
    assert [entry.ask.tokens for entry in asks] == [400]
    assert not member.poll('w', FULL_AT + 0.1).asks
    reply = TokenGrant(asks[0].ask.transfer, 'w', 0, -500)
    member.on_grant('b', reply, FULL_AT + 0.1)
    again = member.poll('w', FULL_AT + 0.1)
    assert not again.asks
    assert again.next_at > FULL_AT + 1


def test_a_late_request_is_refused_with_the_time_to_come_back() -> None:
    member = make_allocator()
    member.balances.replace_peers(())
    member.arrive('w', Waiter(7, 600, FULL_AT + 0.5))
    refused = member.poll('w', FULL_AT + 0.5).refused
    assert [(entry.request_number, entry.wait_s) for entry in refused] == [
        (7, 2)
    ]


def test_balances_that_peers_estimate_well_are_not_reported() -> None:
    member = make_allocator()
    assert member.report(FULL_AT) is None
    member.on_ask(attrs.evolve(ASK, tokens=400), FULL_AT)
    message = member.report(FULL_AT)
    assert [entry.tokens for entry in message.balances] == [100]
    assert member.report(FULL_AT + 0.1) is None
