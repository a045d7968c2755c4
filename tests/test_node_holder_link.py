"""What a node takes over from the holder's answers to its beats."""

import asyncio

import attrs
import pytest
from multidict import CIMultiDict

from mimosaworks.errors import PeerError, PeerRefusedError, PeerTimeoutError
from mimosaworks.node import holder_link as module
from mimosaworks.node.election import Lease
from mimosaworks.node.heartbeat_times import (
    HEARTBEAT_TIMEOUT_S,
    HOLDER_TIMEOUT_S,
    MAX_HEARTBEATS_PER_S,
    UNANSWERED_HEARTBEAT_INTERVAL_S,
    heartbeat_interval_s,
    member_timeout_s,
)
from mimosaworks.node.holder_link import SLOW_REPLY_S, HolderLink
from mimosaworks.node.members import Members
from mimosaworks.node.replicated_view import BALANCES_INTERVAL_S
from mimosaworks.platform.headers import LIMIT
from mimosaworks.wire import (
    Beat,
    BeatReply,
    CallAsk,
    LimitNote,
    NodeRow,
    Spent,
    TargetRow,
)
from tests.node_clock import Clock, set_clock
from tests.test_node_local_choice import make_ask

LEASE = Lease('n1', 'n1:1', 'nonce', 1)


def row(name: str) -> NodeRow:
    return NodeRow(name, f'{name}:80', f'{name}:81', 'north', False, 1)


def target(name: str) -> TargetRow:
    return TargetRow(name, 'engines', f'{name}:1', 'north', 4, 'ready', 1, ())


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    return set_clock(monkeypatch, module)


def _not_running() -> PeerRefusedError:
    return PeerRefusedError('not running')


@attrs.define(eq=False)
class ScriptedPeers:
    """Answers each beat with the next reply, or refuses it."""

    replies: list[BeatReply] = attrs.field(factory=list)
    beats: list[Beat] = attrs.field(factory=list)
    failure: Exception = attrs.field(factory=_not_running)
    pause_s: float = 0
    clock: Clock = attrs.field(factory=Clock)

    async def call(
        self,
        _address: str,
        beat: Beat | CallAsk,
        _reply: type,
        _timeout_s: float,
    ) -> BeatReply:
        if isinstance(beat, CallAsk):
            await asyncio.sleep(30)
        self.beats.append(beat)
        if not self.replies:
            self.clock.now += self.pause_s
            raise self.failure
        return self.replies.pop(0)


@attrs.define(eq=False)
class Link:
    """A link under test, with the lease it believes in."""

    peers: ScriptedPeers
    lease: Lease = LEASE
    losses: int = 0
    link: HolderLink = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.link = HolderLink(
            peers=self.peers,  # type: ignore[arg-type]
            find_lease=lambda: self.lease,
            find_local_holder=lambda: None,
            make_node_row=lambda: row('n2'),
            list_running_calls=tuple,
            list_leaving_targets=dict,
            on_reply=lambda _: None,
            on_lost=self.count_loss,
        )

    def count_loss(self) -> None:
        self.losses += 1


def reply(fence: int, **facts: object) -> BeatReply:
    return BeatReply(is_holder=True, fence=fence, **facts)  # type: ignore[arg-type]


async def test_members_and_targets_are_sent_once_and_kept() -> None:
    peers = ScriptedPeers([
        reply(
            1,
            members_version=4,
            members=(row('n1'), row('n2')),
            members_whole=True,
            targets_version=7,
            targets=(target('t'),),
            targets_whole=True,
        ),
        reply(1, members_version=4, targets_version=7),
    ])
    made = Link(peers)
    await made.link.send_extra_heartbeat()
    await made.link.send_extra_heartbeat()
    assert set(made.link.replicated_view.members) == {'n1', 'n2'}
    assert set(made.link.replicated_view.targets) == {'t'}
    assert [beat.members_version for beat in peers.beats] == [0, 4]
    assert [beat.targets_version for beat in peers.beats] == [0, 7]


async def test_another_holder_with_the_same_versions_is_believed() -> None:
    # Each process counts by itself: equal numbers say nothing.
    peers = ScriptedPeers([
        reply(
            1,
            members_version=1,
            members=(row('n1'),),
            members_whole=True,
            targets_version=1,
            targets=(target('gone'),),
            targets_whole=True,
        ),
        reply(
            2,
            members_version=1,
            members=(row('n3'),),
            members_whole=True,
            targets_version=1,
            targets=(target('new'),),
            targets_whole=True,
        ),
    ])
    made = Link(peers)
    await made.link.send_extra_heartbeat()
    made.lease = attrs.evolve(LEASE, holder='n3', fence=2)
    await made.link.send_extra_heartbeat()
    assert set(made.link.replicated_view.members) == {'n3'}
    assert set(made.link.replicated_view.targets) == {'new'}


async def test_a_holder_that_is_gone_is_lost_once() -> None:
    made = Link(ScriptedPeers([reply(1)]))
    await made.link.send_extra_heartbeat()
    await made.link.send_extra_heartbeat()
    await made.link.send_extra_heartbeat()
    assert made.losses == 1
    assert not made.link.fence


