"""Following a table through an outage of the store."""

import asyncio

import attrs

from mimosaworks.clock import now_s
from mimosaworks.errors import StoreHistoryError, StoreUnavailableError
from mimosaworks.node.table_follower import (
    MIN_FOLLOW_AGE_S,
    Rows,
    TableFollower,
)
from mimosaworks.platform import RowName, RowsAnswer, StoredRow


@attrs.define(eq=False)
class ScriptedStore:
    """Fails while it is down; forgets its history when told to."""

    rows: tuple[StoredRow, ...]
    is_down: bool = False
    has_forgotten: bool = False
    reads: int = 0
    tries: int = 0

    async def read(self, table: str) -> RowsAnswer:
        """Return all rows."""
        self._check()
        self.reads += 1
        return RowsAnswer(self.rows, 5, 5)

    async def follow(self, table: str, after: int, wait_s: float) -> RowsAnswer:
        """Return no change."""
        self._check()
        await asyncio.sleep(0)
        if self.has_forgotten:
            self.has_forgotten = False
            raise StoreHistoryError('gone')
        return RowsAnswer((), after, after)

    def _check(self) -> None:
        self.tries += 1
        if self.is_down:
            raise StoreUnavailableError('down')


def make(store: ScriptedStore, seen: list[Rows]) -> TableFollower:
    return TableFollower(
        store,  # type: ignore[arg-type]
        'servers',
        seen.append,
        read_interval_s=0.01,
        max_retry_pause_s=0.1,
    )


async def run_for(feed: TableFollower, duration_s: float) -> None:
    task = asyncio.create_task(feed.run())
    await asyncio.sleep(duration_s)
    task.cancel()


ROW = StoredRow(RowName('servers', 't'), 3, b'{}')


async def test_a_feed_tries_often_enough_to_see_what_changed_meanwhile() -> (
    None
):
    # A target that began to leave in the outage must be known in time.
    store = ScriptedStore((ROW,), is_down=True)
    seen: list[Rows] = []
    feed = make(store, seen)
    await run_for(feed, 1.0)
    assert store.tries >= 8
    assert feed.is_store_lost
    assert not seen
    store.is_down = False
    await run_for(feed, 0.3)
    assert set(seen[-1]) == {'t'}
    assert not feed.is_store_lost
    assert feed.outage_end_s > 0


async def test_a_forgotten_history_is_read_whole_again() -> None:
    store = ScriptedStore((ROW,))
    seen: list[Rows] = []
    feed = make(store, seen)
    await run_for(feed, 0.1)
    store.has_forgotten = True
    await run_for(feed, 0.1)
    assert store.reads == 2
    assert len(seen) == 2


@attrs.define(eq=False)
class SilentStore(ScriptedStore):
    """Never answers a wait for changes, as on a connection that is dead."""

    async def follow(self, table: str, after: int, wait_s: float) -> RowsAnswer:
        """Wait for ever."""
        self._check()
        await asyncio.Event().wait()
        raise AssertionError


async def test_a_feed_on_a_silent_connection_can_be_told_to_ask_again() -> None:
    store = SilentStore((ROW,))
    feed = make(store, [])
    task = asyncio.create_task(feed.run())
    await asyncio.sleep(0.1)
    assert store.tries == 2
    feed.restart_follow()
    await asyncio.sleep(0.1)
    # A store that is slow to answer is left the time to do so.
    assert store.tries == 2
    await asyncio.sleep(MIN_FOLLOW_AGE_S)
    feed.restart_follow()
    await asyncio.sleep(0.1)
    task.cancel()
    assert store.tries == 3
    assert not feed.is_store_lost


@attrs.define(eq=False)
class LingeringStore(ScriptedStore):
    """Never answers, and takes some time to give up a connection."""

    async def follow(self, table: str, after: int, wait_s: float) -> RowsAnswer:
        """Wait for ever."""
        self._check()
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            await asyncio.sleep(MIN_FOLLOW_AGE_S)
            raise
        raise AssertionError


# Guards against a node that ends by itself when it is told twice, by a new
# holder and by a store that is back, to give up the same connection.
async def test_a_feed_can_be_told_to_ask_again_while_it_gives_up() -> None:
    store = LingeringStore((ROW,))
    feed = make(store, [])
    task = asyncio.create_task(feed.run())
    await asyncio.sleep(2 * MIN_FOLLOW_AGE_S)
    feed.restart_follow()
    await asyncio.sleep(0.1)
    feed.restart_follow()
    await asyncio.sleep(2 * MIN_FOLLOW_AGE_S)
    task.cancel()
    assert store.tries > 2


@attrs.define(eq=False)
class SlowStore(ScriptedStore):
    """Answers with a change some time after it was asked."""

    delay_s: float = 0
    waits: list[float] = attrs.field(factory=list)

    async def follow(self, table: str, after: int, wait_s: float) -> RowsAnswer:
        """Return a row after a while."""
        self._check()
        self.waits.append(wait_s)
        await asyncio.sleep(self.delay_s)
        return RowsAnswer(self.rows, after + 1, after + 1)


# Guards against a view that counts as younger than what the store answered:
# with a slow store its age began with the answer.
async def test_the_age_of_a_view_counts_from_the_question() -> None:
    store = SlowStore((ROW,), delay_s=0.3)
    feed = make(store, [])
    known: list[tuple[float, float]] = []
    feed.on_answer = lambda as_of_s: known.append((now_s(), as_of_s))
    await run_for(feed, 0.5)
    answered_s, as_of_s = known[1]
    age_s = answered_s - as_of_s
    assert age_s >= store.delay_s


# Guards against a store that counts as lost for the length of a long poll
# after it answers again.
async def test_the_first_read_after_a_loss_waits_for_no_change() -> None:
    store = SlowStore((ROW,))
    feed = make(store, [])
    await run_for(feed, 0.05)
    assert store.waits[-1] > 0
    store.is_down = True
    await run_for(feed, 0.1)
    store.is_down = False
    before = len(store.waits)
    await run_for(feed, 0.3)
    assert not store.waits[before]
    assert store.waits[-1] > 0
    assert not feed.is_store_lost
