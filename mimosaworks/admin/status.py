"""What an administration process knows of the members."""

from mimosaworks import __version__
from mimosaworks.members import Member, MemberService


def status_content(members: MemberService) -> dict[str, object]:
    """Return a JSON-ready mapping with this process and all members."""
    own = members.own
    return {
        'program_version': __version__,
        'address': own.address,
        'data_centre': own.data_centre,
        'is_fresh': members.is_fresh(),
        'version': members.catalogue.version,
        'members': [_member_content(member) for member in members.members()],
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
