"""Updates that a node sends to the lease holder with its next heartbeat."""

import asyncio

import attrs

from mimosaworks.bounded import forget_oldest
from mimosaworks.wire import (
    Beat,
    BrittleNote,
    CallEnd,
    CallStart,
    CrashNote,
    LimitNote,
    Spent,
    StreamNote,
    TargetLeaving,
)

# More than a node begins until a holder answers; the next one gets all.
MAX_QUEUED_STREAMS = 5000


@attrs.define(eq=False)
class HeartbeatUpdates:
    """The updates of one node since its last answered heartbeat.

    has_urgent_updates is set by those that the holder needs at once.
    """

    has_urgent_updates: asyncio.Event = attrs.field(factory=asyncio.Event)
    _call_starts: list[CallStart] = attrs.field(factory=list)
    _call_ends: list[CallEnd] = attrs.field(factory=list)
    _charged_tokens: dict[str, float] = attrs.field(factory=dict)
    _leaving_targets: list[TargetLeaving] = attrs.field(factory=list)
    _crashes: list[CrashNote] = attrs.field(factory=list)
    _rate_limits: list[LimitNote] = attrs.field(factory=list)
    _streams: dict[str, StreamNote] = attrs.field(factory=dict)
    _brittle: list[BrittleNote] = attrs.field(factory=list)

    def record_first_event(self, call_id: str, first_event_s: float) -> None:
        """Record that the first event of a request's answer has arrived."""
        self._call_starts.append(CallStart(call_id, first_event_s))
        self.has_urgent_updates.set()

    def record_call_end(
        self, call_id: str, outcome: str, duration_s: float
    ) -> None:
        """Record how a request ended, and how long it ran."""
        self._call_ends.append(CallEnd(call_id, outcome, duration_s))
        self.has_urgent_updates.set()

    def record_charged_tokens(self, workspace: str, tokens: float) -> None:
        """Record tokens that this node charged without the holder."""
        self._charged_tokens[workspace] = (
            self._charged_tokens.get(workspace, 0) + tokens
        )

    def record_leaving_target(self, target: str, incarnation: int) -> None:
        """Record a target that has announced that it leaves."""
        self._leaving_targets.append(TargetLeaving(target, incarnation))
        self.has_urgent_updates.set()

    def record_crash(self, note: CrashNote) -> None:
        """Record a target that a request may have crashed."""
        self._crashes.append(note)
        self.has_urgent_updates.set()

    def record_rate_limit(self, note: LimitNote) -> None:
        """Record a rate limit that a target announced."""
        self._rate_limits.append(note)
        self.has_urgent_updates.set()

    def record_stream(self, note: StreamNote) -> None:
        """Record where a stream began."""
        self._streams[note.request_id] = note
        forget_oldest(self._streams, MAX_QUEUED_STREAMS)
        self.has_urgent_updates.set()

    def record_brittle_target(self, note: BrittleNote) -> None:
        """Record whether a target is brittle, and a request it turned away."""
        self._brittle.append(note)
        self.has_urgent_updates.set()

    def move_into_heartbeat(self, heartbeat: Beat) -> Beat:
        """Return a heartbeat with all updates, which are queued no longer."""
        full_heartbeat = attrs.evolve(
            heartbeat,
            starts=tuple(self._call_starts),
            ends=tuple(self._call_ends),
            spent=tuple(
                Spent(name, cost) for name, cost in self._charged_tokens.items()
            ),
            leaving=(*heartbeat.leaving, *self._leaving_targets),
            crashes=(*heartbeat.crashes, *self._crashes),
            limits=(*heartbeat.limits, *self._rate_limits),
            streams=(*heartbeat.streams, *self._streams.values()),
            brittle=(*heartbeat.brittle, *self._brittle),
        )
        self._brittle.clear()
        self._streams.clear()
        self._rate_limits.clear()
        self._crashes.clear()
        self._leaving_targets.clear()
        self._call_starts.clear()
        self._call_ends.clear()
        self._charged_tokens.clear()
        return full_heartbeat

    def restore_from_heartbeat(self, heartbeat: Beat) -> None:
        """Queue the updates of an unanswered heartbeat again.

        The holder may have received them: it ignores what it knows. Tokens
        may be charged twice, which is safe: a workspace gets less than its
        budget, never more.
        """
        self._call_starts = [*heartbeat.starts, *self._call_starts]
        self._call_ends = [*heartbeat.ends, *self._call_ends]
        self._leaving_targets = [*heartbeat.leaving, *self._leaving_targets]
        self._crashes = [*heartbeat.crashes, *self._crashes]
        self._rate_limits = [*heartbeat.limits, *self._rate_limits]
        self._brittle = [*heartbeat.brittle, *self._brittle]
        for note in heartbeat.streams:
            self._streams.setdefault(note.request_id, note)
        for charge in heartbeat.spent:
            self.record_charged_tokens(charge.workspace, charge.cost)
