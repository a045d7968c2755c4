"""Choice of the target for a load."""

import attrs

from mimosaworks.entities import Model, Target
from mimosaworks.placement.shard_state import ShardState

IN_MEMORY_RANK = 0
ON_DISK_RANK = 1
REMOTE_RANK = 2


@attrs.frozen(order=True)
class TargetCandidate:
    """A target with memory for a load; the smallest one is the best.

    cache_rank says where the checkpoint is read from; spare_bytes is the
    memory that stays free after the load.
    """

    cache_rank: int
    spare_bytes: int
    target: str

    def describe(self) -> str:
        """Return target, cache rank and spare bytes as one word for logs."""
        return f'{self.target}/{self.cache_rank}/{self.spare_bytes}'


def rank_target_candidates(
    state: ShardState, model: Model, promised_bytes: dict[str, int], now: float
) -> list[TargetCandidate]:
    """Return the targets with memory for a model, the best first.

    promised_bytes maps targets to memory set aside for other models. Of
    targets with the same cache rank the one with the least spare memory
    goes first, which keeps large free areas for large models.
    """
    ranked = []
    for target in find_eligible_targets(state, model, now):
        free_bytes = state.target_free_bytes(target) - promised_bytes.get(
            target.name, 0
        )
        spare_bytes = free_bytes - model.size_bytes
        if spare_bytes >= 0:
            rank = checkpoint_cache_rank(state, target.name, model.checkpoint)
            ranked.append(TargetCandidate(rank, spare_bytes, target.name))
    return sorted(ranked)


def find_eligible_targets(
    state: ShardState, model: Model, now: float
) -> list[Target]:
    """Return the pool's reachable targets that don't hold the model."""
    find_intent = state.ledger.find_intent
    return [
        target
        for target in state.engines_in_pool(model.pool)
        if state.is_reachable(target.name, now)
        and not state.is_vm_leaving(target.url)
        and find_intent(target.name, model.name) is None
    ]


def checkpoint_cache_rank(
    state: ShardState, target: str, checkpoint: str
) -> int:
    """Return the rank of where a target has a checkpoint."""
    timed_report = state.ledger.latest_reports[target]
    cached = timed_report.report.cached
    if checkpoint in cached.memory:
        return IN_MEMORY_RANK
    if checkpoint in cached.disk:
        return ON_DISK_RANK
    return REMOTE_RANK
