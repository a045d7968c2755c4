"""How requests are served whose content may crash targets."""

from collections.abc import Iterable, Mapping

import attrs

from mimosaworks.deployment import TargetState
from mimosaworks.dispatch.crash_book import CrashBook, Verdict
from mimosaworks.dispatch.crash_trials import CrashTrials
from mimosaworks.dispatch.engine_pool import EnginePool
from mimosaworks.dispatch.job import Ask, Job, Refusal
from mimosaworks.dispatch.plain_pool import PlainPool, PlainTarget
from mimosaworks.errors import ErrorKind

APART_RETRY_S = 1.0  # a run and the news of its end
HELD_RETRY_S = 3.0  # half of the time in which entries show an end


def crash_suspect() -> Refusal:
    """Return the refusal of a content that crashes targets."""
    return Refusal(ErrorKind.CRASH_SUSPECT, 0, 'crashed several targets')


def admit_suspect(
    trials: CrashTrials, jobs: Mapping[str, Job], ask: Ask, now: float
) -> Refusal | None:
    """Refuse a content that crashes targets, or that runs already."""
    verdict = trials.book.judge(ask.mark)
    if verdict is Verdict.REFUSED:
        if trials.may_try(ask.mark):
            return None
        trials.plan(ask.mark, now)
        return crash_suspect()
    if trials.book.is_held(ask.mark):
        return Refusal(
            ErrorKind.NO_TARGET,
            HELD_RETRY_S,
            'may have crashed several targets',
        )
    if verdict is Verdict.SERVED:
        return None
    if any(job.ask.mark == ask.mark for job in jobs.values()):
        return Refusal(
            ErrorKind.NO_TARGET, APART_RETRY_S, 'a suspect runs one at a time'
        )
    return None


def set_apart(
    book: CrashBook,
    jobs: Mapping[str, Job],
    ask: Ask,
    pool: EnginePool | PlainPool,
) -> Ask:
    """Keep a suspect from targets that run another one.

    When such a target ends, one of them alone is to blame. Where a target
    runs nothing, it goes there, and takes nothing along.
    """
    if book.judge(ask.mark) is Verdict.SERVED:
        return ask
    others = (job for job in jobs.values() if _is_suspect(book, job))
    avoided = ask.excluded | {job.target for job in others if job.target}
    idle = find_idle(pool, Job(ask, 0)) - avoided
    if idle:
        avoided |= pool.targets.keys() - idle
    return attrs.evolve(ask, excluded=avoided)


def find_idle(pool: EnginePool | PlainPool, job: Job) -> frozenset[str]:
    """Return the targets that run nothing else and need no load for it."""
    ready = _find_ready(pool, job)
    return frozenset(name for name in ready if not pool.targets[name].jobs)


def find_for_trial(
    trials: CrashTrials, pool: EnginePool | PlainPool, job: Job, now: float
) -> frozenset[str]:
    """Return the targets for a trial that may be made, none without one.

    They run nothing, and others are in service if a trial ends them. A
    content that succeeded before need not wait for that.
    """
    mark = job.ask.mark
    if not trials.may_try(mark):
        return frozenset()
    idle = find_idle(pool, job)
    if trials.book.suspects[mark].is_proven:
        return idle or _find_ready(pool, job)
    in_service = [
        target
        for target in pool.targets.values()
        if target.entry.state is TargetState.READY
        and not target.health.is_down(now)
    ]
    return idle if len(in_service) > 1 else frozenset()


def waiting_refused(
    book: CrashBook, jobs: Iterable[Job], marks: set[str]
) -> list[Job]:
    """Return the requests with these contents that need not wait longer."""
    refused = {mark for mark in marks if book.judge(mark) is Verdict.REFUSED}
    return [
        job for job in jobs if job.ask.mark in refused and not job.is_granted
    ]


def _is_suspect(book: CrashBook, job: Job) -> bool:
    return book.judge(job.ask.mark) is not Verdict.SERVED


def _find_ready(pool: EnginePool | PlainPool, job: Job) -> frozenset[str]:
    return frozenset(
        name
        for name, target in pool.targets.items()
        if isinstance(target, PlainTarget) or target.is_ready_for(job)
    )
