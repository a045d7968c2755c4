"""The brief's four measures of one run."""

from collections import Counter
from collections.abc import Sequence

import attrs
from hdrh.histogram import HdrHistogram

from bench.idle_watch import IdleWatch
from bench.outcome import Outcome
from bench.profile import Profile

SECONDS_PER_HOUR = 3600
PERCENTILES = (50, 95, 99)
MAX_US = 600000000
DIGITS = 3
US_PER_S = 1000000
# Refusals that mean "no room" although the workspace was inside its rate.
_WRONGFUL = frozenset((
    'rate_exceeded',
    'deadline_unreachable',
    'queue_full',
    'model_not_ready',
    'no_target',
    'deadline_exceeded',
    'config_stale',
))


@attrs.frozen
class RunSummary:
    """Figures of one run; times in seconds.

    worst_workspace is the lowest share of the tokens inside the rate that a
    workspace got, worst_name its name. wrongful is the share of the requests
    inside the rate that were refused.
    """

    requests: int
    answered: int
    inside: int
    wrongful: float
    cold_starts: int
    cold_start_s: dict[str, float]
    warm_first_s: dict[str, float]
    worst_workspace: float
    worst_name: str
    idle_replica_hours: float
    loaded_replica_hours: float
    refusals: dict[str, int]
    service_by_workspace: dict[str, float]


def summarize(
    profile: Profile, outcomes: Sequence[Outcome], idle: IdleWatch
) -> RunSummary:
    """Return the figures of a run."""
    inside = [outcome for outcome in outcomes if outcome.is_inside]
    wrongful = [out for out in inside if out.code in _WRONGFUL]
    chats = [out for out in outcomes if out.is_answered and out.ask.model]
    cold = [out.first_s for out in chats if out.was_cold]
    warm = [out.first_s for out in chats if not out.was_cold]
    served = {
        tenant.name: _service(tenant.name, inside) for tenant in profile.tenants
    }
    worst = min(served, key=lambda name: served[name])
    return RunSummary(
        requests=len(outcomes),
        answered=sum(out.is_answered for out in outcomes),
        inside=len(inside),
        wrongful=len(wrongful) / max(len(inside), 1),
        cold_starts=len(cold),
        cold_start_s=_percentiles(cold),
        warm_first_s=_percentiles(warm),
        worst_workspace=served[worst],
        worst_name=worst,
        idle_replica_hours=idle.idle_s / SECONDS_PER_HOUR,
        loaded_replica_hours=idle.loaded_s / SECONDS_PER_HOUR,
        refusals=dict(Counter(out.code for out in outcomes if out.code)),
        service_by_workspace=served,
    )


def _service(workspace: str, inside: Sequence[Outcome]) -> float:
    own = [out for out in inside if out.ask.workspace == workspace]
    granted = sum(out.ask.cost_tokens for out in own)
    got = sum(out.ask.cost_tokens for out in own if out.is_answered)
    return got / granted if granted else 1


def _percentiles(times_s: Sequence[float]) -> dict[str, float]:
    histogram = HdrHistogram(1, MAX_US, DIGITS)
    for time_s in times_s:
        histogram.record_value(max(int(time_s * US_PER_S), 1))
    return {
        f'p{rank}': histogram.get_value_at_percentile(rank) / US_PER_S
        for rank in PERCENTILES
    }
