"""One request of a planned load."""

import json

import attrs

from mimosaworks.admission.model_request import BYTES_PER_TOKEN


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
        if not self.model:
            return 1
        return len(self.body()) // BYTES_PER_TOKEN + self.max_tokens

    def body(self) -> bytes:
        """Return the JSON body that is sent."""
        fields: dict[str, object] = {'credit': 1}
        if self.model:
            fields = {
                'model': self.model,
                'messages': [{'role': 'user', 'content': self.prompt}],
                'max_tokens': self.max_tokens,
                'stream': True,
            }
        return json.dumps(fields).encode()
