"""Decides whether a member's configuration is fresh; does no I/O."""

import math

import attrs

from mimosaworks.clock import DRIFT
from mimosaworks.members.evidence import Evidence
from mimosaworks.members.full_view import FullView
from mimosaworks.members.member import Member
from mimosaworks.members.state import MemberState
from mimosaworks.members.view import View
from mimosaworks.wire import FreshAnswer, FreshAsk

FRESHNESS_S = 3.0
NOT_FRESH = -1.0


@attrs.define
class Freshness:
    """A member's versions and how long it may act on them.

    basis_s is a time by the own clock at which no version newer than the own
    ones had been accepted; it is always counted from before a question was
    sent. Versions never decrease.
    """

    own: Member
    version: int = 0
    view: View = attrs.field(factory=View)
    basis_s: float = -math.inf
    is_table_down: bool = False
    evidence: Evidence = attrs.field(factory=Evidence)
    full_view: FullView = attrs.field(factory=FullView)

    def age_s(self, now_s: float) -> float:
        """Return the age of the basis in seconds."""
        return now_s - self.basis_s

    def is_fresh(self, now_s: float) -> bool:
        """Whether keyed requests may be admitted or dispatched now."""
        return self.own.is_serving and self.age_s(now_s) < FRESHNESS_S

    def advance(self, now_s: float, version: int, view: View) -> None:
        """Take over a configuration version in force and a view."""
        self.version = max(self.version, version)
        if view.version > self.view.version:
            self.view = view
            members = view.serving_ids() | view.joining_ids()
            self.evidence.set_members(now_s, members)
            # The answers were given to a member with an older view.
            self.full_view = FullView()
            self._take_own_row()

    def on_table_read(self, asked_s: float) -> None:
        """Note a read of the table that was sent at asked_s.

        What it brought must be in force and passed to advance before.
        """
        self.is_table_down = False
        self._set_basis(asked_s)

    def on_table_failed(self) -> None:
        """Note that the table did not answer."""
        self.is_table_down = True

    def ask(self) -> FreshAsk:
        """Return the question for another member."""
        return FreshAsk(self.version, self.view.version)

    def answer(self, now_s: float, ask: FreshAsk) -> FreshAnswer:
        """Return the answer to another member, without log entries."""
        age_s = self.age_s(now_s) if self.is_fresh(now_s) else NOT_FRESH
        is_behind = ask.view < self.view.version
        return FreshAnswer(
            self.own.boot_nonce,
            self.version,
            self.view.version,
            age_s,
            members=self.view.to_rows() if is_behind else (),
        )

    def on_answer(
        self, asked_s: float, now_s: float, address: str, answer: FreshAnswer
    ) -> None:
        """Take over an answer to a question that was sent at asked_s.

        What the answer brings must be in force and passed to advance before.
        """
        peer = self.view.find(address)
        if peer is None:
            return
        self.evidence.on_answer(asked_s, now_s, peer.id, answer.boot_nonce)
        is_behind = (
            answer.version > self.version or answer.view > self.view.version
        )
        if is_behind or answer.boot_nonce != peer.boot_nonce:
            return
        if answer.age_s >= 0:
            self._set_basis(asked_s - answer.age_s * (1 + DRIFT))
        self.full_view.on_answer(asked_s, peer.id)

    def on_refused(self, asked_s: float, now_s: float, address: str) -> None:
        """Note that a connection to a member's port was refused."""
        peer = self.view.find(address)
        if peer:
            self.evidence.on_refused(
                asked_s, now_s, peer.id, is_table_down=self.is_table_down
            )

    def check_full_view(self, now_s: float) -> None:
        """Become fresh if all other members have answered."""
        basis_s = self.full_view.basis_s(
            now_s, self.view, self.own.id, self.evidence.dead_since_s
        )
        self._set_basis(basis_s)

    def _set_basis(self, basis_s: float) -> None:
        self.basis_s = max(self.basis_s, basis_s)

    def _take_own_row(self) -> None:
        row = self.view.find(self.own.address)
        is_own = row is not None and row.id == self.own.id
        if self.own.state == MemberState.JOINING:
            if row is not None and is_own:
                self._set_state(row.state)
        elif not is_own:
            # Removed as dead, or replaced by another process.
            self._set_state(MemberState.STOPPED)

    def _set_state(self, state: MemberState) -> None:
        self.own = attrs.evolve(self.own, state=state)
