"""The lowest headroom of a token bucket since an earlier charge."""

import bisect

import attrs

MAX_MINIMA = 128


@attrs.define
class _Minimum:
    period: int
    headroom: float


@attrs.define
class HeadroomLog:
    """The lowest headroom (tokens below the cap) since each charge.

    Each charge begins a period. Refunded tokens count as if they had never
    been charged. Those for which the bucket had no headroom in the meantime
    would have been lost, and their refund would let a workspace exceed its
    burst. The minima are sorted by period and by headroom.
    """

    last_period: int = 0
    minima: list[_Minimum] = attrs.field(factory=list)

    def start_period(self) -> int:
        """Begin a new period with a charge; return its number."""
        self.last_period += 1
        return self.last_period

    def record_headroom(self, headroom: float) -> None:
        """Record the bucket's headroom at this moment of the last period."""
        while self.minima and self.minima[-1].headroom >= headroom:
            self.minima.pop()
        if not self.minima or self.minima[-1].period < self.last_period:
            self.minima.append(_Minimum(self.last_period, headroom))
        if len(self.minima) > MAX_MINIMA:
            # The merged minimum understates the headroom of the second
            # period.
            self.minima[1].headroom = self.minima[0].headroom
            self.minima.pop(0)

    def lowest_since(self, period: int) -> float:
        """Return the lowest headroom since the period began; inf if unknown."""
        later_minima = (
            minimum.headroom
            for minimum in self.minima
            if minimum.period >= period
        )
        return next(later_minima, float('inf'))

    def deduct_since(self, period: int, tokens: float) -> None:
        """Lower the headroom by these tokens since the period began."""
        earlier, later = self._split_minima(period)
        lowest = self.lowest_since(period) - tokens
        # For earlier periods with more headroom, the later minima hold.
        kept_minima = [
            minimum for minimum in earlier if minimum.headroom < lowest
        ]
        lowered_minima = [
            _Minimum(minimum.period, minimum.headroom - tokens)
            for minimum in later
        ]
        self.minima = kept_minima + lowered_minima

    def _split_minima(
        self, period: int
    ) -> tuple[list[_Minimum], list[_Minimum]]:
        periods = [minimum.period for minimum in self.minima]
        first = bisect.bisect_left(periods, period)
        return self.minima[:first], self.minima[first:]
