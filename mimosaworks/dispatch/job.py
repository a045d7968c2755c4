"""A request that the holder assigns to a target, and its decision."""

import math
from collections.abc import Mapping

import attrs

from mimosaworks.deployment import RequestProfile
from mimosaworks.dispatch.suspect_keys import suspect_keys
from mimosaworks.errors import ErrorKind


@attrs.frozen
class AssignmentRequest:
    """A node's request for a target; times are in seconds.

    Times are on the clock of the process that decides. The call id identifies
    this assignment request. The deadlines are for the complete answer and for
    its first event. cost is in the workspace's unit. A request that is sent
    again has a resend count and excludes the targets that failed it. The
    fingerprint is a hash of its content, by which crash suspects are found.
    software_version is that of the targets which may serve it, empty for any.
    is_relayed: another node sends it, as the node has no path to targets.
    """

    call_id: str
    node: str
    service: str
    workspace: str
    cost: float
    priority: int
    profile: RequestProfile
    data_centre: str
    latency_target_s: float
    deadline_s: float
    first_event_deadline_s: float
    resends: int = 0
    excluded: frozenset[str] = frozenset()
    fingerprint: str = ''
    software_version: str = ''
    is_relayed: bool = False

    @property
    def direct_node(self) -> str:
        """The node if it sends the request itself, empty otherwise."""
        return '' if self.is_relayed else self.node

    @property
    def suspect_keys(self) -> tuple[str, ...]:
        """The keys under which crashes of its targets are counted."""
        return suspect_keys(self.fingerprint, self.profile)


@attrs.frozen
class Assignment:
    """The target of a request, and the engine's priority for it.

    It holds the incarnation of the target that was known at the decision (0
    if none was) and how many crashes of this incarnation were known.
    granted_s is the time of the decision on the clock of the process that
    reads it. An assignment may have a permit of the target's rate limit.
    is_trial: requests with this fingerprint are refused except for this send.
    view_age_s is the age of the entries at the decision, 0 if none could be
    fresher, software_version the target's at the decision.
    """

    target: str
    address: str
    priority: int
    reason: str = ''
    granted_s: float = 0
    has_permit: bool = False
    is_trial: bool = False
    incarnation: int = 0
    crash_count: int = 0
    view_age_s: float = 0
    software_version: str = ''


@attrs.frozen
class Refusal:
    """Why a request gets no target, and when the caller may retry.

    It tells whether the reason is a target's rate limit, which has no permit
    in time.
    """

    kind: ErrorKind
    retry_after_s: float
    reason: str
    is_rate_limited: bool = False


@attrs.define(eq=False)
class Job:
    """A request that waits for a target or runs there, in the dispatcher.

    prefill_tokens are the prompt's tokens that the target has to read. A job
    has the time at which its model should be loaded, and the predicted and
    the measured time from its send to its first event. is_started: the first
    event has come. It also holds whether it counts in the demand for its
    model, until when it waits for capacity, and the predicted wait for a
    permit of its target's rate limit. waits_for_slot: all slots were taken
    when it was sent. is_trial: requests with this fingerprint are refused
    except for this run.
    """

    assignment_req: AssignmentRequest
    arrived_s: float
    target: str = ''
    granted_s: float = 0
    expected_ready_s: float = 0
    prefill_tokens: int = 0
    estimated_first_event_s: float = 0
    first_event_s: float = 0
    capacity_deadline_s: float = 0
    permit_wait_s: float = 0
    is_granted: bool = False
    is_started: bool = False
    is_demand_recorded: bool = False
    waits_for_slot: bool = False
    is_trial: bool = False

    @property
    def queue_key(self) -> tuple[int, float]:
        """Sort key of waiting requests: urgent ones first, then by age."""
        return (self.assignment_req.priority, self.arrived_s)


def find_granted_s(jobs: Mapping[str, Job], call_id: str, target: str) -> float:
    """Return when a request was granted this target, -inf if it was not."""
    job = jobs.get(call_id)
    if job is None or job.target != target:
        return -math.inf
    return job.granted_s
