"""Ends what callers have begun at a node that was told to stop."""

import asyncio

from mimosaworks.clock import now_s
from mimosaworks.events import Event, log_event
from mimosaworks.node.node import Node
from mimosaworks.node.stays import Tally

# Of the grace, after which a holder that stops gives the lease back: nodes that
# were restarted before it are there again, and take it for longer.
HAND_OVER_SHARE = 0.55
ACCEPT_SHARE = 0.75  # of the grace, in which callers still know the address
END_SHARE = 0.92  # of the grace, after which nothing can be ended
OVERDUE_SHARE = 0.97  # of the grace, after which the process should be gone
END_POLL_S = 0.05
GIVE_BACK_PAUSE_S = 0.3


async def stop_node(node: Node) -> None:
    """Return when requests have ended, or when nothing more can be ended."""
    begun_s = now_s()
    grace_s = node.cfg.bounds.grace_s
    end_s = begun_s + grace_s * END_SHARE
    node.stop_begun_s = begun_s
    node.stop_end_s = end_s
    stays = node.front.stays
    stays.ended = Tally()
    node.front.bound_waits()
    asyncio.get_running_loop().call_later(
        grace_s * OVERDUE_SHARE, _log_overdue, node
    )
    log_event(
        Event.NODE_STOPPING,
        node=node.cfg.name,
        running=len(node.front.calls),
        taken=len(stays.taken),
        grace_s=grace_s,
    )
    await node.link.beat_now()
    accept_end_s = now_s() + grace_s * ACCEPT_SHARE
    if node.holder is not None:
        node.election.may_hold = False
        await asyncio.sleep(grace_s * HAND_OVER_SHARE)
    while not await node.election.give_back() and now_s() < accept_end_s:
        await asyncio.sleep(GIVE_BACK_PAUSE_S)
    await asyncio.sleep(max(accept_end_s - now_s(), 0))
    while (node.front.calls or node.front.waits) and now_s() < end_s:
        await asyncio.sleep(END_POLL_S)
    for stay in stays.taken:
        stay.note_cut()


def log_stopped(node: Node, dropped: int) -> None:
    """Tell how the requests since SIGTERM ended; dropped counts log lines."""
    ended = node.front.stays.ended
    log_event(
        Event.NODE_STOPPED,
        node=node.cfg.name,
        answered=ended.answered,
        refused=ended.refused,
        left=ended.left,
        cut=ended.cut,
        seconds=now_s() - node.stop_begun_s,
        dropped=dropped,
    )


def _log_overdue(node: Node) -> None:
    log_event(
        Event.NODE_OVERDUE,
        node=node.cfg.name,
        running=len(node.front.calls),
        taken=len(node.front.stays.taken),
        seconds=now_s() - node.stop_begun_s,
    )
