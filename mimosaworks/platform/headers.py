"""Header fields of requests and answers on the platform's wire."""

from collections.abc import Mapping
from http import HTTPStatus

from multidict import CIMultiDict, MultiMapping

from mimosaworks.deployment import PromptPart, RequestProfile
from mimosaworks.json_fields import MAX_COUNT, read_count
from mimosaworks.platform.boot import MS_PER_S

REQUEST_ID = 'X-Request-Id'
MODEL = 'X-Model'
TOKENS = 'X-Token-Counts'
PREFIX = 'X-Prompt-Prefix'
LENGTH_HINT = 'X-Length-Hint'
TIME_LEFT = 'X-Deadline'
WORKSPACE = 'X-Tenant'
EXPECTED_TARGET = 'X-Expect-Instance'
TARGET_PRIORITY = 'X-Request-Priority'
LAST_EVENT = 'Last-Event-Id'
RESUMED_REQUEST = 'Resumes'
NOT_RUN = 'X-Not-Executed'
LEAVING = 'Server-Leaving'
LIMIT = 'Server-Limit'
BRITTLE = 'Server-Brittle'
RETRY_AFTER = 'Retry-After'
MAX_PAUSE_S = 60.0  # what is longer is no pause but a mistake
_BEARER = 'bearer '
# The fields that only the system may set, and those of one connection.
_DROPPED = frozenset((
    'authorization',
    'connection',
    'content-length',
    'expect',
    'keep-alive',
    'kv-fetch',
    'kv-from',
    'proxy-authorization',
    'proxy-connection',
    'te',
    'trailer',
    'transfer-encoding',
    'upgrade',
    'x-deadline',
    'x-expect-instance',
    'x-expect-version',
    'x-hold',
    'x-kv-backup',
    'x-pin-duration',
    'x-request-priority',
    'x-tenant',
))
_PER_CONNECTION = frozenset((
    'connection',
    'content-length',
    'date',
    'keep-alive',
    'server',
    'transfer-encoding',
    'upgrade',
))


def read_key(headers: Mapping[str, str]) -> str | None:
    """Return the caller's key, or None when the request has none."""
    sent = headers.get('Authorization', '')
    if sent.lower().startswith(_BEARER):
        return sent[len(_BEARER) :].strip()
    return None


def read_time_left_s(headers: Mapping[str, str]) -> float | None:
    """Return the seconds that the caller will wait; None if not given.

    Raises ValueError when the field is not a positive number.
    """
    sent = headers.get(TIME_LEFT)
    if sent is None:
        return None
    left_s = float(sent) / MS_PER_S
    if not left_s > 0:
        raise ValueError(f'{TIME_LEFT} must be a positive number')
    return left_s


def read_profile(headers: Mapping[str, str]) -> RequestProfile:
    """Return the declared model and size of a request.

    Raises ValueError naming a field that can't be read.
    """
    named = headers.get(MODEL, '')
    model, _, adapter = named.partition('/')
    tokens_in, tokens_out = _read_tokens(headers.get(TOKENS))
    return RequestProfile(
        model=model,
        adapter=adapter,
        tokens_in=tokens_in,
        tokens_out=tokens_out,
        tokens_hint=_read_hint(headers.get(LENGTH_HINT)),
        parts=_read_parts(headers.get(PREFIX)),
    )


def target_headers(
    headers: Mapping[str, str],
    *,
    target: str,
    time_left_s: float,
    workspace: str | None,
    priority: int | None,
) -> CIMultiDict[str]:
    """Return the fields for a target; time_left_s is in seconds."""
    named = headers.get('Connection', '').lower().split(',')
    dropped = _DROPPED.union(name.strip() for name in named)
    kept = CIMultiDict(
        (name, sent)
        for name, sent in headers.items()
        if name.lower() not in dropped
    )
    kept[TIME_LEFT] = str(max(int(time_left_s * MS_PER_S), 1))
    kept[EXPECTED_TARGET] = target
    if workspace is not None:
        kept[WORKSPACE] = workspace
    if priority is not None:
        kept[TARGET_PRIORITY] = str(priority)
    return kept


def answer_headers(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Return the fields of a target's answer that go to the caller."""
    return CIMultiDict(
        (name, sent)
        for name, sent in headers.items()
        if name.lower() not in _PER_CONNECTION
    )


def says_not_run(status: int, headers: Mapping[str, str]) -> bool:
    """Tell whether a target's answer says that nothing was run."""
    return NOT_RUN in headers or status == HTTPStatus.MISDIRECTED_REQUEST


def says_leaving(headers: MultiMapping[str] | Mapping[str, str]) -> bool:
    """Tell whether a target's answer announces that it leaves."""
    return headers.get(LEAVING, '').strip() == '1'


def read_pause_s(status: int, headers: Mapping[str, str]) -> float | None:
    """Return the time to back off from a target (s), None without one.

    Raises ValueError for anything but a number of seconds up to MAX_PAUSE_S.
    """
    sent = headers.get(RETRY_AFTER)
    if status != HTTPStatus.SERVICE_UNAVAILABLE or sent is None:
        return None
    pause_s = float(sent)
    if not 0 <= pause_s <= MAX_PAUSE_S:
        raise ValueError(f'{RETRY_AFTER} must be 0 to {MAX_PAUSE_S:.0f}')
    return pause_s


def _read_tokens(sent: str | None) -> tuple[int, int]:
    if sent is None:
        return (0, 0)
    tokens_in, separator, tokens_out = sent.partition(',')
    if not separator:
        raise ValueError(f'{TOKENS} must hold two numbers')
    return (read_count(TOKENS, tokens_in), read_count(TOKENS, tokens_out))


def _read_hint(sent: str | None) -> int:
    if sent is None:
        return 0
    # It is an estimate: one that is far off refuses no request.
    return int(min(max(float(sent), 0), MAX_COUNT))


def _read_parts(sent: str | None) -> tuple[PromptPart, ...]:
    return tuple(map(_read_part, sent.split(','))) if sent else ()


def _read_part(sent: str) -> PromptPart:
    part, separator, tokens = sent.strip().rpartition(':')
    if not separator:
        raise ValueError(f'{PREFIX} must hold pairs of id and tokens')
    return PromptPart(part, read_count(PREFIX, tokens))
