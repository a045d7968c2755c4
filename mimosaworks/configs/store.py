"""The configuration's versions in the platform's table and object store."""

import contextlib
import json
import secrets
from collections.abc import Mapping, Sequence

import attrs

from mimosaworks.configs.entry import (
    LogEntry,
    apply_entries,
    dump_entries,
    load_entries,
    snapshot_of,
)
from mimosaworks.configs.errors import ConfigConflictError
from mimosaworks.entities import Catalogue, Change, change_from_dict
from mimosaworks.errors import (
    PlatformError,
    StoreConflictError,
    StoreInDoubtError,
    StoreUnavailableError,
)
from mimosaworks.platform import (
    ObjectClient,
    Row,
    RowAssert,
    RowWrite,
    TableClient,
)

HEAD_KEY = 'config/newest'
LOG_PREFIX = 'config/log/'
SNAPSHOT_PREFIX = 'config/snapshots/'
VERSION_DIGITS = 12
SNAPSHOT_EVERY = 64  # versions
READ_BATCH = 256  # log rows in one read
IN_DOUBT_TRIES = 4  # commits of one change before the doubt is reported


def log_key(version: int) -> str:
    """Return the key of a version's log row."""
    return _numbered(LOG_PREFIX, version)


def head_version(rows: Mapping[str, Row]) -> int:
    """Return the version that the head row holds, 0 without a head row."""
    head = rows.get(HEAD_KEY)
    if head is None:
        return 0
    return int(json.loads(head.content)['version'])


@attrs.define
class ConfigStore:
    """Reads and appends versions of the configuration."""

    table: TableClient
    object_client: ObjectClient

    async def load(self, since: Catalogue) -> Catalogue:
        """Return the newest configuration, never one older than since.

        Raises StoreUnavailableError.
        """
        rows = await self.table.read([HEAD_KEY])
        newer, _ = await self.load_version(since, head_version(rows))
        return newer

    async def load_version(
        self, since: Catalogue, version: int
    ) -> tuple[Catalogue, tuple[LogEntry, ...]]:
        """Return the configuration at a version or later, and the last steps.

        The steps are the log entries that were read, those in a snapshot
        left out. Raises StoreUnavailableError.
        """
        base = version - version % SNAPSHOT_EVERY
        if base > since.version:
            content = await self.object_client.get(_snapshot_name(base))
            if content is not None:
                since = apply_entries(since, load_entries(content.decode()))
        entries: list[LogEntry] = []
        while since.version < version:
            first = since.version + 1
            entries += await self._read_log(first, version)
            since = apply_entries(since, entries)
            if since.version < first:
                raise PlatformError(f'{log_key(first)} is missing')
        return (since, tuple(entries))

    async def append(
        self, base_version: int, changes: Sequence[Change], author: str
    ) -> int:
        """Commit the changes as the version after base_version; return it.

        Raises ConfigConflictError, which holds the version that won;
        StoreUnavailableError when nothing was written; StoreInDoubtError
        when it stays unknown whether the change was written.
        """
        rows = await self.table.read([HEAD_KEY])
        if head_version(rows) != base_version:
            raise ConfigConflictError(head_version(rows))
        head = rows.get(HEAD_KEY)
        version = base_version + 1
        nonce = secrets.token_hex(8)
        await self._commit(
            RowAssert(HEAD_KEY, head.version if head else 0),
            _writes(version, nonce, changes, author),
            nonce,
        )
        if version % SNAPSHOT_EVERY == 0:
            # A missing snapshot only makes a later load read more log rows.
            with contextlib.suppress(PlatformError):
                await self._put_snapshot(version)
        return version

    async def _commit(
        self, need: RowAssert, writes: Sequence[RowWrite], nonce: str
    ) -> None:
        # The same commit is sent again while its outcome is unknown: a lost
        # one can no longer take effect once another one has moved the head.
        tries = 0
        while tries < IN_DOUBT_TRIES:
            if await self._is_written(need, writes, nonce, tries > 0):
                return
            tries += 1
        raise StoreInDoubtError(f'{writes[1].key}: outcome unknown')

    async def _is_written(
        self,
        need: RowAssert,
        writes: Sequence[RowWrite],
        nonce: str,
        is_in_doubt: bool,
    ) -> bool:
        try:
            await self.table.commit([need], writes)
        except StoreInDoubtError:
            return False
        except StoreConflictError:
            await self._check_winner(writes[1].key, nonce)
        except StoreUnavailableError as exc:
            # A refusal says nothing about an earlier try in doubt.
            if is_in_doubt:
                raise StoreInDoubtError(str(exc)) from exc
            raise
        return True

    async def _check_winner(self, key: str, nonce: str) -> None:
        try:
            rows = await self.table.read([HEAD_KEY, key])
        except PlatformError as exc:
            raise StoreInDoubtError(f'{key}: outcome unknown') from exc
        row = rows.get(key)
        if row is None or json.loads(row.content)['nonce'] != nonce:
            raise ConfigConflictError(head_version(rows))

    async def _read_log(self, first: int, last: int) -> list[LogEntry]:
        count = min(last + 1 - first, READ_BATCH)
        keys = [log_key(first + number) for number in range(count)]
        return _entries(await self.table.read(keys))

    async def _put_snapshot(self, version: int) -> None:
        catalogue, _ = await self.load_version(Catalogue(), version)
        content = dump_entries([snapshot_of(catalogue)])
        await self.object_client.put(_snapshot_name(version), content.encode())


def _snapshot_name(version: int) -> str:
    return _numbered(SNAPSHOT_PREFIX, version)


def _numbered(prefix: str, version: int) -> str:
    digits = str(version).zfill(VERSION_DIGITS)
    return f'{prefix}{digits}'


def _entries(rows: Mapping[str, Row]) -> list[LogEntry]:
    return [_entry(rows[key]) for key in sorted(rows)]


def _entry(row: Row) -> LogEntry:
    version = int(row.key.rpartition('/')[2])
    changes = json.loads(row.content)['changes']
    return LogEntry(version, tuple(map(change_from_dict, changes)))


def _writes(
    version: int, nonce: str, changes: Sequence[Change], author: str
) -> list[RowWrite]:
    head = {'version': version, 'nonce': nonce}
    entry = {
        'changes': [change.to_dict() for change in changes],
        'nonce': nonce,
        'author': author,
    }
    return [
        RowWrite(HEAD_KEY, json.dumps(head)),
        RowWrite(log_key(version), json.dumps(entry)),
    ]
