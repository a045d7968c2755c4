"""Targets as nodes and their holder tell each other of them."""

import attrs


@attrs.frozen
class TargetModel:
    """A model on a target with its adapters."""

    model: str
    adapters: tuple[str, ...] = ()


@attrs.frozen
class TargetRow:
    """A target as the holder sees it; state is a TargetState's value.

    leaves_in_ms is the time until it ends at short notice, 0 without one.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    state: str
    born: int
    models: tuple[TargetModel, ...] = ()
    software_version: str = ''
    leaves_in_ms: int = 0


@attrs.frozen
class BrittleNote:
    """A target is brittle or no longer; is_full: it turned a request away.

    A brittle one crashes when it turns away more than most_per_s in a second.
    call is the call whose answer said so, empty for a report.
    """

    target: str
    is_brittle: bool
    is_full: bool = False
    most_per_s: int = 0
    call: str = ''


@attrs.frozen
class StreamNote:
    """The service and software version at which a request's stream began.

    Its caller may resume it for left_s seconds.
    """

    request_id: str
    service: str
    software_version: str
    left_s: float


@attrs.frozen
class StreamAsk:
    """Asks the holder where the stream of a request began."""

    request_id: str


@attrs.frozen
class StreamReply:
    """Where a stream began; empty texts if it is not known."""

    service: str = ''
    software_version: str = ''


@attrs.frozen
class TargetLeaving:
    """A target announced that it leaves; born is its birth, 0 if unknown."""

    target: str
    born: int


@attrs.frozen
class CrashNote:
    """A target may have ended while it ran a request; see TargetCrash."""

    mark: str
    target: str
    born: int
    number: int
    is_silent: bool
    is_proven: bool = False


@attrs.frozen
class SuspectRow:
    """A suspect key under which targets crashed, and the names of the crashes.

    is_proven: a request with the key succeeded before.
    """

    mark: str
    ends: tuple[str, ...]
    is_proven: bool = False


@attrs.frozen
class LimitNote:
    """The rate limit in a target's answer; per_s is inf without one.

    call names the ask of its request; it is empty for other calls.
    """

    target: str
    per_s: float
    call: str = ''


@attrs.frozen
class LimitRow:
    """The rate limit of a target, in calls a second over all nodes.

    A brittle one crashes when it turns away more than most_rejections_per_s.
    """

    target: str
    per_s: float
    is_brittle: bool = False
    most_rejections_per_s: int = 0
