"""Turns messages between nodes into the types of decisions, and back."""

from mimosaworks.deployment import (
    CallFacts,
    PromptPart,
    Residence,
    TargetEntry,
    TargetState,
)
from mimosaworks.dispatch import Ask, Assignment, Refusal
from mimosaworks.wire import (
    CallAsk,
    CallReply,
    PartNote,
    TargetModel,
    TargetRow,
)


def ask_of(message: CallAsk, now: float) -> Ask:
    """Return the ask that a message holds; its time left counts from now."""
    return Ask(
        call=message.call,
        node=message.node,
        service=message.service,
        workspace=message.workspace,
        cost=message.cost,
        priority=message.priority,
        facts=CallFacts(
            model=message.model,
            adapter=message.adapter,
            tokens_in=message.tokens_in,
            tokens_out=message.tokens_out,
            tokens_hint=message.tokens_hint,
            parts=tuple(
                PromptPart(note.part, note.tokens) for note in message.parts
            ),
        ),
        data_centre=message.data_centre,
        target_s=message.target_s,
        give_up_s=now + message.left_s,
        first_by_s=now + message.first_left_s,
        resends=message.resends,
        excluded=frozenset(message.excluded),
        mark=message.mark,
    )


def parts_of(facts: CallFacts) -> tuple[PartNote, ...]:
    """Return a prompt's parts for a message."""
    return tuple(PartNote(part.part, part.tokens) for part in facts.parts)


def reply_of(decided: Assignment | Refusal, asked_s: float) -> CallReply:
    """Return the message that tells a decision on an ask of asked_s."""
    if isinstance(decided, Refusal):
        return CallReply(
            kind=decided.kind.value,
            retry_after_s=decided.retry_after_s,
            reason=decided.reason,
        )
    return CallReply(
        target=decided.target,
        address=decided.address,
        priority=decided.priority,
        reason=decided.reason,
        is_counted=decided.is_counted,
        is_trial=decided.is_trial,
        born=decided.born,
        ended=decided.ended,
        waited_s=max(decided.granted_s - asked_s, 0),
    )


def row_of_target(entry: TargetEntry) -> TargetRow:
    """Return the message that describes a target."""
    return TargetRow(
        name=entry.name,
        service=entry.service,
        address=entry.address,
        data_centre=entry.data_centre,
        slots=entry.slots,
        state=entry.state.value,
        born=entry.born,
        models=tuple(
            TargetModel(one.model, one.adapters) for one in entry.residences
        ),
    )


def target_of_row(row: TargetRow) -> TargetEntry:
    """Return the target that a message describes."""
    return TargetEntry(
        name=row.name,
        service=row.service,
        address=row.address,
        data_centre=row.data_centre,
        slots=row.slots,
        state=TargetState(row.state),
        born=row.born,
        residences=tuple(
            Residence(one.model, one.adapters) for one in row.models
        ),
    )
