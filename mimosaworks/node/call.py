"""One request of a caller at an entry node."""

import attrs
from aiohttp import web

from mimosaworks.clock import now_s
from mimosaworks.deployment import CallFacts, ServiceRoute
from mimosaworks.wire import CallAsk


@attrs.define(eq=False)
class Call:
    """A request that was admitted, with its body.

    deadline_s is on this process's clock; time after it helps nobody.
    asks counts the times a target was asked for, resends the sends after
    the first; target is where it runs now.
    """

    req: web.BaseRequest
    request_id: str
    route: ServiceRoute
    service: str
    workspace: str | None
    cost: float
    priority: int
    facts: CallFacts
    body: bytes
    arrived_s: float
    deadline_s: float
    mark: str = ''
    asks: int = 0
    resends: int = 0
    excluded: set[str] = attrs.field(factory=set)
    ask: CallAsk | None = None
    target: str = ''
    is_started: bool = False

    def may_resend(self) -> bool:
        """Tell whether it may be sent again though it may have run."""
        return (
            self.route.may_repeat
            and self.resends + 1 < self.route.max_attempts
        )

    def left_s(self) -> float:
        """Return the seconds until the deadline; never below zero."""
        return max(self.deadline_s - now_s(), 0)

    def age_s(self) -> float:
        """Return the seconds since the request arrived."""
        return now_s() - self.arrived_s
