"""The product's own rows in the platform's store."""

from collections.abc import Sequence

import attrs

from mimosaworks.errors import StoreUnavailableError
from mimosaworks.platform.key_range import KeyRange, pick_keys
from mimosaworks.platform.row import Row, RowAssert, RowWrite
from mimosaworks.platform.store import StoreClient
from mimosaworks.platform.stored_rows import (
    RowChange,
    RowName,
    RowNeed,
    RowsAnswer,
)

OWN_TABLE = 'mimosaworks-rows'
# Pages of one answer may be of different moments; then all are read again.
PAGED_READ_TRIES = 5


@attrs.define
class TableClient:
    """Reads and commits rows of JSON text by key."""

    store: StoreClient

    async def read(
        self, keys: Sequence[str] = (), prefixes: Sequence[str] = ()
    ) -> dict[str, Row]:
        """Return the rows with these keys or key prefixes, by key.

        All are of one moment: the shortest span that holds them is read at
        once, so that keys that are read together should sort close by.
        Raises StoreUnavailableError.
        """
        if not keys and not prefixes:
            return {}
        answer = await self._read_span(KeyRange.covering(keys, prefixes))
        found = {
            row.name.key: Row(row.name.key, row.content.decode(), row.version)
            for row in answer.rows
            if row.content is not None
        }
        return {key: found[key] for key in pick_keys(found, keys, prefixes)}

    async def commit(
        self, asserts: Sequence[RowAssert], writes: Sequence[RowWrite]
    ) -> int:
        """Write all rows if all asserts hold; return the commit's version.

        Raises StoreConflictError and StoreUnavailableError when nothing was
        written, StoreInDoubtError when that is unknown.
        """
        needs = [RowNeed(_name(need.key), need.version) for need in asserts]
        return await self.store.commit(needs, list(map(_change, writes)))

    async def _read_span(self, span: KeyRange) -> RowsAnswer:
        tries = PAGED_READ_TRIES
        while tries:
            tries -= 1
            answer = await self.store.read(OWN_TABLE, span=span)
            if answer.version == answer.newest_version:
                return answer
        raise StoreUnavailableError('store: rows change while they are read')


def _name(key: str) -> RowName:
    return RowName(OWN_TABLE, key)


def _change(write: RowWrite) -> RowChange:
    content = None if write.content is None else write.content.encode()
    return RowChange(_name(write.key), content)
