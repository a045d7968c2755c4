"""Admission and target choice for requests that may crash targets."""

from collections.abc import Iterable, Mapping

import attrs

from mimosaworks.deployment import TargetState
from mimosaworks.dispatch.crash_tracker import CrashTracker
from mimosaworks.dispatch.engine_pool import EnginePool
from mimosaworks.dispatch.job import AssignmentRequest, Job, Refusal
from mimosaworks.dispatch.plain_pool import PlainPool, PlainTarget
from mimosaworks.dispatch.suspect import find_blamed_parts
from mimosaworks.dispatch.suspect_keys import Verdict, find_request_verdicts
from mimosaworks.dispatch.trial_planner import TrialPlanner
from mimosaworks.errors import ErrorKind

# Time for one run and for the report of its outcome.
SERIALIZED_RETRY_AFTER_S = 1.0
# Half of the time in which entries confirm a crash.
UNCONFIRMED_RETRY_AFTER_S = 3.0


def find_keys(
    tracker: CrashTracker, keys: Iterable[str], verdict: Verdict
) -> tuple[str, ...]:
    """Return those of a request's suspect keys that have this verdict."""
    verdicts = find_request_verdicts(
        {key: tracker.get_verdict(key) for key in keys},
        lambda: find_blamed_parts(tracker.suspects),
    )
    return tuple(key for key in verdicts if verdicts[key] is verdict)


def refuse_crash_suspect() -> Refusal:
    """Return the refusal of a request that crashes targets."""
    return Refusal(
        ErrorKind.CRASH_SUSPECT, 0, 'request crashed several targets'
    )


def check_suspect_admission(
    trial_planner: TrialPlanner,
    jobs: Mapping[str, Job],
    assignment_req: AssignmentRequest,
    now: float,
) -> Refusal | None:
    """Return the refusal of a suspect; None if the request is admitted.

    Requests with a key that is served one at a time are refused while one
    runs.
    """
    tracker = trial_planner.tracker
    keys = assignment_req.suspect_keys
    refused_keys = find_keys(tracker, keys, Verdict.REFUSED)
    if refused_keys:
        if trial_planner.has_stored_trials(refused_keys):
            return None
        for key in refused_keys:
            trial_planner.plan_trial_if_due(key, now)
        return refuse_crash_suspect()
    if tracker.may_have_crashed_several(assignment_req.fingerprint):
        return Refusal(
            ErrorKind.NO_TARGET,
            UNCONFIRMED_RETRY_AFTER_S,
            'request may have crashed several targets',
        )
    serialized_keys = find_keys(tracker, keys, Verdict.SERIALIZED)
    if serialized_keys and any(
        _has_any_key(job.assignment_req, serialized_keys)
        for job in jobs.values()
    ):
        return Refusal(
            ErrorKind.NO_TARGET,
            SERIALIZED_RETRY_AFTER_S,
            'a request that may crash targets runs one at a time',
        )
    return None


def exclude_targets_for_suspect(
    tracker: CrashTracker,
    jobs: Mapping[str, Job],
    assignment_req: AssignmentRequest,
    pool: EnginePool | PlainPool,
) -> AssignmentRequest:
    """Exclude targets that run another suspect, for a suspect's request.

    When a target crashes, it is then clear which suspect caused it. If some
    targets run nothing, all others are excluded, so that a crash fails no
    other request.
    """
    if not _is_suspect(tracker, assignment_req):
        return assignment_req
    other_suspects = (
        job for job in jobs.values() if _is_suspect(tracker, job.assignment_req)
    )
    excluded_targets = assignment_req.excluded | {
        job.target for job in other_suspects if job.target
    }
    idle_targets = (
        find_idle_targets(pool, Job(assignment_req, 0)) - excluded_targets
    )
    if idle_targets:
        excluded_targets |= pool.targets.keys() - idle_targets
    return attrs.evolve(assignment_req, excluded=excluded_targets)


def find_idle_targets(pool: EnginePool | PlainPool, job: Job) -> frozenset[str]:
    """Return the targets that run nothing and need no load for the job."""
    ready = _find_ready_targets(pool, job)
    return frozenset(name for name in ready if not pool.targets[name].jobs)


def find_trial_targets(
    trial_planner: TrialPlanner,
    pool: EnginePool | PlainPool,
    job: Job,
    now: float,
) -> frozenset[str]:
    """Return the targets for a stored trial run; empty without one.

    They run nothing, and other targets are in service in case the trial run
    crashes one. Requests whose refused keys all succeeded before need not wait
    for that.
    """
    tracker = trial_planner.tracker
    refused_keys = find_keys(
        tracker, job.assignment_req.suspect_keys, Verdict.REFUSED
    )
    if not trial_planner.has_stored_trials(refused_keys):
        return frozenset()
    idle_targets = find_idle_targets(pool, job)
    if all(tracker.suspects[key].has_succeeded for key in refused_keys):
        return idle_targets or _find_ready_targets(pool, job)
    in_service = [
        target
        for target in pool.targets.values()
        if target.entry.state is TargetState.READY
        and not target.health.is_down(now)
    ]
    return idle_targets if len(in_service) > 1 else frozenset()


def find_refused_jobs(
    tracker: CrashTracker, jobs: Iterable[Job], keys: set[str]
) -> list[Job]:
    """Return the waiting requests that have one of these keys, now refused."""
    refused_keys = tuple(
        key for key in keys if tracker.get_verdict(key) is Verdict.REFUSED
    )
    return [
        job
        for job in jobs
        if not job.is_granted
        and _has_any_key(job.assignment_req, refused_keys)
        and find_keys(tracker, job.assignment_req.suspect_keys, Verdict.REFUSED)
    ]


def _is_suspect(
    tracker: CrashTracker, assignment_req: AssignmentRequest
) -> bool:
    return any(
        tracker.get_verdict(key) is not Verdict.SERVED
        for key in assignment_req.suspect_keys
    )


def _has_any_key(
    assignment_req: AssignmentRequest, keys: tuple[str, ...]
) -> bool:
    return not frozenset(keys).isdisjoint(assignment_req.suspect_keys)


def _find_ready_targets(
    pool: EnginePool | PlainPool, job: Job
) -> frozenset[str]:
    return frozenset(
        name
        for name, target in pool.targets.items()
        if isinstance(target, PlainTarget) or target.is_ready_for(job)
    )
