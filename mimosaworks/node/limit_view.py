"""What a node knows of the rate limits of targets."""

import math
from collections.abc import Callable
from http import HTTPStatus

import attrs
from aiohttp import ClientResponse
from multidict import MultiMapping

from mimosaworks.bounded import forget_oldest
from mimosaworks.events import Event, log_event
from mimosaworks.node.call import Call
from mimosaworks.node.change_log import apply_changes
from mimosaworks.platform.headers import LIMIT
from mimosaworks.wire import Beat, BeatReply, LimitNote, LimitRow

# More than the targets of a deployment.
MAX_LIMITS = 1000
# Characters of a header or reason that are logged when a limit can't be parsed.
MAX_LOGGED_CHARS = 40


def _unknown_incarnation(_target: str) -> int:
    return 0


def _never_standalone() -> bool:
    return False


def _ignore_update(_update: object) -> None:
    """Ignore the update."""


@attrs.define(eq=False)
class LimitView:
    """Rate limits of targets as a node knows them, in calls a second.

    A limit holds for the calls of all nodes. find_incarnation returns the
    known incarnation of a target, 0 without one, is_standalone whether no
    holder answers. on_notice is called with the kind of a notice,
    on_rate_limit with what has to be reported to the holder. limit_rows are
    the holder's limits by target; _unconfirmed_per_s are limits seen here that
    differ from them until the holder has received them.
    """

    find_incarnation: Callable[[str], int] = _unknown_incarnation
    on_notice: Callable[[str], None] = _ignore_update
    on_rate_limit: Callable[[LimitNote], None] = _ignore_update
    is_standalone: Callable[[], bool] = _never_standalone
    limit_rows: dict[str, LimitRow] = attrs.field(factory=dict)
    limits_version: int = 0
    _unconfirmed_per_s: dict[str, float] = attrs.field(factory=dict)
    _limit_recorded_s: dict[str, float] = attrs.field(factory=dict)

    def rate_limit_per_s(self, target: str) -> float:
        """Return the rate limit of a target, inf without one."""
        row = self.limit_rows.get(target)
        replicated_per_s = math.inf if row is None else row.per_s
        return self._unconfirmed_per_s.get(target, replicated_per_s)

    def rate_limits_per_s(self) -> dict[str, float]:
        """Return the known rate limits by target, in calls a second."""
        known_limits = {
            target: self.rate_limit_per_s(target)
            for target in self.limit_rows | self._unconfirmed_per_s
        }
        return {
            target: per_s
            for target, per_s in known_limits.items()
            if per_s < math.inf
        }

    def make_limit_notes(self) -> tuple[LimitNote, ...]:
        """Return all known rate limits, as they are sent to a new holder."""
        return tuple(
            LimitNote(target, per_s)
            for target, per_s in self.rate_limits_per_s().items()
        )

    def read_response_head(
        self, call: Call, resp: ClientResponse, now: float
    ) -> None:
        """Apply the rate limit in the head of an answer to a request."""
        target = call.target
        known_per_s = self.rate_limit_per_s(target)
        per_s = self._read_rate_limit(target, resp.headers)
        if per_s is None or per_s == known_per_s:
            return
        note = LimitNote(target, per_s, _call_id(call))
        if per_s < known_per_s or self._may_raise_limit(call):
            self._record_limit(note, now)
        elif resp.status != HTTPStatus.MISDIRECTED_REQUEST:
            # With this status, another process may have the target's address.
            self._report_limit(note)

    def read_other_headers(
        self, target: str, headers: MultiMapping[str], now: float
    ) -> None:
        """Apply a lower rate limit from the answer to another kind of call.

        Such answers may lack the header though the limit holds.
        """
        per_s = self._read_rate_limit(target, headers)
        if per_s is not None and per_s < self.rate_limit_per_s(target):
            self._record_limit(LimitNote(target, per_s), now)

    def apply_reply(
        self, reply: BeatReply, heartbeat: Beat, now: float
    ) -> None:
        """Apply the holder's answer to a heartbeat."""
        self.limits_version = reply.limits_version
        self.limit_rows = apply_changes(
            {} if reply.limits_whole else self.limit_rows,
            {row.target: row for row in reply.limits},
            reply.limits_gone,
        )
        for row in reply.limits:
            self._record_limit_time(row.target, now)
        for note in heartbeat.limits:
            if self._unconfirmed_per_s.get(note.target) == note.per_s:
                self._unconfirmed_per_s.pop(note.target)
        for target, per_s in list(self._unconfirmed_per_s.items()):
            replicated_row = self.limit_rows.get(target)
            if per_s == math.inf or (
                replicated_row is not None and per_s >= replicated_row.per_s
            ):
                self._unconfirmed_per_s.pop(target)

    def _read_rate_limit(
        self, target: str, headers: MultiMapping[str]
    ) -> float | None:
        """Return the rate limit in response headers, None if it is invalid."""
        try:
            return parse_rate_limit_per_s(headers)
        except ValueError as exc:
            self.on_notice('limit_ignored')
            log_event(
                Event.LIMIT_IGNORED,
                target=target,
                sent=headers[LIMIT][:MAX_LOGGED_CHARS],
                reason=str(exc)[:MAX_LOGGED_CHARS],
            )
            return None

    def _may_raise_limit(self, call: Call) -> bool:
        """Return whether this node may apply a higher limit from an answer.

        The request must have been sent after the known limit was recorded.
        While a holder answers, it alone compares the answers of all nodes.
        """
        recorded_s = self._limit_recorded_s.get(call.target, -math.inf)
        return self.is_standalone() and call.sent_s > recorded_s

    def _record_limit(self, note: LimitNote, now: float) -> None:
        self._unconfirmed_per_s.pop(note.target, None)
        self._unconfirmed_per_s[note.target] = note.per_s
        forget_oldest(self._unconfirmed_per_s, MAX_LIMITS)
        self._record_limit_time(note.target, now)
        self._report_limit(note)

    def _record_limit_time(self, target: str, now: float) -> None:
        self._limit_recorded_s.pop(target, None)
        self._limit_recorded_s[target] = now
        forget_oldest(self._limit_recorded_s, MAX_LIMITS)

    def _report_limit(self, note: LimitNote) -> None:
        self.on_rate_limit(note)
        incarnation = self.find_incarnation(note.target)
        if note.per_s == math.inf:
            self.on_notice('limit_lifted')
            log_event(Event.LIMIT_LIFTED, target=note.target, born=incarnation)
            return
        self.on_notice('limited')
        log_event(
            Event.TARGET_LIMITED,
            target=note.target,
            born=incarnation,
            per_s=note.per_s,
        )


def _call_id(call: Call) -> str:
    return '' if call.call_ask is None else call.call_ask.call


def parse_rate_limit_per_s(headers: MultiMapping[str]) -> float:
    """Return the rate limit in headers, in calls a second; inf without one.

    Raises ValueError for anything but one finite number from 0 on.
    """
    header_values = headers.getall(LIMIT, ())
    if not header_values:
        return math.inf
    if len(header_values) > 1:
        raise ValueError(f'{LIMIT} is given {len(header_values)} times')
    # float() would accept underscores between digits.
    rate_limit_per_s = float(header_values[0].replace('_', ','))
    if not 0 <= rate_limit_per_s < math.inf:
        raise ValueError(f'{LIMIT} must be a finite number from 0 on')
    return rate_limit_per_s
