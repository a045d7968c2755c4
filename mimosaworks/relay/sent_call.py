"""A request that was sent, as whoever judges the end of its answer needs it."""

import math
from collections.abc import Awaitable, Callable
from typing import TypeAlias

import attrs

from mimosaworks.admission import DEADLINE_HEADER, Deadline
from mimosaworks.clock import now_s
from mimosaworks.entities import Target
from mimosaworks.relay.outgoing import Outgoing

# A target counts from its receipt, and may end a bit behind its limit.
LIMIT_SLACK_S = 2.0


@attrs.frozen
class SentCall:
    """A request at a target; sent_s is the time when that was chosen.

    told_s is the time limit in seconds that the target was told, infinite
    without one.
    """

    target: Target
    sent_s: float
    deadline: Deadline
    told_s: float = math.inf

    @property
    def limit_s(self) -> float:
        """The time from which on the target may stop at its limit.

        Infinite if it was told none, or went on behind the limit.
        """
        if now_s() > self.sent_s + self.told_s + LIMIT_SLACK_S:
            return math.inf
        return math.inf if math.isinf(self.told_s) else self.deadline.at_s


# Raises aiohttp.ClientError for an end that does not show a whole answer.
CheckEnd: TypeAlias = Callable[[SentCall], Awaitable[None]]


def note_sent(
    target: Target, outgoing: Outgoing, sent_s: float, deadline: Deadline
) -> SentCall:
    """Return what there is to know about a request that is sent."""
    told = outgoing.headers.get(DEADLINE_HEADER, 'inf')
    return SentCall(target, sent_s, deadline, float(told))
