"""Admission and target choice for requests that may crash targets."""

from collections.abc import Iterable, Mapping

import attrs

from mimosaworks.deployment import TargetState
from mimosaworks.dispatch.crash_tracker import CrashTracker, Verdict
from mimosaworks.dispatch.engine_pool import EnginePool
from mimosaworks.dispatch.job import AssignmentRequest, Job, Refusal
from mimosaworks.dispatch.plain_pool import PlainPool, PlainTarget
from mimosaworks.dispatch.trial_planner import TrialPlanner
from mimosaworks.errors import ErrorKind

# Time for one run and for the report of its outcome.
SERIALIZED_RETRY_AFTER_S = 1.0
# Half of the time in which entries confirm a crash.
UNCONFIRMED_RETRY_AFTER_S = 3.0


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

    A suspect that is served one at a time is refused while it runs.
    """
    verdict = trial_planner.tracker.get_verdict(assignment_req.fingerprint)
    if verdict is Verdict.REFUSED:
        if trial_planner.has_stored_trial(assignment_req.fingerprint):
            return None
        trial_planner.plan_trial_if_due(assignment_req.fingerprint, now)
        return refuse_crash_suspect()
    if trial_planner.tracker.may_have_crashed_several(
        assignment_req.fingerprint
    ):
        return Refusal(
            ErrorKind.NO_TARGET,
            UNCONFIRMED_RETRY_AFTER_S,
            'request may have crashed several targets',
        )
    if verdict is Verdict.SERVED:
        return None
    if any(
        job.assignment_req.fingerprint == assignment_req.fingerprint
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
    if tracker.get_verdict(assignment_req.fingerprint) is Verdict.SERVED:
        return assignment_req
    other_suspects = (
        job for job in jobs.values() if _is_suspect_job(tracker, job)
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
    crashes one. A fingerprint that succeeded before need not wait for that.
    """
    fingerprint = job.assignment_req.fingerprint
    if not trial_planner.has_stored_trial(fingerprint):
        return frozenset()
    idle_targets = find_idle_targets(pool, job)
    if trial_planner.tracker.suspects[fingerprint].has_succeeded:
        return idle_targets or _find_ready_targets(pool, job)
    in_service = [
        target
        for target in pool.targets.values()
        if target.entry.state is TargetState.READY
        and not target.health.is_down(now)
    ]
    return idle_targets if len(in_service) > 1 else frozenset()


def find_refused_jobs(
    tracker: CrashTracker, jobs: Iterable[Job], fingerprints: set[str]
) -> list[Job]:
    """Return the waiting requests whose fingerprints are now refused."""
    refused_fingerprints = {
        fingerprint
        for fingerprint in fingerprints
        if tracker.get_verdict(fingerprint) is Verdict.REFUSED
    }
    return [
        job
        for job in jobs
        if job.assignment_req.fingerprint in refused_fingerprints
        and not job.is_granted
    ]


def _is_suspect_job(tracker: CrashTracker, job: Job) -> bool:
    return (
        tracker.get_verdict(job.assignment_req.fingerprint)
        is not Verdict.SERVED
    )


def _find_ready_targets(
    pool: EnginePool | PlainPool, job: Job
) -> frozenset[str]:
    return frozenset(
        name
        for name, target in pool.targets.items()
        if isinstance(target, PlainTarget) or target.is_ready_for(job)
    )
