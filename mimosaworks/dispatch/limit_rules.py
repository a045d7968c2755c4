"""What an answer says of its target's limit."""

import math
from collections.abc import Mapping

import attrs

from mimosaworks.dispatch.job import Job
from mimosaworks.dispatch.target_limits import TargetLimits


@attrs.frozen
class NamedLimit:
    """The limit that an answer names, inf for an answer without one.

    call names the ask of its request; it is empty for other calls.
    """

    target: str
    per_s: float
    call: str = ''


def note_limit(
    limits: TargetLimits, jobs: Mapping[str, Job], named: NamedLimit, now: float
) -> bool:
    """Take over what an answer names; return whether it is in force."""
    job = jobs.get(named.call)
    granted_s = -math.inf
    if job is not None and job.target == named.target:
        granted_s = job.granted_s
    return limits.note(named.target, named.per_s, granted_s, now)
