"""One entry of the configuration log."""

import json
from collections.abc import Iterable

import attrs

from mimosaworks.entities import (
    ENTITY_TYPES,
    Catalogue,
    Change,
    apply_changes,
    change_from_dict,
)


@attrs.frozen
class LogEntry:
    """The changes that lead to a version.

    is_snapshot entries hold the whole configuration, so that they apply to
    any lower version.
    """

    version: int
    changes: tuple[Change, ...]
    is_snapshot: bool = False


def snapshot_of(catalogue: Catalogue) -> LogEntry:
    """Return an entry that holds the whole configuration."""
    changes = tuple(
        Change(kind, name, entity)
        for kind in ENTITY_TYPES
        for name, entity in getattr(catalogue, kind).items()
    )
    return LogEntry(catalogue.version, changes, is_snapshot=True)


def apply_entries(
    catalogue: Catalogue, entries: Iterable[LogEntry]
) -> Catalogue:
    """Return the catalogue with the entries applied, in order.

    An entry that is not newer, or that does not follow on, is passed over:
    versions never decrease and never skip a change.
    """
    for entry in entries:
        if _follows(catalogue, entry):
            base = Catalogue() if entry.is_snapshot else catalogue
            catalogue = apply_changes(base, entry.changes, entry.version)
    return catalogue


def dump_entries(entries: Iterable[LogEntry]) -> str:
    """Return the entries as JSON text."""
    return json.dumps([_to_dict(entry) for entry in entries])


def load_entries(text: str, after: int = -1) -> tuple[LogEntry, ...]:
    """Return the entries that dump_entries wrote, with newer versions."""
    listed = json.loads(text)
    newer = (fields for fields in listed if fields['version'] > after)
    return tuple(map(_from_dict, newer))


def _follows(catalogue: Catalogue, entry: LogEntry) -> bool:
    if entry.is_snapshot:
        return entry.version > catalogue.version
    return entry.version == catalogue.version + 1


def _to_dict(entry: LogEntry) -> dict[str, object]:
    return {
        'version': entry.version,
        'changes': [change.to_dict() for change in entry.changes],
        'is_snapshot': entry.is_snapshot,
    }


def _from_dict(fields: dict[str, object]) -> LogEntry:
    changes = fields['changes']
    assert isinstance(changes, list)  # noqa: S101
    return LogEntry(
        int(str(fields['version'])),
        tuple(change_from_dict(change) for change in changes),
        bool(fields['is_snapshot']),
    )
