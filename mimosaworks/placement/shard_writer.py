"""Reads and commits a shard's rows for its placer."""

import contextlib

import attrs

from mimosaworks.clock import now_s
from mimosaworks.errors import (
    PlatformError,
    StoreConflictError,
    StoreInDoubtError,
)
from mimosaworks.placement.batch import intent_prefix, lease_key
from mimosaworks.placement.shard_placer import ShardPlacer
from mimosaworks.platform import TableClient

READ_INTERVAL_S = 0.5


@attrs.define
class ShardWriter:
    """Makes one table call at a time, so that no own writes cross."""

    table: TableClient
    placer: ShardPlacer
    read_s: float = 0
    is_read_due: bool = True

    async def step(self) -> None:
        """Read if the state is in doubt, then commit what is due."""
        try:
            await self._read_if_due()
            await self._commit_due()
        except (StoreInDoubtError, StoreConflictError):
            self.is_read_due = True
        except PlatformError:
            self.is_read_due = not self.placer.is_holder

    async def release(self) -> None:
        """Give the lease up, so that another placer needn't wait for its end.

        Without an answer from the table it lapses.
        """
        batch = self.placer.release(now_s())
        if batch is not None:
            with contextlib.suppress(PlatformError):
                await self.table.commit(batch.asserts(), batch.writes())

    async def _read_if_due(self) -> None:
        if not self.is_read_due and not self._is_look_due():
            return
        shard = self.placer.shard
        prefixes = [intent_prefix(shard)]
        rows = await self.table.read([lease_key(shard)], prefixes)
        self.read_s = now_s()
        self.placer.on_rows(rows, self.read_s)
        self.is_read_due = False

    def _is_look_due(self) -> bool:
        is_old = now_s() - self.read_s >= READ_INTERVAL_S
        return is_old and not self.placer.is_holder

    async def _commit_due(self) -> None:
        batch = self.placer.next_batch(now_s())
        if batch is None:
            return
        version = await self.table.commit(batch.asserts(), batch.writes())
        self.placer.on_committed(version, now_s())
        if not self.placer.is_holder:
            self.is_read_due = True
