"""Follows the changes of a table in the platform's store."""

import asyncio
import contextlib
import random
from collections.abc import Callable

import attrs

from mimosaworks.clock import now_s
from mimosaworks.errors import (
    StoreHistoryError,
    StoreReturnedError,
    StoreUnavailableError,
)
from mimosaworks.events import Event, log_event
from mimosaworks.node.interruptible_sleep import InterruptibleSleep
from mimosaworks.platform import RowsAnswer, StoreClient, StoredRow

# Detects a dead connection before a change that was made right after an outage
# has to be in force. The store allows 30 s.
FOLLOW_TIMEOUT_S = 1.5
# Used where the holder reports new versions, which reveals a dead connection.
LONG_FOLLOW_TIMEOUT_S = 25.0
# Waits of this age or less are not restarted: a slow store may take as long to
# answer.
MIN_FOLLOW_AGE_S = 0.5
FIRST_RETRY_PAUSE_S = 0.2
# Leaves time to act on what changed during an outage.
MAX_RETRY_PAUSE_S = 0.8
Rows = dict[str, StoredRow]


def _ignore_answer(_as_of_s: float) -> None:
    """Ignore as of when an answer is complete."""


@attrs.define(eq=False)
class TableFollower:
    """The rows of a store table; on_rows is called with all after each change.

    read_interval_s is the pause between two reads, in which changes are merged;
    follow_timeout_s returns how long the store may wait for a change.
    max_retry_pause_s bounds the pause between tries while the store fails.
    version is the store's at the last answer.
    is_needed, when given, suspends reading while it returns False. on_answer
    is called after each answer with the time as of which it is complete.
    last_answer_s is the time of the last answer; outage_end_s that of the last
    answer after a failure.
    """

    store: StoreClient
    table: str
    on_rows: Callable[[Rows], None]
    read_interval_s: float = 0
    follow_timeout_s: Callable[[], float] = lambda: FOLLOW_TIMEOUT_S
    max_retry_pause_s: float = MAX_RETRY_PAUSE_S
    is_needed: Callable[[], bool] | None = None
    on_answer: Callable[[float], None] = _ignore_answer
    last_answer_s: float = 0
    outage_end_s: float = 0
    is_store_lost: bool = False
    _rows: Rows = attrs.field(factory=dict)
    version: int = 0
    _catches_up: bool = False
    _follow_started_s: float = 0
    _follow_timeout: asyncio.Timeout | None = None
    _retry_pause_s: float = FIRST_RETRY_PAUSE_S
    _idle_pause: InterruptibleSleep = attrs.field(
        factory=lambda: InterruptibleSleep(0)
    )

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:  # noqa: WPS457 -- ends when the task is cancelled
            if self.is_needed is None or self.is_needed():
                pause_s = await self._read_once()
                await asyncio.sleep(pause_s)
            else:
                self._catches_up = True
                await self._idle_pause.sleep(FIRST_RETRY_PAUSE_S)

    def restart_follow(self) -> None:
        """Read again instead of waiting on a connection that may be dead.

        A follower that was not needed checks at once whether it is now.
        """
        self._idle_pause.wake()
        is_old = now_s() - self._follow_started_s > MIN_FOLLOW_AGE_S
        follow_timeout = self._follow_timeout
        # One that has expired, and whose wait has not ended yet, can't be set.
        if follow_timeout is None or follow_timeout.expired():
            return
        if is_old:
            follow_timeout.reschedule(asyncio.get_running_loop().time())

    async def _read_once(self) -> float:
        """Read once; return the seconds until the next read."""
        try:
            await self._read_rows()
        except StoreHistoryError as exc:
            self.version = 0
            if isinstance(exc, StoreReturnedError):
                # Rows may be missing that are written again, as after an
                # outage.
                self.outage_end_s = now_s()
            return 0
        except TimeoutError:
            return 0
        except StoreUnavailableError as exc:
            self._record_store_loss(exc)
            self._catches_up = True
            retry_pause_s = random.uniform(
                self._retry_pause_s / 2, self._retry_pause_s
            )
            self._retry_pause_s = min(
                self._retry_pause_s * 2, self.max_retry_pause_s
            )
            return retry_pause_s
        self._record_answer()
        return self.read_interval_s

    async def _read_rows(self) -> None:
        started_s = now_s()
        if self.version:
            # The answer shows at once whether the store is back.
            wait_s = 0 if self._catches_up else self.follow_timeout_s()
            answer = await self._follow_changes(wait_s)
            is_changed = bool(answer.rows)
        else:
            wait_s = 0
            answer = await self.store.read(self.table)
            self._rows = {}
            is_changed = True
        self._catches_up = False
        self.version = max(self.version, answer.version)
        for row in answer.rows:
            self._apply_row(row)
        if is_changed:
            self.on_rows(self._rows)
        self.on_answer(_as_of_s(started_s, wait_s, is_changed=is_changed))

    async def _follow_changes(self, wait_s: float) -> RowsAnswer:
        """Wait for changes; raises TimeoutError after restart_follow."""
        self._follow_started_s = now_s()
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self._clear_follow_timeout)
            self._follow_timeout = await stack.enter_async_context(
                asyncio.timeout(None)
            )
            return await self.store.follow(self.table, self.version, wait_s)

    def _clear_follow_timeout(self) -> None:
        self._follow_timeout = None

    def _apply_row(self, row: StoredRow) -> None:
        if row.content is None:
            self._rows.pop(row.name.key, None)
        else:
            self._rows[row.name.key] = row

    def _record_store_loss(self, exc: StoreUnavailableError) -> None:
        if not self.is_store_lost:
            self.is_store_lost = True
            log_event(
                Event.DEPENDENCY_LOST,
                dependency=f'store:{self.table}',
                reason=str(exc),
                age_s=now_s() - self.last_answer_s,
            )

    def _record_answer(self) -> None:
        now = now_s()
        if self.is_store_lost:
            self.is_store_lost = False
            self.outage_end_s = now
            log_event(
                Event.DEPENDENCY_REGAINED,
                dependency=f'store:{self.table}',
                away_s=now - self.last_answer_s,
            )
        self._retry_pause_s = FIRST_RETRY_PAUSE_S
        self.last_answer_s = now


def _as_of_s(started_s: float, wait_s: float, *, is_changed: bool) -> float:
    """Return the time up to which an answer certainly has all changes.

    The store answers without a change after wait_s, with one at any moment
    since the call was sent.
    """
    has_waited = not is_changed and now_s() >= started_s + wait_s
    return started_s + wait_s if has_waited else started_s
