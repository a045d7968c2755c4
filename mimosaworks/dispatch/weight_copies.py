"""What a load does to the copies of weights on a target's disk."""

from collections.abc import Iterable

from mimosaworks.deployment import EngineModel, EngineTerms


def copies_after(
    copies: Iterable[str], model: EngineModel, terms: EngineTerms
) -> list[str]:
    """Return the copies on a disk after a load, least recently used first.

    Copies are evicted in that order. A disk of unknown size keeps them all.
    """
    kept = [name for name in copies if name != model.name]
    if terms.disk_mb:
        over_mb = model.size_mb - terms.disk_mb
        over_mb += sum(_size_mb(name, terms) for name in kept)
        while kept and over_mb > 0:
            over_mb -= _size_mb(kept.pop(0), terms)
    return [*kept, model.name]


def _size_mb(name: str, terms: EngineTerms) -> float:
    model = terms.models.get(name)
    return 0 if model is None else model.size_mb
