"""Rows with versions, transactions and a bounded history."""

import asyncio
import base64
import json
from typing import Any

import attrs

RowKey = tuple[str, str, str]  # table, part, key
ShownRows = list[dict[str, Any]]
# The published bounds of one call.
MAX_ENTRIES = 100
MAX_NAME_BYTES = 200
MAX_ROWS = 500
LAST_KEY = '\U0010ffff'


class ConflictError(Exception):
    """A row has another version; holds the rows as they are."""

    def __init__(self, rows: list[dict[str, Any]]) -> None:
        super().__init__('conflict')
        self.rows = rows


class LimitError(Exception):
    """A call is larger than the store allows."""


class HistoryGoneError(Exception):
    """The changes after a version are no longer kept."""


@attrs.frozen
class StoreCopy:
    """The rows of the store as of one version."""

    version: int
    rows: dict[RowKey, tuple[int, str]]


@attrs.define(eq=False)
class Store:
    """All rows and objects; a removed row stays in the history as a mark.

    page_rows is the most rows in one answer, era the number of returns from
    an older copy.
    """

    version: int = 0
    rows: dict[RowKey, tuple[int, str]] = attrs.field(factory=dict)
    blobs: dict[str, bytes] = attrs.field(factory=dict)
    page_rows: int = MAX_ROWS
    forgotten: int = 0
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    era: int = 0
    _history: list[dict[str, Any]] = attrs.field(factory=list)

    def commit(self, ask: dict[str, Any]) -> int:
        """Apply a transaction.

        Raises ConflictError when a need fails, LimitError when it is too big.
        """
        _check_size(ask)
        self._check(ask.get('expected', []))
        self.version += 1
        for put in ask.get('put', []):
            self.rows[_key(put)] = (self.version, put['value'])
            self._history.append(self._shown(_key(put)))
        for removed in ask.get('remove', []):
            self.rows.pop(_key(removed), None)
            mark = {**_names(_key(removed)), 'ver': self.version}
            self._history.append({**mark, 'removed': True})
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    def read_page(
        self, table: str, part: str, start: str = '', end: str = ''
    ) -> tuple[ShownRows, bool]:
        """Return rows from start to before end, and whether there are more."""
        first = (table, part, start)
        last = (table, part, end or LAST_KEY)
        found = sorted(key for key in self.rows if first <= key < last)
        page = [self._shown(key) for key in found[: self.page_rows]]
        return (page, len(found) > self.page_rows)

    def changes(self, table: str, after: int) -> list[dict[str, Any]]:
        """Return a table's changes; raises HistoryGoneError."""
        if after < self.forgotten or after > self.version:
            raise HistoryGoneError
        newest = {
            _key(entry): entry
            for entry in self._history
            if entry['table'] == table and entry['ver'] > after
        }
        return sorted(newest.values(), key=lambda entry: entry['ver'])

    def copy(self) -> 'StoreCopy':
        """Return what the store holds now."""
        return StoreCopy(self.version, dict(self.rows))

    def return_from(self, older: 'StoreCopy') -> None:
        """Go on from an older copy: what was written since is gone."""
        self.version = older.version
        self.rows = dict(older.rows)
        self.era += 1
        self._history.clear()
        self.forgotten = older.version
        self.changed.set()
        self.changed = asyncio.Event()

    def forget(self) -> None:
        """Drop the whole history."""
        self.forgotten = self.version
        self._history.clear()

    def _check(self, needs: list[dict[str, Any]]) -> None:
        for need in needs:
            current, _ = self.rows.get(_key(need), (0, ''))
            if current != need['ver']:
                raise ConflictError([self._shown(_key(one)) for one in needs])

    def _shown(self, key: RowKey) -> dict[str, Any]:
        if key not in self.rows:
            return {**_names(key), 'ver': 0}
        version, content = self.rows[key]
        return {**_names(key), 'ver': version, 'value': content}


def json_row(table: str, key: str, content: object) -> dict[str, Any]:
    """Return a row to put that holds a JSON text."""
    packed = base64.b64encode(json.dumps(content).encode()).decode()
    return {'table': table, 'key': key, 'value': packed}


def _check_size(ask: dict[str, Any]) -> None:
    names = ('expected', 'put', 'remove')
    entries = [entry for name in names for entry in ask.get(name, [])]
    if len(entries) > MAX_ENTRIES:
        raise LimitError(f'{len(entries)} entries, {MAX_ENTRIES} are allowed')
    for entry in entries:
        longest = max(len(name.encode()) for name in _key(entry))
        if longest > MAX_NAME_BYTES:
            raise LimitError(f'a name of {entry} is too long')


def _key(fields: dict[str, Any]) -> RowKey:
    return (fields['table'], fields.get('part', ''), fields['key'])


def _names(key: RowKey) -> dict[str, str]:
    return dict(zip(('table', 'part', 'key'), key, strict=True))
