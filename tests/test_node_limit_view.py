"""What nodes read of limits, and what they do with it without a holder."""

import contextlib
import json
import math
import types

import attrs
import pytest
from multidict import CIMultiDict

from mimosaworks.dispatch import (
    Assignment,
    CallOutcome,
    RejectionLimits,
    TargetCrash,
    TargetRateLimits,
)
from mimosaworks.node import target_chooser as chooser_module
from mimosaworks.node.attempt_error import AttemptError
from mimosaworks.node.crash_view import CrashView
from mimosaworks.node.limit_monitor import LimitMonitor
from mimosaworks.node.limit_view import (
    MAX_LIMITS,
    MAX_LOGGED_CHARS,
    LimitView,
    parse_rate_limit_per_s,
)
from mimosaworks.node.standalone_chooser import StandaloneChooser
from mimosaworks.node.standalone_permits import StandalonePermits
from mimosaworks.node.target_chooser import (
    ASSIGNMENT_TTL_S,
    RATE_LIMITED_ASSIGNMENT_TTL_S,
    TargetChooser,
)
from mimosaworks.wire import Beat, BeatReply, LimitNote, LimitRow, NodeRow
from tests.dispatch_world import make_entry
from tests.node_clock import set_clock
from tests.test_node_local_choice import DEPLOYMENT, choose, make_ask

LIMIT = 'Server-Limit'
MARK = 'content'
HUGE = '9' * 8192
GOLDEN = 0.618  # spreads draws evenly


def head(*limits: str) -> CIMultiDict[str]:
    return CIMultiDict((LIMIT, limit) for limit in limits)


@attrs.define(eq=False)
class Node:
    """A node's view, and what it told the holder."""

    told: list[LimitNote] = attrs.field(factory=list)
    kinds: list[str] = attrs.field(factory=list)
    is_alone: bool = False
    view: LimitView = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.view = LimitView(
            on_notice=self.kinds.append,
            on_rate_limit=self.told.append,
            is_standalone=lambda: self.is_alone,
        )

    def read(
        self, *limits: str, sent_s: float = 0, status: int = 200, now: float = 1
    ) -> None:
        """Read the head of an answer to call c of target t1."""
        call = types.SimpleNamespace(
            target='t1', sent_s=sent_s, call_ask=types.SimpleNamespace(call='c')
        )
        resp = types.SimpleNamespace(headers=head(*limits), status=status)
        self.view.read_response_head(call, resp, now)  # type: ignore[arg-type]


def reply(*rows: LimitRow, **fields: object) -> BeatReply:
    return BeatReply(True, fence=1, limits=rows, **fields)  # type: ignore[arg-type]


def beat(*notes: LimitNote) -> Beat:
    return Beat(NodeRow('n1', '', '', ''), 1, limits=notes)


@pytest.mark.parametrize(
    ('sent', 'per_s'),
    [('0', 0), ('0.1', 0.1), ('2.5', 2.5), ('1e9', 1e9), (' 3 ', 3)],
)
def test_a_limit_is_a_decimal_number(sent: str, per_s: float) -> None:
    assert parse_rate_limit_per_s(head(sent)) == per_s
    assert parse_rate_limit_per_s(head()) == math.inf


@pytest.mark.parametrize(
    'sent', ['-1', 'nan', 'inf', '', 'few', '1_0', HUGE, '1,1', '0x1']
)
def test_what_is_no_limit_changes_nothing(
    sent: str, caplog: pytest.LogCaptureFixture
) -> None:
    node = Node()
    node.read(sent)
    assert node.view.rate_limit_per_s('t1') == math.inf
    node.read('1')
    node.read(sent, sent_s=5)
    node.is_alone = True
    node.read(sent, sent_s=9)
    assert node.view.rate_limit_per_s('t1') == 1
    assert node.kinds.count('limit_ignored') == 3
    assert len(node.told) == 1


def test_a_limit_that_is_named_twice_is_not_read() -> None:
    node = Node()
    node.read('1', '2')
    assert node.view.rate_limit_per_s('t1') == math.inf
    assert node.kinds == ['limit_ignored']


def test_only_the_begin_of_a_long_field_is_logged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lines: list[dict[str, object]] = []
    monkeypatch.setattr(
        'mimosaworks.node.limit_view.log_event',
        lambda _, **fields: lines.append(fields),
    )
    Node().read(HUGE)
    assert len(json.dumps(lines)) < 4 * MAX_LOGGED_CHARS


def test_a_lower_limit_holds_at_once_a_higher_one_is_the_holders() -> None:
    node = Node()
    node.read('4')
    node.read('2')
    node.read('9', sent_s=5)
    node.read(sent_s=5)
    assert node.view.rate_limit_per_s('t1') == 2
    assert [note.per_s for note in node.told] == [4, 2, 9, math.inf]
    assert {note.call for note in node.told} == {'c'}


