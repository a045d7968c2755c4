"""Decides for all requests where they run; used by the holder."""

from collections.abc import Iterable

import attrs

from mimosaworks.bounded import forget_oldest
from mimosaworks.deployment import (
    Deployment,
    ServiceTerms,
    TargetEntry,
    TargetState,
)
from mimosaworks.dispatch.crash_book import CrashBook, Verdict
from mimosaworks.dispatch.crash_trials import CrashTrials
from mimosaworks.dispatch.engine_pool import EnginePool
from mimosaworks.dispatch.engine_target import EngineTarget, Step
from mimosaworks.dispatch.job import Ask, Assignment, Job, Refusal
from mimosaworks.dispatch.limiter import Limiter
from mimosaworks.dispatch.outcome import WHOLE, CallOutcome
from mimosaworks.dispatch.plain_pool import PlainPool, PlainTarget
from mimosaworks.dispatch.resend_budget import ResendBudgets
from mimosaworks.dispatch.suspect_rules import (
    admit_suspect,
    crash_suspect,
    find_for_trial,
    set_apart,
    waiting_refused,
)
from mimosaworks.dispatch.target_ends import TargetEnd
from mimosaworks.dispatch.target_limits import TargetLimits
from mimosaworks.errors import ErrorKind

Decided = tuple[str, Assignment | Refusal]
RETRY_S = 1.0
MAX_LEAVING = 1000  # more than targets that a deployment has
# The longest wait for tokens: the same for all, so that patient requests
# do not take the tokens of urgent ones in advance.
TOKEN_WAIT_S = 0.3
_UNSENT = frozenset((CallOutcome.NOT_SENT, CallOutcome.UNREACHABLE))
_UNUSED = _UNSENT | {CallOutcome.REFUSED}


