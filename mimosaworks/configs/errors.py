"""Errors of the configuration store."""

from mimosaworks.errors import StoreConflictError


class ConfigConflictError(StoreConflictError):
    """Another change won the race; version is the one to start from."""

    def __init__(self, version: int) -> None:
        super().__init__(f'the configuration is at version {version}')
        self.version = version