def test_an_address_that_another_process_has_lifts_nothing() -> None:
    node = Node()
    node.read('2')
    node.read(status=421)
    assert node.view.rate_limit_per_s('t1') == 2
    assert len(node.told) == 1


def test_answers_to_other_calls_name_limits_but_lift_none() -> None:
    node = Node()
    node.view.read_other_headers('t1', head('3'), 1)
    node.view.read_other_headers('t1', head(), 2)
    node.view.read_other_headers('t1', head('5'), 2)
    node.view.read_other_headers('t1', head('no'), 2)
    assert node.view.rate_limit_per_s('t1') == 3
    assert [note.per_s for note in node.told] == [3]


def test_the_holders_word_replaces_what_it_has_heard() -> None:
    node = Node()
    node.read('2')
    node.view.apply_reply(reply(), beat(), 2)
    assert node.view.rate_limit_per_s('t1') == 2  # not heard yet
    heard = beat(LimitNote('t1', 2))
    node.view.apply_reply(
        reply(LimitRow('t1', 2), limits_version=1, limits_whole=True), heard, 3
    )
    assert node.view.rate_limit_per_s('t1') == 2
    node.view.apply_reply(reply(limits_gone=('t1',)), beat(), 4)
    assert node.view.rate_limit_per_s('t1') == math.inf
    assert not node.view.rate_limits_per_s()


def test_a_new_holder_hears_all_that_is_known() -> None:
    node = Node()
    node.view.apply_reply(
        reply(LimitRow('t2', 5), limits_whole=True), beat(), 1
    )
    node.read('2')
    assert set(node.view.make_limit_notes()) == {
        LimitNote('t1', 2),
        LimitNote('t2', 5),
    }


def test_a_node_alone_believes_newer_answers() -> None:
    node = Node(is_alone=True)
    node.read('2', now=5)
    node.read(sent_s=4.9, now=6)
    assert node.view.rate_limit_per_s('t1') == 2
    node.read('3', sent_s=5.1, now=7)
    assert node.view.rate_limit_per_s('t1') == 3
    node.read(sent_s=7.1, now=8)
    assert node.view.rate_limit_per_s('t1') == math.inf


def test_what_a_node_knows_is_bounded() -> None:
    view = LimitView()
    for number in range(MAX_LIMITS + 5):
        view.read_other_headers(f't{number}', head('1'), 1)
    assert len(view.rate_limits_per_s()) == MAX_LIMITS


def test_nodes_are_told_of_changes_only() -> None:
    watch = LimitMonitor()
    limits = TargetRateLimits()
    limits.record_limit('t1', 2, -math.inf, 0)
    watch.update_rows(limits, RejectionLimits())
    version = watch.row_log.version
    assert watch.row_log.changes_since(0).rows == (LimitRow('t1', 2),)
    limits.try_acquire('t1', 9)
    watch.update_rows(limits, RejectionLimits())
    assert not watch.row_log.changes_since(version).rows
    limits.record_limit('t1', math.inf, 1, 2)
    watch.update_rows(limits, RejectionLimits())
    assert watch.row_log.changes_since(version).removed_names == ('t1',)


def grant(**fields: object) -> Assignment:
    return Assignment('t1', 't1:1', 0, **fields)  # type: ignore[arg-type]


# Guards against a process that was paused for some seconds and sends what was
# decided before.
@pytest.mark.parametrize(
    ('has_permit', 'longest_s'),
    [(True, RATE_LIMITED_ASSIGNMENT_TTL_S), (False, ASSIGNMENT_TTL_S)],
)
def test_a_decision_is_for_the_moment(
    monkeypatch: pytest.MonkeyPatch, has_permit: bool, longest_s: float
) -> None:
    clock = set_clock(monkeypatch, chooser_module)
    chooser = make_chooser()
    decided = grant(granted_s=clock.now, has_permit=has_permit)
    clock.now += longest_s - 0.01
    chooser.check_assignment((MARK,), decided)
    clock.now += 0.02
    with pytest.raises(AttemptError) as caught:
        chooser.check_assignment((MARK,), decided)
    assert caught.value.is_not_run
    assert caught.value.outcome is CallOutcome.NOT_SENT


# Guards against a send whose decision and the view behind it are each young
# enough, and too old together.
def test_the_ages_of_a_decision_and_of_its_view_add_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clock = set_clock(monkeypatch, chooser_module)
    chooser = make_chooser()
    chooser.max_send_age_s = lambda: 1.8
    decided = grant(granted_s=clock.now, view_age_s=1.4)
    clock.now += 0.39
    chooser.check_assignment((MARK,), decided)
    clock.now += 0.02
    with pytest.raises(AttemptError, match='from a view 1.81 s old'):
        chooser.check_assignment((MARK,), decided)


