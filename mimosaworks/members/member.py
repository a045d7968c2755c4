"""One process of the system, as its row in the table describes it."""

import json
import secrets

import attrs
import cattrs

from mimosaworks.members.member_id import MemberId
from mimosaworks.members.role import MemberRole
from mimosaworks.members.state import MemberState

MEMBERS_PREFIX = 'members/'
NONCE_BYTES = 8


def _new_nonce() -> str:
    return secrets.token_hex(NONCE_BYTES)


@attrs.frozen
class Member:
    """A router, placer or admin process.

    address is host:port for peer messages, http_address host:port for
    callers or operators. boot_nonce differs for each start of a process, so
    that (address, boot_nonce) names one process for good. heartbeat counts
    up while the process lives.
    """

    address: str
    http_address: str
    role: MemberRole
    data_centre: str
    boot_nonce: str = attrs.field(factory=_new_nonce)
    state: MemberState = MemberState.JOINING
    applied_version: int = 0
    heartbeat: int = 0

    @property
    def key(self) -> str:
        """The key of the member's row."""
        return MEMBERS_PREFIX + self.address

    @property
    def id(self) -> MemberId:
        """The name of this process for good."""
        return MemberId(self.address, self.boot_nonce)

    @property
    def is_serving(self) -> bool:
        """Whether the member has joined and has not stopped."""
        return self.state in {MemberState.LIVE, MemberState.DRAINING}

    def to_json(self) -> str:
        """Return the row's JSON text."""
        return json.dumps(cattrs.unstructure(self))


def member_from_json(text: str) -> Member:
    """Return the member that a row's JSON text describes."""
    return cattrs.structure(json.loads(text), Member)
