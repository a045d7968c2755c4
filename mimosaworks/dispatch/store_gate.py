"""Bounds how many loads share the weight store."""

from collections import deque

import attrs

FIRST_LIMIT = 2
SLOW_RATIO = 1.2  # a load this much longer than alone shared the store
WIDTHS_KEPT = 3  # measured widths, so that one straggler is outvoted
# Loads at full speed, for each that may run, before one more is tried.
FULL_SPEED_LOADS = 2


def _no_widths() -> deque[float]:
    return deque(maxlen=WIDTHS_KEPT)


@attrs.define
class StoreGate:
    """Finds how many loads the weight store carries at full speed.

    Beyond that number each load takes longer in proportion, so that more
    at once bring none of them sooner. One too many delays that one only; one
    too few leaves a part of the store idle. limit follows the measured
    durations: _widths are those that loads showed that had to share. _begun
    gives for each load its start and how many ran then, 0 while it is queued.
    """

    limit: int = FIRST_LIMIT
    _widths: deque[float] = attrs.field(factory=_no_widths)
    _at_full_speed: int = 0
    _begun: dict[str, tuple[float, int]] = attrs.field(factory=dict)

    @property
    def at_once(self) -> int:
        """Loads in progress, or queued."""
        return len(self._begun)

    def has_room(self, most: int, loads: int = 1) -> bool:
        """Tell whether this many more loads may run at once.

        most bounds them as well, but for those that would run alone.
        """
        limit = max(min(self.limit, most), loads)
        return len(self._begun) + loads <= limit

    def next_room_s(self, load_s: float, now: float) -> float:
        """Return about how long until one of the loads in progress ends."""
        if len(self._begun) < self.limit:
            return 0
        first_s = min(begun_s for begun_s, _ in self._begun.values())
        return max(first_s + load_s - now, 0)

    def begin(self, target: str, now: float) -> None:
        """Note that a target will load; it counts until it ends."""
        self._begun[target] = (now, 0)

    def restart_clock(self, target: str, now: float) -> None:
        """Note that the order of a noted load is sent now."""
        if self._begun.pop(target, None) is not None:
            sent = [at_once for _, at_once in self._begun.values() if at_once]
            self._begun[target] = (now, len(sent) + 1)

    def expected_s(self, target: str, alone_s: float) -> float:
        """Return how long a load that was sent takes beside the others."""
        _, at_once = self._begun.get(target, (0, 0))
        return alone_s * max(at_once / self.limit, 1)

    def end(self, target: str, alone_s: float, now: float) -> None:
        """Learn from a load that takes alone_s when it has the store alone."""
        begun = self._begun.pop(target, None)
        if begun is None or not begun[1]:
            return
        begun_s, at_once = begun
        ratio = (now - begun_s) / max(alone_s, 1)
        is_slow = ratio > SLOW_RATIO
        # A load that ran alone was slow for another reason.
        if is_slow and at_once > 1:
            self._narrow(at_once / ratio)
        elif not is_slow and at_once >= self.limit:
            self._widen()

    def forget(self, target: str) -> None:
        """Take a target off that is gone or whose order failed."""
        self._begun.pop(target, None)

    def is_loading(self, target: str) -> bool:
        """Tell whether a target loads from the store, or will."""
        return target in self._begun

    def _narrow(self, width: float) -> None:
        self._widths.append(width)
        self._at_full_speed = 0
        # Orders and reports take time as well: a width of two measures less.
        self.limit = max(round(max(self._widths)), 1)

    def _widen(self) -> None:
        self._at_full_speed += 1
        needed = self.limit * FULL_SPEED_LOADS if self._widths else 1
        if self._at_full_speed >= needed:
            self._at_full_speed = 0
            self.limit += 1