@attrs.define(eq=False)
class Dispatcher:
    """Requests, targets and limits of all services.

    Messages return what they decided for waiting requests, by call. leaving
    gives the births of targets that announced it before their entries do,
    limits the rate limits of targets.
    """

    resends: ResendBudgets
    limits: TargetLimits = attrs.field(factory=TargetLimits)
    pools: dict[str, EnginePool | PlainPool] = attrs.field(factory=dict)
    jobs: dict[str, Job] = attrs.field(factory=dict)
    limiter: Limiter = attrs.field(factory=Limiter)
    crashes: CrashBook = attrs.field(factory=CrashBook)
    trials: CrashTrials = attrs.field(
        init=False,
        default=attrs.Factory(
            lambda made: CrashTrials(made.crashes), takes_self=True
        ),
    )
    leaving: dict[str, int] = attrs.field(factory=dict)

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
        self.limits.forget_gone(entries, now)
        displaced: list[Job] = []
        for name, pool in self.pools.items():
            own = (
                _believed(self.leaving, entry)
                for entry in entries.values()
                if entry.service == name
            )
            displaced += pool.adopt(own, now)
        return [*self._replace(displaced, now), *self.tick(now)]

    def admit(self, ask: Ask, now: float) -> float | Refusal:
        """Charge a request; return the seconds until its tokens are there.

        A short wait serves the caller sooner than coming back would.
        """
        suspected = admit_suspect(self.trials, self.jobs, ask, now)
        if suspected is not None:
            return suspected
        if not self.resends.admit(
            ask.service, now, is_resend=bool(ask.resends)
        ):
            return Refusal(
                ErrorKind.NO_TARGET,
                RETRY_S,
                'the budget for resends is used up',
            )
        patience_s = min(TOKEN_WAIT_S, ask.first_by_s - now)
        taken = self.limiter.take(ask.workspace, ask.cost, now, patience_s)
        if taken.is_taken:
            return taken.wait_s
        return Refusal(
            ErrorKind.RATE_EXCEEDED,
            taken.wait_s,
            f'{ask.cost:.0f} tokens are there in {taken.wait_s:.2f} s',
        )

    def submit(self, ask: Ask, now: float) -> Assignment | Refusal | None:
        """Decide for an admitted request; None while it has to wait."""
        pool = self.pools.get(ask.service)
        if pool is None:
            self.limiter.give_back(ask.workspace, ask.cost)
            return Refusal(ErrorKind.NO_TARGET, RETRY_S, 'unknown service')
        if self.crashes.judge(ask.mark) is Verdict.REFUSED:
            return _try_suspect(self, pool, ask, now)
        job = Job(set_apart(self.crashes, self.jobs, ask, pool), now)
        self.jobs[ask.call] = job
        decided = pool.submit(job, now)
        if isinstance(decided, Refusal):
            self.give_up(job)
        return decided

    def resume(self, ask: Ask, target: str, now: float) -> Job:
        """Book a request that runs since before this holder's time."""
        job = Job(ask, now, is_granted=True)
        self.jobs[ask.call] = job
        found = _find_target(self, ask.service, target)
        if found is not None:
            found.add_job(job, now)
        return job

    def withdraw(
        self, call: str, now: float, *, may_run: bool = False
    ) -> list[Decided]:
        """Forget a request whose node does not wait for a target any more.

        may_run: the node may have sent it; what was granted stays charged.
        """
        job = self.jobs.get(call)
        if job is None:
            return []
        self.give_up(job, is_unused=not (may_run and job.is_granted))
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
            _note_outcome(self, job, outcome, now)
            if outcome in WHOLE:
                pool.note_whole(job, duration_s)
            pool.drop(job)
        if job.is_trial and outcome in _UNSENT:
            self.trials.give_back(job.ask.mark)
        if outcome in _UNUSED:
            self.limiter.give_back(job.ask.workspace, job.ask.cost)
        return self.tick(now)

    def note_ends(self, ends: Iterable[TargetEnd], now: float) -> list[Decided]:
        """Count ends of targets; refuse what waits and is refused by now."""
        marks: set[str] = set()
        for end in ends:
            marks.add(end.mark)
            entry = _find_entry(self, end.target)
            self.crashes.note_end(end, entry, now)
        refused = waiting_refused(self.crashes, self.jobs.values(), marks)
        decided: list[Decided] = []
        for job in refused:
            self.give_up(job)
            decided.append((job.ask.call, crash_suspect()))
        return decided

    def note_leaving(self, name: str, born: int) -> None:
        """Note a target that announced itself that it leaves.

        It counts from the next look at the entries on, until the target is
        born anew; born is its birth, 0 if not known.
        """
        self.leaving[name] = born
        forget_oldest(self.leaving, MAX_LEAVING)

    def tick(self, now: float) -> list[Decided]:
        """Decide for requests whose turn or last moment has come."""
        decided: list[Decided] = []
        for pool in self.pools.values():
            if isinstance(pool, EnginePool):
                decided += self._replace(pool.overdue(now), now)
            else:
                for job in pool.hopeless(now):
                    self.give_up(job)
                    decided.append((job.ask.call, _too_late()))
            granted = pool.next_grants(now)
            decided += [(other.ask.call, one) for other, one in granted]
        return decided

    def step_done(
        self, service: str, target: EngineTarget, step: Step, now: float
    ) -> list[Decided]:
        """Note that an order was carried out."""
        pool = _pool_holding(self, service, target)
        if pool is None:
            return []
        granted = [
            (job.ask.call, pool.grant(job, now))
            for job in pool.step_done(target, step, now)
        ]
        return [*granted, *self.tick(now)]

    def step_failed(
        self, service: str, target: EngineTarget, step: Step, now: float
    ) -> list[Decided]:
        """Note that an order was not carried out."""
        pool = _pool_holding(self, service, target)
        if pool is None:
            return []
        return self._replace(pool.step_failed(target, step, now), now)

    def give_up(self, job: Job, *, is_unused: bool = True) -> None:
        """Forget a request that gets no target, or none any more."""
        self.jobs.pop(job.ask.call, None)
        if is_unused:
            self.limiter.give_back(job.ask.workspace, job.ask.cost)
        pool = self.pools.get(job.ask.service)
        if pool is not None:
            pool.drop(job)

    def _replace(self, jobs: Iterable[Job], now: float) -> list[Decided]:
        """Choose again for requests whose target fell away."""
        decided: list[Decided] = []
        for job in jobs:
            pool = self.pools[job.ask.service]
            pool.drop(job)
            outcome = pool.submit(job, now)
            if isinstance(outcome, Refusal):
                self.give_up(job)
            if outcome is not None:
                decided.append((job.ask.call, outcome))
        return decided

    def _follow_service(self, service: ServiceTerms) -> None:
        pool = self.pools.get(service.name)
        if service.engine is None:
            if not isinstance(pool, PlainPool):
                self.pools[service.name] = PlainPool(self.limits)
        elif isinstance(pool, EnginePool):
            pool.follow_terms(service.engine)
        else:
            self.pools[service.name] = EnginePool(service.engine, self.limits)


