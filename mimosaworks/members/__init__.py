"""Members of the system: registration, freshness and the barrier."""

from mimosaworks.members.acceptance import Acceptance
from mimosaworks.members.freshness import FRESHNESS_S
from mimosaworks.members.member import Member, member_from_json
from mimosaworks.members.role import MemberRole
from mimosaworks.members.service import MemberService
from mimosaworks.members.state import MemberState

__all__ = [
    'FRESHNESS_S',
    'Acceptance',
    'Member',
    'MemberRole',
    'MemberService',
    'MemberState',
    'member_from_json',
]
