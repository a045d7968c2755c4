"""State of one caller's request at an entry node."""

import math

import attrs
from aiohttp import web

from mimosaworks.body_framing import Framing
from mimosaworks.clock import now_s
from mimosaworks.deployment import RequestProfile, ServiceRoute
from mimosaworks.dispatch import suspect_keys
from mimosaworks.node.end_judge import EndProof
from mimosaworks.node.relayed_stream import RelayedStream
from mimosaworks.node.sliced_body import SentBody, sent_body
from mimosaworks.node.stall_detector import STALL_THRESHOLD_S
from mimosaworks.wire import CallAsk

# Twice the time after which a pause of this process is noticed.
FLOWING_STREAM_S = 2 * STALL_THRESHOLD_S


@attrs.define(eq=False)
class Call:
    """An admitted request with its body and the state of its attempts.

    Times are in seconds on this process's clock. An answer after deadline_s
    is of no use to the caller. assignment_attempts counts the rounds in
    which a target was requested, resends the sends after the first.
    fingerprint is a hash of workspace, method, path and body.
    excluded_targets are targets at which an attempt failed; target is where
    the request runs now, '' if nowhere, and sent_s when it was sent there.
    ask is the latest message to the lease holder. may_have_run: an earlier
    attempt failed, but the target may have run the request.
    relayed_stream is the part of the answer that the caller has.
    stream_version is the software version that a stream began at, None before
    its first event and empty if it is not known. resumes is the id of the
    caller's request that began the stream which this one resumes, None if it
    resumes none. is_relayed: the latest attempt went through another node.
    framing tells what ends the latest answer, end_proof what confirmed the end
    of one without framing. stream_bytes_s is the earliest time at which the
    last bytes of the latest attempt's stream may have arrived.
    is_ended_by_node: the stopping node ended the request. closes_connection:
    the caller's connection is closed after the answer.
    """

    req: web.BaseRequest
    request_id: str
    route: ServiceRoute
    service: str
    workspace: str | None
    cost: float
    priority: int
    profile: RequestProfile
    body: bytes | bytearray
    arrived_s: float
    deadline_s: float
    fingerprint: str = ''
    assignment_attempts: int = 0
    resends: int = 0
    excluded_targets: set[str] = attrs.field(factory=set)
    call_ask: CallAsk | None = None
    target: str = ''
    sent_s: float = 0
    stream_bytes_s: float = -math.inf
    is_answer_started: bool = False
    may_have_run: bool = False
    relayed_stream: RelayedStream | None = None
    stream_version: str | None = None
    resumes: str | None = None
    is_relayed: bool = False
    framing: Framing = Framing.NONE
    end_proof: EndProof = EndProof.NONE
    is_ended_by_node: bool = False
    closes_connection: bool = False

    @property
    def suspect_keys(self) -> tuple[str, ...]:
        """The keys under which crashes of its targets are counted."""
        return suspect_keys(self.fingerprint, self.profile)

    def begin_attempt(self, target: str, sent_s: float) -> None:
        """Record that it is sent to a target now."""
        self.target = target
        self.sent_s = sent_s
        self.stream_bytes_s = -math.inf

    def record_stream_bytes(self, arrived_s: float) -> None:
        """Record that bytes of a stream came, at this time or later."""
        self.stream_bytes_s = arrived_s

    def has_flowing_stream(self) -> bool:
        """Return whether bytes of a stream came from the target just now.

        A node that relays a stream may hold its bytes for longer.
        """
        age_s = now_s() - self.stream_bytes_s
        return not self.is_relayed and age_s < FLOWING_STREAM_S

    def may_resend(self) -> bool:
        """Return whether it may be sent again though it may have run."""
        may_repeat = self.route.is_resumable
        if self.relayed_stream is None:
            may_repeat |= self.route.may_retry_after_run
        else:
            may_repeat &= bool(self.stream_version)
            may_repeat &= self.relayed_stream.buffer.can_resume
        return may_repeat and self.resends + 1 < self.route.max_attempts

    def sent_body(self) -> SentBody:
        """Return what a client session sends as the body."""
        return sent_body(self.body)

    def last_event_id(self) -> str:
        """Return the id of the last event that was relayed, or ''."""
        if self.relayed_stream is None:
            return ''
        return self.relayed_stream.buffer.last_event_id

    def remaining_s(self) -> float:
        """Return the seconds until the deadline, at least 0."""
        return max(self.deadline_s - now_s(), 0)

    def first_event_remaining_s(self) -> float:
        """Return the seconds left for the first event, at least 0."""
        first_event_timeout_s = self.route.first_event_timeout_s - self.age_s()
        return max(min(first_event_timeout_s, self.remaining_s()), 0)

    def age_s(self) -> float:
        """Return the seconds since the request arrived."""
        return now_s() - self.arrived_s
