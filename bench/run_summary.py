"""The brief's four measures of one run."""

from collections import Counter
from collections.abc import Sequence

import attrs
from hdrh.histogram import HdrHistogram

from bench.ideal_bucket import count_served
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

    worst_workspace is the lowest share of the tokens that an ideal bucket
    would have served that a workspace got, worst_name its name. wrongful is
    the share of the requests that the ideal served and that were refused.
    warm_first_s leaves workspaces out that exceed their rate and so wait.
    """

    requests: int
    answered: int
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
    served = count_served(profile, outcomes)
    ideal = sum(own.ideal_requests for own in served.values())
    wrongful = sum(own.wrongful for own in served.values())
    worst = min(served, key=lambda name: served[name].share)
    cold = _first_tokens(outcomes, was_cold=True)
    return RunSummary(
        requests=len(outcomes),
        answered=sum(out.is_answered for out in outcomes),
        wrongful=wrongful / max(ideal, 1),
        cold_starts=len(cold),
        cold_start_s=_percentiles(cold),
        warm_first_s=_percentiles(
            _first_tokens(_steady(profile, outcomes), was_cold=False)
        ),
        worst_workspace=served[worst].share,
        worst_name=worst,
        idle_replica_hours=idle.idle_s / SECONDS_PER_HOUR,
        loaded_replica_hours=idle.loaded_s / SECONDS_PER_HOUR,
        refusals=dict(Counter(out.code for out in outcomes if out.code)),
        service_by_workspace={name: own.share for name, own in served.items()},
    )


def _first_tokens(
    outcomes: Sequence[Outcome], *, was_cold: bool
) -> list[float]:
    return [
        out.first_s
        for out in outcomes
        if out.is_answered and out.ask.model and out.was_cold is was_cold
    ]


def _steady(profile: Profile, outcomes: Sequence[Outcome]) -> list[Outcome]:
    floods = {tenant.name for tenant in profile.tenants if tenant.flood > 1}
    return [out for out in outcomes if out.ask.workspace not in floods]


def _percentiles(times_s: Sequence[float]) -> dict[str, float]:
    histogram = HdrHistogram(1, MAX_US, DIGITS)
    for time_s in times_s:
        histogram.record_value(max(int(time_s * US_PER_S), 1))
    return {
        f'p{rank}': histogram.get_value_at_percentile(rank) / US_PER_S
        for rank in PERCENTILES
    }
