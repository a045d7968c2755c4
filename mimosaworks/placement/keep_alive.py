"""How long an idle model is kept loaded."""

import bisect
import functools
import math
from collections.abc import Sequence

import attrs

KEEP_ALIVE_KINDS = ('histogram', 'fixed', 'none')
MIN_GAP_SAMPLES = 4
# Upper bounds of the histogram's buckets of inter-arrival times in seconds.
BUCKET_GROWTH_FACTOR = math.sqrt(2)
BUCKET_BOUND_COUNT = 29
BUCKET_BOUNDS_S = tuple(
    math.pow(BUCKET_GROWTH_FACTOR, step) for step in range(BUCKET_BOUND_COUNT)
)
# The last bucket holds all longer inter-arrival times.
BUCKET_UPPER_BOUNDS_S = (*BUCKET_BOUNDS_S, math.inf)


@attrs.frozen
class KeepAliveConfig:
    """The keep-alive policy: its kind and its weights.

    A second of a caller's cold start costs cold_start_weight, a second of
    an idle replica idle_weight. fixed_window_s is the keep-alive time of
    the kind 'fixed' and of models with too few samples; min_window_s is the
    lower bound for every kind.
    """

    kind: str = 'histogram'
    fixed_window_s: float = 60.0
    min_window_s: float = 2.0
    cold_start_weight: float = 10.0
    idle_weight: float = 1.0


@attrs.define
class ArrivalHistogram:
    """Inter-arrival times of one model in buckets that grow by sqrt(2)."""

    counts: list[int] = attrs.field(
        factory=lambda: [0 for _ in BUCKET_UPPER_BOUNDS_S]
    )
    last_arrival_s: float = -math.inf

    def record_arrival(self, now: float) -> None:
        """Count an arrival at the time now."""
        if math.isfinite(self.last_arrival_s):
            gap_s = max(now - self.last_arrival_s, 0)
            self.counts[bisect.bisect_left(BUCKET_BOUNDS_S, gap_s)] += 1
        self.last_arrival_s = now


def compute_keep_alive_s(
    keep_alive_cfg: KeepAliveConfig,
    gap_counts: Sequence[int],
    cold_start_s: float,
) -> float:
    """Return for how many seconds after its last use a model stays loaded.

    The histogram's answer is the window with the least expected cost of one
    gap between arrivals: idle time up to the window, and a cold start if
    the gap is longer.
    """
    if keep_alive_cfg.kind == 'none':
        return keep_alive_cfg.min_window_s
    if keep_alive_cfg.kind == 'fixed' or sum(gap_counts) < MIN_GAP_SAMPLES:
        return max(keep_alive_cfg.fixed_window_s, keep_alive_cfg.min_window_s)
    cost = functools.partial(
        _gap_cost, keep_alive_cfg, gap_counts, cold_start_s
    )
    best_window_s = min(
        (keep_alive_cfg.min_window_s, *BUCKET_BOUNDS_S), key=cost
    )
    return max(best_window_s, keep_alive_cfg.min_window_s)


def _gap_cost(
    keep_alive_cfg: KeepAliveConfig,
    gap_counts: Sequence[int],
    cold_start_s: float,
    window_s: float,
) -> float:
    buckets = list(zip(gap_counts, BUCKET_UPPER_BOUNDS_S, strict=True))
    idle_times_s = [count * min(top, window_s) for count, top in buckets]
    cold_start_count = sum(count for count, top in buckets if top > window_s)
    total_cold_start_s = cold_start_count * cold_start_s
    return (
        sum(idle_times_s) * keep_alive_cfg.idle_weight
        + total_cold_start_s * keep_alive_cfg.cold_start_weight
    )
