"""Estimates the time from an answer's first event to its last."""

import attrs

from mimosaworks.dispatch.job import Job

# Time for one token until one has been measured: about a step of an engine's
# batch.
INITIAL_TOKEN_S = 0.006
# Weight of the newest answer in the averages.
NEW_ANSWER_WEIGHT = 0.1
MAX_SLOWDOWN = 8.0
# Duration of an answer of some hundred tokens.
INITIAL_MEAN_S = 1.0


@attrs.define
class GenerationTimeEstimator:
    """Running averages of the time that engines need to generate answers.

    mean_s is the average in seconds for all answers. Callers' estimates of
    the length are right at the median only, so that single answers take
    several times as long or as short. _model_slowdowns gives each model's
    average of measured time by INITIAL_TOKEN_S for each token, _mean_slowdown
    that of all models together.
    """

    mean_s: float = INITIAL_MEAN_S
    _mean_slowdown: float = 1.0
    _model_slowdowns: dict[str, float] = attrs.field(factory=dict)

    def expected_generation_s(self, job: Job) -> float:
        """Return the expected seconds from the first event to the last."""
        profile = job.assignment_req.profile
        slowdown = self._model_slowdowns.get(profile.model, self._mean_slowdown)
        return profile.expected_tokens_out * INITIAL_TOKEN_S * slowdown

    def record_answer(self, job: Job, measured_s: float) -> None:
        """Record a complete answer that was generated in measured_s."""
        profile = job.assignment_req.profile
        self.mean_s += NEW_ANSWER_WEIGHT * (measured_s - self.mean_s)
        unloaded_s = max(profile.expected_tokens_out, 1) * INITIAL_TOKEN_S
        slowdown = min(
            max(measured_s / unloaded_s, 1 / MAX_SLOWDOWN), MAX_SLOWDOWN
        )
        previous_slowdown = self._model_slowdowns.get(
            profile.model, self._mean_slowdown
        )
        self._model_slowdowns[profile.model] = _geometric_average(
            previous_slowdown, slowdown
        )
        self._mean_slowdown = _geometric_average(self._mean_slowdown, slowdown)


def _geometric_average(average: float, measured: float) -> float:
    """Return a geometric average, which one long answer changes little."""
    return float(average * (measured / average) ** NEW_ANSWER_WEIGHT)
