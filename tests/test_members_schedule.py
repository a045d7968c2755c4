"""Tests of whom a member asks, and when."""

import pytest

from mimosaworks.members import FRESHNESS_S, Member, MemberRole, MemberState
from mimosaworks.members.freshness import Freshness
from mimosaworks.members.schedule import (
    ROUND_AGE_S,
    URGENT_AGE_S,
    Schedule,
    pollers_of,
)
from mimosaworks.members.view import View, view_of

NOW_S = 100.0
LIVE = MemberState.LIVE


def view_with(count: int) -> View:
    members = [
        Member(name, name, MemberRole.ROUTER, 'dc', 'boot', LIVE)
        for name in map(str, range(count))
    ]
    return view_of(1, members)


def state_of(address: str, view: View, age_s: float) -> Freshness:
    member = view.find(address)
    assert member
    state = Freshness(member)
    state.advance(NOW_S - 50, 0, view)
    state.on_table_read(NOW_S - age_s)
    return state


def follower_of(view: View) -> str:
    addresses = {member.address for member in view.members}
    return min(addresses - set(pollers_of(view)))


@pytest.mark.parametrize(('members', 'pollers'), [(1, 1), (8, 1), (27, 4)])
def test_one_member_in_eight_reads_the_table(
    members: int, pollers: int
) -> None:
    assert len(pollers_of(view_with(members))) == pollers


def test_a_poller_reads_the_table_and_asks_nobody() -> None:
    view = view_with(20)
    state = state_of(pollers_of(view)[1], view, age_s=0.7)
    plan = Schedule().due(NOW_S, state)
    assert plan.is_table_due
    assert not plan.peers


def test_another_member_asks_one_poller_in_place_of_the_table() -> None:
    view = view_with(20)
    plan = Schedule().due(NOW_S, state_of(follower_of(view), view, age_s=0.7))
    assert not plan.is_table_due
    assert len(plan.peers) == 1
    assert set(plan.peers) <= set(pollers_of(view))


def test_a_member_whose_freshness_runs_out_reads_the_table_too() -> None:
    view = view_with(20)
    state = state_of(follower_of(view), view, age_s=URGENT_AGE_S)
    plan = Schedule().due(NOW_S, state)
    assert plan.is_table_due
    assert pollers_of(view)[0] in plan.peers


def test_every_member_asks_all_others_before_its_freshness_is_over() -> None:
    assert ROUND_AGE_S < FRESHNESS_S
    view = view_with(20)
    state = state_of(follower_of(view), view, age_s=ROUND_AGE_S)
    assert Schedule().due(NOW_S, state).is_round_due


def test_nothing_is_asked_again_at_once() -> None:
    view = view_with(20)
    state = state_of(follower_of(view), view, age_s=ROUND_AGE_S)
    schedule = Schedule()
    schedule.due(NOW_S, state)
    again = schedule.due(NOW_S, state)
    assert not again.is_table_due
    assert not again.peers
    assert not again.is_round_due
