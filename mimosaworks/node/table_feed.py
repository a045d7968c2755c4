"""Follows a table of the platform's store."""

import asyncio
import contextlib
import random
from collections.abc import Callable

import attrs

from mimosaworks.clock import now_s
from mimosaworks.errors import StoreHistoryError, StoreUnavailableError
from mimosaworks.events import Event, log_event
from mimosaworks.platform import RowsAnswer, StoreClient, StoredRow

# A connection that fell silent is noticed after it: before a change that is
# made right after an outage has to be in force. The store allows 30 s.
WAIT_S = 1.5
# Where the holder tells of new versions, which finds a silent connection.
LONG_WAIT_S = 25.0
MIN_FOLLOW_S = 0.5  # a slow store may take this long to answer
FIRST_PAUSE_S = 0.2
MAX_PAUSE_S = 0.8  # leaves time to act on what changed in an outage
Rows = dict[str, StoredRow]


@attrs.define(eq=False)
class TableFeed:
    """Keeps the rows of a table; calls on_rows with all after each change.

    gap_s is the pause between two reads, in which changes are merged; wait_s
    gives how long the store may wait for a change.
    max_pause_s bounds the pause between tries while the store fails. wanted,
    when given, pauses the feed. read_s is the time of the last
    answer; outage_end_s that of the last answer after a failure.
    """

    store: StoreClient
    table: str
    on_rows: Callable[[Rows], None]
    gap_s: float = 0
    wait_s: Callable[[], float] = lambda: WAIT_S
    max_pause_s: float = MAX_PAUSE_S
    wanted: Callable[[], bool] | None = None
    read_s: float = 0
    outage_end_s: float = 0
    is_lost: bool = False
    _rows: Rows = attrs.field(factory=dict)
    _version: int = 0
    _followed_s: float = 0
    _patience: asyncio.Timeout | None = None
    _pause_s: float = FIRST_PAUSE_S

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:  # noqa: WPS457 -- ends when the task is cancelled
            is_wanted = self.wanted is None or self.wanted()
            pause_s = await self._step() if is_wanted else FIRST_PAUSE_S
            await asyncio.sleep(pause_s)

    def ask_again(self) -> None:
        """End a wait for changes: its connection may have fallen silent."""
        is_old = now_s() - self._followed_s > MIN_FOLLOW_S
        if self._patience is not None and is_old:
            self._patience.reschedule(asyncio.get_running_loop().time())

    async def _step(self) -> float:
        """Read once; return the seconds until the next read."""
        try:
            await self._read()
        except StoreHistoryError:
            self._version = 0
            return 0
        except TimeoutError:
            return 0
        except StoreUnavailableError as exc:
            self._note_loss(exc)
            pause_s = random.uniform(self._pause_s / 2, self._pause_s)
            self._pause_s = min(self._pause_s * 2, self.max_pause_s)
            return pause_s
        self._note_answer()
        return self.gap_s

    async def _read(self) -> None:
        if self._version:
            answer = await self._follow()
            is_changed = bool(answer.rows)
        else:
            answer = await self.store.read(self.table)
            self._rows = {}
            is_changed = True
        self._version = max(self._version, answer.version)
        for row in answer.rows:
            self._apply(row)
        if is_changed:
            self.on_rows(self._rows)

    async def _follow(self) -> RowsAnswer:
        """Wait for changes; raises TimeoutError when told to ask again."""
        self._followed_s = now_s()
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self._end_wait)
            self._patience = await stack.enter_async_context(
                asyncio.timeout(None)
            )
            return await self.store.follow(
                self.table, self._version, self.wait_s()
            )

    def _end_wait(self) -> None:
        self._patience = None

    def _apply(self, row: StoredRow) -> None:
        if row.content is None:
            self._rows.pop(row.name.key, None)
        else:
            self._rows[row.name.key] = row

    def _note_loss(self, exc: StoreUnavailableError) -> None:
        if not self.is_lost:
            self.is_lost = True
            log_event(
                Event.DEPENDENCY_LOST,
                dependency=f'store:{self.table}',
                reason=str(exc),
                age_s=now_s() - self.read_s,
            )

    def _note_answer(self) -> None:
        now = now_s()
        if self.is_lost:
            self.is_lost = False
            self.outage_end_s = now
            log_event(
                Event.DEPENDENCY_REGAINED,
                dependency=f'store:{self.table}',
                away_s=now - self.read_s,
            )
        self._pause_s = FIRST_PAUSE_S
        self.read_s = now
