"""Streams of events by their head, and the error for an early end."""

from aiohttp import ClientPayloadError, ClientResponse

from mimosaworks.body_framing import Framing

_EVENT_STREAM = 'text/event-stream'


class UnfinishedEventError(ClientPayloadError):
    """A stream ended before its last event, though its framing is complete."""


def is_event_stream(resp: ClientResponse, *, is_expected: bool) -> bool:
    """Return whether an answer is a stream of events.

    is_expected is true where the answer may lack a Content-Type.
    """
    declared = resp.headers.get('Content-Type', '').strip().lower()
    if not declared:
        return is_expected
    # Some servers write more behind the type than a list of parameters.
    return declared.strip('"').startswith(_EVENT_STREAM)


def make_unfinished_error(
    framing: Framing, place: str = 'inside an event'
) -> ClientPayloadError:
    """Return the error for a stream that ended too early, at this place.

    Only the end of a connection may mean that the target has ended.
    """
    reason = f'the stream ended {place}, by its {framing.value}'
    if framing is Framing.CONNECTION:
        return ClientPayloadError(reason)
    return UnfinishedEventError(reason)
