"""KV caches that an engine can export and has imported."""

from collections import OrderedDict
from typing import Any

import attrs

CAPACITY = 256


@attrs.define
class KVCache:
    """Keeps the newest caches by request id, as opaque JSON."""

    _held: OrderedDict[str, dict[str, Any]] = attrs.Factory(OrderedDict)

    def put(self, request_id: str, content: dict[str, Any]) -> None:
        """Keep a request's cache."""
        self._held[request_id] = content
        if len(self._held) > CAPACITY:
            self._held.popitem(last=False)

    def get(self, request_id: str) -> dict[str, Any] | None:
        """Return a request's cache, if it is held."""
        return self._held.get(request_id)
