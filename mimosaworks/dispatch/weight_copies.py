"""Predicts which copies of weights a target keeps after a load."""

from collections.abc import Iterable

from mimosaworks.deployment import EngineConfig, EngineModel


def disk_after_load(
    copies: Iterable[str], model: EngineModel, engine_cfg: EngineConfig
) -> list[str]:
    """Return the copies on a disk after a load, least recently used first."""
    return _copies_after_load(copies, model, engine_cfg, engine_cfg.disk_mb)


def memory_after_load(
    copies: Iterable[str], model: EngineModel, engine_cfg: EngineConfig
) -> list[str]:
    """Return the copies in memory after a load, least recently used first."""
    return _copies_after_load(
        copies, model, engine_cfg, engine_cfg.memory_copies_mb
    )


def _copies_after_load(
    copies: Iterable[str],
    model: EngineModel,
    engine_cfg: EngineConfig,
    capacity_mb: float,
) -> list[str]:
    """Add a copy and evict the least recently used ones.

    If the capacity is not known (0), all copies are kept.
    """
    kept_names = [name for name in copies if name != model.name]
    if capacity_mb:
        excess_mb = model.size_mb - capacity_mb
        excess_mb += sum(
            _model_size_mb(name, engine_cfg) for name in kept_names
        )
        while kept_names and excess_mb > 0:
            excess_mb -= _model_size_mb(kept_names.pop(0), engine_cfg)
    return [*kept_names, model.name]


def _model_size_mb(name: str, engine_cfg: EngineConfig) -> float:
    model = engine_cfg.models.get(name)
    return 0 if model is None else model.size_mb
