"""What explains the end of an answer that is not shown to be whole."""

from aiohttp import ClientPayloadError


class ExpiredAnswerError(ClientPayloadError):
    """An answer ended when the time of its target or its request was over."""


class UnknownEndError(ClientPayloadError):
    """An answer ended, and whether its target did as well is not known."""


class LostTargetError(ClientPayloadError):
    """An answer ended together with its target."""


class ReplacedTargetError(LostTargetError):
    """An answer ended, and a later process is at the place of its target.

    Either may have answered: the later one may have begun before the request
    was sent.
    """
