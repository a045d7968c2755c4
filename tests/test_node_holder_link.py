"""What a node takes over from the holder's answers to its beats."""

import attrs

from mimosaworks.errors import PeerRefusedError
from mimosaworks.node.election import Lease
from mimosaworks.node.holder_link import HolderLink
from mimosaworks.node.members import Members
from mimosaworks.wire import Beat, BeatReply, NodeRow, TargetRow

LEASE = Lease('n1', 'n1:1', 'nonce', 1)


def row(name: str) -> NodeRow:
    return NodeRow(name, f'{name}:80', f'{name}:81', 'north', False, 1)


def target(name: str) -> TargetRow:
    return TargetRow(name, 'engines', f'{name}:1', 'north', 4, 'ready', 1, ())


@attrs.define(eq=False)
class ScriptedPeers:
    """Answers each beat with the next reply, or refuses it."""

    replies: list[BeatReply] = attrs.field(factory=list)
    beats: list[Beat] = attrs.field(factory=list)

    async def call(
        self, _address: str, beat: Beat, _reply: type, _timeout_s: float
    ) -> BeatReply:
        self.beats.append(beat)
        if not self.replies:
            raise PeerRefusedError('not running')
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
            lease=lambda: self.lease,
            local=lambda: None,
            row=lambda: row('n2'),
            running=tuple,
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
            targets_version=7,
            targets=(target('t'),),
        ),
        reply(1, members_version=4, targets_version=7),
    ])
    made = Link(peers)
    await made.link.beat_now()
    await made.link.beat_now()
    assert set(made.link.members) == {'n1', 'n2'}
    assert set(made.link.targets) == {'t'}
    assert [beat.members_version for beat in peers.beats] == [0, 4]
    assert [beat.targets_version for beat in peers.beats] == [0, 7]


async def test_another_holder_with_the_same_versions_is_believed() -> None:
    # Each process counts by itself: equal numbers say nothing.
    peers = ScriptedPeers([
        reply(
            1,
            members_version=1,
            members=(row('n1'),),
            targets_version=1,
            targets=(target('gone'),),
        ),
        reply(
            2,
            members_version=1,
            members=(row('n3'),),
            targets_version=1,
            targets=(target('new'),),
        ),
    ])
    made = Link(peers)
    await made.link.beat_now()
    made.lease = attrs.evolve(LEASE, holder='n3', fence=2)
    await made.link.beat_now()
    assert set(made.link.members) == {'n3'}
    assert set(made.link.targets) == {'new'}


async def test_a_holder_that_is_gone_is_lost_once() -> None:
    made = Link(ScriptedPeers([reply(1)]))
    await made.link.beat_now()
    await made.link.beat_now()
    await made.link.beat_now()
    assert made.losses == 1
    assert not made.link.fence


def test_the_members_version_grows_with_each_change_only() -> None:
    members = Members()
    members.note(row('n1'), 0)
    members.note(row('n1'), 1)
    assert members.version == 1
    members.note(attrs.evolve(row('n1'), is_stopping=True), 1)
    members.note(row('n2'), 3.5)
    assert members.version == 3
    assert members.drop_silent(3.5) == {'n1'}
    assert not members.drop_silent(3.5)
    assert members.version == 4
    assert members.rows() == (row('n2'),)