def make_chooser(**blocked: float) -> TargetChooser:
    link = types.SimpleNamespace(
        limit_view=LimitView(),
        crash_view=CrashView(),
        pending_updates=types.SimpleNamespace(
            has_urgent_updates=types.SimpleNamespace(set=lambda: None)
        ),
    )
    return TargetChooser(
        node_name='n1',
        nonce='x',
        data_centre='north',
        cluster_state=None,  # type: ignore[arg-type]
        holder_link=link,  # type: ignore[arg-type]
        target_notices=types.SimpleNamespace(
            blocked_targets=lambda _: set(blocked)
        ),  # type: ignore[arg-type]
        count_members=lambda: 3,
        is_view_usable=lambda _: True,
        is_view_fresh=lambda _: True,
        find_resend_config=lambda: None,  # type: ignore[arg-type,return-value]
    )


def test_a_decision_without_the_limit_that_was_read_since_is_given_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clock = set_clock(monkeypatch, chooser_module)
    chooser = make_chooser()
    chooser.holder_link.limit_view.read_other_headers(
        't1', head('5'), clock.now
    )
    chooser.check_assignment(
        (MARK,), grant(granted_s=clock.now, has_permit=True)
    )
    with pytest.raises(AttemptError):
        chooser.check_assignment((MARK,), grant(granted_s=clock.now))


def test_a_target_that_asked_to_be_left_out_meanwhile_gets_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clock = set_clock(monkeypatch, chooser_module)
    with pytest.raises(AttemptError):
        make_chooser(t1=1).check_assignment((MARK,), grant(granted_s=clock.now))


# Guards against a request that was decided, or waited, before the third target
# ended under its content, and that left after it.
@pytest.mark.parametrize(('ends', 'is_sent'), [(2, True), (3, False)])
def test_a_content_that_is_refused_meanwhile_is_not_sent(
    monkeypatch: pytest.MonkeyPatch, ends: int, *, is_sent: bool
) -> None:
    clock = set_clock(monkeypatch, chooser_module)
    chooser = make_chooser()
    for number in range(ends):
        end = TargetCrash(MARK, f't{number}', 1)
        chooser.holder_link.crash_view.record_crash(end, clock.now, clock.now)
    decided = grant(granted_s=clock.now)
    trial = attrs.evolve(decided, is_trial=True)
    chooser.check_assignment((MARK,), trial)
    chooser.check_assignment(('other',), decided)
    with contextlib.ExitStack() as stack:
        if not is_sent:
            stack.enter_context(pytest.raises(AttemptError))
        chooser.check_assignment((MARK,), decided)


@pytest.mark.parametrize('members', [1, 6, 30, 195, 300])
@pytest.mark.parametrize('limit', [0.2, 1, 10])
def test_nodes_alone_keep_to_the_limit_together(
    members: int, limit: float
) -> None:
    draws = [math.modf(number * GOLDEN)[0] for number in range(members)]
    nodes = [StandalonePermits(iter((drawn,)).__next__) for drawn in draws]
    sent: list[float] = []
    for step in range(600):
        now = step * 0.1
        for node in nodes:
            if node.has_permit('t1', limit, members, now):
                node.consume_permit('t1', now)
                sent.append(now)
    for begin_s in sent:
        count = sum(begin_s <= at_s < begin_s + 4 for at_s in sent)
        # The rest is for the last holder's and the next one's places.
        assert count <= 1.5 * limit + 4


def test_places_that_were_not_used_do_not_add_up() -> None:
    node = StandalonePermits(lambda: 0.5)
    node.has_permit('t1', 1, 6, 0)
    times = [step / 10 for step in range(2400, 2880)]
    opened = [at_s for at_s in times if node.has_permit('t1', 1, 6, at_s)]
    # A second in each period of 24.
    assert len(opened) == pytest.approx(20, abs=2)


def test_a_node_alone_sends_only_in_its_place() -> None:
    local = StandaloneChooser(
        find_rate_limit={'t1': 1.0, 't2': math.inf}.__getitem__
    )
    local.permits.draw_phase = lambda: 0.5
    local.apply_token_shares(DEPLOYMENT, {'small': 1500}, 2, 0)
    targets = [make_entry(name, service='ledger') for name in ('t1', 't2')]
    first = choose(local, make_ask(), *targets)
    assert isinstance(first, Assignment)
    assert first.target == 't2'
    assert not first.has_permit
    assert not isinstance(choose(local, make_ask(), targets[0]), Assignment)
    # Its places begin 4 s after each 8 s.
    second = choose(local, make_ask(), targets[0], now=12.5)
    assert isinstance(second, Assignment)
    assert second.has_permit
    assert not isinstance(
        choose(local, make_ask(), targets[0], now=12.6), Assignment
    )
