"""Targets as they describe themselves."""

import enum

import attrs


class TargetState(enum.Enum):
    """Whether a target takes new requests."""

    READY = 'ready'
    DRAINING = 'draining'


@attrs.frozen
class Residence:
    """A model in a target's memory with the adapters loaded beside it."""

    model: str
    adapters: tuple[str, ...] = ()


@attrs.frozen
class TargetEntry:
    """One target.

    born is the Unix time of its start in milliseconds. in_memory and
    on_disk name models whose weights it can load without the weight store.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    state: TargetState
    born: int = 0
    residences: tuple[Residence, ...] = ()
    in_memory: tuple[str, ...] = ()
    on_disk: tuple[str, ...] = ()
    slow_start_s: float = 0
