"""How requests are served whose content may crash targets."""

from collections.abc import Iterable, Mapping

import attrs

from mimosaworks.dispatch.crash_book import CrashBook, Verdict
from mimosaworks.dispatch.job import Ask, Job, Refusal
from mimosaworks.errors import ErrorKind

APART_RETRY_S = 1.0  # a run and the news of its end


def crash_suspect() -> Refusal:
    """Return the refusal of a content that crashes targets."""
    return Refusal(ErrorKind.CRASH_SUSPECT, 0, 'targets ended while it ran')


def admit_suspect(
    book: CrashBook, jobs: Mapping[str, Job], ask: Ask, now: float
) -> Refusal | None:
    """Refuse a content that crashes targets, or that runs already."""
    verdict = book.judge(ask.mark, now)
    if verdict is Verdict.REFUSED:
        return crash_suspect()
    if verdict is Verdict.SERVED:
        return None
    if any(job.ask.mark == ask.mark for job in jobs.values()):
        return Refusal(
            ErrorKind.NO_TARGET, APART_RETRY_S, 'a suspect runs one at a time'
        )
    book.note_run(ask.mark, now)
    return None


def set_apart(
    book: CrashBook, jobs: Mapping[str, Job], ask: Ask, now: float
) -> Ask:
    """Keep a suspect from targets that run another one.

    When such a target ends, one of them alone is to blame.
    """
    if book.judge(ask.mark, now) is Verdict.SERVED:
        return ask
    others = (job for job in jobs.values() if _is_suspect(book, job, now))
    taken = {job.target for job in others if job.target}
    return attrs.evolve(ask, excluded=ask.excluded | taken)


def waiting_refused(
    book: CrashBook, jobs: Iterable[Job], marks: set[str], now: float
) -> list[Job]:
    """Return the requests with these contents that need not wait longer."""
    refused = {
        mark for mark in marks if book.judge(mark, now) is Verdict.REFUSED
    }
    return [
        job for job in jobs if job.ask.mark in refused and not job.is_granted
    ]


def _is_suspect(book: CrashBook, job: Job, now: float) -> bool:
    return book.judge(job.ask.mark, now) is not Verdict.SERVED
