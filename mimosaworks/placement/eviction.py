"""Choice of replicas and adapters to drain when memory is short."""

import functools
import math

import attrs

from mimosaworks.entities import Model, Target
from mimosaworks.placement.intent import Intent
from mimosaworks.placement.intent_status import get_track, is_terminating
from mimosaworks.placement.replica_demand import is_in_ready_schedule
from mimosaworks.placement.shard_state import ShardState
from mimosaworks.placement.target_choice import find_eligible_targets


@attrs.frozen
class EvictionPlan:
    """Intents to drain on a target; none if enough memory is being released."""

    target: str
    victims: tuple[Intent, ...]
    last_use_s: float


def plan_eviction(
    state: ShardState,
    model: Model,
    promised_bytes: dict[str, int],
    minute: int,
    now: float,
) -> EvictionPlan | None:
    """Return the eviction with the least cost that frees memory for a model.

    A target that needs no victim, as enough is draining, goes first, then
    the one whose most recently used victim was used longest ago.
    """
    is_starved = _is_starved(state, model, now)
    plans = []
    for target in find_eligible_targets(state, model, now):
        available_bytes = free_bytes_after_release(
            state, target
        ) - promised_bytes.get(target.name, 0)
        missing_bytes = model.size_bytes - available_bytes
        candidate_victims = _find_victims(
            state, target, minute, now, is_starved=is_starved
        )
        victims = _select_victims(candidate_victims, missing_bytes, state)
        if victims is not None:
            last_uses_s = [
                _last_use_or_decision_s(state, victim) for victim in victims
            ]
            last_use_s = max(last_uses_s, default=-math.inf)
            plans.append(EvictionPlan(target.name, tuple(victims), last_use_s))
    return min(plans, key=_eviction_cost, default=None)


def free_bytes_after_release(state: ShardState, target: Target) -> int:
    """Return a target's free memory after all pending releases."""
    releasing_bytes = sum(
        intent.size_bytes
        for intent in state.ledger.intents_on_target(target.name)
        if will_release_memory(state, intent)
    )
    return state.target_free_bytes(target) + releasing_bytes


def will_release_memory(state: ShardState, intent: Intent) -> bool:
    """Return whether the intent drains or terminates."""
    track = get_track(state.ledger, intent)
    return track.is_draining or is_terminating(state.ledger, intent)


def _eviction_cost(plan: EvictionPlan) -> tuple[int, float]:
    return (min(len(plan.victims), 1), plan.last_use_s)


def _last_use_or_decision_s(state: ShardState, intent: Intent) -> float:
    key = (intent.model, intent.adapter)
    decided_s = get_track(state.ledger, intent).decided_s
    return max(state.demand_tracker.last_use_s.get(key, -math.inf), decided_s)


def _is_starved(state: ShardState, model: Model, now: float) -> bool:
    waits_s = now - state.demand_tracker.oldest_wait_start_s(model.name)
    return waits_s > state.placement_cfg.starvation_s


def _find_victims(
    state: ShardState,
    target: Target,
    minute: int,
    now: float,
    *,
    is_starved: bool,
) -> list[Intent]:
    victims = []
    for intent in state.ledger.intents_on_target(target.name):
        if intent.adapter or will_release_memory(state, intent):
            continue
        if _may_evict(state, intent, minute, now, is_starved=is_starved):
            victims.append(intent)
    return sorted(
        victims, key=functools.partial(_last_use_or_decision_s, state)
    )


def _may_evict(
    state: ShardState,
    intent: Intent,
    minute: int,
    now: float,
    *,
    is_starved: bool,
) -> bool:
    model = state.catalogue.model.get(intent.model)
    if model is None:
        return True
    other_replicas = len(state.live_replicas(intent.model, now)) - 1
    if (
        is_in_ready_schedule(model, minute)
        and other_replicas < model.replicas_min
    ):
        return False
    waiting_count = state.demand_tracker.count_waiting(intent.model)
    if not waiting_count and not state.count_running(intent.model):
        return True
    age_s = now - get_track(state.ledger, intent).decided_s
    return is_starved and age_s > state.placement_cfg.min_residency_s


def _select_victims(
    candidate_victims: list[Intent], missing_bytes: int, state: ShardState
) -> list[Intent] | None:
    selected_victims = []
    for intent in candidate_victims:
        if missing_bytes <= 0:
            break
        missing_bytes -= _bytes_with_adapters(state, intent)
        selected_victims.append(intent)
    return selected_victims if missing_bytes <= 0 else None


def _bytes_with_adapters(state: ShardState, base: Intent) -> int:
    return sum(
        intent.size_bytes
        for intent in state.ledger.intents_on_target(base.target)
        if intent.model == base.model
    )
