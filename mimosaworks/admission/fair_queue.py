"""Start-time fair queueing by workspace (Goyal 1996)."""

import heapq
import itertools
from collections.abc import Iterator

import attrs


@attrs.define(eq=False)
class QueueEntry:
    """One waiting request in a FairQueue.

    weight is the workspace's granted rate, cost the request's tokens. A
    lower priority number is served first; within one priority, start_tag
    decides. is_removed marks entries that left the queue but are still in
    its heap.
    """

    workspace: str
    weight: float
    cost: float
    priority: int = 0
    start_tag: float = 0
    is_removed: bool = False


@attrs.define
class FairQueue:
    """Orders waiting requests by priority, then by start tag.

    A request's start tag is the later of the virtual time and the finish tag
    of its workspace's previous request; the virtual time is the start tag of
    the request in service. Used by each RequestQueue.
    """

    _virtual_time: float = 0
    _finish_tags: dict[str, float] = attrs.field(factory=dict)
    _heap: list[tuple[int, float, int, QueueEntry]] = attrs.field(factory=list)
    _sequence: Iterator[int] = attrs.field(factory=itertools.count)
    _size: int = 0

    def __len__(self) -> int:
        return self._size

    def push(self, entry: QueueEntry) -> None:
        """Add a request, with a start tag by its workspace's weight."""
        previous_finish_tag = self._finish_tags.get(entry.workspace, 0)
        entry.start_tag = max(self._virtual_time, previous_finish_tag)
        self._finish_tags[entry.workspace] = (
            entry.start_tag + entry.cost / entry.weight
        )
        heap_item = (
            entry.priority,
            entry.start_tag,
            next(self._sequence),
            entry,
        )
        heapq.heappush(self._heap, heap_item)
        self._size += 1

    def pop(self) -> QueueEntry | None:
        """Remove and return the next request, or None when empty."""
        while self._heap:
            entry = heapq.heappop(self._heap)[-1]
            if not entry.is_removed:
                self._size -= 1
                entry.is_removed = True
                self._virtual_time = max(self._virtual_time, entry.start_tag)
                self._reset_if_empty()
                return entry
        return None

    def remove(self, entry: QueueEntry) -> None:
        """Remove a request that no longer waits; a second call does nothing."""
        if not entry.is_removed:
            entry.is_removed = True
            self._size -= 1

    def _reset_if_empty(self) -> None:
        # A finish tag at or below the virtual time no longer has an effect.
        if self._size == 0:
            self._virtual_time = 0
            self._finish_tags.clear()
