"""Tests of freshness, the full view and evidence of death by example."""

import math

import pytest

from mimosaworks.members import FRESHNESS_S, Member, MemberRole, MemberState
from mimosaworks.members.evidence import (
    DEAD_AFTER_S,
    REFUSED_FOR_S,
    Evidence,
)
from mimosaworks.members.freshness import Freshness
from mimosaworks.members.full_view import FullView
from mimosaworks.members.view import View, view_of
from mimosaworks.wire import FreshAnswer

NOW_S = 100.0


def member(name: str, state: MemberState = MemberState.LIVE) -> Member:
    return Member(name, name, MemberRole.ROUTER, 'dc', f'{name}-boot', state)


def view_with(*names: str, joining: str = '') -> View:
    joins = [member(name, MemberState.JOINING) for name in joining]
    return view_of(1, [*map(member, names), *joins])


def answer_of(name: str, age_s: float = -1, version: int = 0) -> FreshAnswer:
    return FreshAnswer(f'{name}-boot', version, 1, age_s)


def joined(*names: str) -> Freshness:
    state = Freshness(member('a'))
    state.advance(NOW_S - 50, 0, view_with('a', *names))
    return state


def test_a_table_read_counts_from_before_it_was_sent() -> None:
    state = joined('b')
    state.on_table_read(NOW_S)
    assert state.is_fresh(NOW_S + FRESHNESS_S - 0.1)
    assert not state.is_fresh(NOW_S + FRESHNESS_S)


def test_a_peers_age_counts_with_the_drift_added() -> None:
    state = joined('b')
    state.on_answer(NOW_S, NOW_S + 1, 'b', answer_of('b', age_s=2))
    assert state.basis_s == pytest.approx(NOW_S - 2.02)


def test_an_answer_with_a_version_that_is_not_in_force_proves_nothing() -> None:
    state = joined('b')
    state.on_answer(NOW_S, NOW_S, 'b', answer_of('b', age_s=0, version=7))
    state.check_full_view(NOW_S)
    assert state.basis_s == -math.inf


def test_a_member_that_has_not_joined_is_never_fresh() -> None:
    state = Freshness(member('a', MemberState.JOINING))
    state.on_table_read(NOW_S)
    assert not state.is_fresh(NOW_S)


def test_a_member_that_was_replaced_stops() -> None:
    state = joined('b')
    state.on_table_read(NOW_S)
    state.advance(NOW_S, 0, view_of(2, [member('b')]))
    assert state.own.state == MemberState.STOPPED
    assert not state.is_fresh(NOW_S)


def test_versions_and_views_never_go_back() -> None:
    state = joined('b')
    state.advance(NOW_S, 4, view_of(9, [member('a')]))
    state.advance(NOW_S, 3, view_of(8, [member('a'), member('b')]))
    assert (state.version, state.view.version) == (4, 9)


def test_the_full_view_counts_from_the_oldest_question() -> None:
    state = joined('b', 'c')
    state.on_answer(NOW_S, NOW_S + 1, 'b', answer_of('b'))
    state.on_answer(NOW_S + 1, NOW_S + 1, 'c', answer_of('c'))
    state.check_full_view(NOW_S + 1)
    assert state.basis_s == NOW_S


def test_one_missing_answer_leaves_no_full_view() -> None:
    state = joined('b', 'c', 'd', 'e')
    for name in 'bcd':
        state.on_answer(NOW_S, NOW_S, name, answer_of(name))
    state.check_full_view(NOW_S)
    assert state.basis_s == -math.inf


def test_a_death_that_was_known_before_the_questions_counts() -> None:
    view = view_with('a', 'b', 'c')
    asked = FullView()
    asked.on_answer(NOW_S, member('b').id)
    dead = {member('c').id: NOW_S - 1}
    assert asked.basis_s(NOW_S, view, member('a').id, dead) == NOW_S


def test_a_death_that_became_known_later_does_not_count() -> None:
    view = view_with('a', 'b', 'c')
    asked = FullView()
    asked.on_answer(NOW_S, member('b').id)
    dead = {member('c').id: NOW_S + 1}
    assert asked.basis_s(NOW_S + 2, view, member('a').id, dead) == -math.inf


def test_dead_members_leave_no_majority_to_a_minority() -> None:
    view = view_with('a', 'b', 'c', 'd')
    asked = FullView()
    asked.on_answer(NOW_S, member('b').id)
    dead = {member('c').id: NOW_S, member('d').id: NOW_S}
    assert asked.basis_s(NOW_S, view, member('a').id, dead) == -math.inf


def test_members_that_may_have_joined_and_died_count_as_missing_voters() -> (
    None
):
    view = view_with('a', 'b', 'c', joining='de')
    asked = FullView()
    asked.on_answer(NOW_S, member('b').id)
    dead = {member(name).id: NOW_S for name in 'cde'}
    assert asked.basis_s(NOW_S, view, member('a').id, dead) == -math.inf


def test_a_blank_restart_is_a_death_and_no_vote() -> None:
    state = joined('b')
    blank = FreshAnswer('other-boot', 0, 0, -1)
    state.on_answer(NOW_S, NOW_S, 'b', blank)
    state.check_full_view(NOW_S)
    assert member('b').id in state.evidence.dead_since_s
    assert state.basis_s == -math.inf


def test_a_late_answer_of_a_predecessor_is_no_evidence() -> None:
    state = joined('b')
    blank = FreshAnswer('older-boot', 0, 0, -1)
    state.on_answer(NOW_S - 60, NOW_S, 'b', blank)
    assert not state.evidence.dead_since_s


def test_refusals_prove_death_at_once_only_while_the_table_is_down() -> None:
    seen = member('b').id
    for is_down, needed_s in ((True, REFUSED_FOR_S), (False, DEAD_AFTER_S)):
        evidence = Evidence()
        evidence.set_members(NOW_S, frozenset((seen,)))
        evidence.on_heartbeat(seen, 1)
        for late_s in (0, needed_s - 0.1):
            evidence.on_refused(
                NOW_S, NOW_S + late_s, seen, is_table_down=is_down
            )
        assert not evidence.dead_since_s
        evidence.on_refused(
            NOW_S, NOW_S + needed_s, seen, is_table_down=is_down
        )
        assert evidence.dead_since_s == {seen: NOW_S + needed_s}


def test_a_heartbeat_that_moves_withdraws_the_suspicion() -> None:
    seen = member('b').id
    evidence = Evidence()
    evidence.set_members(NOW_S, frozenset((seen,)))
    evidence.on_heartbeat(seen, 1)
    evidence.on_refused(NOW_S, NOW_S, seen, is_table_down=False)
    evidence.on_heartbeat(seen, 2)
    late_s = NOW_S + DEAD_AFTER_S
    evidence.on_refused(NOW_S, late_s, seen, is_table_down=False)
    assert not evidence.dead_since_s
