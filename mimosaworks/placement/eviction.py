"""Choice of replicas and adapters to drain when memory is short."""

import functools
import math

import attrs

from mimosaworks.entities import Model, Target
from mimosaworks.placement.choice import usable_targets
from mimosaworks.placement.evidence import is_ended, track_of
from mimosaworks.placement.intent import Intent
from mimosaworks.placement.shard_state import ShardState
from mimosaworks.placement.wants import is_scheduled


@attrs.frozen
class Eviction:
    """Intents to drain on a target; none if enough is on its way out."""

    target: str
    victims: tuple[Intent, ...]
    last_use_s: float


def plan_eviction(
    state: ShardState,
    model: Model,
    promised: dict[str, int],
    minute: int,
    now: float,
) -> Eviction | None:
    """Return the eviction that makes room for a model at the least loss.

    A target that needs none, as enough is draining, goes first, then the
    one whose most recently used victim was used longest ago.
    """
    is_starved = _is_starved(state, model, now)
    plans = []
    for target in usable_targets(state, model, now):
        room = releasing_room(state, target) - promised.get(target.name, 0)
        missing = model.size_bytes - room
        pool = _victims(state, target, minute, now, is_starved=is_starved)
        chosen = _cover(pool, missing, state)
        if chosen is not None:
            uses = [_last_use(state, victim) for victim in chosen]
            last_use = max(uses, default=-math.inf)
            plans.append(Eviction(target.name, tuple(chosen), last_use))
    return min(plans, key=_plan_cost, default=None)


def releasing_room(state: ShardState, target: Target) -> int:
    """Return a target's free memory once what is on its way out is gone."""
    leaving = sum(
        intent.size_bytes
        for intent in state.ledger.on_target(target.name)
        if is_leaving(state, intent)
    )
    return state.free_bytes(target) + leaving


def is_leaving(state: ShardState, intent: Intent) -> bool:
    """Whether an intent's reservation is going to end."""
    track = track_of(state.ledger, intent)
    return track.is_draining or is_ended(state.ledger, intent)


def _plan_cost(plan: Eviction) -> tuple[int, float]:
    return (min(len(plan.victims), 1), plan.last_use_s)


def _last_use(state: ShardState, intent: Intent) -> float:
    key = (intent.model, intent.adapter)
    decided = track_of(state.ledger, intent).decided_s
    return max(state.demand.last_use_s.get(key, -math.inf), decided)


def _is_starved(state: ShardState, model: Model, now: float) -> bool:
    waits_s = now - state.demand.wait_start_s(model.name)
    return waits_s > state.rules.starvation_s


def _victims(
    state: ShardState,
    target: Target,
    minute: int,
    now: float,
    *,
    is_starved: bool,
) -> list[Intent]:
    found = []
    for intent in state.ledger.on_target(target.name):
        if intent.adapter or is_leaving(state, intent):
            continue
        if _may_evict(state, intent, minute, now, is_starved=is_starved):
            found.append(intent)
    return sorted(found, key=functools.partial(_last_use, state))


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
    others = len(state.live(intent.model, now)) - 1
    if is_scheduled(model, minute) and others < model.replicas_min:
        return False
    waiting = state.demand.waiting(intent.model)
    if not waiting and not state.running(intent.model):
        return True
    age_s = now - track_of(state.ledger, intent).decided_s
    return is_starved and age_s > state.rules.min_residency_s


def _cover(
    pool: list[Intent], missing_bytes: int, state: ShardState
) -> list[Intent] | None:
    chosen = []
    for intent in pool:
        if missing_bytes <= 0:
            break
        missing_bytes -= _with_adapters(state, intent)
        chosen.append(intent)
    return chosen if missing_bytes <= 0 else None


def _with_adapters(state: ShardState, base: Intent) -> int:
    return sum(
        intent.size_bytes
        for intent in state.ledger.on_target(base.target)
        if intent.model == base.model
    )
