"""One request as the dispatcher sees it."""

import attrs

from mimosaworks.admission import Deadline
from mimosaworks.entities import Route, Workspace
from mimosaworks.routing.lane_key import LaneKey


@attrs.define(eq=False)
class Ticket:
    """A request on its way to a target.

    workspace is None on open routes. model is empty for plain services.
    cost_tokens is what a dispatch takes; max_tokens of them are for the
    answer. tried names the targets that failed it. mark is the request's
    fingerprint; was_cold tells that no replica was there at some time.
    """

    request_id: str
    route: Route
    workspace: Workspace | None
    deadline: Deadline
    arrived_at_s: float
    model: str = ''
    adapter: str = ''
    cost_tokens: float = 0
    max_tokens: int = 0
    priority: int = 0
    prompt_prefix: str = ''
    mark: str = ''
    was_cold: bool = False
    tried: set[str] = attrs.field(factory=set)

    @property
    def lane_key(self) -> LaneKey:
        """The key of the queue that the request waits in."""
        return LaneKey(self.route.pool, self.model, self.adapter)

    @property
    def workspace_name(self) -> str:
        """The workspace's name; empty on open routes."""
        return self.workspace.name if self.workspace else ''
