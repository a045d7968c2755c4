"""What is configured for the engines of a service."""

from collections.abc import Mapping

import attrs


@attrs.frozen
class EngineModel:
    """A model: sizes in MB, load times in seconds by where its weights lie.

    adapters is their number; a load from the weight store is the only one
    that uses the store's rate.
    """

    name: str
    size_mb: float
    adapters: int
    adapter_mb: float
    store_load_s: float
    disk_load_s: float
    memory_load_s: float


@attrs.frozen
class EngineTerms:
    """Bounds of one engine, and of the weight store that all engines share.

    kv_tokens is the engine's cache memory in tokens, weights_mb its memory
    for models and adapters, copies_mb and disk_mb what its memory and its disk
    have for copies of weights (0 when it is not told), loads_per_s the rate of
    the weight store.
    """

    slots: int
    kv_tokens: int
    weights_mb: float
    adapter_slots: int
    loads_per_s: float
    models: Mapping[str, EngineModel]
    disk_mb: float = 0
    copies_mb: float = 0
