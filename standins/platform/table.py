"""The transactional table of the platform stand-in."""

from collections.abc import Mapping, Sequence
from typing import Any

import attrs


@attrs.define
class Table:
    """Holds rows by key as (text, version); versions grow with each commit."""

    version: int = 0
    rows: dict[str, tuple[str, int]] = attrs.Factory(dict)

    def read(
        self, keys: Sequence[str], prefixes: Sequence[str]
    ) -> list[dict[str, Any]]:
        """Return the rows with these keys or key prefixes, in key order."""
        wanted = {key for key in keys if key in self.rows}
        if prefixes:
            starts = tuple(prefixes)
            wanted.update(key for key in self.rows if key.startswith(starts))
        return [self._row(key) for key in sorted(wanted)]

    def commit(
        self,
        asserts: Sequence[Mapping[str, Any]],
        writes: Sequence[Mapping[str, Any]],
    ) -> int | None:
        """Write all rows and return the version, or None on a conflict."""
        if not all(self._holds(need) for need in asserts):
            return None
        self.version += 1
        for write in writes:
            self._write(write['key'], write['value'])
        return self.version

    def _row(self, key: str) -> dict[str, Any]:
        text, version = self.rows[key]
        return {'key': key, 'value': text, 'version': version}

    def _holds(self, need: Mapping[str, Any]) -> bool:
        _, version = self.rows.get(need['key'], ('', 0))
        return bool(version == need['version'])

    def _write(self, key: str, text: str | None) -> None:
        if text is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = (text, self.version)
