"""Messages of membership, freshness and the barrier."""

import attrs


@attrs.frozen
class MemberRow:
    """One member; role and state are the values of their enumerations."""

    address: str
    http_address: str
    role: str
    data_centre: str
    boot_nonce: str
    state: str


@attrs.frozen
class FreshAsk:
    """Asks a member for its freshness; tells what the asking one holds."""

    version: int
    view: int


@attrs.frozen
class FreshAnswer:
    """What a member holds and the age of its freshness in seconds.

    age_s is negative when the member is not fresh. entries (JSON of log
    entries) and members bring what the asking member lacks.
    """

    boot_nonce: str
    version: int
    view: int
    age_s: float
    entries: str = ''
    members: tuple[MemberRow, ...] = ()


@attrs.frozen
class VersionPush:
    """Tells a member of a configuration version and a view of the members."""

    sender: str
    version: int
    view: int
    entries: str = ''
    members: tuple[MemberRow, ...] = ()


@attrs.frozen
class PushAck:
    """What the receiver of a push has in force now."""

    boot_nonce: str
    version: int
    view: int
