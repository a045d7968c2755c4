"""A member's state and its answers to other members; does no I/O."""

from collections.abc import Callable, Iterable

import attrs

from mimosaworks.configs import (
    LogEntry,
    apply_entries,
    dump_entries,
    load_entries,
    snapshot_of,
)
from mimosaworks.entities import Catalogue
from mimosaworks.events import Event, log_event
from mimosaworks.members.freshness import Freshness
from mimosaworks.members.member_id import MemberId
from mimosaworks.members.view import View, view_from_rows
from mimosaworks.wire import FreshAnswer, FreshAsk, PushAck, VersionPush

HISTORY_LENGTH = 128  # log entries kept for members that are behind
PUSHED_ENTRIES = 4


@attrs.define
class MemberCore:
    """Applies configurations and views, and answers other members."""

    freshness: Freshness
    now: Callable[[], float]
    catalogue: Catalogue = attrs.field(factory=Catalogue)
    on_catalogue: list[Callable[[Catalogue], None]] = attrs.field(factory=list)
    on_view: list[Callable[[], None]] = attrs.field(factory=list)
    _history: dict[int, LogEntry] = attrs.field(factory=dict)
    _acks: dict[MemberId, PushAck] = attrs.field(factory=dict)

    def take(
        self, catalogue: Catalogue, view: View, entries: Iterable[LogEntry]
    ) -> None:
        """Put a configuration and a view in force, unless they are older.

        The view must not be newer than the configuration.
        """
        for entry in entries:
            self._history[entry.version] = entry
        for version in sorted(self._history)[:-HISTORY_LENGTH]:
            self._history.pop(version)
        if catalogue.version > self.catalogue.version:
            self._set_catalogue(catalogue)
        previous = self.freshness.view
        self.freshness.advance(self.now(), self.catalogue.version, view)
        if self.freshness.view != previous:
            self._tell_view()

    def take_text(self, version: int, text: str, view: View) -> None:
        """Put in force what another member sent, if it is complete."""
        entries = load_entries(text or '[]', self.catalogue.version)
        catalogue = apply_entries(self.catalogue, entries)
        if catalogue.version >= version:
            kept = [entry for entry in entries if not entry.is_snapshot]
            self.take(catalogue, view, kept)

    def entries_since(self, version: int) -> str:
        """Return the log entries after a version, as JSON text."""
        if version >= self.catalogue.version:
            return ''
        wanted = range(version + 1, self.catalogue.version + 1)
        if all(number in self._history for number in wanted):
            return dump_entries(self._history[number] for number in wanted)
        return dump_entries([snapshot_of(self.catalogue)])

    def push_to(self, member: MemberId) -> VersionPush:
        """Return what is in force, without what the member is known to have.

        No member goes back, so what it confirmed need not be sent again.
        """
        version = self.catalogue.version
        view = self.freshness.view
        known = self._acks.get(member)
        since = known.version if known else max(0, version - PUSHED_ENTRIES)
        has_view = known is not None and known.view >= view.version
        return VersionPush(
            self.freshness.own.address,
            version,
            view.version,
            self.entries_since(since),
            () if has_view else view.to_rows(),
        )

    def on_ack(self, member: MemberId, ack: PushAck) -> MemberId:
        """Note what a member confirmed; return who really answered.

        A process that took over the address of another starts without what
        the former had.
        """
        answered = MemberId(member.address, ack.boot_nonce)
        if answered != member:
            self._acks.pop(member, None)
        self._acks[answered] = ack
        present = {peer.id for peer in self.freshness.view.members}
        for gone in self._acks.keys() - present - {answered}:
            self._acks.pop(gone)
        return answered

    async def on_ask(self, ask: FreshAsk) -> FreshAnswer:
        """Answer a question of another member."""
        answer = self.freshness.answer(self.now(), ask)
        return attrs.evolve(answer, entries=self.entries_since(ask.version))

    async def on_push(self, push: VersionPush) -> PushAck:
        """Put in force what a writer pushed; tell what is in force now."""
        view = View()
        if push.members:
            view = view_from_rows(push.view, push.members)
        self.take_text(push.version, push.entries, view)
        return PushAck(
            self.freshness.own.boot_nonce,
            self.freshness.version,
            self.freshness.view.version,
        )

    def on_answer(
        self, asked_s: float, address: str, answer: FreshAnswer
    ) -> None:
        """Put in force what an answer brings, then judge its freshness."""
        view = View()
        if answer.members:
            view = view_from_rows(answer.view, answer.members)
        self.take_text(answer.version, answer.entries, view)
        self.freshness.on_answer(asked_s, self.now(), address, answer)

    def _set_catalogue(self, catalogue: Catalogue) -> None:
        self.catalogue = catalogue
        for callback in self.on_catalogue:
            callback(catalogue)
        log_event(Event.CONFIG_APPLIED, version=catalogue.version)

    def _tell_view(self) -> None:
        for callback in self.on_view:
            callback()
        view = self.freshness.view
        log_event(
            Event.MEMBER_STATE_CHANGED,
            view=view.version,
            own_state=self.freshness.own.state.value,
            members=len(view.members),
        )
