"""Decides loads and unloads of adapters beside ready models."""

import math
from collections.abc import Callable

import attrs

from mimosaworks.entities import Adapter
from mimosaworks.placement.budget import has_adapter_slot
from mimosaworks.placement.decision import Decision, DecisionKind
from mimosaworks.placement.evidence import held_state, is_ended
from mimosaworks.placement.intent import Intent, IntentState
from mimosaworks.placement.shard_state import ShardState


def place_adapters(
    state: ShardState, now: float, fence: int, new_id: Callable[[], str]
) -> list[Decision]:
    """Load adapters that requests wait for, each on one ready replica.

    Where memory is short, the target's least recently used idle adapters
    are unloaded first. Returns what was decided.
    """
    decisions = []
    for adapter in _missing(state, now):
        if not has_adapter_slot(state.ledger, state.rules):
            break
        decision = _place(state, adapter, now, fence, new_id())
        if decision is not None:
            decisions.append(decision)
    return decisions


def _missing(state: ShardState, now: float) -> list[Adapter]:
    starts = state.demand.waiting_since
    found = []
    for model, name in sorted(starts, key=starts.__getitem__):
        adapter = state.catalogue.adapter.get(name)
        if adapter is not None and adapter.model == model:
            found.append(adapter)
    return [adapter for adapter in found if not _is_placed(state, adapter, now)]


def _is_placed(state: ShardState, adapter: Adapter, now: float) -> bool:
    intents = state.ledger.intents().values()
    placed = [intent for intent in intents if intent.adapter == adapter.name]
    return any(state.is_live(intent, now) for intent in placed)


def _place(
    state: ShardState, adapter: Adapter, now: float, fence: int, order_id: str
) -> Decision | None:
    hosts = _hosts(state, adapter, now)
    if not hosts:
        return None
    free = {host.target: _free(state, host) for host in hosts}
    best = max(hosts, key=lambda host: free[host.target])
    if free[best.target] < adapter.size_bytes:
        return _make_room(state, best, adapter.size_bytes, now)
    intent = _intent(adapter, best, fence, order_id)
    state.ledger.put(intent, now)
    others = tuple(f'{target}/{size}' for target, size in free.items())
    return Decision(
        DecisionKind.LOAD,
        adapter.model,
        adapter.name,
        best.target,
        'waited for; the most memory is free here',
        others,
    )


def _intent(
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


def _hosts(state: ShardState, adapter: Adapter, now: float) -> list[Intent]:
    find = state.ledger.find
    name = adapter.name
    return [
        host
        for host in state.ready(adapter.model, now)
        if find(host.target, host.model, name) is None
    ]


def _free(state: ShardState, host: Intent) -> int:
    return state.free_bytes(state.catalogue.target[host.target])


def _make_room(
    state: ShardState, host: Intent, size_bytes: int, now: float
) -> Decision | None:
    on_target = state.ledger.on_target(host.target)
    leaving = sum(
        intent.size_bytes
        for intent in on_target
        if is_ended(state.ledger, intent)
    )
    if _free(state, host) + leaving >= size_bytes:
        return None
    idle = [intent for intent in on_target if _is_idle(state, intent)]
    if not idle:
        return None
    victim = min(idle, key=lambda intent: _last_use(state, intent))
    state.ledger.put(unloading(victim), now)
    return Decision(
        DecisionKind.UNLOAD,
        victim.model,
        victim.adapter,
        victim.target,
        'room for an adapter; least recently used',
    )


def unloading(intent: Intent) -> Intent:
    """Return the intent with unloading decided."""
    return attrs.evolve(intent, state=IntentState.UNLOAD)


def _is_idle(state: ShardState, intent: Intent) -> bool:
    if not intent.adapter or is_ended(state.ledger, intent):
        return False
    if (intent.model, intent.adapter) in state.demand.waiting_since:
        return False
    held = held_state(state.ledger, intent)
    return held is not None and held.running == 0


def _last_use(state: ShardState, intent: Intent) -> float:
    key = (intent.model, intent.adapter)
    return state.demand.last_use_s.get(key, -math.inf)
