"""Client of the platform's store: rows, their changes, and objects."""

import base64
import json
from collections.abc import Callable, Sequence
from http import HTTPStatus
from typing import Any

import aiohttp
import attrs
from yarl import URL

from mimosaworks.body_framing import Framing, read_framing, require_framing
from mimosaworks.bounded_answers import OversizedError, log_cut
from mimosaworks.errors import (
    StoreConflictError,
    StoreHistoryError,
    StoreInDoubtError,
    StoreReturnedError,
    StoreUnavailableError,
)
from mimosaworks.platform.boot import MS_PER_S
from mimosaworks.platform.key_range import ALL_KEYS, KeyRange
from mimosaworks.platform.stored_rows import (
    RowChange,
    RowName,
    RowNeed,
    RowsAnswer,
    StoredRow,
)
from mimosaworks.store_era import StoreEra, era_of, stored_version, with_era

CALL_TIMEOUT_S = 2.0
_FEED_SLACK_S = 1.0
_ERA = 'Store-Era'


def _ignore_call(_call: str, _result: str) -> None:
    """Count no calls."""


@attrs.define
class StoreClient:
    """Reads, changes and follows rows and objects; used by every program.

    base_url is the store's address with its scheme. on_call is called with
    each call and what came of it. Versions in calls and answers have the
    store's era in their upper part.
    """

    session: aiohttp.ClientSession
    base_url: str
    on_call: Callable[[str, str], None] = _ignore_call
    timeout_s: float = CALL_TIMEOUT_S
    era: StoreEra = attrs.field(factory=StoreEra)

    async def read(
        self,
        table: str,
        part: str = '',
        span: KeyRange = ALL_KEYS,
    ) -> RowsAnswer:
        """Return the rows of one part of a table, over as many pages.

        The answer's version is that of the first page, so that a feed from
        there misses no change of it. Raises StoreUnavailableError.
        """
        rows: list[StoredRow] = []
        versions: list[int] = []
        while True:  # noqa: WPS457 -- ends with the last page
            reply, era = await self._read_json(
                '/v1/rows-get', _span_params(table, part, span)
            )
            page = _rows(reply, era)
            rows.extend(page)
            versions.append(with_era(era, reply['ver']))
            if era != era_of(versions[0]):
                raise StoreUnavailableError('store: it returned meanwhile')
            if not reply.get('more-pages') or not page:
                return RowsAnswer(tuple(rows), versions[0], versions[-1])
            span = span.after(page[-1].name.key)

    async def follow(self, table: str, after: int, wait_s: float) -> RowsAnswer:
        """Wait for rows of a table that changed after a version.

        Returns without rows when nothing changed in wait_s seconds. Raises
        StoreHistoryError when the changes are no longer known,
        StoreReturnedError when the store returned from an older copy since,
        and StoreUnavailableError.
        """
        if not self.era.is_current(after):
            raise StoreReturnedError('store: the version is of an earlier era')
        params = {
            'table': table,
            'after': str(stored_version(after)),
            'wait-ms': str(int(wait_s * MS_PER_S)),
        }
        try:
            reply, era = await self._read_json(
                '/v1/rows-feed', params, wait_s + _FEED_SLACK_S
            )
        except StoreHistoryError as exc:
            if self.era.is_current(after):
                raise
            raise StoreReturnedError(str(exc)) from exc
        if era != era_of(after):
            raise StoreReturnedError('store: it returned from an older copy')
        version = with_era(era, reply['ver'])
        return RowsAnswer(_rows(reply, era), version, version)

    async def commit(
        self, needs: Sequence[RowNeed], changes: Sequence[RowChange]
    ) -> int:
        """Make all changes if all needs hold; return the store's version.

        Raises StoreConflictError with the rows that differ and
        StoreUnavailableError when nothing was changed, StoreInDoubtError
        when that is unknown.
        """
        await self._check_needs_are_current(needs)
        ask = json.dumps(_transaction(needs, changes)).encode()
        headers = {'Content-Type': 'application/json'}
        answer = await self._call(
            'POST', '/v1/rows-tx', 'commit', data=ask, headers=headers
        )
        if answer.status == HTTPStatus.PRECONDITION_FAILED:
            rows = _rows(_parsed(answer), answer.era)
            raise StoreConflictError('store: a row has another version', rows)
        _check_done(answer)
        return with_era(answer.era, int(_parsed(answer)['ver']))

    async def get_object(self, name: str, timeout_s: float) -> bytes | None:
        """Return an object's bytes, or None; raises StoreUnavailableError."""
        path = f'/v1/blob-get/{name}'
        answer = await self._read(path, timeout_s=timeout_s)
        if answer.status == HTTPStatus.NOT_FOUND:
            return None
        _check_done(answer)
        require_framing(name, answer.framing)
        return answer.content

    async def put_object(
        self, name: str, content: bytes, timeout_s: float
    ) -> None:
        """Store an object; raises StoreUnavailableError or in-doubt."""
        path = f'/v1/blob-put/{name}'
        answer = await self._call(
            'PUT', path, 'put', data=content, timeout_s=timeout_s
        )
        _check_done(answer)

    async def _check_needs_are_current(self, needs: Sequence[RowNeed]) -> None:
        """Raise StoreConflictError for versions of an earlier era.

        The store may have given the same ones out again, for other content.
        """
        if all(
            not need.version or self.era.is_current(need.version)
            for need in needs
        ):
            return
        name = needs[0].name
        answer = await self.read(name.table, name.part)
        needed_names = {need.name for need in needs}
        raise StoreConflictError(
            'store: a version is of an earlier era',
            tuple(row for row in answer.rows if row.name in needed_names),
        )

    async def _read_json(
        self,
        path: str,
        params: dict[str, str],
        timeout_s: float | None = None,
    ) -> tuple[dict[str, Any], int]:
        answer = await self._read(path, params=params, timeout_s=timeout_s)
        if answer.status == HTTPStatus.GONE:
            raise StoreHistoryError('store: the history is not available')
        _check_done(answer)
        try:
            return (_parsed(answer), answer.era)
        except StoreInDoubtError as exc:
            raise StoreUnavailableError(str(exc)) from exc

    async def _read(self, path: str, **options: Any) -> '_Answer':
        """Call without an effect: no answer is no doubt."""
        try:
            return await self._call('GET', path, 'read', **options)
        except StoreInDoubtError as exc:
            raise StoreUnavailableError(str(exc)) from exc

    async def _call(
        self,
        method: str,
        path: str,
        kind: str,
        timeout_s: float | None = None,
        **options: Any,
    ) -> '_Answer':
        limit = aiohttp.ClientTimeout(total=timeout_s or self.timeout_s)
        url = URL(f'{self.base_url}{path}', encoded=True)
        try:
            async with self.session.request(
                method, url, timeout=limit, **options
            ) as resp:
                self.on_call(kind, str(resp.status))
                content = await resp.read()
                era = self.era.record_answer(resp.headers.get(_ERA, '0'))
                return _Answer(resp.status, content, era, read_framing(resp))
        except aiohttp.ClientConnectorError as exc:
            raise StoreUnavailableError(f'store: {exc}') from exc
        except OversizedError as exc:
            log_cut('store', exc)
            self.on_call(kind, 'oversized')
            raise StoreInDoubtError(f'store: {exc}') from exc
        except (TimeoutError, aiohttp.ClientError) as exc:
            self.on_call(kind, 'unanswered')
            raise StoreInDoubtError(f'store: no answer: {exc!r}') from exc


