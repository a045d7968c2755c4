"""Tests of start-time fair queueing."""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from mimosaworks.admission import FairQueue, QueueEntry


def _served(queue: FairQueue, count: int) -> Counter[str]:
    costs: Counter[str] = Counter()
    for _ in range(count):
        entry = queue.pop()
        assert entry is not None
        costs[entry.workspace] += int(entry.cost)
    return costs


def test_a_flood_of_one_workspace_does_not_delay_another() -> None:
    queue = FairQueue()
    for _ in range(1000):
        queue.push(QueueEntry('flood', weight=1, cost=10))
    assert queue.pop() is not None
    queue.push(QueueEntry('small', weight=1, cost=10))
    first = [queue.pop(), queue.pop()]
    assert 'small' in {entry.workspace for entry in first if entry}


@settings(derandomize=True, deadline=None, database=None)
@given(st.lists(st.integers(1, 50), min_size=40, max_size=80))
def test_backlogged_workspaces_are_served_by_their_weights(
    costs: list[int],
) -> None:
    queue = FairQueue()
    for cost in costs:
        queue.push(QueueEntry('a', weight=3, cost=cost))
        queue.push(QueueEntry('b', weight=1, cost=cost))
    served = _served(queue, len(costs))
    # The bound of SFQ: shares differ by at most one largest request each.
    gap = abs(served['a'] / 3 - served['b'])
    assert gap <= max(costs) / 3 + max(costs)


@settings(derandomize=True, deadline=None, database=None)
@given(st.lists(st.booleans(), max_size=60))
def test_removed_requests_are_not_served_and_none_is_lost(
    removals: list[bool],
) -> None:
    queue = FairQueue()
    entries = [QueueEntry('a', 1, 1) for _ in removals]
    for entry in entries:
        queue.push(entry)
    for entry, is_removed in zip(entries, removals, strict=True):
        if is_removed:
            queue.remove(entry)
            queue.remove(entry)
    kept = removals.count(False)
    assert len(queue) == kept
    assert sum(queue.pop() is not None for _ in range(kept)) == kept
    assert queue.pop() is None


def test_a_lower_priority_number_goes_first() -> None:
    queue = FairQueue()
    queue.push(QueueEntry('draft', 1, 1, priority=20))
    queue.push(QueueEntry('chat', 1, 1, priority=10))
    first = queue.pop()
    assert first is not None
    assert first.workspace == 'chat'
