"""Moves intents on by what targets report."""

import math
from collections.abc import Callable

from mimosaworks.entities import Target
from mimosaworks.placement.adapter_policy import unloading
from mimosaworks.placement.decision import Decision, DecisionKind
from mimosaworks.placement.evidence import (
    is_drained,
    is_ended,
    is_load_known,
    is_settled,
    may_delete,
    resolved_state,
    track_of,
)
from mimosaworks.placement.intent import Intent, IntentState
from mimosaworks.placement.shard_state import VM_GONE, ShardState
from mimosaworks.placement.wants import unwanted_reason


def settle(
    state: ShardState, now: float, fence: int, new_id: Callable[[], str]
) -> list[Decision]:
    """Change and end intents where the evidence is there.

    Returns what was decided: unloads of what was drained or had no intent,
    drains of what the configuration no longer wants, and ended intents.
    """
    decisions = _adopt_strays(state, now, fence, new_id)
    for intent in state.ledger.intents().values():
        decision = _settle_one(state, intent, now)
        if decision is not None:
            decisions.append(decision)
    return decisions


def _settle_one(
    state: ShardState, intent: Intent, now: float
) -> Decision | None:
    ledger = state.ledger
    if intent.order_id in ledger.sent or intent.order_id in ledger.pending:
        return None
    if state.vm_state(intent.url) == VM_GONE:
        return _settle_gone(state, intent, now)
    if is_ended(ledger, intent):
        return _settle_ended(state, intent, now)
    if intent.adapter:
        return _settle_adapter(state, intent, now)
    track = track_of(ledger, intent)
    if not track.is_draining:
        return _drain_unwanted(state, intent, now)
    return _settle_drain(state, intent, now)


def _settle_drain(
    state: ShardState, intent: Intent, now: float
) -> Decision | None:
    ledger = state.ledger
    track = track_of(ledger, intent)
    is_overdue = now - track.drain_since_s > state.rules.drain_ack_s
    if is_overdue and math.isinf(track.drain_acked_s):
        # A router that missed the map is told by the target that the model
        # is not loaded, and goes elsewhere.
        track.drain_acked_s = now
    if is_drained(ledger, intent, state.rules.report_lag_s):
        ledger.put(unloading(intent), now)
        return _decide(DecisionKind.UNLOAD, intent, 'drained')
    return None


def _settle_gone(
    state: ShardState, intent: Intent, now: float
) -> Decision | None:
    track = track_of(state.ledger, intent)
    # The address may be in use again soon, by a VM that a late order finds.
    if not is_settled(track, state.rules.quarantine_s, now):
        return None
    state.ledger.delete(intent.order_id)
    return _decide(DecisionKind.END, intent, 'its VM is gone')


def _settle_ended(
    state: ShardState, intent: Intent, now: float
) -> Decision | None:
    ledger = state.ledger
    if intent.state is IntentState.LOAD and not is_load_known(ledger, intent):
        ledger.put(unloading(intent), now)
        return _decide(DecisionKind.UNLOAD, intent, 'refused by the target')
    if not may_delete(state.ledger, intent, state.rules.quarantine_s):
        return None
    state.ledger.delete(intent.order_id)
    reason = f'not loaded; order {resolved_state(state.ledger, intent)}'
    return _decide(DecisionKind.END, intent, reason)


def _settle_adapter(
    state: ShardState, intent: Intent, now: float
) -> Decision | None:
    base = state.ledger.find(intent.target, intent.model)
    is_base_live = base is not None and not is_ended(state.ledger, base)
    if is_base_live and intent.adapter in state.catalogue.adapter:
        return None
    state.ledger.put(unloading(intent), now)
    return _decide(DecisionKind.UNLOAD, intent, 'model or adapter is gone')


def _drain_unwanted(
    state: ShardState, intent: Intent, now: float
) -> Decision | None:
    reason = unwanted_reason(state, intent)
    if not reason:
        return None
    track_of(state.ledger, intent).start_drain(now)
    return _decide(DecisionKind.DRAIN, intent, reason)


def _adopt_strays(
    state: ShardState, now: float, fence: int, new_id: Callable[[], str]
) -> list[Decision]:
    decisions = []
    for target in state.catalogue.target.values():
        if state.vm_state(target.url) == VM_GONE:
            continue
        intents = state.ledger.on_target(target.name)
        for stray in state.ledger.strays(target.name, intents):
            intent = _stray_intent(state, target, stray, fence, new_id())
            state.ledger.put(intent, now)
            decisions.append(
                _decide(DecisionKind.UNLOAD, intent, 'loaded without intent')
            )
    return decisions


def _stray_intent(
    state: ShardState,
    target: Target,
    stray: tuple[str, bool, int],
    fence: int,
    order_id: str,
) -> Intent:
    name, is_adapter, size_bytes = stray
    return Intent(
        order_id=order_id,
        state=IntentState.UNLOAD,
        model=_base_model(state, name) if is_adapter else name,
        adapter=name if is_adapter else '',
        target=target.name,
        url=target.url,
        checkpoint='',
        size_bytes=size_bytes,
        fence=fence,
        checks_fence=target.checks_fence,
    )


def _base_model(state: ShardState, adapter: str) -> str:
    found = state.catalogue.adapter.get(adapter)
    return '' if found is None else found.model


def _decide(kind: DecisionKind, intent: Intent, reason: str) -> Decision:
    return Decision(kind, intent.model, intent.adapter, intent.target, reason)
