"""How long an idle model is kept loaded."""

import bisect
import functools
import math
from collections.abc import Sequence

import attrs

KEEP_ALIVE_KINDS = ('histogram', 'fixed', 'none')
MIN_SAMPLES = 4
# Upper bounds of the histogram's buckets of inter-arrival times in seconds.
GROWTH = math.sqrt(2)
BOUND_COUNT = 29
BOUNDS_S = tuple(math.pow(GROWTH, step) for step in range(BOUND_COUNT))
# The last bucket takes all longer ones.
TOPS_S = (*BOUNDS_S, math.inf)


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

    counts: list[int] = attrs.field(factory=lambda: [0 for _ in TOPS_S])
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
    cost = functools.partial(_gap_cost, rules, counts, cold_start_s)
    best = min((rules.min_s, *BOUNDS_S), key=cost)
    return max(best, rules.min_s)


def _gap_cost(
    rules: KeepAliveRules,
    counts: Sequence[int],
    cold_start_s: float,
    window_s: float,
) -> float:
    buckets = list(zip(counts, TOPS_S, strict=True))
    idle_s = [count * min(top, window_s) for count, top in buckets]
    missed = sum(count for count, top in buckets if top > window_s)
    cold_s = missed * cold_start_s
    return sum(idle_s) * rules.idle_weight + cold_s * rules.cold_start_weight
