"""Decides which adapters are loaded on and unloaded from ready replicas."""

import math
from collections.abc import Callable

import attrs

from mimosaworks.entities import Adapter
from mimosaworks.placement.budget import has_adapter_load_slot
from mimosaworks.placement.decision import Decision, DecisionKind
from mimosaworks.placement.intent import Intent, IntentState
from mimosaworks.placement.intent_status import (
    find_loaded_state,
    is_terminating,
)
from mimosaworks.placement.shard_state import ShardState


def place_adapters(
    state: ShardState, now: float, fence: int, new_order_id: Callable[[], str]
) -> list[Decision]:
    """Decide loads for adapters with waiting requests, one replica each.

    An adapter is loaded on a target with a ready replica of its model.
    Where memory is short, the target's least recently used idle adapters
    are unloaded first. Returns the decisions.
    """
    decisions = []
    for adapter in _find_unplaced_adapters(state, now):
        if not has_adapter_load_slot(state.ledger, state.placement_cfg):
            break
        decision = _decide_adapter_load(
            state, adapter, now, fence, new_order_id()
        )
        if decision is not None:
            decisions.append(decision)
    return decisions


def _find_unplaced_adapters(state: ShardState, now: float) -> list[Adapter]:
    waiting_since = state.demand_tracker.waiting_since
    waiting_adapters = []
    for model, name in sorted(waiting_since, key=waiting_since.__getitem__):
        adapter = state.catalogue.adapter.get(name)
        if adapter is not None and adapter.model == model:
            waiting_adapters.append(adapter)
    return [
        adapter
        for adapter in waiting_adapters
        if not _is_adapter_placed(state, adapter, now)
    ]


def _is_adapter_placed(state: ShardState, adapter: Adapter, now: float) -> bool:
    intents = state.ledger.intents().values()
    adapter_intents = [
        intent for intent in intents if intent.adapter == adapter.name
    ]
    return any(state.is_intent_live(intent, now) for intent in adapter_intents)


def _decide_adapter_load(
    state: ShardState, adapter: Adapter, now: float, fence: int, order_id: str
) -> Decision | None:
    host_replicas = _find_host_replicas(state, adapter, now)
    if not host_replicas:
        return None
    free_bytes = {
        host.target: _host_free_bytes(state, host) for host in host_replicas
    }
    best_host = max(host_replicas, key=lambda host: free_bytes[host.target])
    if free_bytes[best_host.target] < adapter.size_bytes:
        return _evict_idle_adapter(state, best_host, adapter.size_bytes, now)
    intent = _make_load_intent(adapter, best_host, fence, order_id)
    state.ledger.put_intent(intent, now)
    alternatives = tuple(
        f'{target}/{size}' for target, size in free_bytes.items()
    )
    return Decision(
        DecisionKind.LOAD,
        adapter.model,
        adapter.name,
        best_host.target,
        'requests wait for it; this target has the most free memory',
        alternatives,
    )


def _make_load_intent(
    adapter: Adapter, host: Intent, fence: int, order_id: str
) -> Intent:
    return Intent(
        order_id=order_id,
        state=IntentState.LOAD,
        model=adapter.model,
        adapter=adapter.name,
        target=host.target,
        url=host.url,
        checkpoint=adapter.name,
        size_bytes=adapter.size_bytes,
        fence=fence,
        checks_fence=host.checks_fence,
    )


def _find_host_replicas(
    state: ShardState, adapter: Adapter, now: float
) -> list[Intent]:
    find_intent = state.ledger.find_intent
    adapter_name = adapter.name
    return [
        host
        for host in state.ready_replicas(adapter.model, now)
        if find_intent(host.target, host.model, adapter_name) is None
    ]


def _host_free_bytes(state: ShardState, host: Intent) -> int:
    return state.target_free_bytes(state.catalogue.target[host.target])


def _evict_idle_adapter(
    state: ShardState, host: Intent, size_bytes: int, now: float
) -> Decision | None:
    target_intents = state.ledger.intents_on_target(host.target)
    releasing_bytes = sum(
        intent.size_bytes
        for intent in target_intents
        if is_terminating(state.ledger, intent)
    )
    if _host_free_bytes(state, host) + releasing_bytes >= size_bytes:
        return None
    idle_adapters = [
        intent for intent in target_intents if _is_idle_adapter(state, intent)
    ]
    if not idle_adapters:
        return None
    victim = min(
        idle_adapters, key=lambda intent: _adapter_last_use_s(state, intent)
    )
    state.ledger.put_intent(make_unload_intent(victim), now)
    return Decision(
        DecisionKind.UNLOAD,
        victim.model,
        victim.adapter,
        victim.target,
        'evicted for an adapter; least recently used',
    )


def make_unload_intent(intent: Intent) -> Intent:
    """Return a copy of the intent in the state UNLOAD."""
    return attrs.evolve(intent, state=IntentState.UNLOAD)


def _is_idle_adapter(state: ShardState, intent: Intent) -> bool:
    if not intent.adapter or is_terminating(state.ledger, intent):
        return False
    if (intent.model, intent.adapter) in state.demand_tracker.waiting_since:
        return False
    loaded_state = find_loaded_state(state.ledger, intent)
    return loaded_state is not None and loaded_state.running == 0


def _adapter_last_use_s(state: ShardState, intent: Intent) -> float:
    key = (intent.model, intent.adapter)
    return state.demand_tracker.last_use_s.get(key, -math.inf)
