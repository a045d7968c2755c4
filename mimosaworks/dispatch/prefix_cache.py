"""Which parts of prompts a target has likely kept."""

from collections import OrderedDict
from collections.abc import Sequence

import attrs

from mimosaworks.deployment import PromptPart

CacheKey = tuple[str, str, str]  # model, adapter, id of the last part


@attrs.define
class PrefixCache:
    """Models an engine's cache of prompt parts, least recently used out.

    capacity is in tokens. A part counts only with all parts before it.
    """

    capacity: int
    _kept: OrderedDict[CacheKey, int] = attrs.field(factory=OrderedDict)
    _tokens: int = 0

    def cached_tokens(
        self, model: str, adapter: str, parts: Sequence[PromptPart]
    ) -> int:
        """Return how many tokens at the prompt's start are kept."""
        found = 0
        for part in parts:
            if (model, adapter, part.part) not in self._kept:
                break
            found += part.tokens
        return found

    def note(
        self, model: str, adapter: str, parts: Sequence[PromptPart]
    ) -> None:
        """Remember a prompt that the target reads."""
        for part in parts:
            key = (model, adapter, part.part)
            if key not in self._kept:
                self._kept[key] = part.tokens
                self._tokens += part.tokens
            self._kept.move_to_end(key)
        while self._tokens > self.capacity:
            self._tokens -= self._kept.popitem(last=False)[1]

    def drop_model(self, model: str) -> None:
        """Forget all parts that were read for a model."""
        dropped = [key for key in self._kept if key[0] == model]
        for key in dropped:
            self._tokens -= self._kept.pop(key)
