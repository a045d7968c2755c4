"""Versions of the configuration: log, snapshots and their store."""

from mimosaworks.configs.entry import (
    LogEntry,
    apply_entries,
    dump_entries,
    load_entries,
    snapshot_of,
)
from mimosaworks.configs.errors import ConfigConflictError
from mimosaworks.configs.store import (
    HEAD_KEY,
    ConfigStore,
    head_version,
)

__all__ = [
    'HEAD_KEY',
    'ConfigConflictError',
    'ConfigStore',
    'LogEntry',
    'apply_entries',
    'dump_entries',
    'head_version',
    'load_entries',
    'snapshot_of',
]