# Guards against a holder that lets a node send to a target whose limit only
# this node knows, as the node asks before it has told the limit.
async def test_a_lost_holder_is_asked_again_once_it_knows_the_limits() -> None:
    made = Link(ScriptedPeers([reply(1, limits_version=4)]))
    link = made.link
    await link.send_extra_heartbeat()
    assert link.has_contact()
    await link.send_extra_heartbeat()
    link.limit_view.read_other_headers('t', CIMultiDict({LIMIT: '0.2'}), 0)
    with pytest.raises(PeerError, match='no holder'):
        await link.request_assignment(make_ask('alpha'))
    made.peers.replies = [reply(1)]
    await link.send_extra_heartbeat()
    assert link.has_contact()
    heartbeat = made.peers.beats[-1]
    assert heartbeat.limits == (LimitNote('t', 0.2),)
    assert not heartbeat.limits_version


def test_the_members_version_grows_with_each_change_only() -> None:
    members = Members()
    members.record_heartbeat(row('n1'), 0)
    members.record_heartbeat(row('n1'), 1)
    assert members.row_log.version == 1
    members.record_heartbeat(attrs.evolve(row('n1'), is_stopping=True), 1)
    members.record_heartbeat(row('n2'), 3.5)
    assert members.row_log.version == 3
    assert members.remove_silent_members(3.5) == {'n1'}
    assert not members.remove_silent_members(3.5)
    assert members.row_log.version == 4
    assert members.row_log.rows == {'n2': row('n2')}


async def test_only_changed_members_and_targets_are_sent() -> None:
    peers = ScriptedPeers([
        reply(
            1,
            members_version=2,
            members=(row('n1'), row('n2')),
            members_whole=True,
            targets_version=2,
            targets=(target('t1'), target('t2')),
            targets_whole=True,
        ),
        reply(
            1,
            members_version=4,
            members=(row('n3'),),
            members_gone=('n1',),
            targets_version=3,
            targets=(attrs.evolve(target('t2'), slots=9),),
        ),
    ])
    made = Link(peers)
    await made.link.send_extra_heartbeat()
    await made.link.send_extra_heartbeat()
    assert set(made.link.replicated_view.members) == {'n2', 'n3'}
    assert set(made.link.replicated_view.targets) == {'t1', 't2'}
    told = made.link.replicated_view
    assert told.targets['t2'].slots == 9


# At 195 nodes the pause between two beats was longer than the silence after
# which a holder was taken for lost: requests were decided without it.
@pytest.mark.parametrize('nodes', [30, 195, 300, 1034])
async def test_a_holder_is_not_lost_by_the_pause_between_beats(
    nodes: int, clock: Clock
) -> None:
    interval_s = heartbeat_interval_s(nodes)
    made = Link(ScriptedPeers([reply(1, interval_s=interval_s)]))
    await made.link.send_extra_heartbeat()
    clock.now += 2 * interval_s
    assert made.link.has_contact()
    await made.link.send_extra_heartbeat()
    assert not made.link.has_contact()


async def test_a_holder_is_lost_when_it_leaves_a_beat_unanswered(
    clock: Clock,
) -> None:
    peers = ScriptedPeers(
        [reply(1)], pause_s=HOLDER_TIMEOUT_S + 0.1, clock=clock
    )
    made = Link(peers)
    await made.link.send_extra_heartbeat()
    peers.failure = PeerTimeoutError('no answer')
    await made.link.send_extra_heartbeat()
    assert not made.link.has_contact()
    assert made.losses == 1


async def test_levels_are_asked_for_twice_a_second(clock: Clock) -> None:
    peers = ScriptedPeers([
        reply(1, levels=(Spent('agency', 5),)),
        reply(1),
        reply(1),
    ])
    made = Link(peers)
    await made.link.send_extra_heartbeat()
    clock.now += BALANCES_INTERVAL_S / 2
    await made.link.send_extra_heartbeat()
    assert made.link.replicated_view.token_balances == {'agency': 5}
    clock.now += BALANCES_INTERVAL_S
    await made.link.send_extra_heartbeat()
    assert [beat.wants_levels for beat in peers.beats] == [True, False, True]


async def test_an_ask_that_takes_long_has_the_holder_looked_after() -> None:
    peers = ScriptedPeers([reply(1, interval_s=30) for _ in range(9)])
    made = Link(peers)
    await made.link.send_extra_heartbeat()
    running = asyncio.create_task(made.link.send_heartbeats())
    await asyncio.sleep(0.05)
    before = len(peers.beats)
    asking = asyncio.create_task(
        made.link.request_assignment(make_ask('alpha'))
    )
    await asyncio.sleep(SLOW_REPLY_S + 0.3)
    assert len(peers.beats) > before
    for task in (asking, running):
        task.cancel()


@pytest.mark.parametrize('nodes', [30, 195, 300, 1034])
def test_the_times_of_beats_fit_each_other(nodes: int) -> None:
    interval_s = heartbeat_interval_s(nodes)
    assert nodes / interval_s <= MAX_HEARTBEATS_PER_S
    assert member_timeout_s(nodes) > 2 * interval_s + HEARTBEAT_TIMEOUT_S
    assert (
        HOLDER_TIMEOUT_S > HEARTBEAT_TIMEOUT_S + UNANSWERED_HEARTBEAT_INTERVAL_S
    )
