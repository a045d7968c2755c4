"""What a load does to the copies of weights that a target keeps."""

from collections.abc import Iterable

from mimosaworks.deployment import EngineModel, EngineTerms


def disk_after(
    copies: Iterable[str], model: EngineModel, terms: EngineTerms
) -> list[str]:
    """Return the copies on a disk after a load, least recently used first."""
    return _after(copies, model, terms, terms.disk_mb)


def memory_after(
    copies: Iterable[str], model: EngineModel, terms: EngineTerms
) -> list[str]:
    """Return the copies in memory after a load, least recently used first."""
    return _after(copies, model, terms, terms.copies_mb)


def _after(
    copies: Iterable[str],
    model: EngineModel,
    terms: EngineTerms,
    capacity_mb: float,
) -> list[str]:
    """Add a copy and evict others in their order.

    A capacity that is not known, 0, keeps them all.
    """
    kept = [name for name in copies if name != model.name]
    if capacity_mb:
        over_mb = model.size_mb - capacity_mb
        over_mb += sum(_size_mb(name, terms) for name in kept)
        while kept and over_mb > 0:
            over_mb -= _size_mb(kept.pop(0), terms)
    return [*kept, model.name]


def _size_mb(name: str, terms: EngineTerms) -> float:
    model = terms.models.get(name)
    return 0 if model is None else model.size_mb
