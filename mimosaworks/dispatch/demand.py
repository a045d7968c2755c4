"""How often each model is asked for."""

import math

import attrs

DEMAND_WINDOW_S = 15.0  # about the pause between two asks for a rare model


@attrs.define
class _Rate:
    per_s: float = 0
    updated_s: float = 0


@attrs.define
class ModelDemand:
    """Exponentially averaged requests a second for each model."""

    _rates: dict[str, _Rate] = attrs.field(factory=dict)

    def note(self, model: str, now: float) -> None:
        """Count one request for a model."""
        rate = self._rates.setdefault(model, _Rate(0, now))
        rate.per_s = _decayed(rate, now) + 1 / DEMAND_WINDOW_S
        rate.updated_s = now

    def per_s(self, model: str, now: float) -> float:
        """Return the requests a second for a model."""
        rate = self._rates.get(model)
        return 0 if rate is None else _decayed(rate, now)


def _decayed(rate: _Rate, now: float) -> float:
    age_s = max(now - rate.updated_s, 0)
    return rate.per_s * math.exp(-age_s / DEMAND_WINDOW_S)
