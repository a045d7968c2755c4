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

MAX_LIMITS = 1000  # more than targets that a deployment has
MAX_SHOWN = 40  # characters of a field that can't be read


def _unknown_birth(_target: str) -> int:
    return 0


def _never() -> bool:
    return False


def _tell_nobody(_news: object) -> None:
    """Need no news."""


@attrs.define(eq=False)
class LimitView:
    """Rate limits of targets, in calls a second over all nodes.

    find_born gives the birth of a target as it is known, 0 if it is not,
    is_alone tells whether no holder is heard. on_notice is called with the
    kind of a notice, on_news with what the holder should hear. told are the
    limits that it tells; _own differs from it until the holder has heard.
    """

    find_born: Callable[[str], int] = _unknown_birth
    on_notice: Callable[[str], None] = _tell_nobody
    on_news: Callable[[LimitNote], None] = _tell_nobody
    is_alone: Callable[[], bool] = _never
    told: dict[str, LimitRow] = attrs.field(factory=dict)
    told_version: int = 0
    _own: dict[str, float] = attrs.field(factory=dict)
    _noted_s: dict[str, float] = attrs.field(factory=dict)

    def per_s(self, target: str) -> float:
        """Return the limit of a target, inf without one."""
        row = self.told.get(target)
        told_per_s = math.inf if row is None else row.per_s
        return self._own.get(target, told_per_s)

    def all_per_s(self) -> dict[str, float]:
        """Return the known limits by target."""
        known = {target: self.per_s(target) for target in self.told | self._own}
        return {
            target: per_s for target, per_s in known.items() if per_s < math.inf
        }

    def notes(self) -> tuple[LimitNote, ...]:
        """Return all that a new holder should hear."""
        return tuple(
            LimitNote(target, per_s)
            for target, per_s in self.all_per_s().items()
        )

    def read_head(self, call: Call, resp: ClientResponse, now: float) -> None:
        """Take over what the head of an answer to a request says."""
        target = call.target
        known_per_s = self.per_s(target)
        per_s = self._read(target, resp.headers)
        if per_s is None or per_s == known_per_s:
            return
        note = LimitNote(target, per_s, _ask_name(call))
        if per_s < known_per_s or self._may_raise(call):
            self._note(note, now)
        elif resp.status != HTTPStatus.MISDIRECTED_REQUEST:
            # Another process may have the target's address.
            self._tell(note)

    def read_other(
        self, target: str, headers: MultiMapping[str], now: float
    ) -> None:
        """Take over a lower limit from the answer to another call.

        Such answers may lack it though the limit holds.
        """
        per_s = self._read(target, headers)
        if per_s is not None and per_s < self.per_s(target):
            self._note(LimitNote(target, per_s), now)

    def take_over(self, reply: BeatReply, beat: Beat, now: float) -> None:
        """Apply the holder's answer to a beat."""
        self.told_version = reply.limits_version
        self.told = apply_changes(
            {} if reply.limits_whole else self.told,
            {row.target: row for row in reply.limits},
            reply.limits_gone,
        )
        for row in reply.limits:
            self._set_noted(row.target, now)
        for note in beat.limits:
            if self._own.get(note.target) == note.per_s:
                self._own.pop(note.target)
        for target, per_s in list(self._own.items()):
            told = self.told.get(target)
            if per_s == math.inf or (told is not None and per_s >= told.per_s):
                self._own.pop(target)

    def _read(self, target: str, headers: MultiMapping[str]) -> float | None:
        """Return the rate limit in a head, None if it can't be read."""
        try:
            return read_limit_per_s(headers)
        except ValueError as exc:
            self.on_notice('limit_ignored')
            log_event(
                Event.LIMIT_IGNORED,
                target=target,
                sent=headers[LIMIT][:MAX_SHOWN],
                reason=str(exc)[:MAX_SHOWN],
            )
            return None

    def _may_raise(self, call: Call) -> bool:
        """Tell whether an answer is newer than what is known, and holds.

        While a holder is heard it compares the answers of all nodes.
        """
        noted_s = self._noted_s.get(call.target, -math.inf)
        return self.is_alone() and call.sent_s > noted_s

    def _note(self, note: LimitNote, now: float) -> None:
        self._own.pop(note.target, None)
        self._own[note.target] = note.per_s
        forget_oldest(self._own, MAX_LIMITS)
        self._set_noted(note.target, now)
        self._tell(note)

    def _set_noted(self, target: str, now: float) -> None:
        self._noted_s.pop(target, None)
        self._noted_s[target] = now
        forget_oldest(self._noted_s, MAX_LIMITS)

    def _tell(self, note: LimitNote) -> None:
        self.on_news(note)
        born = self.find_born(note.target)
        if note.per_s == math.inf:
            self.on_notice('limit_lifted')
            log_event(Event.LIMIT_LIFTED, target=note.target, born=born)
            return
        self.on_notice('limited')
        log_event(
            Event.TARGET_LIMITED,
            target=note.target,
            born=born,
            per_s=note.per_s,
        )


def _ask_name(call: Call) -> str:
    return '' if call.ask is None else call.ask.call


def read_limit_per_s(headers: MultiMapping[str]) -> float:
    """Return the rate limit in a head, in calls a second; inf without one.

    Raises ValueError for anything but one finite number from 0 on.
    """
    sent = headers.getall(LIMIT, ())
    if not sent:
        return math.inf
    if len(sent) > 1:
        raise ValueError(f'{LIMIT} is given {len(sent)} times')
    # float() also accepts underscores between digits.
    limit_per_s = float(sent[0].replace('_', ','))
    if not 0 <= limit_per_s < math.inf:
        raise ValueError(f'{LIMIT} must be a finite number from 0 on')
    return limit_per_s
