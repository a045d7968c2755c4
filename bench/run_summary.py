"""The brief's four measures of one run."""

from collections import Counter
from collections.abc import Sequence

import attrs
from hdrh.histogram import HdrHistogram

from bench.ideal_bucket import refused_inside_rate, served_share
from bench.idle_watch import IdleWatch
from bench.outcome import Outcome
from bench.profile import Profile

SECONDS_PER_HOUR = 3600
PERCENTILES = (50, 95, 99)
MAX_US = 600000000
DIGITS = 3
US_PER_S = 1000000


@attrs.frozen
class RunSummary:
    """Figures of one run; times in seconds.

    worst_workspace is the lowest share that a workspace got of the tokens
    that it offered within its grant, worst_name its name. wrongful is the
    share of all requests that were refused although inside the rate, and
    wrongful_kinds their error kinds.
    """

    requests: int
    answered: int
    wrongful: float
    wrongful_kinds: dict[str, int]
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
    profile: Profile,
    outcomes: Sequence[Outcome],
    idle: IdleWatch,
    duration_s: float,
) -> RunSummary:
    """Return the figures of a run that lasted duration_s seconds."""
    wrongful = refused_inside_rate(profile, outcomes)
    chats = [out for out in outcomes if out.is_answered and out.ask.model]
    cold = [out.first_s for out in chats if out.was_cold]
    warm = [out.first_s for out in chats if not out.was_cold]
    served = {
        tenant.name: served_share(tenant, outcomes, duration_s)
        for tenant in profile.tenants
    }
    worst = min(served, key=lambda name: served[name])
    return RunSummary(
        requests=len(outcomes),
        answered=sum(out.is_answered for out in outcomes),
        wrongful=len(wrongful) / max(len(outcomes), 1),
        wrongful_kinds=dict(Counter(out.code for out in wrongful)),
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


def _percentiles(times_s: Sequence[float]) -> dict[str, float]:
    histogram = HdrHistogram(1, MAX_US, DIGITS)
    for time_s in times_s:
        histogram.record_value(max(int(time_s * US_PER_S), 1))
    return {
        f'p{rank}': histogram.get_value_at_percentile(rank) / US_PER_S
        for rank in PERCENTILES
    }
