"""Judges the ends of answers without framing of a router's targets."""

import types
from collections.abc import Callable
from urllib.parse import urlsplit

from mimosaworks.entities import Target
from mimosaworks.node.end_errors import LostTargetError
from mimosaworks.node.end_judge import EndJudge, SentRequest
from mimosaworks.relay import CheckEnd, SentCall

_PORTS = types.MappingProxyType({'http': 80, 'https': 443})


def make_end_check(
    judge: EndJudge, has_left: Callable[[Target], bool]
) -> CheckEnd:
    """Return what judges an end, by the node's rules.

    has_left tells whether the VM of a target has left; its address may accept
    connections nevertheless.
    """

    async def check_end(sent: SentCall) -> None:
        await judge.check_end(
            SentRequest(
                target=sent.target.name,
                address=_find_address(sent.target),
                incarnation=0,
                deadline_s=sent.limit_s,
                sent_s=sent.sent_s,
            )
        )
        if has_left(sent.target):
            raise LostTargetError(
                'the connection was closed, and the VM of the target has left'
            )

    return check_end


def _find_address(target: Target) -> str:
    parts = urlsplit(target.url)
    port = parts.port or _PORTS[parts.scheme]
    return f'{parts.hostname}:{port}'
