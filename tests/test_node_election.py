"""The lease: taken, renewed, lost and given back, with a store in memory."""

import asyncio
from collections.abc import Sequence
from typing import Any

import attrs
import pytest

from mimosaworks.errors import (
    PlatformError,
    StoreConflictError,
    StoreInDoubtError,
    StoreUnavailableError,
)
from mimosaworks.node import election as module
from mimosaworks.node.election import LEASE_ROW, Election, Lease
from mimosaworks.platform import (
    RowChange,
    RowName,
    RowNeed,
    RowsAnswer,
    StoredRow,
)
from tests.node_clock import Clock, set_clock


@attrs.define(eq=False)
class MemoryStore:
    """Holds the lease row; failure is raised by the next calls.

    others are the rows that were written with the lease last.
    """

    version: int = 0
    content: bytes | None = None
    failure: PlatformError | None = None
    loses_answer: bool = False
    rejects_rows: bool = False
    others: list[RowName] = attrs.field(factory=list)

    async def read(self, table: str) -> RowsAnswer:
        """Return the row if there is one."""
        assert table == LEASE_ROW.table
        if self.failure is not None:
            raise self.failure
        rows = () if self.content is None else (self._row(),)
        return RowsAnswer(rows, self.version, self.version)

    async def commit(
        self, needs: Sequence[RowNeed], changes: Sequence[RowChange]
    ) -> int:
        """Write the row if its version is the expected one."""
        if self.failure is not None:
            raise self.failure
        if needs[0].version != self.version:
            raise StoreConflictError('conflict', (self._row(),))
        if self.rejects_rows and len(changes) > 1:
            raise StoreUnavailableError('status 413')
        self.version += 1
        self.content = changes[0].content
        self.others = [change.name for change in changes[1:]]
        if self.loses_answer:
            self.loses_answer = False
            raise StoreInDoubtError('no answer')
        return self.version

    def _row(self) -> StoredRow:
        return StoredRow(LEASE_ROW, self.version, self.content)


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    return set_clock(monkeypatch, module)


def make(store: MemoryStore, name: str, **fields: Any) -> Election:
    return Election(
        store=store,  # type: ignore[arg-type]
        name=name,
        address=f'{name}:1',
        nonce=fields.pop('nonce', f'nonce-{name}'),
        has_holder_contact=bool,
        on_acquired=lambda lease, previous: None,
        on_lost=lambda: None,
        on_store_recovered=fields.pop('on_store_recovered', lambda: None),
        survives_store_outage=fields.pop('survives_store_outage', True),
        count_members=lambda: 2,
        candidate_rank=fields.pop('candidate_rank', int),
        start_delay_s=0,
        takeover_delay_s=fields.pop('takeover_delay_s', 0),
        **fields,
    )


def turn(election: Election) -> None:
    """Let a node look at the row once, or renew it."""
    step = (
        election._renew_lease
        if election.is_holder
        else election._check_lease_row
    )
    asyncio.run(step())


def test_one_of_two_takes_the_lease(clock: Clock) -> None:
    store = MemoryStore()
    first, second = make(store, 'a'), make(store, 'b')
    turn(first)
    turn(second)
    assert (first.is_holder, second.is_holder) == (True, False)
    assert second.lease is not None
    assert second.lease.holder == 'a'


def test_the_lease_passes_on_when_it_is_not_renewed(clock: Clock) -> None:
    store = MemoryStore()
    first, second = make(store, 'a'), make(store, 'b')
    turn(first)
    turn(second)
    clock.now += first.lease_s - 0.1
    turn(second)
    assert not second.is_holder
    clock.now += 0.2
    turn(second)
    assert second.is_holder
    assert first.lease is not None
    assert second.lease is not None
    assert second.lease.fence > first.lease.fence


