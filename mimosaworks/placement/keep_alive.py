"""How long an idle model is kept loaded."""

import bisect
import math
from collections.abc import Sequence

import attrs

KEEP_ALIVE_KINDS = ('histogram', 'fixed', 'none')
MIN_SAMPLES = 4
# Upper bounds of the histogram's buckets of inter-arrival times in seconds.
BOUNDS_S = tuple(2.0 ** (step / 2) for step in range(29))


@attrs.frozen
class KeepAliveRules:
    """The keep-alive policy: its kind and its weights.

    A second of a caller's cold start costs cold_start_weight, a second of
    an idle replica idle_weight. fixed_s is the timer of the kind 'fixed'
    and of models with too few samples; min_s is the least of any.
    """

    kind: str = 'histogram'
    fixed_s: float = 60.0
    min_s: float = 2.0
    cold_start_weight: float = 10.0
    idle_weight: float = 1.0


@attrs.define
class ArrivalHistogram:
    """Inter-arrival times of one model in buckets that grow by sqrt(2)."""

    counts: list[int] = attrs.field(factory=lambda: [0] * (len(BOUNDS_S) + 1))
    last_s: float = -math.inf

    def add(self, now: float) -> None:
        """Count an arrival at the time now."""
        if math.isfinite(self.last_s):
            gap = max(now - self.last_s, 0)
            self.counts[bisect.bisect_left(BOUNDS_S, gap)] += 1
        self.last_s = now


def keep_alive_s(
    rules: KeepAliveRules, counts: Sequence[int], cold_start_s: float
) -> float:
    """Return for how many seconds after its last use a model stays loaded.

    The histogram's answer is the window with the least expected cost of one
    gap between arrivals: idle time up to the window, and a cold start if
    the gap is longer.
    """
    if rules.kind == 'none':
        return rules.min_s
    if rules.kind == 'fixed' or sum(counts) < MIN_SAMPLES:
        return max(rules.fixed_s, rules.min_s)
    windows = (rules.min_s, *(bound for bound in BOUNDS_S))
    best = min(
        windows,
        key=lambda window: _gap_cost(rules, counts, cold_start_s, window),
    )
    return max(best, rules.min_s)


def _gap_cost(
    rules: KeepAliveRules,
    counts: Sequence[int],
    cold_start_s: float,
    window_s: float,
) -> float:
    tops = (*BOUNDS_S, math.inf)
    idle = sum(
        count * min(top, window_s)
        for count, top in zip(counts, tops, strict=True)
    )
    missed = sum(
        count
        for count, top in zip(counts, tops, strict=True)
        if top > window_s
    )
    cold = missed * cold_start_s * rules.cold_start_weight
    return idle * rules.idle_weight + cold
