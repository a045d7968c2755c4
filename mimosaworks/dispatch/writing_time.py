"""Learns how long engines write answers, once their first event has come."""

import attrs

from mimosaworks.dispatch.job import Job

TOKEN_S = 0.006  # about a step of an engine's batch, before any measurement
WEIGHT = 0.1  # share of the newest answer in the averages
MAX_PACE = 8.0
FIRST_MEAN_S = 1.0  # an answer of some hundred tokens


@attrs.define
class WritingTime:
    """Average times of whole answers, in seconds.

    Callers' estimates of the length are right at the median only, so that
    single answers take several times as long or as short. _paces compares
    each model with TOKEN_S a token, _pace all models together.
    """

    mean_s: float = FIRST_MEAN_S
    _pace: float = 1.0
    _paces: dict[str, float] = attrs.field(factory=dict)

    def write_s(self, job: Job) -> float:
        """Return the expected seconds from the first event to the last."""
        facts = job.ask.facts
        pace = self._paces.get(facts.model, self._pace)
        return facts.expected_out * TOKEN_S * pace

    def learn(self, job: Job, measured_s: float) -> None:
        """Learn from a whole answer that took measured_s to write."""
        facts = job.ask.facts
        self.mean_s += WEIGHT * (measured_s - self.mean_s)
        alone_s = max(facts.expected_out, 1) * TOKEN_S
        error = min(max(measured_s / alone_s, 1 / MAX_PACE), MAX_PACE)
        known = self._paces.get(facts.model, self._pace)
        self._paces[facts.model] = _averaged(known, error)
        self._pace = _averaged(self._pace, error)


def _averaged(pace: float, error: float) -> float:
    """Return the geometric average, which one long answer moves little."""
    return float(pace * (error / pace) ** WEIGHT)
