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
    ConfigStore,
    head_version,
    log_entries,
    poll_keys,
)

__all__ = [
    'ConfigConflictError',
    'ConfigStore',
    'LogEntry',
    'apply_entries',
    'dump_entries',
    'head_version',
    'load_entries',
    'log_entries',
    'poll_keys',
    'snapshot_of',
]
