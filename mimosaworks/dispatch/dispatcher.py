"""Decides for all requests where they run; used by the holder."""

from collections.abc import Iterable

import attrs

from mimosaworks.deployment import Deployment, ServiceTerms, TargetEntry
from mimosaworks.dispatch.engine_pool import EnginePool
from mimosaworks.dispatch.engine_target import EngineTarget, Step
from mimosaworks.dispatch.job import Ask, Assignment, Job, Refusal
from mimosaworks.dispatch.limiter import Limiter
from mimosaworks.dispatch.outcome import CallOutcome
from mimosaworks.dispatch.plain_pool import PlainPool, PlainTarget
from mimosaworks.dispatch.resend_budget import ResendBudgets
from mimosaworks.errors import ErrorKind

Decided = tuple[str, Assignment | Refusal]
NO_BUDGET_RETRY_S = 1.0
_UNUSED = frozenset((CallOutcome.REFUSED, CallOutcome.UNREACHABLE))


@attrs.define(eq=False)
class Dispatcher:
    """Requests, targets and limits of all services.

    Messages return what they decided for waiting requests, by call.
    """

    resends: ResendBudgets
    pools: dict[str, EnginePool | PlainPool] = attrs.field(factory=dict)
    jobs: dict[str, Job] = attrs.field(factory=dict)
    limiter: Limiter = attrs.field(factory=Limiter)

    def follow_deployment(self, deployment: Deployment, now: float) -> None:
        """Follow a new version of the deployment."""
        for name in self.pools.keys() - deployment.services.keys():
            self.pools.pop(name)
        for service in deployment.services.values():
            self._follow_service(service)
        self.limiter.follow_terms(deployment.workspaces, now)

    def follow_entries(
        self, entries: dict[str, TargetEntry], now: float
    ) -> list[Decided]:
        """Follow what the targets say of themselves."""
        displaced: list[Job] = []
        for name, pool in self.pools.items():
            own = (one for one in entries.values() if one.service == name)
            displaced += pool.adopt(own, now)
        return [*self._replace(displaced, now), *self.tick(now)]

    def submit(self, ask: Ask, now: float) -> Assignment | Refusal | None:
        """Decide for a request; None while it has to wait."""
        pool = self.pools.get(ask.service)
        if pool is None:
            return Refusal(
                ErrorKind.NO_TARGET, NO_BUDGET_RETRY_S, 'unknown service'
            )
        refusal = _check_bounds(self, ask, now)
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
        found = self.find_target(ask.service, target)
        if found is not None:
            found.add_job(job, now)
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
            self._note_outcome(job, outcome, now)
            if outcome is CallOutcome.ANSWERED and isinstance(pool, PlainPool):
                pool.note_work(job, duration_s)
            pool.drop(job)
        if outcome in _UNUSED:
            self.limiter.give_back(job.ask.workspace, job.ask.cost)
        return self.tick(now)

    def tick(self, now: float) -> list[Decided]:
        """Decide for requests whose turn or last moment has come."""
        decided: list[Decided] = []
        for pool in self.pools.values():
            if isinstance(pool, EnginePool):
                decided += self._replace(pool.overdue(now), now)
            else:
                decided += self._tick_plain(pool, now)
        return decided

    def step_done(
        self, service: str, target: EngineTarget, step: Step, now: float
    ) -> list[Decided]:
        """Note that an order was carried out."""
        pool = self.pools.get(service)
        if not isinstance(pool, EnginePool) or not pool.holds(target):
            return []
        return [
            (job.ask.call, pool.grant(job, now))
            for job in pool.step_done(target, step, now)
        ]

    def step_failed(
        self, service: str, target: EngineTarget, step: Step, now: float
    ) -> list[Decided]:
        """Note that an order was not carried out."""
        pool = self.pools.get(service)
        if not isinstance(pool, EnginePool) or not pool.holds(target):
            return []
        return self._replace(pool.step_failed(target, step, now), now)

    def find_target(
        self, service: str, name: str
    ) -> EngineTarget | PlainTarget | None:
        """Return a service's target by its name, or None."""
        pool = self.pools.get(service)
        return None if pool is None else pool.targets.get(name)

    def _replace(self, jobs: Iterable[Job], now: float) -> list[Decided]:
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

    def _tick_plain(self, pool: PlainPool, now: float) -> list[Decided]:
        decided: list[Decided] = [
            (job.ask.call, assignment)
            for job, assignment in pool.next_grants(now)
        ]
        for late in pool.hopeless(now):
            self._give_up(late)
            refusal = Refusal(
                ErrorKind.DEADLINE_UNREACHABLE,
                pool.work_s,
                'no slot came free in time',
            )
            decided.append((late.ask.call, refusal))
        return decided

    def _give_up(self, job: Job) -> None:
        self.jobs.pop(job.ask.call, None)
        self.limiter.give_back(job.ask.workspace, job.ask.cost)
        pool = self.pools.get(job.ask.service)
        if pool is not None:
            pool.drop(job)

    def _note_outcome(self, job: Job, outcome: CallOutcome, now: float) -> None:
        target = self.find_target(job.ask.service, job.target)
        if target is None:
            return
        target.health.note_outcome(outcome, now)
        is_refused = outcome is CallOutcome.REFUSED
        if is_refused and isinstance(target, EngineTarget):
            target.is_synced = False

    def _follow_service(self, service: ServiceTerms) -> None:
        pool = self.pools.get(service.name)
        if service.engine is None:
            if not isinstance(pool, PlainPool):
                self.pools[service.name] = PlainPool()
        elif isinstance(pool, EnginePool):
            pool.follow_terms(service.engine)
        else:
            self.pools[service.name] = EnginePool(service.engine)


def _check_bounds(
    dispatcher: Dispatcher, ask: Ask, now: float
) -> Refusal | None:
    """Refuse a request beyond the bound on resends or its workspace's rate."""
    if not dispatcher.resends.admit(
        ask.service, now, is_resend=bool(ask.resends)
    ):
        return Refusal(
            ErrorKind.NO_TARGET,
            NO_BUDGET_RETRY_S,
            'the budget for resends is used up',
        )
    wait_s = dispatcher.limiter.take(ask.workspace, ask.cost, now)
    if not wait_s:
        return None
    return Refusal(
        ErrorKind.RATE_EXCEEDED,
        wait_s,
        f'{ask.cost:.0f} tokens are there in {wait_s:.2f} s',
    )
