"""Limits how many loads use the weight store concurrently."""

from collections import deque

import attrs

INITIAL_LIMIT = 2
# A load that takes this many times as long as an unshared one has shared the
# store's bandwidth.
SHARED_LOAD_RATIO = 1.2
# The limit follows the highest of 3 samples, so that one straggler does not
# lower it.
CAPACITY_SAMPLES = 3
# Loads at full speed that must end, for each load that the limit permits,
# before the limit is raised by one.
FULL_SPEED_LOADS_PER_SLOT = 2


def _empty_samples() -> deque[float]:
    return deque(maxlen=CAPACITY_SAMPLES)


@attrs.define
class ConcurrencyLimiter:
    """An adaptive limit on concurrent loads from the weight store.

    The limit follows the number of loads that the store serves at full speed.
    Beyond that number each load takes longer in proportion, so that more
    concurrent loads finish none of them sooner. One load too many delays only
    that one; one too few leaves a part of the store idle. _capacity_samples
    are the numbers of full-speed loads computed from loads that had to share
    the store. _active_loads gives by target the start of each load and how
    many ran then including it, 0 while it is queued.
    """

    limit: int = INITIAL_LIMIT
    _capacity_samples: deque[float] = attrs.field(factory=_empty_samples)
    _full_speed_loads: int = 0
    _active_loads: dict[str, tuple[float, int]] = attrs.field(factory=dict)

    @property
    def load_count(self) -> int:
        """Number of loads in progress or queued."""
        return len(self._active_loads)

    def has_capacity(self, max_loads: int, loads: int = 1) -> bool:
        """Return whether this many more loads may run concurrently.

        max_loads is a second bound on the concurrent loads. Loads that would
        run without others are always admitted.
        """
        limit = max(min(self.limit, max_loads), loads)
        return len(self._active_loads) + loads <= limit

    def next_capacity_s(self, load_s: float, now: float) -> float:
        """Return the expected seconds until the limit permits another load."""
        if len(self._active_loads) < self.limit:
            return 0
        first_start_s = min(
            start_s for start_s, _ in self._active_loads.values()
        )
        return max(first_start_s + load_s - now, 0)

    def reserve_load(self, target: str, now: float) -> None:
        """Record that a target will load; the load counts until it ends."""
        self._active_loads[target] = (now, 0)

    def record_load_start(self, target: str, now: float) -> None:
        """Record that the order of a reserved load is sent now."""
        if self._active_loads.pop(target, None) is not None:
            sent_loads = [
                concurrent_loads
                for _, concurrent_loads in self._active_loads.values()
                if concurrent_loads
            ]
            self._active_loads[target] = (now, len(sent_loads) + 1)

    def expected_shared_load_s(self, target: str, unshared_s: float) -> float:
        """Return the expected seconds of a load that shares the store."""
        _, concurrent_loads = self._active_loads.get(target, (0, 0))
        return unshared_s * max(concurrent_loads / self.limit, 1)

    def complete_load(self, target: str, unshared_s: float, now: float) -> None:
        """Adapt the limit to the duration of a load that ended now.

        unshared_s is the time that it takes if it does not share the store.
        """
        active_load = self._active_loads.pop(target, None)
        if active_load is None or not active_load[1]:
            return
        start_s, concurrent_loads = active_load
        duration_ratio = (now - start_s) / max(unshared_s, 1)
        is_slow = duration_ratio > SHARED_LOAD_RATIO
        # A load that ran without others was slow for another reason.
        if is_slow and concurrent_loads > 1:
            self._lower_limit(concurrent_loads / duration_ratio)
        elif not is_slow and concurrent_loads >= self.limit:
            self._raise_limit()

    def cancel_load(self, target: str) -> None:
        """Remove the load of a target that is gone or whose order failed."""
        self._active_loads.pop(target, None)

    def is_loading(self, target: str) -> bool:
        """Return whether a target has a load in progress or queued."""
        return target in self._active_loads

    def _lower_limit(self, capacity: float) -> None:
        self._capacity_samples.append(capacity)
        self._full_speed_loads = 0
        # Orders and reports take time as well, so that a store that serves 2
        # loads at full speed yields a sample below 2.
        self.limit = max(round(max(self._capacity_samples)), 1)

    def _raise_limit(self) -> None:
        self._full_speed_loads += 1
        needed_loads = (
            self.limit * FULL_SPEED_LOADS_PER_SLOT
            if self._capacity_samples
            else 1
        )
        if self._full_speed_loads >= needed_loads:
            self._full_speed_loads = 0
            self.limit += 1
