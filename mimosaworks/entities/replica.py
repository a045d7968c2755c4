"""A replica: one model decided for one target."""

import enum

import attrs


@enum.unique
class ReplicaState(enum.Enum):
    """Where a replica stands between the decision and its end."""

    LOADING = 'loading'
    READY = 'ready'
    DRAINING = 'draining'
    UNLOADING = 'unloading'


@attrs.frozen
class Replica:
    """One model on one target, with the adapters loaded beside it."""

    model: str
    target: str
    state: ReplicaState
    adapters: tuple[str, ...] = ()
