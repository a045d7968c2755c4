"""Tests of the token allocator of one member."""

import attrs
import pytest

from mimosaworks.entities import Workspace
from mimosaworks.limits.escrow import RESERVATION_S
from mimosaworks.limits.token_allocator import TokenAllocator
from mimosaworks.limits.workspace_account import TokenRequest
from mimosaworks.wire import TokenAsk, TokenGrant

GRANT = Workspace('w', 100, 1000)
FULL_AT = RESERVATION_S + 10
ASK = TokenAsk('t', 'w', 100, 1, 100, 1000)


def make_allocator() -> TokenAllocator:
    """Return the allocator of member a of two; its share is full at FULL_AT."""
    member = TokenAllocator('a', 'boot')
    member.registry.set_grants({'w': GRANT}, 0)
    member.set_holders(1, ['a', 'b'], 0)
    member.confirm_holders(1, 0)
    member.registry.advance_clock(RESERVATION_S)
    assert usable_tokens(member, FULL_AT) == 500
    return member


def usable_tokens(
    member: TokenAllocator, now: float, workspace: str = 'w'
) -> float:
    now = member.registry.advance_clock(now)
    account = member.registry.accounts[workspace]
    return account.share.usable_tokens(now)


def test_a_member_that_starts_is_empty() -> None:
    member = make_allocator()
    started = TokenAllocator('a', 'boot2')
    started.set_holders(1, ['a', 'b'], FULL_AT)
    started.confirm_holders(1, FULL_AT)
    later = FULL_AT + RESERVATION_S
    started.registry.advance_clock(later)
    started.registry.set_grants({'w': GRANT}, later)
    assert usable_tokens(member, later) == 500
    assert usable_tokens(started, later) == 0


def test_a_workspace_that_is_new_in_a_running_system_is_full() -> None:
    member = make_allocator()
    member.registry.set_grants({'w': GRANT, 'x': GRANT}, FULL_AT)
    assert usable_tokens(member, FULL_AT, 'x') == 500


def test_a_workspace_that_is_removed_and_comes_back_is_empty() -> None:
    member = make_allocator()
    member.registry.set_grants({}, FULL_AT)
    assert usable_tokens(member, FULL_AT) == 0
    member.registry.set_grants({'w': GRANT}, FULL_AT)
    assert usable_tokens(member, FULL_AT) == 0


def test_a_shrinking_share_refills_at_the_old_rate_only_until_then() -> None:
    member = make_allocator()
    member.enqueue('w', TokenRequest(1, 500, FULL_AT + 1))
    assert member.decide('w', FULL_AT).served
    member.set_holders(2, ['a', 'b', 'c', 'd'], FULL_AT + 1)
    assert usable_tokens(member, FULL_AT + 2) == pytest.approx(75)


def test_a_donor_gives_under_the_same_epoch_and_grant_only() -> None:
    member = make_allocator()
    for other in ({'epoch': 2}, {'rate': 101}, {'burst': 999}):
        ask = attrs.evolve(ASK, **other)
        assert member.handle_transfer_request(ask, FULL_AT).tokens == 0
    assert member.handle_transfer_request(ASK, FULL_AT).tokens == 100


def test_a_donor_keeps_what_its_own_requests_wait_for() -> None:
    member = make_allocator()
    member.enqueue('w', TokenRequest(1, 450, FULL_AT + 1))
    assert member.handle_transfer_request(ASK, FULL_AT) == TokenGrant(
        't', 'w', 50, 0
    )


def test_a_grant_asked_for_under_earlier_terms_is_void() -> None:
    member = make_allocator()
    member.enqueue('w', TokenRequest(1, 600, FULL_AT + 1))
    ask = member.decide('w', FULL_AT).transfer_requests[0].token_ask
    changed = {'w': Workspace('w', 100, 900)}
    member.registry.set_grants(changed, FULL_AT)
    grant = TokenGrant(ask.transfer, 'w', 100, 0)
    assert not member.handle_grant('b', grant, FULL_AT)
    assert usable_tokens(member, FULL_AT) == 450


def test_a_short_member_that_has_asked_does_not_ask_in_a_loop() -> None:
    member = make_allocator()
    member.enqueue('w', TokenRequest(1, 900, FULL_AT + 9))
    asks = member.decide('w', FULL_AT).transfer_requests
    assert [entry.token_ask.tokens for entry in asks] == [400]
    assert not member.decide('w', FULL_AT + 0.1).transfer_requests
    reply = TokenGrant(asks[0].token_ask.transfer, 'w', 0, -500)
    member.handle_grant('b', reply, FULL_AT + 0.1)
    again = member.decide('w', FULL_AT + 0.1)
    assert not again.transfer_requests
    assert again.next_decision_at > FULL_AT + 1


def test_a_late_request_is_refused_with_the_time_to_come_back() -> None:
    member = make_allocator()
    member.balances.replace_peers(())
    member.enqueue('w', TokenRequest(7, 600, FULL_AT + 0.5))
    refused = member.decide('w', FULL_AT + 0.5).refused
    assert [(entry.request_number, entry.wait_s) for entry in refused] == [
        (7, 2)
    ]


def test_balances_that_peers_estimate_well_are_not_reported() -> None:
    member = make_allocator()
    assert member.collect_changed_balances(FULL_AT) is None
    member.handle_transfer_request(attrs.evolve(ASK, tokens=400), FULL_AT)
    message = member.collect_changed_balances(FULL_AT)
    assert [entry.tokens for entry in message.balances] == [100]
    assert member.collect_changed_balances(FULL_AT + 0.1) is None
