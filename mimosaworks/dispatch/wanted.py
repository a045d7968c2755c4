"""Models that requests were refused for, until they are loaded."""

import functools

import attrs

from mimosaworks.dispatch.demand import ModelDemand
from mimosaworks.dispatch.job import Job

WANT_TTL_S = 20.0  # callers who were refused come back within it, or never
# A caller who would have waited for the load comes back for it.
RETURN_WEIGHT = 1.0


@attrs.define
class _Want:
    job: Job
    asked_s: float
    returning: float = 0


@attrs.define
class WantedModels:
    """Remembers for which models a load is worth it.

    demand counts all requests for a model, refused or not.
    """

    demand: ModelDemand
    _wants: dict[str, _Want] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Return the number of these models."""
        return len(self._wants)

    def note(self, job: Job, now: float, *, would_wait: bool) -> None:
        """Note that a request was refused for want of its model."""
        want = self._wants.setdefault(job.ask.facts.model, _Want(job, now))
        want.job = job
        want.asked_s = now
        want.returning += would_wait

    def count(self, model: str) -> float:
        """Return how many callers were refused and would have waited."""
        want = self._wants.get(model)
        return 0 if want is None else want.returning

    def drop(self, model: str) -> None:
        """Forget a model that is loaded or on its way."""
        self._wants.pop(model, None)

    def by_need(self, now: float) -> list[Job]:
        """Return a request for each model, the most wanted first."""
        for model, want in list(self._wants.items()):
            if now - want.asked_s > WANT_TTL_S:
                self._wants.pop(model)
        ranked = sorted(
            self._wants, key=functools.partial(self._need, now), reverse=True
        )
        return [self._wants[name].job for name in ranked]

    def is_outranked(self, model: str, now: float) -> bool:
        """Tell whether another model is wanted more, as one is asked for."""
        need = self._need(now, model) + RETURN_WEIGHT
        return any(
            self._need(now, name) > need
            for name in self._wants
            if name != model
        )

    def _need(self, now: float, name: str) -> float:
        asked = self.demand.per_s(name, now) * WANT_TTL_S
        want = self._wants.get(name)
        returning = 0 if want is None else want.returning
        return asked + returning * RETURN_WEIGHT
