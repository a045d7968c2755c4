"""Messages between entry nodes and the holder of the dispatch lease."""

import math

import attrs

from mimosaworks.wire.target_messages import (
    BrittleNote,
    CrashNote,
    LimitNote,
    LimitRow,
    StreamNote,
    SuspectRow,
    TargetLeaving,
    TargetRow,
)


@attrs.frozen
class PartNote:
    """One part of a prompt."""

    part: str
    tokens: int


@attrs.frozen
class CallAsk:
    """Asks for a target; the reply is a CallReply.

    call names the ask for good. fence is the holder's that the node believes
    in. left_s is the time for the whole answer, first_left_s that for its
    first event, both from the message's arrival; mark is the fingerprint of
    the request's content. excluded are targets that failed the request.
    software_version is that of the targets which may serve it, empty for any.
    is_relayed: another node sends it, as the asking one has no path to targets.
    """

    call: str
    node: str
    fence: int
    service: str
    workspace: str
    cost: float
    priority: int
    model: str
    adapter: str
    tokens_in: int
    tokens_out: int
    tokens_hint: int
    parts: tuple[PartNote, ...]
    data_centre: str
    target_s: float
    left_s: float
    first_left_s: float
    resends: int = 0
    excluded: tuple[str, ...] = ()
    mark: str = ''
    request_id: str = ''
    software_version: str = ''
    is_relayed: bool = False


@attrs.frozen
class CallReply:
    """A target, or an error kind with the seconds to stay away.

    The decision was made waited_s after the ask had arrived, from entries of
    targets that were view_age_s old, 0 if none could be fresher. is_counted:
    the request has a place within the target's rate limit. is_trial: its
    content is refused but for this send. born is the target's birth, 0 if it
    is not known, ended how often it is known to have ended since.
    software_version is the target's, empty if it is not known.
    """

    target: str = ''
    address: str = ''
    priority: int = 0
    reason: str = ''
    kind: str = ''
    retry_after_s: float = 0
    is_counted: bool = False
    is_trial: bool = False
    born: int = 0
    ended: int = 0
    waited_s: float = 0
    view_age_s: float = 0
    software_version: str = ''


@attrs.frozen
class CallStart:
    """The first event came first_s after the request was sent."""

    call: str
    first_s: float


@attrs.frozen
class CallEnd:
    """A request left its target; outcome is a CallOutcome's value."""

    call: str
    outcome: str
    duration_s: float


@attrs.frozen
class RunningCall:
    """A request that runs at a target, told to a new holder."""

    ask: CallAsk
    target: str
    is_started: bool


@attrs.frozen
class Spent:
    """Tokens of a workspace: spent by a node, or left at the holder."""

    workspace: str
    cost: float


@attrs.frozen
class NodeRow:
    """One entry node; is_stopping ones take no new callers.

    relays: it reaches targets, and sends requests there for other nodes.
    judges_ends: an answer that it relays is complete only if its end shows
    that; earlier releases don't know the field.

    strength, in cores, and started_s, the Unix time of the process's start,
    order the nodes that may become holder.
    """

    name: str
    front_address: str
    peer_address: str
    data_centre: str
    is_stopping: bool = False
    strength: float = 0
    started_s: float = 0
    relays: bool = False
    judges_ends: bool = False


@attrs.frozen
class Beat:
    """What happened at a node since its last beat.

    running is filled in the first beat to a holder, spent with the tokens
    that the node admitted without one. wants_levels asks for the tokens that
    workspaces have left. leaving are targets that announced that to the
    node, crashes those that crashed under its requests, rate limits that
    answers gave, streams where such began, in the first beat to a holder all
    of them.
    """

    row: NodeRow
    fence: int
    starts: tuple[CallStart, ...] = ()
    ends: tuple[CallEnd, ...] = ()
    running: tuple[RunningCall, ...] = ()
    spent: tuple[Spent, ...] = ()
    targets_version: int = 0
    members_version: int = 0
    wants_levels: bool = False
    leaving: tuple[TargetLeaving, ...] = ()
    crashes: tuple[CrashNote, ...] = ()
    suspects_version: int = 0
    limits: tuple[LimitNote, ...] = ()
    limits_version: int = 0
    streams: tuple[StreamNote, ...] = ()
    brittle: tuple[BrittleNote, ...] = ()


@attrs.frozen
class BeatReply:
    """The holder's view: token levels, and what has changed.

    That are members, targets, suspects and limits.

    Those that are gone are named. Where they are whole, they are all there
    are. What the holder knew of suspects unsaved_s ago is in the store.
    lease_version is the lease row's version at the last
    renewal, deployment_version the newest deployment that the holder knows,
    view_age_s the age of its entries of targets, silent the nodes that it does
    not hear and that may use their shares of the rates themselves.
    """

    is_holder: bool
    fence: int = 0
    lease_version: int = 0
    members: tuple[NodeRow, ...] = ()
    levels: tuple[Spent, ...] = ()
    targets_version: int = 0
    targets: tuple[TargetRow, ...] = ()
    interval_s: float = 0
    members_version: int = 0
    deployment_version: int = 0
    members_gone: tuple[str, ...] = ()
    targets_gone: tuple[str, ...] = ()
    members_whole: bool = False
    targets_whole: bool = False
    suspects: tuple[SuspectRow, ...] = ()
    suspects_gone: tuple[str, ...] = ()
    suspects_whole: bool = False
    suspects_version: int = 0
    unsaved_s: float = math.inf
    limits: tuple[LimitRow, ...] = ()
    limits_gone: tuple[str, ...] = ()
    limits_whole: bool = False
    limits_version: int = 0
    view_age_s: float = 0
    silent: tuple[str, ...] = ()
