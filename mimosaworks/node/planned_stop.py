"""Ends what callers have begun at a node that was told to stop."""

import asyncio
import contextlib

from mimosaworks.clock import now_s
from mimosaworks.events import Event, log_event
from mimosaworks.node.node import Node
from mimosaworks.node.open_requests import EndedRequestCounts

# Of the grace, after which a holder that stops gives the lease back: nodes that
# were restarted before it are there again, and take it for longer.
LEASE_HANDOVER_SHARE = 0.55
ACCEPT_REQUESTS_SHARE = (
    0.75  # of the grace, in which callers still know the address
)
# At the end of the grace, to close what is left, the servers and the process on
# a busy VM; a shorter share where the grace is short.
MAX_CLOSE_S = 1.0
MAX_CLOSE_SHARE = 1 / 6
OVERDUE_LOG_SHARE = 0.97  # of the grace, after which the process should be gone
OPEN_REQUESTS_POLL_INTERVAL_S = 0.05
LEASE_RELEASE_RETRY_DELAY_S = 0.3
IN_FLIGHT_REQUESTS_WAIT_S = (
    0.05  # for requests that were sent before the node closed
)
ANSWER_FLUSH_SHARE = (
    0.4  # of the time to close, for answers on their way to callers
)


async def stop_node(node: Node) -> None:
    """Return when requests have ended, or when nothing more can be ended."""
    # A signal that came while the process was paused is seen afterwards.
    stop_started_s = node.frontend.stall_detector.earliest_arrival_s()
    grace_s = node.cfg.bounds.grace_s
    stop_deadline_s = stop_started_s + grace_s - _close_duration_s(grace_s)
    accept_until_s = min(
        stop_started_s + grace_s * ACCEPT_REQUESTS_SHARE, stop_deadline_s
    )
    _begin_stop(node, grace_s, stop_started_s, stop_deadline_s)
    try:
        async with asyncio.timeout(stop_deadline_s - now_s()):
            await _hand_over_lease(node, grace_s, accept_until_s)
    except TimeoutError:
        log_event(
            Event.DEPENDENCY_LOST,
            dependency='store:lease',
            reason='the lease was not given back in time',
            age_s=now_s() - stop_started_s,
        )
    await asyncio.sleep(accept_until_s - now_s())
    while node.frontend.open_requests.requests and now_s() < stop_deadline_s:
        await asyncio.sleep(OPEN_REQUESTS_POLL_INTERVAL_S)
    await _close_open_requests(node, stop_deadline_s)


def log_stopped(node: Node, dropped_log_lines: int) -> None:
    """Tell how the requests since SIGTERM ended; dropped counts log lines."""
    counts = node.frontend.open_requests.ended_counts
    log_event(
        Event.NODE_STOPPED,
        node=node.cfg.name,
        answered=counts.answered_count,
        refused=counts.refused_count,
        left=counts.abandoned_count,
        cut=counts.ended_by_node_count,
        unread=counts.unread_connection_count,
        seconds=now_s() - node.stop_started_s,
        dropped=dropped_log_lines,
    )


def _close_duration_s(grace_s: float) -> float:
    """Return the part of a grace in which a node closes what is left."""
    return min(MAX_CLOSE_S, grace_s * MAX_CLOSE_SHARE)


def _begin_stop(
    node: Node, grace_s: float, stop_started_s: float, stop_deadline_s: float
) -> None:
    node.stop_started_s = stop_started_s
    node.stop_deadline_s = stop_deadline_s
    open_requests = node.frontend.open_requests
    open_requests.ended_counts = EndedRequestCounts()
    log_event(
        Event.NODE_STOPPING,
        node=node.cfg.name,
        running=len(node.frontend.running_calls),
        taken=len(open_requests.requests),
        grace_s=grace_s,
    )
    node.frontend.begin_stop()
    asyncio.get_running_loop().call_later(
        grace_s * OVERDUE_LOG_SHARE, _log_overdue, node
    )


async def _hand_over_lease(
    node: Node, grace_s: float, accept_until_s: float
) -> None:
    """Have the next holder elected; return once this node decides nothing."""
    await node.holder_link.beat_now()
    if node.holder is not None:
        node.election.may_hold = False
        await asyncio.sleep(grace_s * LEASE_HANDOVER_SHARE)
    while not await node.election.give_back() and now_s() < accept_until_s:
        await asyncio.sleep(LEASE_RELEASE_RETRY_DELAY_S)


async def _close_open_requests(node: Node, stop_deadline_s: float) -> None:
    """End all requests; their callers are answered where that is possible.

    Answers that have not left yet may do so until end_s, and some time more.
    """
    open_requests = node.frontend.open_requests
    node.stop_deadline_s = now_s()  # nothing begins from here on
    log_event(
        Event.NODE_CLOSING,
        node=node.cfg.name,
        running=len(node.frontend.running_calls),
        taken=len(open_requests.requests),
        seconds=now_s() - node.stop_started_s,
    )
    await node.caller_server.stop_listening()
    await asyncio.sleep(IN_FLIGHT_REQUESTS_WAIT_S)
    open_requests.expire_all()
    # What is left after that is closed with its connection.
    with contextlib.suppress(TimeoutError):
        remaining_s = max(stop_deadline_s - now_s(), 0)
        flush_s = (
            _close_duration_s(node.cfg.bounds.grace_s) * ANSWER_FLUSH_SHARE
        )
        async with asyncio.timeout(remaining_s + flush_s):
            await node.caller_server.close_idle_connections(
                open_requests.connections
            )
    open_requests.ended_counts.unread_connection_count = (
        node.caller_server.count_connections()
    )
    open_requests.abort_all()


def _log_overdue(node: Node) -> None:
    log_event(
        Event.NODE_OVERDUE,
        node=node.cfg.name,
        running=len(node.frontend.running_calls),
        taken=len(node.frontend.open_requests.requests),
        seconds=now_s() - node.stop_started_s,
    )
