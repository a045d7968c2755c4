"""Where streams began, by the id of the request that got the first event."""

import attrs

from mimosaworks.clock import now_s
from mimosaworks.wire import StreamNote

# Streams that a large deployment begins within the callers' timeouts.
MAX_ORIGINS = 50000
# Callers may wait longer than the route's timeout.
EXPIRY_SLACK_S = 10.0
# Longer texts are not kept, so that they can't fill memory and rows.
MAX_TEXT_CHARS = 200


@attrs.frozen
class StreamOrigin:
    """The service and software version of the target that began a stream.

    No caller resumes the stream after expires_s, on this process's clock.
    """

    service: str
    software_version: str
    expires_s: float


@attrs.define(eq=False)
class StreamOrigins:
    """Origins of streams: those that this node saw, or all that a holder knows.

    An origin never changes, as each request has an id of its own. Two different
    ones for an id leave it unknown.
    """

    _origins: dict[str, StreamOrigin] = attrs.field(factory=dict)

    def find(self, request_id: str) -> StreamOrigin | None:
        """Return the origin of the stream that a request began, or None."""
        origin = self._origins.get(request_id)
        if origin is None or not origin.software_version:
            return None
        return origin if origin.expires_s > now_s() else None

    def add(self, note: StreamNote) -> bool:
        """Add an origin; return whether it was not known before."""
        self._drop_expired()
        texts = (note.request_id, note.service, note.software_version)
        if not all(texts) or max(map(len, texts)) > MAX_TEXT_CHARS:
            return False
        known = self._origins.get(note.request_id)
        if known is not None:
            if (known.service, known.software_version) != texts[1:]:
                self._origins[note.request_id] = attrs.evolve(
                    known, software_version=''
                )
            return False
        self._origins[note.request_id] = StreamOrigin(
            note.service, note.software_version, now_s() + note.left_s
        )
        if len(self._origins) > MAX_ORIGINS:
            self._origins.pop(next(iter(self._origins)))
        return True

    def make_notes(self) -> tuple[StreamNote, ...]:
        """Return all origins that are known."""
        now = now_s()
        return tuple(
            StreamNote(
                request_id,
                origin.service,
                origin.software_version,
                origin.expires_s - now,
            )
            for request_id, origin in self._origins.items()
            if origin.software_version and origin.expires_s > now
        )

    def _drop_expired(self) -> None:
        """Drop expired origins from the oldest on."""
        now = now_s()
        while self._origins:
            request_id, origin = next(iter(self._origins.items()))
            if origin.expires_s > now:
                break
            self._origins.pop(request_id)
