"""Finds requests that another target would now serve sooner."""

from collections.abc import Iterable

import attrs

from mimosaworks.dispatch.engine_target import EngineTarget
from mimosaworks.dispatch.job import Job
from mimosaworks.dispatch.target_updates import find_waiting_jobs


def collect_overdue_jobs(target: EngineTarget, now: float) -> list[Job]:
    """Return requests that wait longer than predicted.

    Their target is excluded, so that they are assigned to another one.
    """
    overdue = [
        job
        for job in find_waiting_jobs(target)
        if target.is_load_overdue(job, now)
    ]
    for job in overdue:
        excluded = job.assignment_req.excluded | {job.target}
        job.assignment_req = attrs.evolve(job.assignment_req, excluded=excluded)
    return overdue


def find_jobs_of_superseded_loads(
    targets: Iterable[EngineTarget], model: str
) -> list[Job]:
    """Return the requests that wait for a load of this model at any target.

    Another replica of the model is ready, which supersedes these loads.
    """
    return [
        job
        for target in targets
        if model in target.models and not target.models[model].is_ready
        for job in find_waiting_jobs(target)
        if job.assignment_req.profile.model == model
    ]
