"""The exception tree of the package."""

from collections.abc import Sequence
from typing import Any

from mimosaworks.errors.kind import ErrorKind
from mimosaworks.errors.run_state import RunState
from mimosaworks.errors.table import ERROR_ANSWERS, ErrorAnswer


class MimosaError(Exception):
    """Base class of every error that this package raises on purpose."""


class SettingError(MimosaError):
    """A setting is unknown, missing or ill-typed; the message names it."""


class PlatformError(MimosaError):
    """A service of the platform did not do what was asked."""


class StoreUnavailableError(PlatformError):
    """The table or object store refused; nothing took effect."""


class StoreInDoubtError(PlatformError):
    """No answer came; a write may have taken effect."""


class StoreConflictError(PlatformError):
    """An asserted row version did not hold; nothing took effect.

    rows holds the asserted rows as they are, where the store tells them.
    """

    def __init__(self, message: str, rows: Sequence[Any] = ()) -> None:
        super().__init__(message)
        self.rows = tuple(rows)


class StoreHistoryError(PlatformError):
    """Changes since a version are no longer known; read all rows anew."""


class StoreReturnedError(StoreHistoryError):
    """The store returned from an older copy; its versions count anew."""


class PeerError(MimosaError):
    """A message to another process of the system got no answer."""


class PeerRefusedError(PeerError):
    """The connection was refused: nothing listens on the peer's port."""


class PeerTimeoutError(PeerError):
    """No answer within the time limit; the peer may have acted."""


class RequestError(MimosaError):
    """A caller's request ends with an error answer.

    run_state and retry_after_s override the defaults of the kind's row in
    ERROR_ANSWERS; retry_after_s is in seconds.
    """

    def __init__(
        self,
        kind: ErrorKind,
        message: str,
        *,
        run_state: RunState | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.kind = kind
        self.message = message
        self.run_state = run_state or self.answer.run_state
        self.retry_after_s = (
            self.answer.retry_after_s
            if retry_after_s is None
            else retry_after_s
        )

    @property
    def answer(self) -> ErrorAnswer:
        """The row of the table for this error's kind."""
        return ERROR_ANSWERS[self.kind]
