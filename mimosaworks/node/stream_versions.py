"""The software version that a stream began at, and must stay at.

What two versions of a service's software write does not fit together, and
targets do not check which one began a stream that they resume.
"""

import asyncio
from collections.abc import Mapping

from mimosaworks.clock import now_s
from mimosaworks.deployment import TargetEntry
from mimosaworks.dispatch import Assignment, CallOutcome
from mimosaworks.errors import ErrorKind, PeerError, RequestError
from mimosaworks.node import call_log
from mimosaworks.node.attempt_error import AttemptError
from mimosaworks.node.call import Call
from mimosaworks.node.holder_link import HolderLink
from mimosaworks.node.stream_origins import EXPIRY_SLACK_S
from mimosaworks.node.target_chooser import (
    FIRST_EVENT_ALLOWANCE_S,
    HOLDER_POLL_INTERVAL_S,
    MAX_HOLDER_WAIT_S,
    TargetChooser,
)
from mimosaworks.wire import StreamNote, StreamReply

# No node that runs now knows where the stream began.
UNKNOWN_ORIGIN_RETRY_S = 1.0
_UNKNOWN = StreamReply()


def record_begun_version(
    call: Call, assignment: Assignment, target_chooser: TargetChooser
) -> None:
    """Record the version of the target that begins a request's stream.

    It is not known if the target has restarted since the assignment.
    """
    if call.stream_version is not None:
        return
    entry = target_chooser.latest_targets().get(assignment.target)
    is_restarted = (
        entry is not None and entry.incarnation != assignment.incarnation
    )
    call.stream_version = '' if is_restarted else assignment.software_version
    if call.route.is_resumable and call.stream_version:
        note = StreamNote(
            call.request_id,
            call.service,
            call.stream_version,
            call.remaining_s() + EXPIRY_SLACK_S,
        )
        link = target_chooser.holder_link
        if link.stream_origins.add(note):
            link.pending_updates.record_stream(note)


async def trace_resumed_stream(call: Call, link: HolderLink) -> None:
    """Bind a request that resumes a stream to what began the stream.

    Raises RequestError if that is not known, or if the route no longer leads
    to its service.
    """
    if call.resumes is None:
        return
    origin, known_by = _own_origin(call.resumes, link), 'node'
    if not origin.software_version and call.resumes:
        origin, known_by = await _ask_holder(call, call.resumes, link), 'holder'
    is_known = bool(origin.software_version)
    call_log.log_traced(call, origin, known_by if is_known else '')
    if not is_known:
        raise _refusal(
            f'the software version that began stream {call.resumes!r} '
            'is not known'
        )
    if origin.service not in _services(call):
        raise _refusal(f'the route does not lead to {origin.service!r} now')
    call.service = origin.service
    call.stream_version = origin.software_version


def check_version(
    call: Call, assignment: Assignment, targets: Mapping[str, TargetEntry]
) -> None:
    """Raise AttemptError if a target must not resume a request's stream.

    The holder may run a release that knows no software versions, and the
    target may have restarted with another one since the assignment.
    """
    if call.stream_version is None:
        return
    versions = {assignment.software_version}
    entry = targets.get(assignment.target)
    if entry is not None:
        versions.add(entry.software_version)
    if not call.stream_version or versions != {call.stream_version}:
        names = '/'.join(sorted(versions))
        raise AttemptError(
            CallOutcome.NOT_SENT,
            f'{assignment.target} runs software version {names!r}, '
            f'the stream began at {call.stream_version!r}',
            is_not_run=True,
        )


def _own_origin(request_id: str, link: HolderLink) -> StreamReply:
    origin = link.stream_origins.find(request_id)
    if origin is None:
        return _UNKNOWN
    return StreamReply(origin.service, origin.software_version)


async def _ask_holder(
    call: Call, request_id: str, link: HolderLink
) -> StreamReply:
    """Return what the holder knows, once there is one in time to serve."""
    deadline_s = now_s() + min(
        MAX_HOLDER_WAIT_S,
        call.first_event_remaining_s() - FIRST_EVENT_ALLOWANCE_S,
    )
    while True:  # noqa: WPS457 -- ends with an answer, or in time
        try:
            return await link.request_stream_origin(request_id)
        except PeerError:
            if now_s() > deadline_s:
                return _UNKNOWN
        await asyncio.sleep(HOLDER_POLL_INTERVAL_S)


def _services(call: Call) -> set[str]:
    return {
        share.service
        for share in call.route.shares
        if share.weight > 0 or len(call.route.shares) == 1
    }


def _refusal(reason: str) -> RequestError:
    return RequestError(
        ErrorKind.NO_TARGET, reason, retry_after_s=UNKNOWN_ORIGIN_RETRY_S
    )
