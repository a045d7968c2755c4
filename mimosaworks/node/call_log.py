"""Log lines about callers' requests at a node."""

from mimosaworks.clock import now_s
from mimosaworks.dispatch import Assignment, CallOutcome
from mimosaworks.errors import RequestError
from mimosaworks.events import Event, log_event
from mimosaworks.node.call import Call
from mimosaworks.node.end_judge import EndProof
from mimosaworks.platform.headers import LAST_EVENT, RESUMED_REQUEST
from mimosaworks.wire import CrashNote, StreamReply


def log_admitted(call: Call, version: int) -> None:
    """Log that the deployment version allows a request."""
    log_event(
        Event.CALL_ADMITTED,
        request_id=call.request_id,
        route=call.route.name,
        service=call.service,
        workspace=call.workspace or '',
        model=call.profile.model,
        adapter=call.profile.adapter,
        tokens=call.profile.declared_tokens,
        left_s=call.remaining_s(),
        version=version,
        mark=call.fingerprint,
        resumes=call.req.headers.get(RESUMED_REQUEST, ''),
        after=call.req.headers.get(LAST_EVENT, ''),
    )


def log_traced(call: Call, origin: StreamReply, known_by: str) -> None:
    """Log where the stream began that a request resumes."""
    log_event(
        Event.STREAM_TRACED,
        request_id=call.request_id,
        resumes=call.resumes,
        service=origin.service,
        software_version=origin.software_version,
        known_by=known_by,
    )


def log_refused(
    request_id: str, exc: RequestError, version: int, holder_age_s: float
) -> None:
    """Log why a request is answered with an error.

    holder_age_s is the time since the lease holder's last answer.
    """
    log_event(
        Event.CALL_REFUSED,
        request_id=request_id,
        kind=exc.kind.value,
        run=exc.run_state.value,
        reason=exc.message,
        retry_after_s=exc.retry_after_s,
        version=version,
        holder_age_s=holder_age_s,
    )


def log_sent(call: Call, assignment: Assignment, fence: int) -> None:
    """Log the target that a request is sent to.

    fence is the fencing number of the holder that assigned it.
    """
    log_event(
        Event.CALL_SENT,
        request_id=call.request_id,
        call='' if call.call_ask is None else call.call_ask.call,
        target=assignment.target,
        reason=assignment.reason,
        waited_s=call.age_s(),
        left_s=call.remaining_s(),
        resends=call.resends,
        fence=fence,
        decided_ago_s=now_s() - assignment.granted_s,
        software_version=assignment.software_version,
        is_begun=call.relayed_stream is not None,
    )


def log_via_relay(call: Call, assignment: Assignment, relay: str) -> None:
    """Log the node that sends a request because this one is cut off."""
    log_event(
        Event.CALL_VIA_RELAY,
        request_id=call.request_id,
        target=assignment.target,
        relay=relay,
    )


def log_answer_started(call: Call, first_bytes_s: float) -> None:
    """Log that the answer began first_bytes_s seconds after the send."""
    log_event(
        Event.CALL_STARTED,
        request_id=call.request_id,
        target=call.target,
        first_s=first_bytes_s,
        age_s=call.age_s(),
    )


def log_answered(call: Call, assignment: Assignment, status: int) -> None:
    """Log that the complete answer was relayed to the caller."""
    stream = call.relayed_stream
    log_event(
        Event.CALL_ANSWERED,
        request_id=call.request_id,
        target=assignment.target,
        status=status,
        seconds=call.age_s(),
        resends=call.resends,
        framing=call.framing.value,
        has_events=None if stream is None else stream.buffer.has_run_event,
        is_end_confirmed=call.end_proof is not EndProof.NONE,
        end_proof=call.end_proof.value,
    )


def log_attempt_failed(call: Call, reason: str) -> None:
    """Log why an attempt ended without a complete answer."""
    log_event(
        Event.CALL_BROKEN,
        request_id=call.request_id,
        target=call.target,
        is_started=call.is_answer_started,
        reason=reason,
        age_s=call.age_s(),
    )


def log_possible_crash(call: Call, crash_note: CrashNote) -> None:
    """Log that a target may have crashed while it ran a request."""
    log_event(
        Event.TARGET_END_SEEN,
        request_id=call.request_id,
        mark=crash_note.mark,
        target=crash_note.target,
        born=crash_note.born,
        number=crash_note.number,
        is_silent=crash_note.is_silent,
        parts=[part.part_id for part in call.profile.parts],
    )


def log_resend(call: Call, outcome: CallOutcome) -> None:
    """Log that a request is sent again, and the last attempt's outcome."""
    log_event(
        Event.CALL_RESENT,
        request_id=call.request_id,
        target=call.target,
        outcome=outcome.value,
        resends=call.resends,
        left_s=call.remaining_s(),
    )


def log_abandoned(call: Call, outcome: CallOutcome) -> None:
    """Log a request that was cancelled.

    Its caller disconnected, its deadline passed or the node stopped.
    """
    log_event(
        Event.CALL_ABANDONED,
        request_id=call.request_id,
        target=call.target,
        outcome=outcome.value,
        is_started=call.is_answer_started,
        age_s=call.age_s(),
        left_s=call.remaining_s(),
    )
