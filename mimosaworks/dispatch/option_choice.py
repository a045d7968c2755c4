"""Chooses the best way to serve a model request, or refuses it."""

from collections.abc import Iterable, Mapping

import attrs

from mimosaworks.deployment import TargetState
from mimosaworks.dispatch.engine_target import EngineTarget
from mimosaworks.dispatch.estimate import Estimator, Option
from mimosaworks.dispatch.job import Job, Refusal
from mimosaworks.dispatch.load_time import least_s, needs_store
from mimosaworks.dispatch.store_loads import StoreLoads
from mimosaworks.dispatch.waiting_room import WaitingRoom
from mimosaworks.dispatch.wanted import WantedModels
from mimosaworks.errors import ErrorKind

MIN_RETRY_S = 0.3
MAX_RETRY_S = 3.0
NO_TARGET_RETRY_S = 1.0
# Of the expected time to write an answer; many are shorter than expected.
SHORT_ANSWER = 0.5


@attrs.define(eq=False)
class OptionChoice:
    """Weighs all targets of a service for one request.

    targets and copies, the number of replicas of each model, are kept by the
    pool. refused are the models at hand that requests were refused for.
    """

    targets: Mapping[str, EngineTarget]
    copies: Mapping[str, int]
    estimator: Estimator
    loads: StoreLoads
    refused: WantedModels
    waiting: WaitingRoom

    def usable(self, job: Job, now: float) -> list[EngineTarget]:
        """Return the targets that a request may go to."""
        return [
            target
            for target in self.targets.values()
            if _is_usable(target, job, now)
        ]

    def cheapest(
        self, usable: Iterable[EngineTarget], job: Job, now: float
    ) -> Option | None:
        """Return the best way to serve a request that is open now.

        Targets that cannot beat the best one so far are not weighed.
        """
        model = self.loads.terms.models.get(job.ask.facts.model)
        if model is None:
            return None
        bounds = [
            (least_s(target, model, now), number, target)
            for number, target in enumerate(usable)
        ]
        best: Option | None = None
        for bound_s, _, target in sorted(bounds):
            if best is not None and best.cost_s <= bound_s:
                break
            best = _cheaper(best, self._open_option(target, job, now))
        return best

    def choose(self, job: Job, now: float) -> Option | Refusal:
        """Return the best way to serve a request in time."""
        usable = self.usable(job, now)
        if not usable:
            return Refusal(
                ErrorKind.NO_TARGET, NO_TARGET_RETRY_S, 'no target in service'
            )
        best = self.cheapest(usable, job, now)
        if best is None or self.loads.is_outranked(best.steps, now):
            return Refusal(
                ErrorKind.MODEL_NOT_READY,
                self._note_refused(job, now) or NO_TARGET_RETRY_S,
                _describe(usable, job),
            )
        if not self._is_in_time(best, job, now):
            self._note_refused(job, now)
            return self._too_late(best, job, now)
        if best.is_early:
            return Refusal(
                ErrorKind.MODEL_NOT_READY,
                _bounded(best.ready_s),
                f'other loads take {best.queued_s:.2f} s before',
            )
        return best

    def may_wait(self, job: Job, refusal: Refusal, now: float) -> bool:
        """Tell whether a target may have room for a model in time."""
        model = self.loads.terms.models.get(job.ask.facts.model)
        if model is None or refusal.kind is not ErrorKind.MODEL_NOT_READY:
            return False
        is_near = any(
            model.name not in target.models and not needs_store(target, model)
            for target in self.usable(job, now)
            if target.has_copy(model.name)
        )
        return is_near and self.waiting.may_hold(job, model, now)

    def _open_option(
        self, target: EngineTarget, job: Job, now: float
    ) -> Option | None:
        option = self.estimator.option(target, job, now)
        if option is None or not self.loads.allows(target, option.steps, now):
            return None
        return option

    def _is_in_time(self, best: Option, job: Job, now: float) -> bool:
        """Tell whether the first event and the whole answer may be in time."""
        write_s = self.estimator.writing.write_s(job) * SHORT_ANSWER
        left_s = min(job.ask.first_by_s, job.ask.give_up_s - write_s) - now
        return best.wait_s < left_s

    def _note_refused(self, job: Job, now: float) -> float | None:
        """Note a model that requests were refused for, to be loaded later.

        Returns the seconds until a model that lies nowhere could be loaded.
        """
        model = job.ask.facts.model
        if model not in self.copies and self.loads.count_at_hand(model, now):
            self.refused.note(job, now, would_wait=True)
        return self.loads.refused(job, now)

    def _too_late(self, best: Option, job: Job, now: float) -> Refusal:
        left_s = min(job.ask.first_by_s, job.ask.give_up_s) - now
        reason = f'predicted {best.wait_s:.2f} s, {left_s:.2f} s left'
        if best.limit_s < best.wait_s / 2:
            return Refusal(
                ErrorKind.DEADLINE_UNREACHABLE,
                _bounded(self._return_s(best, job)),
                reason,
            )
        name = best.target.entry.name
        limits = self.estimator.paced.limits
        retry_s = limits.book_return(name, best.limit_s, now)
        return Refusal(
            ErrorKind.DEADLINE_UNREACHABLE,
            max(retry_s, MIN_RETRY_S),
            '; '.join((reason, limits.describe(name, best.limit_s))),
            is_limited=True,
        )

    def _return_s(self, best: Option, job: Job) -> float:
        """Return when a refused caller can be served, behind those before."""
        returning = self.refused.count(job.ask.facts.model)
        slots = max(self.loads.terms.slots, 1)
        later_s = returning * self.estimator.writing.mean_s / slots
        return best.ready_s + later_s


def _is_usable(target: EngineTarget, job: Job, now: float) -> bool:
    return (
        target.entry.state is TargetState.READY
        and target.entry.name not in job.ask.excluded
        and not target.health.is_down(now)
    )


def _describe(usable: list[EngineTarget], job: Job) -> str:
    model = job.ask.facts.model
    at_hand = sum(target.has_copy(model) for target in usable)
    return (
        f'none of {len(usable)} targets can load the model now, '
        f'{at_hand} have its weights at hand'
    )


def _cheaper(best: Option | None, other: Option | None) -> Option | None:
    if best is None or other is None:
        return best or other
    return other if other.cost_s < best.cost_s else best


def _bounded(retry_s: float) -> float:
    return min(max(retry_s, MIN_RETRY_S), MAX_RETRY_S)
