"""A caller's request as the dispatcher sees it."""

import attrs

from mimosaworks.admission import Deadline
from mimosaworks.entities import Route, Workspace
from mimosaworks.routing.queue_key import QueueKey


@attrs.define(eq=False)
class RoutedRequest:
    """A caller's request while it is queued, sent or retried.

    workspace is None on open routes. model is empty for plain services.
    cost_tokens is what the request is charged when it is dispatched;
    max_tokens of them are for the answer. failed_targets are the names of
    the targets that failed it. fingerprint identifies requests with the same
    content; was_cold means that at some time no replica was ready.
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
    fingerprint: str = ''
    was_cold: bool = False
    failed_targets: set[str] = attrs.field(factory=set)

    @property
    def queue_key(self) -> QueueKey:
        """The key of the queue that the request waits in."""
        return QueueKey(self.route.pool, self.model, self.adapter)

    @property
    def workspace_name(self) -> str:
        """The workspace's name; empty on open routes."""
        return self.workspace.name if self.workspace else ''
