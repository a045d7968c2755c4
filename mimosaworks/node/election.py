"""Elects one node as the holder of the dispatch lease."""

import asyncio
import json
import random
from collections.abc import Awaitable, Callable

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
from mimosaworks.node.interruptible_sleep import InterruptibleSleep
from mimosaworks.platform import (
    RowChange,
    RowName,
    RowNeed,
    StoreClient,
    StoredRow,
)
from mimosaworks.store_era import first_version

LEASE_ROW = RowName('mimosaworks', 'dispatch-lease')
# Has time for three renewals. Beyond it, fencing numbers protect the targets.
LEASE_S = 1.5
RENEWALS_PER_LEASE = 3
MIN_RENEWAL_PAUSE_S = 0.05
# The timeout of a renewal: two of them fit into a lease.
RENEWAL_TIMEOUT_S = 0.7
PREFERRED_CANDIDATES = 6
# Each pause is random, up to twice as long.
SLOW_LEASE_POLL_S = 0.5
# The pause between reads of the lease row while no holder answers.
LEASE_POLL_S = 0.1


@attrs.frozen
class Lease:
    """The lease row: the holder and the address of its process.

    nonce differs with each process. fence is the fencing number: the row's
    version in the store at the election, which grows from holder to holder.
    members is the number of nodes at the last renewal.
    """

    holder: str
    address: str
    nonce: str
    fence: int
    members: int = 0
    version: int = 0

    @property
    def is_free(self) -> bool:
        """Whether the last holder released the lease."""
        return not self.holder


def _no_pending_rows() -> tuple[RowChange, ...]:
    return ()


async def _ask_nobody() -> None:
    """Ask no other node for the lease."""


def _ignore_saved_rows(_write_started_s: float) -> None:
    """Ignore which rows were saved."""


def _ignore_other_rows(_rows: tuple[StoredRow, ...]) -> None:
    """Ignore the other rows of the table."""


