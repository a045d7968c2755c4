"""Reads and commits a shard's rows for its placer."""

import contextlib

import attrs

from mimosaworks.clock import now_s
from mimosaworks.errors import (
    PlatformError,
    StoreConflictError,
    StoreInDoubtError,
)
from mimosaworks.placement.shard_commit import intent_key_prefix, lease_row_key
from mimosaworks.placement.shard_placer import ShardPlacer
from mimosaworks.platform import TableClient

STANDBY_READ_INTERVAL_S = 0.5


@attrs.define
class ShardWriter:
    """Makes one table call at a time, so that its own writes never overlap."""

    table_client: TableClient
    placer: ShardPlacer
    last_read_s: float = 0
    is_read_due: bool = True

    async def sync_rows(self) -> None:
        """Read if the state is in doubt, then commit what is due."""
        try:
            await self._read_if_due()
            await self._commit_if_due()
        except (StoreInDoubtError, StoreConflictError):
            self.is_read_due = True
        except PlatformError:
            self.is_read_due = not self.placer.is_holder

    async def release_lease(self) -> None:
        """Give the lease up, so that another placer needn't wait for its end.

        Without an answer from the table it lapses.
        """
        commit = self.placer.prepare_release(now_s())
        if commit is not None:
            with contextlib.suppress(PlatformError):
                await self.table_client.commit(
                    commit.row_asserts(), commit.row_writes()
                )

    async def _read_if_due(self) -> None:
        if not self.is_read_due and not self._is_standby_read_due():
            return
        shard = self.placer.shard
        prefixes = [intent_key_prefix(shard)]
        rows = await self.table_client.read([lease_row_key(shard)], prefixes)
        self.last_read_s = now_s()
        self.placer.apply_rows(rows, self.last_read_s)
        self.is_read_due = False

    def _is_standby_read_due(self) -> bool:
        is_old = now_s() - self.last_read_s >= STANDBY_READ_INTERVAL_S
        return is_old and not self.placer.is_holder

    async def _commit_if_due(self) -> None:
        commit = self.placer.next_commit(now_s())
        if commit is None:
            return
        version = await self.table_client.commit(
            commit.row_asserts(), commit.row_writes()
        )
        self.placer.confirm_commit(version, now_s())
        if not self.placer.is_holder:
            self.is_read_due = True
