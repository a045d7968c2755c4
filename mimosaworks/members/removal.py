"""Ends a process that the other members have removed."""

import asyncio

from mimosaworks.errors import MimosaError
from mimosaworks.members.service import MemberService
from mimosaworks.members.state import MemberState

CHECK_S = 1.0


class MemberRemovedError(MimosaError):
    """The others count this process as dead; only a new start can join."""


async def fail_when_removed(members: MemberService) -> None:
    """Raise MemberRemovedError once this process is no longer a member.

    It can't act or become fresh any more, so its supervisor should start it
    again.
    """
    while members.own.state != MemberState.STOPPED:
        await asyncio.sleep(CHECK_S)
    address = members.own.address
    raise MemberRemovedError(f'{address} was removed as dead')
