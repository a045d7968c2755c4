"""Errors: kinds, their answers to callers, and the exception tree."""

from mimosaworks.errors.kind import ErrorKind
from mimosaworks.errors.run_state import RunState
from mimosaworks.errors.table import ERROR_ANSWERS, ErrorAnswer
from mimosaworks.errors.tree import (
    MimosaError,
    PeerError,
    PeerRefusedError,
    PeerTimeoutError,
    PlatformError,
    RequestError,
    SettingError,
    StoreConflictError,
    StoreHistoryError,
    StoreInDoubtError,
    StoreReturnedError,
    StoreUnavailableError,
)

__all__ = [
    'ERROR_ANSWERS',
    'ErrorAnswer',
    'ErrorKind',
    'MimosaError',
    'PeerError',
    'PeerRefusedError',
    'PeerTimeoutError',
    'PlatformError',
    'RequestError',
    'RunState',
    'SettingError',
    'StoreConflictError',
    'StoreHistoryError',
    'StoreInDoubtError',
    'StoreReturnedError',
    'StoreUnavailableError',
]
