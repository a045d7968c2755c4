"""Assigns all requests to targets; used by the lease holder."""

import math
from collections.abc import Iterable

import attrs

from mimosaworks.bounded import forget_oldest
from mimosaworks.deployment import (
    Deployment,
    ServiceConfig,
    TargetEntry,
    TargetState,
)
from mimosaworks.dispatch.crash_tracker import CrashTracker
from mimosaworks.dispatch.engine_pool import EnginePool
from mimosaworks.dispatch.engine_target import EngineTarget, Step
from mimosaworks.dispatch.job import Assignment, AssignmentRequest, Job, Refusal
from mimosaworks.dispatch.outcome import COMPLETE_OUTCOMES, CallOutcome
from mimosaworks.dispatch.plain_pool import PlainPool, PlainTarget
from mimosaworks.dispatch.rejection_limits import RejectionLimits
from mimosaworks.dispatch.resend_budget import ResendBudgets
from mimosaworks.dispatch.suspect_keys import Verdict
from mimosaworks.dispatch.suspect_rules import (
    check_suspect_admission,
    exclude_targets_for_suspect,
    find_keys,
    find_refused_jobs,
    find_trial_targets,
    refuse_crash_suspect,
)
from mimosaworks.dispatch.target_crashes import TargetCrash
from mimosaworks.dispatch.target_rate_limits import TargetRateLimits
from mimosaworks.dispatch.trial_planner import TrialPlanner
from mimosaworks.dispatch.workspace_limiter import WorkspaceLimiter
from mimosaworks.errors import ErrorKind

Decision = tuple[str, Assignment | Refusal]
RETRY_AFTER_S = 1.0
# More than the number of targets in a deployment.
MAX_LEAVING_TARGETS = 1000
# The longest wait for tokens. It is the same for all requests, so that those
# with late deadlines do not acquire the tokens of urgent ones in advance.
MAX_TOKEN_WAIT_S = 0.3
# A node that had an answer within this time reaches some targets.
REACH_TTL_S = 1.0
_UNSENT_OUTCOMES = frozenset((CallOutcome.NOT_SENT, CallOutcome.UNREACHABLE))
_ANSWERED_OUTCOMES = COMPLETE_OUTCOMES | {CallOutcome.REFUSED}
_REFUNDED_OUTCOMES = _UNSENT_OUTCOMES | {CallOutcome.REFUSED}


