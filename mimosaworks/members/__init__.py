"""Members of the system: registration, freshness and the barrier."""

from mimosaworks.members.acceptance import Acceptance
from mimosaworks.members.freshness import FRESHNESS_S
from mimosaworks.members.member import Member, member_from_json
from mimosaworks.members.removal import MemberRemovedError, fail_when_removed
from mimosaworks.members.role import MemberRole
from mimosaworks.members.service import MemberService
from mimosaworks.members.state import MemberState

__all__ = [
    'FRESHNESS_S',
    'Acceptance',
    'Member',
    'MemberRemovedError',
    'MemberRole',
    'MemberService',
    'MemberState',
    'fail_when_removed',
    'member_from_json',
]
