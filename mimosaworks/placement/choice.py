"""Choice of the target for a load."""

import attrs

from mimosaworks.entities import Model, Target
from mimosaworks.placement.shard_state import ShardState

IN_MEMORY_RANK = 0
ON_DISK_RANK = 1
REMOTE_RANK = 2


@attrs.frozen(order=True)
class Candidate:
    """A target that could take a load; the least one is the best.

    cache_rank tells from where the checkpoint comes; spare_bytes is what
    the load would leave free.
    """

    cache_rank: int
    spare_bytes: int
    target: str

    def describe(self) -> str:
        """Return the candidate in one word for logs."""
        return f'{self.target}/{self.cache_rank}/{self.spare_bytes}'


def candidates(
    state: ShardState, model: Model, promised: dict[str, int], now: float
) -> list[Candidate]:
    """Return the targets with memory for a model, the best first.

    promised maps targets to bytes that other models wait for. Of equal
    targets the one that is filled best goes first, which leaves large
    holes for large models.
    """
    found = []
    for target in usable_targets(state, model, now):
        free = state.free_bytes(target) - promised.get(target.name, 0)
        spare = free - model.size_bytes
        if spare >= 0:
            rank = cache_rank(state, target.name, model.checkpoint)
            found.append(Candidate(rank, spare, target.name))
    return sorted(found)


def usable_targets(state: ShardState, model: Model, now: float) -> list[Target]:
    """Return the pool's reachable targets that don't hold the model."""
    find = state.ledger.find
    return [
        target
        for target in state.engines(model.pool)
        if state.is_reachable(target.name, now)
        and not state.is_leaving(target.url)
        and find(target.name, model.name) is None
    ]


def cache_rank(state: ShardState, target: str, checkpoint: str) -> int:
    """Return the rank of where a target has a checkpoint."""
    view = state.ledger.views[target]
    cached = view.report.cached
    if checkpoint in cached.memory:
        return IN_MEMORY_RANK
    if checkpoint in cached.disk:
        return ON_DISK_RANK
    return REMOTE_RANK
