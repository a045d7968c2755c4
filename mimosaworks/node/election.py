"""Elects one node as the holder of the dispatch lease."""

import asyncio
import json
import random
from collections.abc import Callable

import attrs

from mimosaworks.clock import now_s
from mimosaworks.errors import (
    PlatformError,
    StoreConflictError,
    StoreInDoubtError,
    StoreUnavailableError,
)
from mimosaworks.events import Event, log_event
from mimosaworks.json_fields import parse_table, text, whole
from mimosaworks.node.hurried_pause import HurriedPause
from mimosaworks.platform import (
    RowChange,
    RowName,
    RowNeed,
    StoreClient,
    StoredRow,
)

LEASE_ROW = RowName('mimosaworks', 'dispatch-lease')
LEASE_S = 1.5  # three renewals; fences guard the targets beyond it
RENEWALS = 3  # in each lease
MIN_PAUSE_S = 0.05  # between two renewals
STORE_TIMEOUT_S = 0.7  # of a renewal, so that two fit into a lease
EAGER_NODES = 6
LAZY_POLL_S = 0.5  # and up to twice as long
POLL_S = 0.1  # pause between reads of the row while no holder is heard


@attrs.frozen
class Lease:
    """The lease row: who holds it and where that process is reached.

    nonce differs with each process; fence is the store's version at the
    election, which grows from holder to holder. members is the number of
    nodes at the last renewal.
    """

    holder: str
    address: str
    nonce: str
    fence: int
    members: int = 0
    version: int = 0

    @property
    def is_free(self) -> bool:
        """Whether the last holder gave the lease back."""
        return not self.holder


def _save_nothing() -> tuple[RowChange, ...]:
    return ()


def _ignore_save(_begun_s: float) -> None:
    """Need no news of what was saved."""


def _ignore_rows(_rows: tuple[StoredRow, ...]) -> None:
    """Need no other rows."""


