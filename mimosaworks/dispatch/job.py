"""A request in the holder's books, and what is decided about it."""

import math
from collections.abc import Mapping

import attrs

from mimosaworks.deployment import CallFacts
from mimosaworks.errors import ErrorKind


@attrs.frozen
class Ask:
    """Asks for a target; times are on the asked process's clock in seconds.

    call names this ask. give_up_s is when the whole answer must be there,
    first_by_s when the first event must. cost is in the workspace's unit.
    A request that comes again has a resend count and the targets that
    failed it; mark is the fingerprint of its content.
    """

    call: str
    node: str
    service: str
    workspace: str
    cost: float
    priority: int
    facts: CallFacts
    data_centre: str
    target_s: float
    give_up_s: float
    first_by_s: float
    resends: int = 0
    excluded: frozenset[str] = frozenset()
    mark: str = ''


@attrs.frozen
class Assignment:
    """The target of a request, and the engine's priority for it.

    born is the target's birth as it was known then, 0 if it was not, ended how
    often it was known to have ended since.
    granted_s is the time of the decision on the clock of the process that
    reads it. is_counted: it has a place within the target's rate limit.
    is_trial: its content is refused but for this send.
    """

    target: str
    address: str
    priority: int
    reason: str = ''
    granted_s: float = 0
    is_counted: bool = False
    is_trial: bool = False
    born: int = 0
    ended: int = 0


@attrs.frozen
class Refusal:
    """Why a request gets no target, and when the caller may come back.

    is_limited: the target's rate limit has no place in time.
    """

    kind: ErrorKind
    retry_after_s: float
    reason: str
    is_limited: bool = False


@attrs.define(eq=False)
class Job:
    """A request that waits for a target or runs there.

    prefill_tokens are the prompt's tokens that the target has to read.
    due_s is when its model should be loaded, first_s the measured time from
    its send to its first event. is_started: that has come. is_noted: it
    counts in the demand for its model. waits_for_slot: all slots were taken
    when it was sent. It waits for room until room_by_s.
    limit_s is the predicted wait for a place within its target's limit.
    is_trial: its content is refused but for this run.
    """

    ask: Ask
    arrived_s: float
    target: str = ''
    granted_s: float = 0
    due_s: float = 0
    prefill_tokens: int = 0
    estimate_s: float = 0
    first_s: float = 0
    room_by_s: float = 0
    limit_s: float = 0
    is_granted: bool = False
    is_started: bool = False
    is_noted: bool = False
    waits_for_slot: bool = False
    is_trial: bool = False

    @property
    def turn(self) -> tuple[int, float]:
        """What orders requests that wait: urgent ones first, then by age."""
        return (self.ask.priority, self.arrived_s)


def granted_s(jobs: Mapping[str, Job], call: str, target: str) -> float:
    """Return when an ask was granted this target, -inf if it was not."""
    job = jobs.get(call)
    if job is None or job.target != target:
        return -math.inf
    return job.granted_s
