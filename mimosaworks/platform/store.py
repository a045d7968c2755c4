"""Client of the platform's store: rows, their changes, and objects."""

import base64
import json
from collections.abc import Callable, Sequence
from http import HTTPStatus
from typing import Any

import aiohttp
import attrs

from mimosaworks.errors import (
    StoreConflictError,
    StoreHistoryError,
    StoreInDoubtError,
    StoreUnavailableError,
)
from mimosaworks.platform.boot import MS_PER_S
from mimosaworks.platform.stored_rows import (
    RowChange,
    RowName,
    RowNeed,
    RowsAnswer,
    StoredRow,
)

CALL_TIMEOUT_S = 2.0
_FEED_SLACK_S = 1.0


@attrs.define
class StoreClient:
    """Reads, changes and follows rows; used by every program.

    base_url is the store's address with its scheme. on_call is called with
    each call and what came of it.
    """

    session: aiohttp.ClientSession
    base_url: str
    on_call: Callable[[str, str], None]
    timeout_s: float = CALL_TIMEOUT_S

    async def read(self, table: str, part: str = '') -> RowsAnswer:
        """Return all rows of one part of a table, over as many pages.

        Raises StoreUnavailableError.
        """
        rows: list[StoredRow] = []
        start = ''
        while True:  # noqa: WPS457 -- ends with the last page
            params = {'table': table, 'part': part, 'from': start}
            reply = await self._read_page('/v1/rows-get', params)
            page = _rows(reply)
            rows.extend(page)
            if not reply.get('more-pages') or not page:
                return RowsAnswer(tuple(rows), reply['ver'])
            last = page[-1].name.key
            start = f'{last}\0'

    async def follow(self, table: str, after: int, wait_s: float) -> RowsAnswer:
        """Wait for rows of a table that changed after a version.

        Returns without rows when nothing changed in wait_s seconds. Raises
        StoreHistoryError when the changes are no longer known, and
        StoreUnavailableError.
        """
        params = {
            'table': table,
            'after': str(after),
            'wait-ms': str(int(wait_s * MS_PER_S)),
        }
        reply = await self._read_page(
            '/v1/rows-feed', params, wait_s + _FEED_SLACK_S
        )
        return RowsAnswer(_rows(reply), reply['ver'])

    async def commit(
        self, needs: Sequence[RowNeed], changes: Sequence[RowChange]
    ) -> int:
        """Make all changes if all needs hold; return the store's version.

        Raises StoreConflictError with the rows that differ and
        StoreUnavailableError when nothing was changed, StoreInDoubtError
        when that is unknown.
        """
        ask = {
            'expected': [
                {**_name(need.name), 'ver': need.version} for need in needs
            ],
            'put': [
                {**_name(change.name), 'value': _pack(change.content)}
                for change in changes
                if change.content is not None
            ],
            'remove': [
                _name(change.name)
                for change in changes
                if change.content is None
            ],
        }
        limit = aiohttp.ClientTimeout(total=self.timeout_s)
        url = f'{self.base_url}/v1/rows-tx'
        try:
            async with self.session.post(url, json=ask, timeout=limit) as resp:
                self.on_call('commit', str(resp.status))
                return await _committed(resp)
        except aiohttp.ClientConnectorError as exc:
            raise StoreUnavailableError(f'store: {exc}') from exc
        except (TimeoutError, aiohttp.ClientError) as exc:
            self.on_call('commit', 'unanswered')
            raise StoreInDoubtError(f'store: no answer: {exc!r}') from exc

    async def _read_page(
        self,
        path: str,
        params: dict[str, str],
        timeout_s: float | None = None,
    ) -> dict[str, Any]:
        limit = aiohttp.ClientTimeout(total=timeout_s or self.timeout_s)
        try:
            async with self.session.get(
                self.base_url + path, params=params, timeout=limit
            ) as resp:
                self.on_call('read', str(resp.status))
                return await _read(resp)
        except (TimeoutError, aiohttp.ClientError) as exc:
            self.on_call('read', 'unanswered')
            raise StoreUnavailableError(f'store: {exc!r}') from exc


async def _read(resp: aiohttp.ClientResponse) -> dict[str, Any]:
    if resp.status == HTTPStatus.GONE:
        raise StoreHistoryError('store: the history is no longer available')
    if resp.status != HTTPStatus.OK:
        raise StoreUnavailableError(f'store: status {resp.status}')
    return await _parsed(resp)


async def _committed(resp: aiohttp.ClientResponse) -> int:
    if resp.status == HTTPStatus.PRECONDITION_FAILED:
        rows = _rows(await _parsed(resp))
        raise StoreConflictError('store: a row has another version', rows)
    if resp.status != HTTPStatus.OK:
        raise StoreUnavailableError(f'store: status {resp.status}')
    reply = await _parsed(resp)
    return int(reply['ver'])


async def _parsed(resp: aiohttp.ClientResponse) -> dict[str, Any]:
    content = await resp.read()
    try:
        reply = json.loads(content)
    except ValueError as exc:
        raise aiohttp.ClientPayloadError(f'not JSON: {exc}') from exc
    if not isinstance(reply, dict):
        raise aiohttp.ClientPayloadError('not a table')
    return reply


def _rows(reply: dict[str, Any]) -> tuple[StoredRow, ...]:
    return tuple(map(_row, reply.get('rows', ())))


def _row(fields: dict[str, Any]) -> StoredRow:
    part = fields.get('part', '')
    name = RowName(fields['table'], fields['key'], part)
    # A row that a commit needs and that does not exist has no value.
    version = fields.get('ver', 0)
    if fields.get('removed') or not version:
        return StoredRow(name, version, None)
    content = base64.b64decode(fields.get('value', ''))
    return StoredRow(name, version, content)


def _name(name: RowName) -> dict[str, str]:
    return {'table': name.table, 'part': name.part, 'key': name.key}


def _pack(content: bytes) -> str:
    return base64.b64encode(content).decode('ascii')
