"""Errors of placement."""

from mimosaworks.errors import MimosaError


class LeaseLapsedError(MimosaError):
    """An order was not sent, as the shard's lease no longer covers it."""
