"""Exponentially averaged rates of events, such as requests for a model."""

import math

import attrs

# About the time between two requests for a rarely used model.
RATE_WINDOW_S = 15.0


@attrs.define
class _DecayingRate:
    rate_per_s: float = 0
    updated_s: float = 0


@attrs.define
class EventRates:
    """Exponentially averaged events a second for each name.

    The names are those of models, whose requests are counted, or of targets,
    whose orders are.
    """

    _rates: dict[str, _DecayingRate] = attrs.field(factory=dict)

    def record(self, name: str, now: float) -> None:
        """Count one event for a name."""
        rate = self._rates.setdefault(name, _DecayingRate(0, now))
        rate.rate_per_s = _decayed_rate(rate, now) + 1 / RATE_WINDOW_S
        rate.updated_s = now

    def rate_per_s(self, name: str, now: float) -> float:
        """Return the events a second for a name, 0 for an unknown one."""
        rate = self._rates.get(name)
        return 0 if rate is None else _decayed_rate(rate, now)


def _decayed_rate(rate: _DecayingRate, now: float) -> float:
    age_s = max(now - rate.updated_s, 0)
    return rate.rate_per_s * math.exp(-age_s / RATE_WINDOW_S)
