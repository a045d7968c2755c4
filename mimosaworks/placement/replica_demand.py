"""How many replicas each model should have."""

from mimosaworks.entities import Model
from mimosaworks.placement.intent import Intent
from mimosaworks.placement.shard_state import ShardState


def count_wanted_replicas(state: ShardState, model: Model, minute: int) -> int:
    """Return how many replicas a model should have now.

    minute is the minute of the day in UTC, for the schedule. Demand beyond
    the model's replicas_max is left to the queues.
    """
    scheduled_count = (
        model.replicas_min if is_in_ready_schedule(model, minute) else 0
    )
    request_count = state.demand_tracker.count_waiting(
        model.name
    ) + state.count_running(model.name)
    demand_count = -(-request_count // state.placement_cfg.requests_per_replica)
    return max(scheduled_count, min(demand_count, model.replicas_max))


def find_removal_reason(state: ShardState, intent: Intent) -> str:
    """Return why a replica must be removed despite demand; empty if not."""
    model = state.catalogue.model.get(intent.model)
    target = state.catalogue.target.get(intent.target)
    if model is None or target is None:
        return 'no longer configured'
    if state.is_vm_leaving(intent.url):
        return 'its VM is leaving'
    if model.checkpoint != intent.checkpoint or model.pool != target.pool:
        return 'checkpoint or pool changed in the configuration'
    return ''


def is_in_ready_schedule(model: Model, minute: int) -> bool:
    """Return whether the schedule requires the model at this minute.

    A schedule whose end lies before its start runs over midnight.
    """
    start = model.ready_from_min
    end = model.ready_until_min
    if start < 0 or end < 0:
        return False
    if start <= end:
        return start <= minute < end
    return minute >= start or minute < end
