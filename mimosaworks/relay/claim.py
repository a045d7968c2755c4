"""A claim on an idempotency key, as kept in the table."""

import base64
import enum
import hashlib
import json

import attrs
from multidict import CIMultiDict

CLAIMS_PREFIX = 'claims/'


@enum.unique
class ClaimState(enum.Enum):
    """Where a claimed request stands."""

    RUNNING = 'running'
    ANSWERED = 'answered'
    IN_DOUBT = 'in_doubt'


@attrs.frozen
class StoredAnswer:
    """An answer that can be given again."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@attrs.frozen
class Claim:
    """Who runs the request of a key, what it was, and its answer.

    owner is the router's peer address and boot its boot nonce; nonce is the
    claim's own. mark identifies the request's content.
    """

    key: str
    owner: str
    boot: str
    nonce: str
    mark: str
    state: ClaimState = ClaimState.RUNNING
    answer: StoredAnswer | None = None

    def to_json(self) -> str:
        """Return the row's text."""
        fields = attrs.asdict(self, filter=_is_plain)
        fields['state'] = self.state.value
        if self.answer:
            fields['status'] = self.answer.status
            fields['headers'] = [list(pair) for pair in self.answer.headers]
            fields['body'] = base64.b64encode(self.answer.body).decode()
        return json.dumps(fields)


def claim_key(workspace: str, idempotency_key: str) -> str:
    """Return the row key; the caller's text is hashed, it may be anything."""
    digest = hashlib.sha256(f'{workspace}\0{idempotency_key}'.encode())
    return f'{CLAIMS_PREFIX}{digest.hexdigest()}'


def claim_from_json(text: str) -> Claim:
    """Return the claim that a row holds."""
    fields = json.loads(text)
    answer = None
    if 'status' in fields:
        answer = StoredAnswer(
            fields.pop('status'),
            tuple((name, line) for name, line in fields.pop('headers')),
            base64.b64decode(fields.pop('body')),
        )
    fields['state'] = ClaimState(fields['state'])
    return Claim(**fields, answer=answer)


def stored_answer(
    status: int, headers: CIMultiDict[str], body: bytes
) -> StoredAnswer:
    """Return what has to be kept of an answer."""
    return StoredAnswer(status, tuple(headers.items()), body)


def _is_plain(field: 'attrs.Attribute[object]', _content: object) -> bool:
    return field.name != 'answer'
