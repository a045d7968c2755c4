"""Finds requests that wait on a target while another serves them sooner."""

from collections.abc import Iterable

import attrs

from mimosaworks.dispatch.engine_target import EngineTarget
from mimosaworks.dispatch.job import Job
from mimosaworks.dispatch.target_books import waiting_jobs


def overdue_jobs(target: EngineTarget, now: float) -> list[Job]:
    """Return requests that wait longer than predicted, to go elsewhere."""
    late = [job for job in waiting_jobs(target) if target.is_late(job, now)]
    for job in late:
        excluded = job.ask.excluded | {job.target}
        job.ask = attrs.evolve(job.ask, excluded=excluded)
    return late


def outrun_jobs(targets: Iterable[EngineTarget], model: str) -> list[Job]:
    """Return requests that wait for a model's load at any of the targets."""
    return [
        job
        for target in targets
        if model in target.models and not target.models[model].is_ready
        for job in waiting_jobs(target)
        if job.ask.facts.model == model
    ]