@attrs.define(eq=False)
class Dispatcher:
    """Requests, targets and limits of all services.

    Methods return the decisions that they made for waiting requests, by call
    id. The dispatcher keeps the incarnations of targets that announced that
    they leave before their entries show it, the targets' rate limits, how many
    requests brittle ones may turn away, and when each node last had a complete
    answer.
    """

    resend_budgets: ResendBudgets
    rate_limits: TargetRateLimits = attrs.field(factory=TargetRateLimits)
    rejection_limits: RejectionLimits = attrs.field(factory=RejectionLimits)
    pools: dict[str, EnginePool | PlainPool] = attrs.field(factory=dict)
    jobs: dict[str, Job] = attrs.field(factory=dict)
    limiter: WorkspaceLimiter = attrs.field(factory=WorkspaceLimiter)
    crash_tracker: CrashTracker = attrs.field(factory=CrashTracker)
    trial_planner: TrialPlanner = attrs.field(
        init=False,
        default=attrs.Factory(
            lambda made: TrialPlanner(made.crash_tracker), takes_self=True
        ),
    )
    leaving_targets: dict[str, int] = attrs.field(factory=dict)
    last_answers_s: dict[str, float] = attrs.field(factory=dict)

    def apply_deployment(self, deployment: Deployment, now: float) -> None:
        """Apply a new version of the deployment."""
        for name in self.pools.keys() - deployment.services.keys():
            self.pools.pop(name)
        for service in deployment.services.values():
            self._update_pool(service)
        self.limiter.apply_workspaces(deployment.workspaces, now)

    def apply_entries(
        self, entries: dict[str, TargetEntry], now: float
    ) -> list[Decision]:
        """Apply the targets' registry entries; return new decisions."""
        self.rate_limits.forget_removed_targets(entries, now)
        self.rejection_limits.forget_removed_targets(entries, now)
        displaced_jobs: list[Job] = []
        for name, pool in self.pools.items():
            service_entries = (
                _apply_leaving_notice(self.leaving_targets, entry)
                for entry in entries.values()
                if entry.service == name
            )
            known_names = set(pool.targets)
            displaced_jobs += pool.apply_entries(service_entries, now)
            self.rejection_limits.assume_limits(
                pool.targets.keys() - known_names, pool.targets, now
            )
        return [
            *self._reassign_jobs(displaced_jobs, now),
            *self.decide_due_jobs(now),
        ]

    def admit(self, req: AssignmentRequest, now: float) -> float | Refusal:
        """Charge a request; return the seconds until its tokens are available.

        A short wait serves the caller sooner than a refusal and a retry.
        """
        suspect_refusal = check_suspect_admission(
            self.trial_planner, self.jobs, req, now
        )
        if suspect_refusal is not None:
            return suspect_refusal
        if not self.resend_budgets.count_send(
            req.service, now, is_resend=bool(req.resends)
        ):
            return Refusal(
                ErrorKind.NO_TARGET,
                RETRY_AFTER_S,
                'the resend budget of the service is used up',
            )
        max_wait_s = min(MAX_TOKEN_WAIT_S, req.first_event_deadline_s - now)
        acquisition = self.limiter.acquire(
            req.workspace, req.cost, now, max_wait_s
        )
        if acquisition.is_acquired:
            return acquisition.wait_s
        return Refusal(
            ErrorKind.RATE_EXCEEDED,
            acquisition.wait_s,
            f'{req.cost:.0f} tokens available in {acquisition.wait_s:.2f} s',
        )

    def submit(
        self, assignment_req: AssignmentRequest, now: float
    ) -> Assignment | Refusal | None:
        """Return the decision for an admitted request; None while it waits."""
        pool = self.pools.get(assignment_req.service)
        if pool is None:
            self.limiter.refund(assignment_req.workspace, assignment_req.cost)
            return Refusal(
                ErrorKind.NO_TARGET, RETRY_AFTER_S, 'unknown service'
            )
        if find_keys(
            self.crash_tracker, assignment_req.suspect_keys, Verdict.REFUSED
        ):
            return _submit_trial(self, pool, assignment_req, now)
        job = Job(
            exclude_targets_for_suspect(
                self.crash_tracker, self.jobs, assignment_req, pool
            ),
            now,
        )
        self.jobs[assignment_req.call_id] = job
        decision = pool.submit(job, now)
        if isinstance(decision, Refusal):
            self.drop_job(job)
        return decision

    def import_running_job(
        self, assignment_req: AssignmentRequest, target: str, now: float
    ) -> Job:
        """Record a request that was running before this holder's election."""
        job = Job(assignment_req, now, is_granted=True)
        self.jobs[assignment_req.call_id] = job
        running_target = _find_target(self, assignment_req.service, target)
        if running_target is not None:
            running_target.add_job(job, now)
        return job

    def withdraw_job(
        self, call_id: str, now: float, *, may_run: bool = False
    ) -> list[Decision]:
        """Remove a request whose node no longer waits for a target.

        may_run: the node may have sent it; a granted request stays charged.
        """
        job = self.jobs.get(call_id)
        if job is None:
            return []
        self.drop_job(job, is_unused=not (may_run and job.is_granted))
        return self.decide_due_jobs(now)

    def record_first_event(self, call_id: str, first_s: float) -> None:
        """Record the first event of a request's answer."""
        job = self.jobs.get(call_id)
        if job is None:
            return
        self.rejection_limits.record_answer(job.target)
        pool = self.pools.get(job.assignment_req.service)
        if isinstance(pool, EnginePool):
            pool.record_first_event(job, first_s)

    def record_outcome(
        self, call_id: str, outcome: CallOutcome, duration_s: float, now: float
    ) -> list[Decision]:
        """Record how a request ended at its target; return new decisions."""
        job = self.jobs.pop(call_id, None)
        if job is None:
            return []
        if outcome in _ANSWERED_OUTCOMES:
            self.rejection_limits.record_answer(job.target)
        pool = self.pools.get(job.assignment_req.service)
        if pool is not None:
            _record_target_outcome(self, job, outcome, now)
            if outcome in COMPLETE_OUTCOMES:
                pool.record_complete_answer(job, duration_s)
            pool.remove_job(job)
        if job.is_trial and outcome in _UNSENT_OUTCOMES:
            for key in find_keys(
                self.crash_tracker,
                job.assignment_req.suspect_keys,
                Verdict.REFUSED,
            ):
                self.trial_planner.restore_trial(key)
        if outcome in _REFUNDED_OUTCOMES:
            self.limiter.refund(
                job.assignment_req.workspace, job.assignment_req.cost
            )
        return self.decide_due_jobs(now)

    def record_crashes(
        self, crashes: Iterable[TargetCrash], now: float
    ) -> list[Decision]:
        """Count crashes; refuse waiting requests that are now refused."""
        keys: set[str] = set()
        for crash in crashes:
            keys.add(crash.fingerprint)
            entry = _find_entry(self, crash.target)
            self.crash_tracker.record_crash(crash, entry, now)
        refused_jobs = find_refused_jobs(
            self.crash_tracker, self.jobs.values(), keys
        )
        decisions: list[Decision] = []
        for job in refused_jobs:
            self.drop_job(job)
            decisions.append((
                job.assignment_req.call_id,
                refuse_crash_suspect(),
            ))
        return decisions

    def record_leaving_target(self, target: str, incarnation: int) -> None:
        """Record a target that announced that it leaves.

        It is applied with the next entries, until the target restarts. The
        incarnation is 0 if it is not known.
        """
        self.leaving_targets[target] = incarnation
        forget_oldest(self.leaving_targets, MAX_LEAVING_TARGETS)

    def decide_due_jobs(self, now: float) -> list[Decision]:
        """Return decisions for requests that may start or are out of time."""
        decisions: list[Decision] = []
        for pool in self.pools.values():
            if isinstance(pool, EnginePool):
                decisions += self._reassign_jobs(
                    pool.collect_jobs_to_reassign(now), now
                )
            else:
                for job in pool.pop_expired_jobs(now):
                    self.drop_job(job)
                    decisions.append((
                        job.assignment_req.call_id,
                        _refuse_too_late(),
                    ))
            granted = pool.grant_waiting_jobs(now)
            decisions += [
                (granted_job.assignment_req.call_id, assignment)
                for granted_job, assignment in granted
            ]
        return decisions

    def record_finished_step(
        self, service: str, target: EngineTarget, step: Step, now: float
    ) -> list[Decision]:
        """Record that an order succeeded; return new decisions."""
        pool = _find_pool_of_target(self, service, target)
        if pool is None:
            return []
        granted = [
            (job.assignment_req.call_id, pool.grant(job, now))
            for job in pool.record_finished_step(target, step, now)
        ]
        return [*granted, *self.decide_due_jobs(now)]

    def record_failed_step(
        self, service: str, target: EngineTarget, step: Step, now: float
    ) -> list[Decision]:
        """Record that an order failed; return new decisions."""
        pool = _find_pool_of_target(self, service, target)
        if pool is None:
            return []
        return self._reassign_jobs(
            pool.record_failed_step(target, step, now), now
        )

    def drop_job(self, job: Job, *, is_unused: bool = True) -> None:
        """Remove a request that gets no target, or no longer needs one."""
        self.jobs.pop(job.assignment_req.call_id, None)
        if is_unused:
            self.limiter.refund(
                job.assignment_req.workspace, job.assignment_req.cost
            )
        pool = self.pools.get(job.assignment_req.service)
        if pool is not None:
            pool.remove_job(job)

    def _reassign_jobs(self, jobs: Iterable[Job], now: float) -> list[Decision]:
        """Assign requests again that lost their target."""
        decisions: list[Decision] = []
        for job in jobs:
            pool = self.pools[job.assignment_req.service]
            pool.remove_job(job)
            decision = pool.submit(job, now)
            if isinstance(decision, Refusal):
                self.drop_job(job)
            if decision is not None:
                decisions.append((job.assignment_req.call_id, decision))
        return decisions

    def _update_pool(self, service: ServiceConfig) -> None:
        pool = self.pools.get(service.name)
        if service.engine is None:
            if not isinstance(pool, PlainPool):
                self.pools[service.name] = PlainPool(
                    self.rate_limits, self.rejection_limits
                )
        elif isinstance(pool, EnginePool):
            pool.update_config(service.engine)
        else:
            self.pools[service.name] = EnginePool(
                service.engine, self.rate_limits, self.rejection_limits
            )


