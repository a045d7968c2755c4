"""One request as the dispatcher sees it."""

import attrs

from mimosaworks.admission import Deadline
from mimosaworks.entities import Route, Workspace


@attrs.define(eq=False)
class Ticket:
    """A request on its way to a target.

    workspace is None on open routes. model is empty for plain services.
    cost_tokens is what a dispatch takes. tried names the targets that failed
    it. mark is the request's fingerprint.
    """

    request_id: str
    route: Route
    workspace: Workspace | None
    deadline: Deadline
    model: str = ''
    adapter: str = ''
    cost_tokens: float = 0
    priority: int = 0
    prompt_prefix: str = ''
    mark: str = ''
    tried: set[str] = attrs.field(factory=set)

    @property
    def lane_name(self) -> str:
        """The name of the queue: model and adapter, or the pool."""
        if self.model:
            return f'{self.model}/{self.adapter}'
        pool = self.route.pool
        return f'pool:{pool}'

    @property
    def workspace_name(self) -> str:
        """The workspace's name; empty on open routes."""
        return self.workspace.name if self.workspace else ''
