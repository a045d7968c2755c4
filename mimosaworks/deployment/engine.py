"""Configuration of the engines of a service."""

from collections.abc import Mapping

import attrs


@attrs.frozen
class EngineModel:
    """A model: sizes in MB, load times in seconds by source of the weights.

    It also holds the number of its adapters. Only loads from the weight store
    count towards the store's rate limit.
    """

    name: str
    size_mb: float
    adapter_count: int
    adapter_mb: float
    store_load_s: float
    disk_load_s: float
    memory_load_s: float


@attrs.frozen
class EngineConfig:
    """Limits of one engine, and of the weight store that all engines share.

    kv_tokens is the size of the engine's KV cache in tokens, weights_mb its
    memory for models and adapters. Copies of weights may use disk_mb of its
    disk and the last field's size of its host memory (0 when not
    configured). loads_per_s is the rate limit of the weight store.
    """

    slots: int
    kv_tokens: int
    weights_mb: float
    adapter_slots: int
    loads_per_s: float
    models: Mapping[str, EngineModel]
    disk_mb: float = 0
    memory_copies_mb: float = 0