def _apply_leaving_notice(
    leaving_targets: dict[str, int], entry: TargetEntry
) -> TargetEntry:
    """Return an entry, as draining if its target announced that it leaves."""
    if entry.name not in leaving_targets:
        return entry
    # The target may have announced it before its incarnation was known.
    incarnation = leaving_targets[entry.name] or entry.incarnation
    leaving_targets[entry.name] = incarnation
    if entry.incarnation != incarnation:
        return entry
    return attrs.evolve(entry, state=TargetState.DRAINING)


def _submit_trial(
    dispatcher: Dispatcher,
    pool: EnginePool | PlainPool,
    assignment_req: AssignmentRequest,
    now: float,
) -> Assignment | Refusal:
    """Assign a refused request for its trial run, if one may be made."""
    job = Job(assignment_req, now, is_trial=True)
    targets = find_trial_targets(dispatcher.trial_planner, pool, job, now)
    decision: Assignment | Refusal | None = None
    if targets:
        other_targets = pool.targets.keys() - targets
        job.assignment_req = attrs.evolve(
            assignment_req, excluded=assignment_req.excluded | other_targets
        )
        dispatcher.jobs[assignment_req.call_id] = job
        decision = pool.submit(job, now)
    if isinstance(decision, Assignment):
        for key in find_keys(
            dispatcher.crash_tracker,
            assignment_req.suspect_keys,
            Verdict.REFUSED,
        ):
            dispatcher.trial_planner.record_trial_start(key, now)
        return attrs.evolve(decision, is_trial=True)
    dispatcher.drop_job(job)
    return refuse_crash_suspect()