def _believed(leaving: dict[str, int], entry: TargetEntry) -> TargetEntry:
    """Return an entry with what its target has announced itself."""
    if entry.name not in leaving:
        return entry
    # It may have announced it before its birth was known.
    born = leaving[entry.name] or entry.born
    leaving[entry.name] = born
    if entry.born != born:
        return entry
    return attrs.evolve(entry, state=TargetState.DRAINING)


def _try_suspect(
    dispatcher: Dispatcher, pool: EnginePool | PlainPool, ask: Ask, now: float
) -> Assignment | Refusal:
    """Run a refused content for its trial, if that is due."""
    job = Job(ask, now, is_trial=True)
    targets = find_for_trial(dispatcher.trials, pool, job, now)
    decided: Assignment | Refusal | None = None
    if targets:
        others = pool.targets.keys() - targets
        job.ask = attrs.evolve(ask, excluded=ask.excluded | others)
        dispatcher.jobs[ask.call] = job
        decided = pool.submit(job, now)
    if isinstance(decided, Assignment):
        dispatcher.trials.take(ask.mark, now)
        return attrs.evolve(decided, is_trial=True)
    dispatcher.give_up(job)
    return crash_suspect()


def _too_late() -> Refusal:
    return Refusal(
        ErrorKind.DEADLINE_UNREACHABLE, RETRY_S, 'no slot came free in time'
    )


def _note_outcome(
    dispatcher: Dispatcher, job: Job, outcome: CallOutcome, now: float
) -> None:
    # A failure may come from a target that did not begin to run it.
    if outcome is CallOutcome.ANSWERED:
        dispatcher.crashes.note_answer(job.ask.mark)
    target = _find_target(dispatcher, job.ask.service, job.target)
    if target is None:
        return
    target.health.note_outcome(outcome, now)
    is_refused = outcome is CallOutcome.REFUSED
    if is_refused and isinstance(target, EngineTarget):
        target.is_synced = False


def _find_entry(dispatcher: Dispatcher, name: str) -> TargetEntry | None:
    """Return what a target says of itself, or has announced."""
    for pool in dispatcher.pools.values():
        target = pool.targets.get(name)
        if target is not None:
            return target.entry
    return None


def _find_target(
    dispatcher: Dispatcher, service: str, name: str
) -> EngineTarget | PlainTarget | None:
    pool = dispatcher.pools.get(service)
    return None if pool is None else pool.targets.get(name)


def _pool_holding(
    dispatcher: Dispatcher, service: str, target: EngineTarget
) -> EnginePool | None:
    """Return a service's pool while the target is still one of it."""
    pool = dispatcher.pools.get(service)
    if isinstance(pool, EnginePool) and pool.holds(target):
        return pool
    return None
