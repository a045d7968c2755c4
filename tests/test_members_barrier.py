"""Tests of the barrier by example."""

from mimosaworks.clock import DRIFT
from mimosaworks.members import FRESHNESS_S, Member, MemberRole, MemberState
from mimosaworks.members.barrier import LAPSE_S, Barrier
from mimosaworks.members.view import view_of

NOW_S = 100.0


def member(name: str, state: MemberState = MemberState.LIVE) -> Member:
    return Member(name, name, MemberRole.ROUTER, 'dc', f'{name}-boot', state)


def barrier_of(*names: str, own: str = 'a') -> Barrier:
    members = [member(name) for name in names]
    return Barrier(NOW_S, 5, view_of(3, members), member(own).id)


def test_it_passes_at_once_when_all_have_confirmed() -> None:
    barrier = barrier_of('a', 'b', 'c')
    barrier.on_ack(member('b').id, 5, 3)
    assert not barrier.is_passed(NOW_S, set())
    barrier.on_ack(member('c').id, 6, 4)
    assert barrier.is_passed(NOW_S, set())


def test_an_older_version_or_view_confirms_nothing() -> None:
    barrier = barrier_of('a', 'b')
    barrier.on_ack(member('b').id, 4, 3)
    barrier.on_ack(member('b').id, 5, 2)
    assert not barrier.is_passed(NOW_S, set())


def test_silent_members_hold_it_until_their_freshness_has_lapsed() -> None:
    barrier = barrier_of('a', 'b', 'c')
    barrier.on_ack(member('b').id, 5, 3)
    assert not barrier.is_passed(NOW_S + LAPSE_S - 0.01, set())
    assert barrier.is_passed(NOW_S + LAPSE_S, set())


def test_the_lapse_covers_a_slow_clock_beside_a_fast_one() -> None:
    assert LAPSE_S >= FRESHNESS_S * (1 + DRIFT)


def test_dead_members_do_not_hold_it_but_give_no_vote() -> None:
    barrier = barrier_of('a', 'b', 'c', 'd')
    dead = {member('c').id, member('d').id}
    barrier.on_ack(member('b').id, 5, 3)
    assert not barrier.is_passed(NOW_S + LAPSE_S, dead)
    other = barrier_of('a', 'b', 'c')
    other.on_ack(member('b').id, 5, 3)
    assert other.is_passed(NOW_S, {member('c').id})


def test_a_restarted_member_confirms_for_itself_only() -> None:
    barrier = barrier_of('a', 'b', 'c')
    restarted = Member('b', 'b', MemberRole.ROUTER, 'dc', 'other-boot')
    barrier.on_ack(restarted.id, 5, 3)
    assert not barrier.is_passed(NOW_S + LAPSE_S, set())


def test_the_first_member_joins_alone() -> None:
    own = member('a', MemberState.JOINING)
    barrier = Barrier(NOW_S, 0, view_of(1, [own]), own.id)
    assert barrier.is_passed(NOW_S, set())


def test_a_join_needs_a_majority_of_the_members_before_it() -> None:
    joining = member('d', MemberState.JOINING)
    members = [member('a'), member('b'), member('c'), joining]
    barrier = Barrier(NOW_S, 0, view_of(1, members), joining.id)
    barrier.on_ack(member('a').id, 0, 1)
    assert not barrier.is_passed(NOW_S + LAPSE_S, set())
    barrier.on_ack(member('b').id, 0, 1)
    assert barrier.is_passed(NOW_S + LAPSE_S, set())
