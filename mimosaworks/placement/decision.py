"""A placement decision, as it is logged."""

import enum

import attrs


@enum.unique
class DecisionKind(enum.Enum):
    """What was decided."""

    LOAD = 'load'
    DRAIN = 'drain'
    KEEP = 'keep'
    UNLOAD = 'unload'
    END = 'end'
    WAIT = 'wait'


@attrs.frozen
class Decision:
    """One decision, its reason, and what else it could have been."""

    kind: DecisionKind
    model: str
    adapter: str
    target: str
    reason: str
    runners_up: tuple[str, ...] = ()
