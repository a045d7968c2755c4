"""A change of the configuration."""

import types
from collections.abc import Iterable

import attrs
import cattrs

from mimosaworks.entities.catalogue import (
    ENTITY_TYPES,
    INTERNAL_TYPES,
    Catalogue,
    Entity,
)

_ALL_TYPES = types.MappingProxyType({**ENTITY_TYPES, **INTERNAL_TYPES})

_KIND_BY_TYPE = types.MappingProxyType({
    entity_type: kind for kind, entity_type in _ALL_TYPES.items()
})
# Made once: a converter compiles a function for each type that it meets.
_CONVERTER = cattrs.Converter(forbid_extra_keys=True)


@attrs.frozen
class Change:
    """Puts or deletes one entity; entity is None for a deletion."""

    kind: str
    name: str
    entity: Entity | None = None

    def to_dict(self) -> dict[str, object]:
        """Return a JSON-ready mapping: kind, name, entity (or None)."""
        fields = None if self.entity is None else attrs.asdict(self.entity)
        return {'kind': self.kind, 'name': self.name, 'entity': fields}


def put_change(entity: Entity) -> Change:
    """Return the change that puts an entity under its own kind and name."""
    return Change(_KIND_BY_TYPE[type(entity)], entity.name, entity)


def change_from_dict(fields: dict[str, object]) -> Change:
    """Return the change that to_dict described.

    Raises KeyError for an unknown kind and cattrs' or attrs' errors for
    ill-typed or invalid fields.
    """
    kind = str(fields['kind'])
    raw = fields.get('entity')
    entity = None
    if raw is not None:
        entity = _CONVERTER.structure(raw, _ALL_TYPES[kind])
    return Change(kind, str(fields['name']), entity)


def apply_changes(
    catalogue: Catalogue, changes: Iterable[Change], version: int
) -> Catalogue:
    """Return the catalogue with the changes applied, at the given version."""
    maps = {kind: dict(getattr(catalogue, kind)) for kind in _ALL_TYPES}
    for change in changes:
        if change.entity is None:
            maps[change.kind].pop(change.name, None)
        else:
            maps[change.kind][change.name] = change.entity
    return Catalogue(version=version, **maps)
