"""Registry entries in which targets describe themselves."""

import enum
import math

import attrs


class TargetState(enum.Enum):
    """Whether a target accepts new requests."""

    READY = 'ready'
    DRAINING = 'draining'


@attrs.frozen
class ResidentModel:
    """A model in a target's memory, with its loaded adapters."""

    model: str
    adapters: tuple[str, ...] = ()


@attrs.frozen
class TargetEntry:
    """The registry entry of one target.

    Its incarnation is the Unix time of its start in milliseconds. in_memory
    and on_disk name models whose weights it can load without the weight
    store. software_version is empty if it is not known. leaves_at_s is when a
    target that leaves at short notice ends, on this process's clock.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    state: TargetState
    incarnation: int = 0
    resident_models: tuple[ResidentModel, ...] = ()
    in_memory: tuple[str, ...] = ()
    on_disk: tuple[str, ...] = ()
    slow_start_s: float = 0
    software_version: str = ''
    leaves_at_s: float = math.inf

    def runs_version(self, software_version: str) -> bool:
        """Return whether it runs this version; empty stands for any."""
        return software_version in {'', self.software_version}
