"""Refusals of the administration API that carry more than a message."""

from collections.abc import Sequence

from mimosaworks.admin.fault import Fault
from mimosaworks.errors import ErrorKind, RequestError


class InvalidChangeError(RequestError):
    """A change has faults; nothing took effect."""

    def __init__(self, faults: Sequence[Fault]) -> None:
        text = '; '.join(str(fault) for fault in faults)
        super().__init__(ErrorKind.INVALID_CHANGE, text)
        self.faults = tuple(faults)


class VersionConflictError(RequestError):
    """Another change came first; version is the newest stored one."""

    def __init__(self, version: int) -> None:
        super().__init__(
            ErrorKind.CONFLICT,
            f'the configuration is at version {version}: read it and ask again',
        )
        self.version = version
