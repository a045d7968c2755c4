"""What a node takes from the replies of holders of other releases."""

import asyncio
import math

import attrs
import pytest

from mimosaworks.deployment import TargetEntry, TargetState
from mimosaworks.node.cluster_follower import ClusterFollower
from mimosaworks.node.conversions import target_row_from
from mimosaworks.node.replicated_view import ReplicatedView
from mimosaworks.wire import BeatReply, NodeRow
from tests.test_node_views import FakeLink, SilentStore, make

NOW = 100.0
ENTRY = TargetEntry(
    name='engine-1',
    service='engines',
    address='10.0.0.1:80',
    data_centre='north',
    slots=4,
    state=TargetState.DRAINING,
    incarnation=7,
)


def reply(entry: TargetEntry, *, judges_ends: bool = True) -> BeatReply:
    """Return the reply of a holder that knows the field, or not."""
    row = NodeRow('node-1', '', '', 'north', judges_ends=judges_ends)
    return BeatReply(
        is_holder=True,
        members=(row,),
        members_whole=True,
        targets=(target_row_from(entry, NOW),),
        targets_whole=True,
    )


# Guards against a notice that is forgotten when a holder of an earlier release,
# which does not pass it on, takes the lease.
def test_a_notice_outlasts_the_reply_of_an_earlier_release() -> None:
    view = ReplicatedView()
    view.apply_reply(reply(attrs.evolve(ENTRY, leaves_at_s=NOW + 2)), NOW)
    view.apply_reply(reply(ENTRY, judges_ends=False), NOW)
    assert view.targets['engine-1'].leaves_at_s == NOW + 2
    reborn = attrs.evolve(ENTRY, incarnation=8)
    view.apply_reply(reply(reborn, judges_ends=False), NOW)
    assert view.targets['engine-1'].leaves_at_s == math.inf


# Guards against targets that are read by each node beside the holder where
# that tells all, or where none leaves.
@pytest.mark.parametrize(
    ('state', 'leaves_at_s', 'judges_ends', 'expected'),
    [
        (TargetState.DRAINING, math.inf, False, True),
        (TargetState.DRAINING, math.inf, True, False),
        (TargetState.DRAINING, NOW + 2, False, False),
        (TargetState.READY, math.inf, False, False),
    ],
)
def test_notices_are_missed_under_an_earlier_release(
    state: TargetState, leaves_at_s: float, *, judges_ends: bool, expected: bool
) -> None:
    view = ReplicatedView()
    assert not view.misses_notices('node-1')
    entry = attrs.evolve(ENTRY, state=state, leaves_at_s=leaves_at_s)
    view.apply_reply(reply(entry, judges_ends=judges_ends), NOW)
    assert view.misses_notices('node-1') is expected
    assert not view.misses_notices('node-2')


# Guards against a node that knows no notice, as its holder does not pass it on.
@pytest.mark.parametrize('is_missed', [True, False])
async def test_a_node_reads_the_targets_while_it_misses_notices(
    *, is_missed: bool
) -> None:
    follower: ClusterFollower = make(SilentStore(), FakeLink(), is_holder=False)
    follower.misses_notices = lambda: is_missed
    task = asyncio.create_task(follower.targets_follower.run())
    await asyncio.sleep(0.1)
    assert bool(follower.cluster_state.targets_read_s) is is_missed
    task.cancel()