def _refuse_too_late() -> Refusal:
    return Refusal(
        ErrorKind.DEADLINE_UNREACHABLE,
        RETRY_AFTER_S,
        'no slot became free in time',
    )


def _record_target_outcome(
    dispatcher: Dispatcher, job: Job, outcome: CallOutcome, now: float
) -> None:
    # A target may also fail a request before it begins to run it, so that
    # only successful answers count.
    if outcome is CallOutcome.ANSWERED:
        for key in job.assignment_req.suspect_keys:
            dispatcher.crash_tracker.record_success(key)
    target = _find_target(dispatcher, job.assignment_req.service, job.target)
    if target is None:
        return
    node = job.assignment_req.node
    if outcome in COMPLETE_OUTCOMES:
        dispatcher.last_answers_s[node] = now
    if outcome is CallOutcome.UNREACHABLE:
        last_answer_s = dispatcher.last_answers_s.get(node, -math.inf)
        target.health.record_unreached(
            node, now, reaches_others=now - last_answer_s < REACH_TTL_S
        )
    target.health.record_outcome(outcome, now, node)
    is_refused = outcome is CallOutcome.REFUSED
    if is_refused and isinstance(target, EngineTarget):
        target.is_synced = False


def _find_entry(dispatcher: Dispatcher, name: str) -> TargetEntry | None:
    """Return the entry of a target, with what the target has announced."""
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


def _find_pool_of_target(
    dispatcher: Dispatcher, service: str, target: EngineTarget
) -> EnginePool | None:
    """Return a service's engine pool if the target is still in it."""
    pool = dispatcher.pools.get(service)
    if isinstance(pool, EnginePool) and pool.contains_target(target):
        return pool
    return None