@attrs.define(eq=False)
class Election:
    """A node's part in the election: it renews, polls or acquires the lease.

    has_holder_contact tells whether the holder answers this node.
    is_candidate is false for a node that stops. survives_store_outage tells
    whether the lease may be used while the store can't be reached, which needs
    targets that check fencing numbers. count_members returns the number of
    nodes, candidate_rank this node's place among the candidates, the strongest
    first; start_delay_s delays weak nodes at their start, when the others are
    not known. takeover_delay_s is the pause between two holders' orders.
    ask_other_node asks another node for the lease, for when the store does
    not answer.
    on_acquired is called with the lease and the last holder's name,
    on_store_recovered when a renewal is answered after one that was not.

    pending_rows returns the holder's rows that are written with the next
    renewal, on_rows_saved is called with the time at which a renewal began
    that wrote them all, on_table_rows with the rows of the lease's table
    whenever the lease is checked. renewal_pause is the sleep between
    renewals, which urgent rows end early. has_predecessor tells of a holder
    whether there was one before.
    """

    store: StoreClient
    name: str
    address: str
    nonce: str
    has_holder_contact: Callable[[], bool]
    on_acquired: Callable[[Lease, str], None]
    on_lost: Callable[[], None]
    on_store_recovered: Callable[[], None]
    survives_store_outage: bool
    count_members: Callable[[], int]
    candidate_rank: Callable[[], int]
    start_delay_s: float
    takeover_delay_s: float
    lease_s: float = LEASE_S
    ask_other_node: Callable[[], Awaitable[None]] = _ask_nobody
    pending_rows: Callable[[], tuple[RowChange, ...]] = _no_pending_rows
    on_rows_saved: Callable[[float], None] = _ignore_saved_rows
    on_table_rows: Callable[[tuple[StoredRow, ...]], None] = _ignore_other_rows
    renewal_pause: InterruptibleSleep = attrs.field(
        factory=lambda: InterruptibleSleep(MIN_RENEWAL_PAUSE_S)
    )
    is_candidate: bool = True
    lease: Lease | None = None
    is_holder: bool = False
    has_predecessor: bool = False
    _last_renewal_seen_s: float = 0
    _last_renewed_s: float = 0
    _last_renewal_attempt_s: float = 0
    _orders_allowed_from_s: float = 0
    _is_store_unreachable: bool = False
    _omits_pending_rows: bool = False

    async def run(self) -> None:
        """Take part in the election until cancelled."""
        await asyncio.sleep(self.start_delay_s)
        while True:  # noqa: WPS457 -- ends when the task is cancelled
            if self.is_holder:
                await self.renewal_pause.sleep(
                    self.lease_s / RENEWALS_PER_LEASE
                )
                await self._renew_lease()
            elif self.has_holder_contact():
                await asyncio.sleep(LEASE_POLL_S)
            else:
                await self._poll_lease_row()

    def is_lease_verified(self) -> bool:
        """Return whether orders may be sent: the lease was checked lately.

        A process that was paused has not checked it, and another node may hold
        the lease by now.
        """
        now = now_s()
        is_recently_checked = now - self._last_renewal_attempt_s < self.lease_s
        return (
            self.is_holder
            and is_recently_checked
            and now >= self._orders_allowed_from_s
        )

    def apply_lease_notice(self, lease: Lease) -> None:
        """Apply the lease that a newly elected holder announced.

        A holder that can't reach the store learns so that it has lost the
        lease.
        """
        known_lease = self.lease
        if known_lease is None or known_lease.fence < lease.fence:
            self.step_down(f'{lease.holder} was elected')
            self._apply_lease_row(lease)

    async def accept_offer(self, nonce: str) -> None:
        """Acquire the lease from a holder that does not reach the store.

        nonce is that of the holder, which must still have the lease.
        """
        if self.is_candidate and not self.is_holder:
            await self._check_lease_row(offered_by=nonce)

    def record_renewal(self, version: int) -> None:
        """Record that the holder has renewed the lease row to this version."""
        if self.lease is not None and version > self.lease.version:
            self.lease = attrs.evolve(self.lease, version=version)
            self._last_renewal_seen_s = now_s()

    def step_down(self, reason: str) -> None:
        """Stop holding the lease, which another node may have acquired."""
        if not self.is_holder:
            return
        self.is_holder = False
        log_event(
            Event.LEASE_LOST,
            reason=reason,
            fence=0 if self.lease is None else self.lease.fence,
            age_s=now_s() - self._last_renewed_s,
        )
        self._last_renewal_seen_s = now_s()
        self.on_lost()

    async def release_lease(self) -> bool:
        """Release the lease at a planned stop, so that another acquires it.

        Returns whether this node no longer holds the lease. While the store
        can't be reached no other node can be elected, so this one keeps it.
        """
        self.is_candidate = False
        lease = self.lease
        if not self.is_holder or lease is None:
            return True
        free_lease = attrs.evolve(lease, holder='', address='')
        try:
            await self._write_lease(free_lease, lease.version)
        except StoreConflictError as exc:
            self._resolve_conflict(exc, now_s())
        except PlatformError as exc:
            log_event(
                Event.DEPENDENCY_LOST,
                dependency='store:lease',
                reason=str(exc),
                age_s=now_s() - self._last_renewed_s,
            )
        else:
            self.step_down('planned stop')
        return not self.is_holder

    async def _poll_lease_row(self) -> None:
        """Poll the lease row until a holder answers.

        Some strong nodes poll often and acquire the lease. The next holder
        notifies the others, which poll rarely in case no notice arrives.
        """
        pause_s = (
            0 if _is_preferred(self.candidate_rank()) else SLOW_LEASE_POLL_S
        )
        while not self.is_holder:
            await asyncio.sleep(random.uniform(pause_s, 2 * pause_s))
            if self.has_holder_contact():
                return
            await self._check_lease_row()
            pause_s = (
                LEASE_POLL_S
                if _is_preferred(self.candidate_rank())
                else SLOW_LEASE_POLL_S
            )

    async def _renew_lease(self) -> None:
        if self.lease is None or not self.is_holder:
            return
        lease = attrs.evolve(self.lease, members=self.count_members())
        renewal_started_s = now_s()
        self._last_renewal_attempt_s = renewal_started_s
        try:
            version = await self._write_lease(lease, lease.version)
        except StoreConflictError as exc:
            self._resolve_conflict(exc, renewal_started_s)
        except (StoreUnavailableError, StoreInDoubtError) as exc:
            self._is_store_unreachable = True
            if (
                not self.survives_store_outage
                and now_s() - self._last_renewed_s > self.lease_s
            ):
                self.step_down(f'the lease was not renewed: {exc}')
        else:
            self.lease = attrs.evolve(lease, version=version)
            self._last_renewed_s = renewal_started_s
            self._record_store_recovery()

    def _record_store_recovery(self) -> None:
        if self._is_store_unreachable:
            self._is_store_unreachable = False
            self.on_store_recovered()

    def _resolve_conflict(
        self, exc: StoreConflictError, renewal_started_s: float
    ) -> None:
        found_lease = _find_lease(exc.rows)
        if found_lease is not None and found_lease.nonce == self.nonce:
            # The store's answer to an earlier renewal was lost.
            self.lease = found_lease
            self._last_renewed_s = renewal_started_s
            return
        self.step_down('another holder was elected')
        self._apply_lease_row(found_lease)

    async def _check_lease_row(self, offered_by: str = '') -> None:
        try:
            answer = await self.store.read(LEASE_ROW.table)
        except PlatformError:
            # The table followers log a store outage.
            await self.ask_other_node()
            return
        found_lease = _find_lease(
            row for row in answer.rows if row.name == LEASE_ROW
        )
        self._apply_lease_row(found_lease)
        self.on_table_rows(answer.rows)
        is_offered = (
            found_lease is not None
            and bool(offered_by)
            and found_lease.nonce == offered_by
        )
        is_available = (
            not self.has_holder_contact() and self._is_lease_expired()
        )
        if self.is_candidate and (is_offered or is_available):
            await self._acquire_lease(first_version(answer.version))

    def _is_lease_expired(self) -> bool:
        lease = self.lease
        if lease is None or lease.is_free or lease.holder == self.name:
            return True
        return now_s() - self._last_renewal_seen_s > self.lease_s

    def _apply_lease_row(self, found_lease: Lease | None) -> None:
        known_lease = self.lease
        is_older = (
            known_lease is not None
            and found_lease is not None
            and found_lease.version <= known_lease.version
        )
        if is_older:
            return
        self.lease = found_lease
        self._last_renewal_seen_s = now_s()
        if found_lease is not None and (
            known_lease is None or known_lease.nonce != found_lease.nonce
        ):
            log_event(
                Event.HOLDER_BELIEVED,
                holder=found_lease.holder,
                fence=found_lease.fence,
                row=found_lease.version,
            )

    async def _acquire_lease(self, era_start: int) -> None:
        """Acquire the lease; era_start is below all versions of this era.

        A store that returned from an older copy may have lost the row, and
        with it the fencing number of the last holder.
        """
        known_lease = self.lease
        version = 0 if known_lease is None else known_lease.version
        new_lease = Lease(
            self.name,
            self.address,
            self.nonce,
            fence=max(version, era_start) + 1,
        )
        write_started_s = now_s()
        try:
            written_version = await self._write_lease(new_lease, version)
        except StoreConflictError as exc:
            self._apply_lease_row(_find_lease(exc.rows))
            return
        except PlatformError:
            return  # The next check shows whether the write took effect.
        self.lease = attrs.evolve(new_lease, version=written_version)
        self._last_renewed_s = write_started_s
        self._last_renewal_attempt_s = write_started_s
        # The last holder may have sent orders until its lease expired.
        self._orders_allowed_from_s = (
            now_s() + self.takeover_delay_s if known_lease else 0
        )
        previous_holder = '' if known_lease is None else known_lease.holder
        self.is_holder = True
        self.has_predecessor = known_lease is not None
        log_event(
            Event.LEASE_TAKEN,
            fence=new_lease.fence,
            row=written_version,
            previous=previous_holder,
            silent_s=now_s() - self._last_renewal_seen_s if known_lease else 0,
        )
        self.on_acquired(self.lease, previous_holder)

    async def _write_lease(self, lease: Lease, version: int) -> int:
        content = json.dumps({
            'holder': lease.holder,
            'address': lease.address,
            'nonce': lease.nonce,
            'fence': lease.fence,
            'members': lease.members,
        }).encode()
        write_started_s = now_s()
        # After a failed write, rows are left out: the store may have rejected
        # them, and that must not cost the lease.
        omits_pending_rows = self._omits_pending_rows
        pending_rows = () if omits_pending_rows else self.pending_rows()
        self._omits_pending_rows = bool(pending_rows)
        written_version = await self.store.commit(
            [RowNeed(LEASE_ROW, version)],
            [RowChange(LEASE_ROW, content), *pending_rows],
        )
        self._omits_pending_rows = False
        if not omits_pending_rows:
            self.on_rows_saved(write_started_s)
        return written_version


def _is_preferred(candidate_rank: int) -> bool:
    return candidate_rank < PREFERRED_CANDIDATES


def _find_lease(rows: 'object') -> Lease | None:
    for row in rows:  # type: ignore[attr-defined]
        if isinstance(row, StoredRow) and row.content is not None:
            return _decode_lease(row.version, row.content)
    return None


def _decode_lease(version: int, content: bytes) -> Lease:
    """Return the lease of a row; a free one if it can't be decoded.

    Unknown fields are ignored: later versions of the program may write them.
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
