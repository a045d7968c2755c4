"""The prompt prefixes that an engine holds, and its late, gapped events."""

import hashlib
import random
from collections import OrderedDict
from typing import Any

import attrs

PREFIX_CHARS = 256
MAX_EVENTS = 4096

_LateEvent = tuple[float, dict[str, Any]]


@attrs.define
class PrefixCache:
    """Least recently used prefixes; events show after lag_s, some never."""

    capacity: int
    lag_s: float
    loss: float
    _held: OrderedDict[str, None] = attrs.Factory(OrderedDict)
    _events: list[_LateEvent] = attrs.Factory(list)
    _seq: int = 0

    def touch(self, now_s: float, model: str, prompt: str) -> bool:
        """Store a prompt's prefix; return whether it was held already."""
        start = prompt[:PREFIX_CHARS]
        prefix = hashlib.sha256(f'{model}\x1f{start}'.encode()).hexdigest()
        was_held = prefix in self._held
        self._held[prefix] = None
        self._held.move_to_end(prefix)
        if not was_held:
            self._publish(now_s, 'stored', prefix)
        if len(self._held) > self.capacity:
            evicted, _ = self._held.popitem(last=False)
            self._publish(now_s, 'evicted', evicted)
        return was_held

    def events_after(self, now_s: float, seq: int) -> list[dict[str, Any]]:
        """Return the events after a sequence number that show by now."""
        return [
            event
            for shown_s, event in self._events
            if shown_s <= now_s and event['seq'] > seq
        ]

    def _publish(self, now_s: float, kind: str, prefix: str) -> None:
        self._seq += 1
        if random.random() < self.loss:
            return
        event = {'seq': self._seq, 'kind': kind, 'prefix': prefix}
        self._events.append((now_s + self.lag_s, event))
        self._events = self._events[-MAX_EVENTS:]