@attrs.define(eq=False)
class Election:
    """Holds, watches or takes the lease; one for each node.

    hears_holder tells whether the holder answers this node. may_hold is
    false for a node that stops. survives tells whether the lease may be
    used while the store can't be reached, which needs targets that check
    fences. members gives the number of nodes, eagerness this node's place
    among those that may hold the lease, the strongest first; handicap_s
    delays weak ones at their start, when the others are not known. quiet_s
    is the pause between two holders' orders. on_taken gets the lease and
    the last holder's name, on_store_back is called when a
    renewal is answered after one that was not.

    unsaved gives the holder's rows that are written with the next renewal,
    on_saved is called with the time at which one began that wrote them all,
    on_rows with the rows beside the lease whenever that is looked at.
    pause is the one between renewals; urgent rows hurry it.
    """

    store: StoreClient
    name: str
    address: str
    nonce: str
    hears_holder: Callable[[], bool]
    on_taken: Callable[[Lease, str], None]
    on_lost: Callable[[], None]
    on_store_back: Callable[[], None]
    survives: bool
    members: Callable[[], int]
    eagerness: Callable[[], int]
    handicap_s: float
    quiet_s: float
    lease_s: float = LEASE_S
    unsaved: Callable[[], tuple[RowChange, ...]] = _save_nothing
    on_saved: Callable[[float], None] = _ignore_save
    on_rows: Callable[[tuple[StoredRow, ...]], None] = _ignore_rows
    pause: HurriedPause = attrs.field(factory=lambda: HurriedPause(MIN_PAUSE_S))
    may_hold: bool = True
    lease: Lease | None = None
    is_holder: bool = False
    _seen_s: float = 0
    _renewed_s: float = 0
    _tried_s: float = 0
    _orders_from_s: float = 0
    _is_store_lost: bool = False
    _is_bare: bool = False

    async def run(self) -> None:
        """Take part until cancelled."""
        await asyncio.sleep(self.handicap_s)
        while True:  # noqa: WPS457 -- ends when the task is cancelled
            if self.is_holder:
                await self.pause.wait(self.lease_s / RENEWALS)
                await self._renew()
            elif self.hears_holder():
                await asyncio.sleep(POLL_S)
            else:
                await self._look_often()

    def is_sure(self) -> bool:
        """Tell whether orders may be sent: the lease was looked at lately.

        One that was paused has not: another may hold the lease by now.
        """
        now = now_s()
        has_looked = now - self._tried_s < self.lease_s
        return self.is_holder and has_looked and now >= self._orders_from_s

    def believe(self, lease: Lease) -> None:
        """Take over what a new holder tells of its election."""
        known = self.lease
        if not self.is_holder and (known is None or known.fence < lease.fence):
            self._believe(lease)

    def heard(self, version: int) -> None:
        """Note that the holder had renewed the row to this version."""
        if self.lease is not None and version > self.lease.version:
            self.lease = attrs.evolve(self.lease, version=version)
            self._seen_s = now_s()

    def step_down(self, reason: str) -> None:
        """Stop holding the lease, which another process may have taken."""
        if not self.is_holder:
            return
        self.is_holder = False
        log_event(
            Event.LEASE_LOST,
            reason=reason,
            fence=0 if self.lease is None else self.lease.fence,
            age_s=now_s() - self._renewed_s,
        )
        self._seen_s = now_s()
        self.on_lost()

    async def give_back(self) -> bool:
        """Free the lease at a planned stop, so that it is taken at once.

        Returns whether this node holds nothing any more. While the store
        can't be reached no other node can be elected: this one goes on.
        """
        self.may_hold = False
        lease = self.lease
        if not self.is_holder or lease is None:
            return True
        freed = attrs.evolve(lease, holder='', address='')
        try:
            await self._write(freed, lease.version)
        except StoreConflictError as exc:
            self._on_conflict(exc, now_s())
        except PlatformError as exc:
            log_event(
                Event.DEPENDENCY_LOST,
                dependency='store:lease',
                reason=str(exc),
                age_s=now_s() - self._renewed_s,
            )
        else:
            self.step_down('planned stop')
        return not self.is_holder

    async def _look_often(self) -> None:
        """Look at the row until a holder is heard.

        Some strong nodes look often and take the lease; the others hear of
        the next holder from itself, and look only when they did not.
        """
        pause_s = 0 if self._is_eager() else LAZY_POLL_S
        while not self.is_holder:
            await asyncio.sleep(random.uniform(pause_s, 2 * pause_s))
            if self.hears_holder():
                return
            await self._look()
            pause_s = POLL_S if self._is_eager() else LAZY_POLL_S

    def _is_eager(self) -> bool:
        return self.eagerness() < EAGER_NODES

    async def _renew(self) -> None:
        if self.lease is None or not self.is_holder:
            return
        lease = attrs.evolve(self.lease, members=self.members())
        begun_s = now_s()
        self._tried_s = begun_s
        try:
            version = await self._write(lease, lease.version)
        except StoreConflictError as exc:
            self._on_conflict(exc, begun_s)
        except (StoreUnavailableError, StoreInDoubtError) as exc:
            self._is_store_lost = True
            if not self.survives and now_s() - self._renewed_s > self.lease_s:
                self.step_down(f'not renewed: {exc}')
        else:
            self.lease = attrs.evolve(lease, version=version)
            self._renewed_s = begun_s
            self._note_store_back()

    def _note_store_back(self) -> None:
        if self._is_store_lost:
            self._is_store_lost = False
            self.on_store_back()

    def _on_conflict(self, exc: StoreConflictError, begun_s: float) -> None:
        found = _lease_in(exc.rows)
        if found is not None and found.nonce == self.nonce:
            # The answer to an earlier renewal was lost.
            self.lease = found
            self._renewed_s = begun_s
            return
        self.step_down('another holder was elected')
        self._believe(found)

    async def _look(self) -> None:
        try:
            answer = await self.store.read(LEASE_ROW.table)
        except PlatformError:
            return  # The feeds log the loss of the store.
        found = _lease_in(row for row in answer.rows if row.name == LEASE_ROW)
        self._believe(found)
        self.on_rows(answer.rows)
        if self.may_hold and not self.hears_holder() and self._is_over():
            await self._take()

    def _is_over(self) -> bool:
        lease = self.lease
        if lease is None or lease.is_free or lease.holder == self.name:
            return True
        return now_s() - self._seen_s > self.lease_s

    def _believe(self, found: Lease | None) -> None:
        known = self.lease
        is_older = (
            known is not None
            and found is not None
            and found.version <= known.version
        )
        if is_older:
            return
        self.lease = found
        self._seen_s = now_s()
        if found is not None and (known is None or known.nonce != found.nonce):
            log_event(
                Event.HOLDER_BELIEVED,
                holder=found.holder,
                fence=found.fence,
                row=found.version,
            )

    async def _take(self) -> None:
        known = self.lease
        version = 0 if known is None else known.version
        wanted = Lease(self.name, self.address, self.nonce, fence=version + 1)
        begun_s = now_s()
        try:
            taken = await self._write(wanted, version)
        except StoreConflictError as exc:
            self._believe(_lease_in(exc.rows))
            return
        except PlatformError:
            return  # The next look shows whether the write took effect.
        self.lease = attrs.evolve(wanted, version=taken)
        self._renewed_s = begun_s
        self._tried_s = begun_s
        # The last holder may have sent orders until its lease was over.
        self._orders_from_s = now_s() + self.quiet_s if known else 0
        previous = '' if known is None else known.holder
        self.is_holder = True
        log_event(
            Event.LEASE_TAKEN,
            fence=wanted.fence,
            row=taken,
            previous=previous,
            silent_s=now_s() - self._seen_s if known else 0,
        )
        self.on_taken(self.lease, previous)

    async def _write(self, lease: Lease, version: int) -> int:
        content = json.dumps({
            'holder': lease.holder,
            'address': lease.address,
            'nonce': lease.nonce,
            'fence': lease.fence,
            'members': lease.members,
        }).encode()
        begun_s = now_s()
        # Rows that the store may have rejected must not cost the lease.
        is_bare = self._is_bare
        rows = () if is_bare else self.unsaved()
        self._is_bare = bool(rows)
        written = await self.store.commit(
            [RowNeed(LEASE_ROW, version)],
            [RowChange(LEASE_ROW, content), *rows],
        )
        self._is_bare = False
        if not is_bare:
            self.on_saved(begun_s)
        return written


def _lease_in(rows: 'object') -> Lease | None:
    for row in rows:  # type: ignore[attr-defined]
        if isinstance(row, StoredRow) and row.content is not None:
            return _decode_lease(row.version, row.content)
    return None


def _decode_lease(version: int, content: bytes) -> Lease:
    """Return the lease of a row; a free one if it can't be read.

    Fields that are not known are left to later versions of the program.
    """
    try:
        fields = parse_table(content)
        return Lease(
            holder=text(fields, 'holder'),
            address=text(fields, 'address'),
            nonce=text(fields, 'nonce'),
            fence=whole(fields, 'fence'),
            members=whole(fields, 'members', 0),
            version=version,
        )
    except ValueError as exc:
        log_event(Event.LEASE_IGNORED, row=version, reason=str(exc))
        return Lease('', '', '', fence=version, version=version)
