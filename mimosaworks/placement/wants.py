"""How many replicas each model should have."""

from mimosaworks.entities import Model
from mimosaworks.placement.intent import Intent
from mimosaworks.placement.shard_state import ShardState


def wanted_replicas(state: ShardState, model: Model, minute: int) -> int:
    """Return how many replicas a model should have now.

    minute is the minute of the day in UTC, for the schedule. Demand beyond
    the model's replicas_max is left to the queues.
    """
    scheduled = model.replicas_min if is_scheduled(model, minute) else 0
    requests = state.demand.waiting(model.name) + state.running(model.name)
    for_demand = -(-requests // state.rules.requests_per_replica)
    return max(scheduled, min(for_demand, model.replicas_max))


def unwanted_reason(state: ShardState, intent: Intent) -> str:
    """Return why a replica has to go whatever the demand; empty if not."""
    model = state.catalogue.model.get(intent.model)
    target = state.catalogue.target.get(intent.target)
    if model is None or target is None:
        return 'no longer configured'
    if state.is_leaving(intent.url):
        return 'its VM is leaving'
    if model.checkpoint != intent.checkpoint or model.pool != target.pool:
        return 'configured otherwise'
    return ''


def is_scheduled(model: Model, minute: int) -> bool:
    """Whether the model's schedule holds it ready at this minute.

    A schedule whose end lies before its start runs over midnight.
    """
    start = model.ready_from_min
    end = model.ready_until_min
    if start < 0 or end < 0:
        return False
    if start <= end:
        return start <= minute < end
    return minute >= start or minute < end
