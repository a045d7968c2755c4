"""Targets that crash when they turn away too many requests in a second."""

from collections.abc import Callable, Mapping
from http import HTTPStatus

import attrs
from aiohttp import ClientResponse
from multidict import MultiMapping

from mimosaworks.bounded import forget_oldest
from mimosaworks.events import Event, log_event
from mimosaworks.node.call import Call
from mimosaworks.platform.headers import BRITTLE, says_not_run
from mimosaworks.wire import Beat, BrittleNote, LimitRow

# More than the targets of a deployment.
MAX_BRITTLE_TARGETS = 1000
MAX_DIGITS = 6
# Rejections count by the second.
FULL_PAUSE_S = 1.0


def _ignore_note(_note: BrittleNote) -> None:
    """Ignore what has to be reported."""


def _ignore_pause(_target: str, _pause_s: float) -> None:
    """Ignore a pause."""


@attrs.define(eq=False)
class BrittleTargets:
    """The brittle targets, as a node knows them.

    on_note is called with what has to be reported to the holder, on_full with
    a target that turned a request away, and the seconds for which it gets
    nothing from this node. list_rows returns the holder's limits by target.
    _unconfirmed_per_s is what answers
    said here, None for a target that is not brittle, until the holder has
    received it. _answering_targets are those of which this node has had an
    answer.
    """

    on_note: Callable[[BrittleNote], None] = _ignore_note
    on_full: Callable[[str, float], None] = _ignore_pause
    list_rows: Callable[[], Mapping[str, LimitRow]] = dict
    _unconfirmed_per_s: dict[str, int | None] = attrs.field(factory=dict)
    _answering_targets: dict[str, None] = attrs.field(factory=dict)

    def most_per_s(self, target: str) -> int | None:
        """Return how many requests a target may turn away in a second.

        None if it is not brittle.
        """
        row = self.list_rows().get(target)
        replicated_per_s = None
        if row is not None and row.is_brittle:
            replicated_per_s = row.most_rejections_per_s
        return self._unconfirmed_per_s.get(target, replicated_per_s)

    def is_known_sound(self, target: str) -> bool:
        """Return whether a target has answered here and is not brittle."""
        return (
            target in self._answering_targets
            and self.most_per_s(target) is None
        )

    def known_limits(self) -> dict[str, int]:
        """Return how many requests each brittle target may turn away."""
        limits = {
            target: self.most_per_s(target)
            for target in (*self.list_rows(), *self._unconfirmed_per_s)
        }
        return {
            target: most_per_s
            for target, most_per_s in limits.items()
            if most_per_s is not None
        }

    def make_notes(self) -> tuple[BrittleNote, ...]:
        """Return all brittle targets, as they are reported to a new holder."""
        return tuple(
            BrittleNote(name, is_brittle=True, most_per_s=most_per_s)
            for name, most_per_s in self.known_limits().items()
        )

    def read_response_head(
        self, call: Call, target: str, resp: ClientResponse
    ) -> None:
        """Apply the head of an answer to a request."""
        self._record_answer(target)
        most_per_s = _read_most_per_s(resp.headers)
        if most_per_s is None and resp.status == HTTPStatus.MISDIRECTED_REQUEST:
            # Another process may have the target's address.
            return
        is_full = (
            most_per_s is not None
            and resp.status == HTTPStatus.SERVICE_UNAVAILABLE
            and says_not_run(resp.status, resp.headers)
        )
        if is_full:
            self.on_full(target, FULL_PAUSE_S)
        if is_full or most_per_s != self.most_per_s(target):
            call_id = '' if call.call_ask is None else call.call_ask.call
            self._record(target, most_per_s, call_id, is_full=is_full)

    def read_other_headers(
        self, target: str, headers: MultiMapping[str]
    ) -> None:
        """Apply the answer to another kind of call, which may lack the header.

        So it tells nothing about a target that is no longer brittle.
        """
        self._record_answer(target)
        most_per_s = _read_most_per_s(headers)
        if most_per_s is not None and most_per_s != self.most_per_s(target):
            self._record(target, most_per_s, '', is_full=False)

    def apply_reply(self, heartbeat: Beat) -> None:
        """Forget what the holder has received; it compares all answers.

        A holder of an earlier release may keep no brittle targets.
        """
        rows = self.list_rows()
        for note in heartbeat.brittle:
            row = rows.get(note.target)
            is_kept = row is not None and row.is_brittle
            most_per_s = note.most_per_s if note.is_brittle else None
            is_newest = (
                self._unconfirmed_per_s.get(note.target, -1) == most_per_s
            )
            if is_newest and (is_kept or not note.is_brittle):
                self._unconfirmed_per_s.pop(note.target)

    def _record_answer(self, target: str) -> None:
        self._answering_targets[target] = None
        forget_oldest(self._answering_targets, MAX_BRITTLE_TARGETS)

    def _record(
        self,
        target: str,
        most_per_s: int | None,
        call_id: str,
        *,
        is_full: bool,
    ) -> None:
        if most_per_s != self.most_per_s(target):
            log_event(
                Event.TARGET_BRITTLE, target=target, most_per_s=most_per_s
            )
        self._unconfirmed_per_s.pop(target, None)
        self._unconfirmed_per_s[target] = most_per_s
        forget_oldest(self._unconfirmed_per_s, MAX_BRITTLE_TARGETS)
        self.on_note(
            BrittleNote(
                target,
                most_per_s is not None,
                is_full,
                most_per_s or 0,
                call_id,
            )
        )


def _read_most_per_s(headers: MultiMapping[str]) -> int | None:
    sent = headers.get(BRITTLE, '').strip()
    # What is longer is no count of requests.
    if not sent.isdecimal() or len(sent) > MAX_DIGITS:
        return None
    return int(sent)
