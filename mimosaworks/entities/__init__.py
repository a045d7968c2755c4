"""Entities of the configuration and of the running system."""

from mimosaworks.entities.adapter import Adapter
from mimosaworks.entities.catalogue import (
    ENTITY_TYPES,
    INTERNAL_TYPES,
    Catalogue,
    Entity,
)
from mimosaworks.entities.change import (
    Change,
    apply_changes,
    change_from_dict,
    put_change,
)
from mimosaworks.entities.holder_set import HOLDER_SET_NAME, HolderSet
from mimosaworks.entities.key import Key, digest_key
from mimosaworks.entities.model import Model
from mimosaworks.entities.replica import Replica, ReplicaState
from mimosaworks.entities.route import ROUTE_KINDS, Route
from mimosaworks.entities.target import TARGET_KINDS, Target
from mimosaworks.entities.workspace import Workspace

__all__ = [
    'ENTITY_TYPES',
    'HOLDER_SET_NAME',
    'INTERNAL_TYPES',
    'ROUTE_KINDS',
    'TARGET_KINDS',
    'Adapter',
    'Catalogue',
    'Change',
    'Entity',
    'HolderSet',
    'Key',
    'Model',
    'Replica',
    'ReplicaState',
    'Route',
    'Target',
    'Workspace',
    'apply_changes',
    'change_from_dict',
    'digest_key',
    'put_change',
]
