"""The configuration: all entities by kind and name."""

import types
from collections.abc import Mapping

import attrs

from mimosaworks.entities.adapter import Adapter
from mimosaworks.entities.holder_set import HolderSet
from mimosaworks.entities.key import Key
from mimosaworks.entities.model import Model
from mimosaworks.entities.route import Route
from mimosaworks.entities.target import Target
from mimosaworks.entities.workspace import Workspace

OperatorEntity = Workspace | Key | Model | Adapter | Target | Route
Entity = OperatorEntity | HolderSet

ENTITY_TYPES: Mapping[str, type[Entity]] = types.MappingProxyType({
    'workspace': Workspace,
    'key': Key,
    'model': Model,
    'adapter': Adapter,
    'target': Target,
    'route': Route,
})

# Kinds that the system writes itself; operators can't.
INTERNAL_TYPES: Mapping[str, type[Entity]] = types.MappingProxyType({
    'holder_set': HolderSet,
})


@attrs.frozen
class Catalogue:
    """An immutable state of the configuration at one version.

    Each field maps an entity's name to the entity. Versions grow by one with
    each accepted change; version 0 is empty.
    """

    version: int = 0
    workspace: Mapping[str, Workspace] = attrs.field(factory=dict)
    key: Mapping[str, Key] = attrs.field(factory=dict)
    model: Mapping[str, Model] = attrs.field(factory=dict)
    adapter: Mapping[str, Adapter] = attrs.field(factory=dict)
    target: Mapping[str, Target] = attrs.field(factory=dict)
    route: Mapping[str, Route] = attrs.field(factory=dict)
    holder_set: Mapping[str, HolderSet] = attrs.field(factory=dict)
