"""Targets of a soak whose answers end with their connection, whole or not."""

import asyncio
import contextlib
import random
import time
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence

import attrs
from multidict import CIMultiDict

from bench.soak_load import Seen
from bench.soak_spans import SoakSpans, Span
from standins.agency.event_text import ECHO
from standins.agency.raw_answer import RawAnswer
from standins.agency.replica import LAST_EVENT, Replica
from standins.agency.world import AgencyWorld

WHOLE = 'whole'
CLOSED_INSIDE = 'closed inside an event'
RESET_INSIDE = 'reset inside an event'
RESET_BEHIND = 'reset behind an event'
RESET_PLAIN = 'reset in a plain body'
RESUMED = 'resumed'
STREAM_ENDS = (WHOLE, CLOSED_INSIDE, RESET_INSIDE, RESET_BEHIND)
PLAIN_ENDS = (WHOLE, RESET_PLAIN)
STATUSES = ('HTTP/1.1 200 OK', 'HTTP/1.0 200 OK')
FIELDS = ((), ('Connection: close',))
EVENT_START = b'id: '
LF = b'\n'
CR_LF = b'\r\n'
COMMENT = b': ping\n'
LINE_ENDS = (LF, CR_LF)
COMMENTS = (b'', COMMENT)
QUIET_S = (0.1, 0.5)
EXTRAS_S = 1.0  # after its last answer with more bytes
UNFRAMED_S = (0.5, 2.0)


@attrs.define(eq=False)
class SoakUnframed:
    """Has targets send answers without framing, until cancelled.

    ends tells how they ended, by the ids of their requests. A request that
    such an end breaks off is the target's fault. Its own random numbers leave
    the faults of known seeds as they were.
    """

    world: AgencyWorld
    spans: SoakSpans
    rng: random.Random
    ends: list[tuple[str, str]] = attrs.field(factory=list)

    async def run(self) -> None:
        """Use some targets after the others."""
        while True:  # noqa: WPS457 -- ends when the task is cancelled
            await asyncio.sleep(self.rng.uniform(*QUIET_S))
            names = sorted(self.world.replicas)
            with contextlib.ExitStack() as stack:
                for name in self.rng.sample(names, len(names) // 2):
                    replica = self.world.replicas[name]
                    stack.callback(setattr, replica, 'writer', None)
                    replica.writer = self._write
                await asyncio.sleep(self.rng.uniform(*UNFRAMED_S))

    def undress(self, seen: Iterable[Seen]) -> Iterator[Seen]:
        """Yield answers without the line ends and comments of these streams."""
        ids = {request_id for request_id, _ in self.ends}
        for one in seen:
            if one.request_id in ids:
                yield attrs.evolve(one, body=_undress(one.body))
            else:
                yield one

    def count(self) -> 'Counter[str]':
        """Return how often answers ended so, and how many streams went on."""
        cut = {request_id for request_id, end in self.ends if end != WHOLE}
        found = Counter(end for _, end in self.ends)
        found[RESUMED] = sum(
            request_id in cut
            for replica in self.world.replicas.values()
            for request_id in _resumed_at(replica)
        )
        return found

    def _write(
        self, target: str, request_id: str, pieces: Sequence[bytes]
    ) -> RawAnswer | None:
        body = b''.join(pieces)
        # Requests with the same content would count as the cause.
        if ECHO not in body or self._may_send_extras(target):
            return None
        is_stream = body.startswith(EVENT_START)
        end = self.rng.choice(STREAM_ENDS if is_stream else PLAIN_ENDS)
        self.ends.append((request_id, end))
        if end != WHOLE:
            now = time.monotonic()
            self.spans.spans.append(Span(target, now, now))
        kind = 'text/event-stream' if is_stream else 'text/plain'
        draw = self._draw_events if is_stream else self._draw_body
        return RawAnswer(
            tuple(draw(pieces, end)),
            (f'Content-Type: {kind}', *self.rng.choice(FIELDS)),
            is_reset=end not in {WHOLE, CLOSED_INSIDE},
            status=self.rng.choice(STATUSES),
            pause_s=self.world.replicas[target].event_s,
        )

    def _may_send_extras(self, target: str) -> bool:
        """Return whether bytes behind an earlier answer may still come.

        They would be a part of any body that ends with its connection.
        """
        return self.world.replicas[target].extra is not None or any(
            span.who == target
            and span.begun_s < span.ended_s
            and span.ended_s > time.monotonic() - EXTRAS_S
            for span in self.spans.spans
        )

    def _draw_events(
        self, events: Sequence[bytes], end: str
    ) -> Iterator[bytes]:
        """Yield the events up to an end, with a comment before each or none."""
        line_end = self.rng.choice(LINE_ENDS)
        comment = self.rng.choice(COMMENTS)
        sent = len(events)
        if end != WHOLE:
            sent = self.rng.randrange(len(events))
        for event in events[:sent]:
            yield (comment + event).replace(LF, line_end)
        if end in {CLOSED_INSIDE, RESET_INSIDE}:
            last = events[sent].replace(LF, line_end)
            # Without the line end that ends the event.
            most = len(last) - len(line_end)
            yield comment + last[: self.rng.randint(1, most)]

    def _draw_body(self, pieces: Sequence[bytes], end: str) -> Iterator[bytes]:
        """Yield a body, or the part of it before a reset."""
        body = b''.join(pieces)
        if end == WHOLE:
            yield body
        else:
            yield body[: self.rng.randint(0, len(body))]


def _resumed_at(replica: Replica) -> Iterator[str]:
    """Yield the ids of streams that went on at a target, behind an event."""
    for fields in map(CIMultiDict, replica.headers):
        if fields.get(LAST_EVENT):
            yield str(fields['X-Request-Id'])


def _undress(body: bytes) -> bytes:
    plain = body.replace(CR_LF, LF)
    return plain.replace(COMMENT, b'')
