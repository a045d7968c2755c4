"""Advances intents according to the reports of targets."""

import math
from collections.abc import Callable

from mimosaworks.entities import Target
from mimosaworks.placement.adapter_policy import make_unload_intent
from mimosaworks.placement.decision import Decision, DecisionKind
from mimosaworks.placement.intent import Intent, IntentState
from mimosaworks.placement.intent_status import (
    get_track,
    is_load_order_expired,
    is_load_order_reported,
    is_replica_drained,
    is_terminating,
    may_delete_intent,
    reported_state,
)
from mimosaworks.placement.replica_demand import find_removal_reason
from mimosaworks.placement.shard_state import VM_GONE, ShardState


def advance_intents(
    state: ShardState, now: float, fence: int, new_order_id: Callable[[], str]
) -> list[Decision]:
    """Change and delete intents where the reports allow it.

    Returns the decisions: unloads of drained replicas and of loads without
    an intent, drains of replicas that the configuration no longer has, and
    deleted intents.
    """
    decisions = _unload_unplanned_loads(state, now, fence, new_order_id)
    for intent in state.ledger.intents().values():
        decision = _advance_intent(state, intent, now)
        if decision is not None:
            decisions.append(decision)
    return decisions


def _advance_intent(
    state: ShardState, intent: Intent, now: float
) -> Decision | None:
    ledger = state.ledger
    if (
        intent.order_id in ledger.sent_changes
        or intent.order_id in ledger.pending_changes
    ):
        return None
    if state.find_vm_state(intent.url) == VM_GONE:
        return _delete_intent_of_lost_vm(state, intent, now)
    if is_terminating(ledger, intent):
        return _advance_termination(state, intent, now)
    if intent.adapter:
        return _unload_orphaned_adapter(state, intent, now)
    track = get_track(ledger, intent)
    if not track.is_draining:
        return _drain_removed_replica(state, intent, now)
    return _advance_drain(state, intent, now)


def _advance_drain(
    state: ShardState, intent: Intent, now: float
) -> Decision | None:
    ledger = state.ledger
    track = get_track(ledger, intent)
    is_overdue = now - track.drain_start_s > state.placement_cfg.drain_ack_s
    if is_overdue and math.isinf(track.drain_acked_s):
        # A router that missed the map is told by the target that the model
        # is not loaded, and goes elsewhere.
        track.drain_acked_s = now
    if is_replica_drained(ledger, intent, state.placement_cfg.report_lag_s):
        ledger.put_intent(make_unload_intent(intent), now)
        return _make_decision(DecisionKind.UNLOAD, intent, 'drained')
    return None


def _delete_intent_of_lost_vm(
    state: ShardState, intent: Intent, now: float
) -> Decision | None:
    track = get_track(state.ledger, intent)
    # The address may soon belong to another VM, which a late order could
    # reach.
    if not is_load_order_expired(track, state.placement_cfg.quarantine_s, now):
        return None
    state.ledger.delete_intent(intent.order_id)
    return _make_decision(DecisionKind.END, intent, 'its VM is gone')


def _advance_termination(
    state: ShardState, intent: Intent, now: float
) -> Decision | None:
    ledger = state.ledger
    if intent.state is IntentState.LOAD and not is_load_order_reported(
        ledger, intent
    ):
        ledger.put_intent(make_unload_intent(intent), now)
        return _make_decision(
            DecisionKind.UNLOAD, intent, 'refused by the target'
        )
    if not may_delete_intent(
        state.ledger, intent, state.placement_cfg.quarantine_s
    ):
        return None
    state.ledger.delete_intent(intent.order_id)
    reason = f'not loaded; order {reported_state(state.ledger, intent)}'
    return _make_decision(DecisionKind.END, intent, reason)


def _unload_orphaned_adapter(
    state: ShardState, intent: Intent, now: float
) -> Decision | None:
    base = state.ledger.find_intent(intent.target, intent.model)
    is_base_live = base is not None and not is_terminating(state.ledger, base)
    if is_base_live and intent.adapter in state.catalogue.adapter:
        return None
    state.ledger.put_intent(make_unload_intent(intent), now)
    return _make_decision(
        DecisionKind.UNLOAD, intent, 'model or adapter is gone'
    )


def _drain_removed_replica(
    state: ShardState, intent: Intent, now: float
) -> Decision | None:
    reason = find_removal_reason(state, intent)
    if not reason:
        return None
    get_track(state.ledger, intent).start_drain(now)
    return _make_decision(DecisionKind.DRAIN, intent, reason)


def _unload_unplanned_loads(
    state: ShardState, now: float, fence: int, new_order_id: Callable[[], str]
) -> list[Decision]:
    decisions = []
    for target in state.catalogue.target.values():
        if state.find_vm_state(target.url) == VM_GONE:
            continue
        intents = state.ledger.intents_on_target(target.name)
        for stray in state.ledger.find_unplanned_loads(target.name, intents):
            intent = _make_unplanned_load_intent(
                state, target, stray, fence, new_order_id()
            )
            state.ledger.put_intent(intent, now)
            decisions.append(
                _make_decision(
                    DecisionKind.UNLOAD, intent, 'loaded without intent'
                )
            )
    return decisions


def _make_unplanned_load_intent(
    state: ShardState,
    target: Target,
    unplanned_load: tuple[str, bool, int],
    fence: int,
    order_id: str,
) -> Intent:
    name, is_adapter, size_bytes = unplanned_load
    return Intent(
        order_id=order_id,
        state=IntentState.UNLOAD,
        model=_find_base_model(state, name) if is_adapter else name,
        adapter=name if is_adapter else '',
        target=target.name,
        url=target.url,
        checkpoint='',
        size_bytes=size_bytes,
        fence=fence,
        checks_fence=target.checks_fence,
    )


def _find_base_model(state: ShardState, adapter: str) -> str:
    known_adapter = state.catalogue.adapter.get(adapter)
    return '' if known_adapter is None else known_adapter.model


def _make_decision(kind: DecisionKind, intent: Intent, reason: str) -> Decision:
    return Decision(kind, intent.model, intent.adapter, intent.target, reason)
