"""What a bucket would have had room for since an earlier point."""

import bisect

import attrs

MAX_LOWS = 128


@attrs.define
class _Low:
    serial: int
    room: float


@attrs.define
class HeadroomLog:
    """Lowest room below a bucket's cap since each of its takes.

    Tokens that go back unused count as if they had never been taken. Those
    for which the bucket had no room in the meantime would have been lost,
    and given back they would let a workspace exceed its burst. The lows
    have growing serials and growing room.
    """

    serial: int = 0
    lows: list[_Low] = attrs.field(factory=list)

    def next_serial(self) -> int:
        """Begin a new period, at a take; return its serial."""
        self.serial += 1
        return self.serial

    def record(self, room: float) -> None:
        """Record the room at an instant of the present period."""
        while self.lows and self.lows[-1].room >= room:
            self.lows.pop()
        if not self.lows or self.lows[-1].serial < self.serial:
            self.lows.append(_Low(self.serial, room))
        if len(self.lows) > MAX_LOWS:
            # The merged low understates the room of the second period.
            self.lows[1].room = self.lows[0].room
            self.lows.pop(0)

    def lowest(self, serial: int) -> float:
        """Return the lowest room recorded since the period of serial began."""
        later = (low.room for low in self.lows if low.serial >= serial)
        return next(later, float('inf'))

    def fill(self, serial: int, tokens: float) -> None:
        """Count tokens as held since the period of serial began."""
        earlier, later = self._split(serial)
        lowest = self.lowest(serial) - tokens
        # Earlier periods with more room are covered by the later ones' lows.
        kept = [low for low in earlier if low.room < lowest]
        lowered = [_Low(low.serial, low.room - tokens) for low in later]
        self.lows = kept + lowered

    def _split(self, serial: int) -> tuple[list[_Low], list[_Low]]:
        serials = [low.serial for low in self.lows]
        first = bisect.bisect_left(serials, serial)
        return self.lows[:first], self.lows[first:]
