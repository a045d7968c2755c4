"""Converts between messages of nodes and the types of dispatch."""

import math

from mimosaworks.deployment import (
    PromptPart,
    RequestProfile,
    ResidentModel,
    TargetEntry,
    TargetState,
)
from mimosaworks.dispatch import Assignment, AssignmentRequest, Refusal
from mimosaworks.wire import (
    CallAsk,
    CallReply,
    PartNote,
    TargetModel,
    TargetRow,
)

MS_PER_S = 1000
MAX_NOTICE_MS = 3600000  # no notice is longer


def assignment_request_from(call_ask: CallAsk, now: float) -> AssignmentRequest:
    """Return the assignment request of a message.

    The remaining times in it count from now.
    """
    return AssignmentRequest(
        call_id=call_ask.call,
        node=call_ask.node,
        service=call_ask.service,
        workspace=call_ask.workspace,
        cost=call_ask.cost,
        priority=call_ask.priority,
        profile=RequestProfile(
            model=call_ask.model,
            adapter=call_ask.adapter,
            tokens_in=call_ask.tokens_in,
            tokens_out=call_ask.tokens_out,
            tokens_hint=call_ask.tokens_hint,
            parts=tuple(
                PromptPart(part_note.part, part_note.tokens)
                for part_note in call_ask.parts
            ),
        ),
        data_centre=call_ask.data_centre,
        latency_target_s=call_ask.target_s,
        deadline_s=now + call_ask.left_s,
        first_event_deadline_s=now + call_ask.first_left_s,
        resends=call_ask.resends,
        excluded=frozenset(call_ask.excluded),
        fingerprint=call_ask.mark,
        software_version=call_ask.software_version,
        is_relayed=call_ask.is_relayed,
    )


def part_notes_from(profile: RequestProfile) -> tuple[PartNote, ...]:
    """Return the parts of a request's prompt for a message."""
    return tuple(PartNote(part.part_id, part.tokens) for part in profile.parts)


def call_reply_from(
    decision: Assignment | Refusal, requested_s: float
) -> CallReply:
    """Return the message for a decision.

    requested_s is when the holder got the request.
    """
    if isinstance(decision, Refusal):
        return CallReply(
            kind=decision.kind.value,
            retry_after_s=decision.retry_after_s,
            reason=decision.reason,
        )
    return CallReply(
        target=decision.target,
        address=decision.address,
        priority=decision.priority,
        reason=decision.reason,
        is_counted=decision.has_permit,
        is_trial=decision.is_trial,
        born=decision.incarnation,
        ended=decision.crash_count,
        waited_s=max(decision.granted_s - requested_s, 0),
        view_age_s=decision.view_age_s,
        software_version=decision.software_version,
    )


def target_row_from(entry: TargetEntry, now: float) -> TargetRow:
    """Return the message that describes a target from now on."""
    leaves_in_ms = 0
    if entry.leaves_at_s < math.inf:
        # Zero stands for a target without a notice.
        notice_ms = int((entry.leaves_at_s - now) * MS_PER_S)
        leaves_in_ms = min(max(notice_ms, 1), MAX_NOTICE_MS)
    return TargetRow(
        name=entry.name,
        service=entry.service,
        address=entry.address,
        data_centre=entry.data_centre,
        slots=entry.slots,
        state=entry.state.value,
        born=entry.incarnation,
        models=tuple(
            TargetModel(residence.model, residence.adapters)
            for residence in entry.resident_models
        ),
        software_version=entry.software_version,
        leaves_in_ms=leaves_in_ms,
    )


def target_entry_from(row: TargetRow, now: float) -> TargetEntry:
    """Return the target that a message from now describes."""
    leaves_at_s = math.inf
    if row.leaves_in_ms:
        leaves_at_s = now + row.leaves_in_ms / MS_PER_S
    return TargetEntry(
        name=row.name,
        service=row.service,
        address=row.address,
        data_centre=row.data_centre,
        slots=row.slots,
        state=TargetState(row.state),
        incarnation=row.born,
        resident_models=tuple(
            ResidentModel(target_model.model, target_model.adapters)
            for target_model in row.models
        ),
        software_version=row.software_version,
        leaves_at_s=leaves_at_s,
    )