def test_a_renewed_lease_is_not_taken(clock: Clock) -> None:
    store = MemoryStore()
    first, second = make(store, 'a'), make(store, 'b')
    for _ in range(5):
        turn(first)
        turn(second)
        clock.now += first.lease_s / 2
    assert first.is_holder
    assert not second.is_holder


def test_a_paused_holder_is_not_sure_and_steps_down(clock: Clock) -> None:
    store = MemoryStore()
    first, second = make(store, 'a'), make(store, 'b')
    turn(first)
    turn(second)
    clock.now += 10
    turn(second)
    assert second.is_holder
    assert not first.is_lease_verified()
    turn(first)
    assert not first.is_holder


def test_a_renewal_whose_answer_was_lost_keeps_the_lease(
    clock: Clock,
) -> None:
    store = MemoryStore()
    holder = make(store, 'a')
    turn(holder)
    store.loses_answer = True
    turn(holder)
    turn(holder)
    assert holder.is_holder
    assert holder.lease is not None
    assert holder.lease.version == store.version


@pytest.mark.parametrize('survives', [True, False])
def test_a_holder_without_the_store_goes_on_where_fences_are_checked(
    clock: Clock, survives: bool
) -> None:
    store = MemoryStore()
    holder = make(store, 'a', survives_store_outage=survives)
    turn(holder)
    store.failure = StoreUnavailableError('down')
    clock.now += holder.lease_s + 0.1
    turn(holder)
    assert holder.is_holder is survives


def test_orders_wait_where_targets_do_not_check_fences(clock: Clock) -> None:
    store = MemoryStore()
    first, second = make(store, 'a'), make(store, 'b', takeover_delay_s=3)
    turn(first)
    assert first.is_lease_verified()
    turn(second)
    clock.now += first.lease_s + 0.1
    turn(second)
    assert second.is_holder
    assert not second.is_lease_verified()
    for _ in range(4):
        clock.now += 0.8
        turn(second)
    assert second.is_lease_verified()


def test_a_freed_lease_is_taken_at_once(clock: Clock) -> None:
    store = MemoryStore()
    first, second = make(store, 'a'), make(store, 'b')
    turn(first)
    assert asyncio.run(first.release_lease())
    turn(second)
    assert second.is_holder


def test_a_restarted_process_takes_its_own_lease_at_once(
    clock: Clock,
) -> None:
    store = MemoryStore()
    turn(make(store, 'a'))
    again = make(store, 'a', nonce='other')
    turn(again)
    assert again.is_holder
    assert again.lease is not None
    assert again.lease.fence > 1


def test_a_notice_of_an_older_election_changes_nothing(clock: Clock) -> None:
    store = MemoryStore()
    node = make(store, 'a')
    node.apply_lease_notice(Lease('b', 'b:1', 'n', fence=9, version=9))
    node.apply_lease_notice(Lease('c', 'c:1', 'm', fence=4, version=12))
    assert node.lease is not None
    assert node.lease.holder == 'b'


async def test_a_strong_node_takes_a_lease_that_is_given_back() -> None:
    # All nodes learn of a planned stop within a beat; a weak one that took
    # the lease would be too slow for the others' first beats.
    store = MemoryStore()
    weak = make(store, 'weak', candidate_rank=lambda: 40)
    strong = make(store, 'strong')
    tasks = [asyncio.create_task(weak.run())]
    await asyncio.sleep(module.SLOW_LEASE_POLL_S / 4)
    assert not weak.is_holder
    tasks.append(asyncio.create_task(strong.run()))
    await asyncio.sleep(module.LEASE_POLL_S)
    assert strong.is_holder
    for task in tasks:
        task.cancel()


async def test_weak_nodes_take_the_lease_when_no_strong_one_does() -> None:
    store = MemoryStore()
    weak = make(store, 'weak', candidate_rank=lambda: 40)
    task = asyncio.create_task(weak.run())
    await asyncio.sleep(module.SLOW_LEASE_POLL_S * 2 + module.LEASE_POLL_S)
    assert weak.is_holder
    task.cancel()


