"""Faults that several checks report."""

from collections.abc import Hashable, Iterable, Iterator

from mimosaworks.admin.fault import Fault
from mimosaworks.entities import Catalogue, Target


def shared_faults(
    kind: str, attribute: str, pairs: Iterable[tuple[str, Hashable]]
) -> Iterator[Fault]:
    """Yield a fault for each name whose content an earlier name has.

    The pairs are an entity's name and the content of its attribute.
    """
    first: dict[Hashable, str] = {}
    for name, content in pairs:
        earlier = first.setdefault(content, name)
        if earlier != name:
            yield Fault(
                kind, name, attribute, f'is the same as that of {earlier}'
            )


def pool_targets(catalogue: Catalogue, pool: str) -> tuple[Target, ...]:
    """Return the targets of a pool."""
    targets = catalogue.target.values()
    return tuple(target for target in targets if target.pool == pool)


def empty_pool_warning(kind: str, name: str, pool: str) -> Fault:
    """Return the warning that the pool of an entity has no targets."""
    reason = f'pool {pool} has no targets'
    return Fault(kind, name, 'pool', reason, is_warning=True)
