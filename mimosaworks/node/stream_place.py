"""Where a stream that breaks off goes on."""

import re
from collections.abc import Sequence

import attrs
from aiohttp import ClientPayloadError

from mimosaworks.event_stream import Event

# A stream with more of them behind its last id is not resumed.
MAX_UNNUMBERED_BYTES = 16000
MAX_ID_BYTES = 1000
# What can't be sent in a header field.
_UNSENDABLE = re.compile(rb'[\x00-\x08\x0a-\x1f\x7f]')


class OtherEventError(ClientPayloadError):
    """A resumed stream does not go on behind what was released before."""


@attrs.define
class StreamPlace:
    """The last event of a stream that has an id, and what came behind it.

    last_id is that id, or the one behind which the caller asked to begin.
    is_known tells whether the next target can be told the place.
    """

    last_id: bytes = b''
    is_known: bool = True
    _first_id: bytes = b''
    _ids_grow: bool = True
    _unnumbered: list[tuple[bytes, ...]] = attrs.field(factory=list)
    _unnumbered_bytes: int = 0

    def add(self, event: Event) -> None:
        """Add an event that is released."""
        if event.event_id:
            self._add_id(event.event_id)
        elif event.has_data and self.is_known:
            self._add_unnumbered(event)

    def check_ids(self, opening: Sequence[Event]) -> None:
        """Raise OtherEventError if an id came before."""
        for event in opening:
            if event.event_id and self._came_before(event.event_id):
                raise OtherEventError(f'id {event.event_id!r} comes again')

    def drop_repeated(self, opening: Sequence[Event]) -> list[Event]:
        """Return the first events of another run without those that came.

        They end with the first one that has an id, if there is one. Events
        without an id behind the last one may be repeated, or left out, all of
        them. Raises OtherEventError.
        """
        self.check_ids(opening)
        count = len(self._unnumbered)
        positions = [
            position
            for position, event in enumerate(opening)
            if event.has_data and not event.event_id
        ][:count]
        repeated = [_field_lines(opening[position]) for position in positions]
        if repeated and repeated != self._unnumbered:
            raise OtherEventError(f'other events follow id {self.last_id!r}')
        return [
            event
            for position, event in enumerate(opening)
            if position not in positions
        ]

    def _add_id(self, event_id: bytes) -> None:
        self._ids_grow = self._ids_grow and _is_less(self.last_id, event_id)
        self._first_id = self._first_id or event_id
        self.last_id = event_id
        self.is_known = len(event_id) <= MAX_ID_BYTES and (
            _UNSENDABLE.search(event_id) is None
        )
        self._forget_unnumbered()

    def _add_unnumbered(self, event: Event) -> None:
        """Keep an event that the next run may repeat."""
        self._unnumbered.append(_field_lines(event))
        self._unnumbered_bytes += len(event.content)
        is_beyond = self._unnumbered_bytes > MAX_UNNUMBERED_BYTES
        if is_beyond or not self.last_id:
            self._forget_unnumbered()
            self.is_known = False

    def _forget_unnumbered(self) -> None:
        self._unnumbered.clear()
        self._unnumbered_bytes = 0

    def _came_before(self, event_id: bytes) -> bool:
        if event_id in {self._first_id, self.last_id}:
            return True
        return self._ids_grow and _is_less(event_id, self.last_id)


def _is_less(number: bytes, other: bytes) -> bool:
    """Return whether both are numbers and the first one is less.

    No number is less than any.
    """
    if not number:
        return True
    if not (number.isdigit() and other.isdigit()):
        return False
    digits, other_digits = number.lstrip(b'0'), other.lstrip(b'0')
    return (len(digits), digits) < (len(other_digits), other_digits)


def _field_lines(event: Event) -> tuple[bytes, ...]:
    """Return what an event says, whatever its line ends and comments are."""
    return tuple(
        line
        for line in event.content.splitlines()
        if line and not line.startswith(b':')
    )