def test_a_holder_tells_when_the_store_answers_again(clock: Clock) -> None:
    # What changed meanwhile is asked for at once: a wait for changes that
    # was sent in the outage may never be answered.
    store = MemoryStore()
    backs: list[float] = []
    holder = make(
        store, 'a', on_store_recovered=lambda: backs.append(clock.now)
    )
    turn(holder)
    turn(holder)
    assert not backs
    store.failure = StoreUnavailableError('down')
    turn(holder)
    turn(holder)
    assert not backs
    store.failure = None
    turn(holder)
    turn(holder)
    assert len(backs) == 1


ROW = RowChange(RowName('mimosaworks', 'more'), b'{}')


def test_rows_are_written_with_the_renewal_of_the_lease(clock: Clock) -> None:
    store = MemoryStore()
    saved: list[float] = []
    holder = make(
        store, 'a', pending_rows=lambda: (ROW,), on_rows_saved=saved.append
    )
    turn(holder)
    clock.now += 0.5
    turn(holder)
    assert store.others == [ROW.name]
    assert saved[-1] == clock.now


# Guards against a holder that can't renew its lease, as the store rejects a
# row that is written with it.
def test_a_row_that_the_store_rejects_does_not_cost_the_lease(
    clock: Clock,
) -> None:
    store = MemoryStore()
    saved: list[float] = []
    holder = make(
        store, 'a', pending_rows=lambda: (ROW,), on_rows_saved=saved.append
    )
    turn(holder)
    saved.clear()
    store.rejects_rows = True
    versions = []
    for _ in range(4):
        clock.now += 0.5
        turn(holder)
        versions.append(store.version)
    assert holder.is_holder
    assert versions == [1, 2, 2, 3]
    assert not saved


def test_a_look_at_the_lease_tells_of_the_other_rows(clock: Clock) -> None:
    store = MemoryStore()
    seen: list[tuple[StoredRow, ...]] = []
    turn(make(store, 'a'))
    turn(make(store, 'b', on_table_rows=seen.append))
    assert [row.name for row in seen[0]] == [LEASE_ROW]


# Guards against a later version of the program that ends all earlier nodes.
def test_a_lease_with_an_unknown_field_is_its_holders(clock: Clock) -> None:
    store = MemoryStore()
    first, second = make(store, 'a'), make(store, 'b')
    turn(first)
    assert store.content is not None
    store.content = store.content.replace(b'{', b'{"more": [1], ', 1)
    turn(second)
    assert not second.is_holder
    assert second.lease is not None
    assert second.lease.holder == 'a'


# Guards against nodes that the store refuses and that go on standalone since
# they missed the notice of the next holder.
def test_a_node_without_the_store_asks_another_for_the_lease(
    clock: Clock,
) -> None:
    store = MemoryStore(failure=StoreUnavailableError('status 503'))
    asked: list[float] = []

    async def ask() -> None:
        asked.append(clock.now)

    turn(make(store, 'a', ask_other_node=ask))
    assert asked


# Guards against two holders after a handover whose answer was lost.
def test_a_holder_steps_down_for_a_later_election(clock: Clock) -> None:
    store = MemoryStore()
    holder = make(store, 'a')
    turn(holder)
    holder.apply_lease_notice(Lease('b', 'b:1', 'nonce-b', fence=9, version=9))
    assert not holder.is_holder
    assert holder.lease is not None
    assert holder.lease.holder == 'b'


# Guards against a node that takes a lease which its holder no longer has.
@pytest.mark.parametrize('nonce', ['nonce-a', 'nonce-old', ''])
def test_an_offer_is_taken_only_from_the_holder(
    clock: Clock, nonce: str
) -> None:
    store = MemoryStore()
    holder = make(store, 'a')
    turn(holder)
    other = make(store, 'b')
    asyncio.run(other.accept_offer(nonce))
    assert other.is_holder is (nonce == 'nonce-a')
