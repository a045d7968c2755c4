"""Estimates which prompt prefixes a target has in its cache."""

from collections import OrderedDict
from collections.abc import Sequence

import attrs

from mimosaworks.deployment import PromptPart

# Model, adapter, and identifier of the last part of the prefix.
CacheKey = tuple[str, str, str]


@attrs.define
class PrefixCache:
    """A model of an engine's LRU cache of prompt parts.

    The pool uses it to prefer targets that have read a prompt's first parts.
    A part counts as cached only if all parts before it are.
    """

    capacity_tokens: int
    _cached_parts: OrderedDict[CacheKey, int] = attrs.field(factory=OrderedDict)
    _total_tokens: int = 0

    def count_cached_tokens(
        self, model: str, adapter: str, parts: Sequence[PromptPart]
    ) -> int:
        """Return how many tokens at the prompt's start are cached."""
        token_count = 0
        for part in parts:
            if (model, adapter, part.part_id) not in self._cached_parts:
                break
            token_count += part.tokens
        return token_count

    def record_prompt(
        self, model: str, adapter: str, parts: Sequence[PromptPart]
    ) -> None:
        """Record a prompt that the target reads, and evict older parts."""
        for part in parts:
            key = (model, adapter, part.part_id)
            if key not in self._cached_parts:
                self._cached_parts[key] = part.tokens
                self._total_tokens += part.tokens
            self._cached_parts.move_to_end(key)
        while self._total_tokens > self.capacity_tokens:
            self._total_tokens -= self._cached_parts.popitem(last=False)[1]

    def drop_model(self, model: str) -> None:
        """Remove all parts that were read for a model."""
        dropped_keys = [key for key in self._cached_parts if key[0] == model]
        for key in dropped_keys:
            self._total_tokens -= self._cached_parts.pop(key)
