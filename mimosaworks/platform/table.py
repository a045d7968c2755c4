"""Client of the platform's transactional table."""

from collections.abc import Sequence
from http import HTTPStatus
from typing import Any

import aiohttp
import attrs

from mimosaworks.errors import (
    StoreConflictError,
    StoreInDoubtError,
    StoreUnavailableError,
)
from mimosaworks.platform.row import Row, RowAssert, RowWrite


@attrs.define
class TableClient:
    """Reads and commits rows over HTTP; used by every program.

    base_url is the platform's address; timeout_s limits each call.
    """

    session: aiohttp.ClientSession
    base_url: str
    timeout_s: float = 2.0

    async def read(
        self, keys: Sequence[str] = (), prefixes: Sequence[str] = ()
    ) -> dict[str, Row]:
        """Return the rows with these keys or key prefixes, by key.

        Raises StoreUnavailableError.
        """
        ask = {'keys': list(keys), 'prefixes': list(prefixes)}
        try:
            reply = await self._post('/table/read', ask)
        except StoreInDoubtError as exc:
            raise StoreUnavailableError(str(exc)) from exc
        rows = reply['rows']
        return {
            row['key']: Row(row['key'], row['value'], row['version'])
            for row in rows
        }

    async def commit(
        self, asserts: Sequence[RowAssert], writes: Sequence[RowWrite]
    ) -> int:
        """Write all rows if all asserts hold; return the commit's version.

        Raises StoreConflictError and StoreUnavailableError when nothing was
        written, StoreInDoubtError when that is unknown.
        """
        ask = {
            'asserts': [
                {'key': need.key, 'version': need.version} for need in asserts
            ],
            'writes': [
                {'key': put.key, 'value': put.content} for put in writes
            ],
        }
        reply = await self._post('/table/commit', ask)
        return int(reply['version'])

    async def _post(self, path: str, ask: object) -> dict[str, Any]:
        limit = aiohttp.ClientTimeout(total=self.timeout_s)
        try:
            async with self.session.post(
                self.base_url + path, json=ask, timeout=limit
            ) as resp:
                return await _checked(resp)
        except aiohttp.ClientConnectorError as exc:
            raise StoreUnavailableError(f'table: {exc}') from exc
        except (TimeoutError, aiohttp.ClientError) as exc:
            raise StoreInDoubtError(f'table: no answer: {exc!r}') from exc


async def _checked(resp: aiohttp.ClientResponse) -> dict[str, Any]:
    if resp.status == HTTPStatus.CONFLICT:
        raise StoreConflictError(await resp.text())
    if resp.status != HTTPStatus.OK:
        raise StoreUnavailableError(f'table: status {resp.status}')
    reply: dict[str, Any] = await resp.json()
    return reply
