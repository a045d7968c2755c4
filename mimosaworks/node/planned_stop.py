"""Planned stop of a node: hands over the lease and drains requests."""

import asyncio
import contextlib

from mimosaworks.clock import now_s
from mimosaworks.events import Event, log_event
from mimosaworks.node.node import Node
from mimosaworks.node.open_requests import EndedRequestCounts

# Share of the grace after which a holder that stops releases the lease. By then
# nodes that were restarted before it serve again, and one of them can hold the
# lease for longer than a node that is still to be restarted.
LEASE_HANDOVER_SHARE = 0.55
# Share of the grace in which callers may still use this node's address.
ACCEPT_REQUESTS_SHARE = 0.75
# Time at the end of the grace to close the remaining requests, the servers and
# the process on a busy VM; at most MAX_CLOSE_SHARE of a short grace.
MAX_CLOSE_S = 1.0
MAX_CLOSE_SHARE = 1 / 6
# Share of the grace after which the process should have exited.
OVERDUE_LOG_SHARE = 0.97
OPEN_REQUESTS_POLL_INTERVAL_S = 0.05
LEASE_RELEASE_RETRY_DELAY_S = 0.3
# Time for the arrival of requests that were sent before the node closed its
# listening socket.
IN_FLIGHT_REQUESTS_WAIT_S = 0.05
# Rounds of the loop in which what was accepted last is read.
READ_ROUNDS = 5
# Share of the time to close after which requests end, whatever is unread.
READ_SHARE = 1 / 3
# Share of the time to close for answers in transit to callers.
ANSWER_FLUSH_SHARE = 0.4


async def stop_node(node: Node) -> None:
    """Stop a node; return when all requests have ended or were aborted."""
    # A signal that was sent while the process was paused is handled after the
    # pause, so the grace counts from the pause.
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
            reason='the lease was not released in time',
            age_s=now_s() - stop_started_s,
        )
    await asyncio.sleep(accept_until_s - now_s())
    while _has_open_requests(node) and now_s() < stop_deadline_s:
        await asyncio.sleep(OPEN_REQUESTS_POLL_INTERVAL_S)
    await _close_open_requests(node, stop_deadline_s)


def log_stopped(node: Node, dropped_log_lines: int) -> None:
    """Log how the requests since SIGTERM ended.

    dropped_log_lines is the number of log lines that were dropped.
    """
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


def _has_open_requests(node: Node) -> bool:
    return bool(
        node.frontend.open_requests.requests or node.frontend.relay.running
    )


def _close_duration_s(grace_s: float) -> float:
    """Return the seconds of a grace that are reserved for closing."""
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
        grace_s * OVERDUE_LOG_SHARE, _log_stop_overdue, node
    )


async def _hand_over_lease(
    node: Node, grace_s: float, accept_until_s: float
) -> None:
    """Release the lease, so that another node is elected holder.

    Return once this node does not hold it, or at accept_until_s.
    """
    await node.holder_link.send_extra_heartbeat()
    if node.holder is not None:
        node.election.is_candidate = False
        await asyncio.sleep(grace_s * LEASE_HANDOVER_SHARE)
    while not await node.election.release_lease() and now_s() < accept_until_s:
        await asyncio.sleep(LEASE_RELEASE_RETRY_DELAY_S)


async def _close_open_requests(node: Node, stop_deadline_s: float) -> None:
    """End all requests, with an answer to their callers where possible.

    Answers may still be written until stop_deadline_s, and for
    ANSWER_FLUSH_SHARE of the closing time after it.
    """
    open_requests = node.frontend.open_requests
    # No request is sent to a target from here on.
    node.stop_deadline_s = now_s()
    log_event(
        Event.NODE_CLOSING,
        node=node.cfg.name,
        running=len(node.frontend.running_calls),
        taken=len(open_requests.requests),
        seconds=now_s() - node.stop_started_s,
    )
    close_s = _close_duration_s(node.cfg.bounds.grace_s)
    read_until_s = now_s() + close_s * READ_SHARE
    await node.caller_server.stop_listening(now_s() + IN_FLIGHT_REQUESTS_WAIT_S)
    await asyncio.sleep(IN_FLIGHT_REQUESTS_WAIT_S)
    await _wait_rounds(READ_ROUNDS, read_until_s)
    open_requests.expire_all()
    # Requests that remain after that are aborted with their connections.
    with contextlib.suppress(TimeoutError):
        remaining_s = max(stop_deadline_s - now_s(), 0)
        async with asyncio.timeout(remaining_s + close_s * ANSWER_FLUSH_SHARE):
            await node.caller_server.close_idle_connections(
                open_requests.connections
            )
    open_requests.ended_counts.unread_connection_count = (
        node.caller_server.count_connections()
    )
    open_requests.abort_all()


async def _wait_rounds(count: int, until_s: float) -> None:
    """Return after so many rounds of the loop, or the first after until_s."""
    await asyncio.sleep(0)
    remaining = count - 1
    while remaining and now_s() < until_s:
        await asyncio.sleep(0)
        remaining -= 1


def _log_stop_overdue(node: Node) -> None:
    log_event(
        Event.NODE_OVERDUE,
        node=node.cfg.name,
        running=len(node.frontend.running_calls),
        taken=len(node.frontend.open_requests.requests),
        seconds=now_s() - node.stop_started_s,
    )