@attrs.frozen
class _Answer:
    status: int
    content: bytes
    era: int
    framing: Framing


def _span_params(table: str, part: str, span: KeyRange) -> dict[str, str]:
    params = {'table': table, 'part': part, 'from': span.start}
    if span.end:
        params['to'] = span.end
    return params


def _transaction(
    needs: Sequence[RowNeed], changes: Sequence[RowChange]
) -> dict[str, Any]:
    return {
        'expected': [
            {**_name(need.name), 'ver': stored_version(need.version)}
            for need in needs
        ],
        'put': [
            {**_name(change.name), 'value': _pack(change.content)}
            for change in changes
            if change.content is not None
        ],
        'remove': [
            _name(change.name) for change in changes if change.content is None
        ],
    }


def _check_done(answer: _Answer) -> None:
    if answer.status >= HTTPStatus.MULTIPLE_CHOICES:
        raise StoreUnavailableError(f'store: status {answer.status}')


def _parsed(answer: _Answer) -> dict[str, Any]:
    try:
        reply = json.loads(answer.content)
    except ValueError as exc:
        raise StoreInDoubtError(f'store: the answer is no JSON: {exc}') from exc
    if not isinstance(reply, dict):
        raise StoreInDoubtError('store: the answer is no JSON object')
    return reply


def _rows(reply: dict[str, Any], era: int) -> tuple[StoredRow, ...]:
    return tuple(_row(fields, era) for fields in reply.get('rows', ()))


def _row(fields: dict[str, Any], era: int) -> StoredRow:
    part = fields.get('part', '')
    name = RowName(fields['table'], fields['key'], part)
    # A row that a commit needs and that does not exist has no value.
    version = with_era(era, fields.get('ver', 0))
    if fields.get('removed') or not fields.get('ver'):
        return StoredRow(name, version, None)
    content = base64.b64decode(fields.get('value', ''))
    return StoredRow(name, version, content)


def _name(name: RowName) -> dict[str, str]:
    return {'table': name.table, 'part': name.part, 'key': name.key}


def _pack(content: bytes) -> str:
    return base64.b64encode(content).decode('ascii')
