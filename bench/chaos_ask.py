"""One planned call of a chaos run."""

import hashlib
import json

import attrs

BYTES_PER_TOKEN = 4
CHAT_PATH = '/v1/chat/completions'
POST_PATH = '/calls'


@attrs.frozen
class ChaosAsk:
    """What a caller sends; a post has no model.

    key_name names the caller's key; claim is the Idempotency-Key or empty;
    router is its index; at_s counts from the start of the load.
    """

    name: str
    at_s: float
    router: int
    workspace: str
    key_name: str
    deadline_s: float
    model: str = ''
    max_tokens: int = 0
    is_stream: bool = False
    claim: str = ''
    sleep_s: float = 0

    @property
    def path(self) -> str:
        """The path that is called."""
        return CHAT_PATH if self.model else POST_PATH

    @property
    def prompt(self) -> str:
        """The prompt, which no other call has."""
        return f'prompt of {self.name}'

    def body(self) -> bytes:
        """Return the request's body; resends of a claim share theirs."""
        if not self.model:
            subject = self.claim or self.name
            return f'post {subject}'.encode()
        return json.dumps({
            'model': self.model,
            'messages': [{'role': 'user', 'content': self.prompt}],
            'max_tokens': self.max_tokens,
            'stream': self.is_stream,
        }).encode()

    def digest(self) -> str:
        """Return the SHA-256 of the body."""
        return hashlib.sha256(self.body()).hexdigest()

    def headers(self, secret: str) -> dict[str, str]:
        """Return the header fields, with the key."""
        fields = {
            'Authorization': f'Bearer {secret}',
            'Mimosa-Deadline-S': str(self.deadline_s),
            'X-Chaos-Id': self.name,
            'X-Sleep-S': str(self.sleep_s),
        }
        if self.claim:
            fields['Idempotency-Key'] = self.claim
        return fields

    def prompt_tokens(self) -> int:
        """Return the prompt's tokens as the system estimates them."""
        return len(self.body()) // BYTES_PER_TOKEN
