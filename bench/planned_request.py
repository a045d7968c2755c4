"""One request of a planned load."""

import attrs


@attrs.frozen
class PlannedRequest:
    """When a request is to be sent (s after the start), by whom, for what.

    model is empty for a service post. cost_tokens is what the router takes.
    """

    at_s: float
    workspace: str
    model: str
    prompt: str
    max_tokens: int
    deadline_s: float

    @property
    def cost_tokens(self) -> int:
        """Tokens that the request takes from its workspace's grant."""
        return max(self.max_tokens, 1)
