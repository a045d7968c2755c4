"""Ends what callers have begun at a node that was told to stop."""

import asyncio
import contextlib

from mimosaworks.clock import now_s
from mimosaworks.events import Event, log_event
from mimosaworks.node.node import Node
from mimosaworks.node.stays import Tally

# Of the grace, after which a holder that stops gives the lease back: nodes that
# were restarted before it are there again, and take it for longer.
HAND_OVER_SHARE = 0.55
ACCEPT_SHARE = 0.75  # of the grace, in which callers still know the address
# At the end of the grace, to close what is left, the servers and the process on
# a busy VM; a shorter share where the grace is short.
CLOSE_S = 1.0
CLOSE_SHARE = 1 / 6
OVERDUE_SHARE = 0.97  # of the grace, after which the process should be gone
END_POLL_S = 0.05
GIVE_BACK_PAUSE_S = 0.3
CROSSING_S = 0.05  # for requests that were sent before the node closed
FLUSH_SHARE = 0.4  # of the time to close, for answers on their way to callers


async def stop_node(node: Node) -> None:
    """Return when requests have ended, or when nothing more can be ended."""
    # A signal that came while the process was paused is seen afterwards.
    begun_s = node.front.pulse.arrived_s()
    grace_s = node.cfg.bounds.grace_s
    end_s = begun_s + grace_s - _close_s(grace_s)
    accept_end_s = min(begun_s + grace_s * ACCEPT_SHARE, end_s)
    _begin(node, grace_s, begun_s, end_s)
    try:
        async with asyncio.timeout(end_s - now_s()):
            await _hand_over(node, grace_s, accept_end_s)
    except TimeoutError:
        log_event(
            Event.DEPENDENCY_LOST,
            dependency='store:lease',
            reason='the lease was not given back in time',
            age_s=now_s() - begun_s,
        )
    await asyncio.sleep(accept_end_s - now_s())
    while node.front.stays.taken and now_s() < end_s:
        await asyncio.sleep(END_POLL_S)
    await _close(node, end_s)


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
        unread=ended.unread,
        seconds=now_s() - node.stop_begun_s,
        dropped=dropped,
    )


def _close_s(grace_s: float) -> float:
    """Return the part of a grace in which a node closes what is left."""
    return min(CLOSE_S, grace_s * CLOSE_SHARE)


def _begin(node: Node, grace_s: float, begun_s: float, end_s: float) -> None:
    node.stop_begun_s = begun_s
    node.stop_end_s = end_s
    stays = node.front.stays
    stays.ended = Tally()
    log_event(
        Event.NODE_STOPPING,
        node=node.cfg.name,
        running=len(node.front.calls),
        taken=len(stays.taken),
        grace_s=grace_s,
    )
    node.front.begin_stop()
    asyncio.get_running_loop().call_later(
        grace_s * OVERDUE_SHARE, _log_overdue, node
    )


async def _hand_over(node: Node, grace_s: float, accept_end_s: float) -> None:
    """Have the next holder elected; return once this node decides nothing."""
    await node.link.beat_now()
    if node.holder is not None:
        node.election.may_hold = False
        await asyncio.sleep(grace_s * HAND_OVER_SHARE)
    while not await node.election.give_back() and now_s() < accept_end_s:
        await asyncio.sleep(GIVE_BACK_PAUSE_S)


async def _close(node: Node, end_s: float) -> None:
    """End all requests; their callers are answered where that is possible.

    Answers that have not left yet may do so until end_s, and some time more.
    """
    stays = node.front.stays
    node.stop_end_s = now_s()  # nothing begins from here on
    log_event(
        Event.NODE_CLOSING,
        node=node.cfg.name,
        running=len(node.front.calls),
        taken=len(stays.taken),
        seconds=now_s() - node.stop_begun_s,
    )
    await node.callers.stop_listening()
    await asyncio.sleep(CROSSING_S)
    stays.expire()
    # What is left after that is closed with its connection.
    with contextlib.suppress(TimeoutError):
        left_s = max(end_s - now_s(), 0)
        flush_s = _close_s(node.cfg.bounds.grace_s) * FLUSH_SHARE
        async with asyncio.timeout(left_s + flush_s):
            await node.callers.close_others(stays.conns)
    stays.ended.unread = node.callers.count_open()
    stays.abort()


def _log_overdue(node: Node) -> None:
    log_event(
        Event.NODE_OVERDUE,
        node=node.cfg.name,
        running=len(node.front.calls),
        taken=len(node.front.stays.taken),
        seconds=now_s() - node.stop_begun_s,
    )
