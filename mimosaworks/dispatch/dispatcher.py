"""Decides for all requests where they run; used by the holder."""

from collections.abc import Iterable

import attrs

from mimosaworks.deployment import Deployment, ServiceTerms, TargetEntry
from mimosaworks.dispatch.engine_pool import EnginePool
from mimosaworks.dispatch.engine_target import EngineTarget, Step
from mimosaworks.dispatch.job import Ask, Assignment, Job, Refusal
from mimosaworks.dispatch.limiter import Limiter
from mimosaworks.dispatch.outcome import CallOutcome
from mimosaworks.dispatch.plain_pool import PlainPool
from mimosaworks.dispatch.resend_budget import ResendBudget
from mimosaworks.errors import ErrorKind

Decided = tuple[str, Assignment | Refusal]
NO_BUDGET_RETRY_S = 1.0
_UNHEALTHY = frozenset((
    CallOutcome.FAILED,
    CallOutcome.BROKEN,
    CallOutcome.TIMED_OUT,
))


@attrs.frozen
class ResendTerms:
    """The promised bound on resends of a service; see ResendBudget."""

    ratio: float
    slack: float
    window_s: float


@attrs.define(eq=False)
class Dispatcher:
    """Requests, targets and limits of all services.

    Messages return what they decided for waiting requests, by call.
    """

    resend_terms: ResendTerms
    pools: dict[str, EnginePool | PlainPool] = attrs.field(factory=dict)
    jobs: dict[str, Job] = attrs.field(factory=dict)
    limiter: Limiter = attrs.field(factory=Limiter)
    resends: dict[str, ResendBudget] = attrs.field(factory=dict)
    entries: dict[str, TargetEntry] = attrs.field(factory=dict)

    def set_deployment(self, deployment: Deployment, now: float) -> None:
        """Follow a new version of the deployment."""
        for name in self.pools.keys() - deployment.services.keys():
            self.pools.pop(name)
        for service in deployment.services.values():
            self._set_service(service)
        self.limiter.set_terms(deployment.workspaces, now)

    def set_entries(
        self, entries: dict[str, TargetEntry], now: float
    ) -> list[Decided]:
        """Follow what the targets say of themselves."""
        self.entries = entries
        displaced: list[Job] = []
        for name, pool in self.pools.items():
            own = (one for one in entries.values() if one.service == name)
            displaced += pool.adopt(own, now)
        return [*self.replace(displaced, now), *self.tick(now)]

    def submit(self, ask: Ask, now: float) -> Assignment | Refusal | None:
        """Decide for a request; None while it has to wait."""
        pool = self.pools.get(ask.service)
        if pool is None:
            return Refusal(
                ErrorKind.NO_TARGET, NO_BUDGET_RETRY_S, 'unknown service'
            )
        refusal = self._check_resend(ask, now) or self._check_rate(ask, now)
        if refusal is not None:
            return refusal
        job = Job(ask, now)
        self.jobs[ask.call] = job
        decided = pool.submit(job, now)
        if isinstance(decided, Refusal):
            self._give_up(job)
        return decided

    def resume(self, ask: Ask, target: str, now: float) -> Job:
        """Book a request that runs since before this holder's time."""
        job = Job(ask, now, is_granted=True)
        self.jobs[ask.call] = job
        found = self.target(ask.service, target)
        if isinstance(found, EngineTarget):
            found.add_job(job, now)
        elif found is not None:
            found.jobs[ask.call] = job
            job.target = target
        return job

    def withdraw(self, call: str, now: float) -> list[Decided]:
        """Forget a request whose node does not wait for a target any more."""
        job = self.jobs.get(call)
        if job is None:
            return []
        self._give_up(job)
        return self.tick(now)

    def started(self, call: str, first_s: float) -> None:
        """Note the first event of a request's answer."""
        job = self.jobs.get(call)
        pool = None if job is None else self.pools.get(job.ask.service)
        if job is not None and isinstance(pool, EnginePool):
            pool.started(job, first_s)

    def ended(
        self, call: str, outcome: CallOutcome, duration_s: float, now: float
    ) -> list[Decided]:
        """Note how a request left its target."""
        job = self.jobs.pop(call, None)
        if job is None:
            return []
        pool = self.pools.get(job.ask.service)
        if pool is not None:
            self._note_health(job, outcome, now)
            if outcome is CallOutcome.ANSWERED and isinstance(pool, PlainPool):
                pool.note_work(job, duration_s)
            pool.drop(job)
        if outcome in {CallOutcome.REFUSED, CallOutcome.UNREACHABLE}:
            self.limiter.give_back(job.ask.workspace, job.ask.cost)
        return self.tick(now)

    def tick(self, now: float) -> list[Decided]:
        """Decide for requests whose turn or last moment has come."""
        decided: list[Decided] = []
        for pool in self.pools.values():
            if isinstance(pool, EnginePool):
                decided += self.replace(pool.overdue(now), now)
                continue
            for job, assignment in pool.next_grants(now):
                decided.append((job.ask.call, assignment))
            for late in pool.hopeless(now):
                self._give_up(late)
                refusal = Refusal(
                    ErrorKind.DEADLINE_UNREACHABLE,
                    pool.work_s,
                    'no slot came free in time',
                )
                decided.append((late.ask.call, refusal))
        return decided

    def step_done(
        self, service: str, target: EngineTarget, step: Step, now: float
    ) -> list[Decided]:
        """Note that an order was carried out."""
        pool = self.pools.get(service)
        if not isinstance(pool, EnginePool) or not pool.holds(target):
            return []
        pool.step_done(target, step, now)
        return [
            (job.ask.call, pool.grant(job, now))
            for job in pool.ready_jobs(target)
        ]

    def step_failed(
        self, service: str, target: EngineTarget, step: Step, now: float
    ) -> list[Decided]:
        """Note that an order was not carried out."""
        pool = self.pools.get(service)
        if not isinstance(pool, EnginePool) or not pool.holds(target):
            return []
        return self.replace(pool.step_failed(target, step, now), now)

    def replace(self, jobs: Iterable[Job], now: float) -> list[Decided]:
        """Choose again for requests whose target fell away."""
        decided: list[Decided] = []
        for job in jobs:
            pool = self.pools[job.ask.service]
            pool.drop(job)
            outcome = pool.submit(job, now)
            if isinstance(outcome, Refusal):
                self._give_up(job)
            if outcome is not None:
                decided.append((job.ask.call, outcome))
        return decided

    def target(self, service: str, name: str) -> object:
        """Return a service's target by its name, or None."""
        pool = self.pools.get(service)
        return None if pool is None else pool.targets.get(name)

    def _give_up(self, job: Job) -> None:
        self.jobs.pop(job.ask.call, None)
        self.limiter.give_back(job.ask.workspace, job.ask.cost)
        pool = self.pools.get(job.ask.service)
        if pool is not None:
            pool.drop(job)

    def _check_resend(self, ask: Ask, now: float) -> Refusal | None:
        budget = self.resends.setdefault(
            ask.service,
            ResendBudget(
                self.resend_terms.ratio,
                self.resend_terms.slack,
                self.resend_terms.window_s,
            ),
        )
        if not ask.resends:
            budget.note_request(now)
            return None
        if budget.try_spend(now):
            return None
        return Refusal(
            ErrorKind.NO_TARGET,
            NO_BUDGET_RETRY_S,
            'the budget for resends is used up',
        )

    def _check_rate(self, ask: Ask, now: float) -> Refusal | None:
        wait_s = self.limiter.take(ask.workspace, ask.cost, now)
        if not wait_s:
            return None
        return Refusal(
            ErrorKind.RATE_EXCEEDED,
            wait_s,
            f'{ask.cost:.0f} tokens are there in {wait_s:.2f} s',
        )

    def _set_service(self, service: ServiceTerms) -> None:
        pool = self.pools.get(service.name)
        if service.engine is None:
            if not isinstance(pool, PlainPool):
                self.pools[service.name] = PlainPool()
        elif isinstance(pool, EnginePool):
            pool.set_terms(service.engine)
        else:
            self.pools[service.name] = EnginePool(service.engine)

    def _note_health(
        self, job: Job, outcome: CallOutcome, now: float
    ) -> None:
        target = self.target(job.ask.service, job.target)
        if target is None:
            return
        health = target.health  # type: ignore[attr-defined]
        if outcome is CallOutcome.ANSWERED:
            health.note_success(now)
        elif outcome is CallOutcome.UNREACHABLE:
            health.note_unreachable(now)
        elif outcome in _UNHEALTHY:
            health.note_failure(now)
        elif outcome is CallOutcome.REFUSED and isinstance(
            target, EngineTarget
        ):
            target.is_synced = False
