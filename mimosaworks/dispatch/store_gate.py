"""Bounds the loads from the weight store that run at once."""

import attrs

FIRST_LIMIT = 2
SLOW_RATIO = 1.2  # a load this much longer than alone shared the store


@attrs.define
class StoreGate:
    """Finds how many loads the weight store carries at full speed.

    Beyond that number each load takes longer in proportion, so that more
    at once bring none of them sooner. limit follows the measured durations.
    """

    limit: int = FIRST_LIMIT
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
        self._begun[target] = (now, len(self._begun) + 1)

    def restart_clock(self, target: str, now: float) -> None:
        """Note that the order of a noted load is sent now."""
        begun = self._begun.pop(target, None)
        if begun is not None:
            self.begin(target, now)

    def end(self, target: str, alone_s: float, now: float) -> None:
        """Learn from a load that takes alone_s when it has the store alone."""
        begun = self._begun.pop(target, None)
        if begun is None:
            return
        begun_s, at_once = begun
        taken_s = now - begun_s
        ratio = taken_s / max(alone_s, 1)
        if ratio > SLOW_RATIO:
            carried = max(int(at_once / ratio), 1)
            self.limit = min(self.limit, carried)
        elif at_once >= self.limit:
            self.limit += 1

    def forget(self, target: str) -> None:
        """Take a target off that is gone or whose order failed."""
        self._begun.pop(target, None)

    def is_loading(self, target: str) -> bool:
        """Tell whether a target loads from the store, or will."""
        return target in self._begun
