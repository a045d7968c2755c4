"""What an administration process knows of the members."""

from collections.abc import Awaitable, Callable, Iterable

from mimosaworks import __version__
from mimosaworks.members import Member, MemberService, member_from_json
from mimosaworks.members.member import MEMBERS_PREFIX
from mimosaworks.platform import TableClient

SOURCE_STORE = 'store'
SOURCE_MEMORY = 'memory'

ReadMembers = Callable[[], Awaitable[tuple[Member, ...]]]


def member_reader(table: TableClient) -> ReadMembers:
    """Return a function that reads the members' rows.

    The rows hold what each member has applied; the view that a process has
    of the others only tells of their states.
    """

    async def read() -> tuple[Member, ...]:
        rows = await table.read([], [MEMBERS_PREFIX])
        found = (member_from_json(rows[key].content) for key in sorted(rows))
        return tuple(found)

    return read


def status_content(
    service: MemberService, members: Iterable[Member], source: str
) -> dict[str, object]:
    """Return a JSON-ready mapping with this process and all members.

    source tells where the members were read: from the store or memory. What
    the others have applied is only known from the store.
    """
    shown = [_member_content(member) for member in members]
    if source == SOURCE_MEMORY:
        shown = [{**one, 'applied_version': None} for one in shown]
    own = service.own
    return {
        'program_version': __version__,
        'address': own.address,
        'data_centre': own.data_centre,
        'is_fresh': service.is_fresh(),
        'version': service.catalogue.version,
        'source': source,
        'members': shown,
    }


def _member_content(member: Member) -> dict[str, object]:
    return {
        'address': member.address,
        'http_address': member.http_address,
        'role': member.role.value,
        'data_centre': member.data_centre,
        'state': member.state.value,
        'applied_version': member.applied_version,
        'heartbeat': member.heartbeat,
    }
