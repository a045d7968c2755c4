"""What an answer that broke off says about its attempt."""

from aiohttp import ClientError, ClientResponseError

from mimosaworks.bounded_answers import OversizedError, log_cut
from mimosaworks.dispatch import CallOutcome
from mimosaworks.node.attempt_error import AttemptError
from mimosaworks.node.end_errors import (
    ExpiredAnswerError,
    ReplacedTargetError,
    UnknownEndError,
)
from mimosaworks.node.event_ends import UnfinishedEventError
from mimosaworks.node.stream_place import OtherEventError
from mimosaworks.unmixed_bodies import ForeignAnswerError


def attempt_error_from(exc: ClientError | OSError, target: str) -> AttemptError:
    """Return the AttemptError for an answer that broke off."""
    if isinstance(exc, OversizedError):
        log_cut(target, exc)
        return AttemptError(CallOutcome.OVERSIZED, str(exc))
    if isinstance(
        exc,
        (
            ForeignAnswerError,
            ClientResponseError,
            ExpiredAnswerError,
            UnknownEndError,
            ReplacedTargetError,
            UnfinishedEventError,
            OtherEventError,
        ),
    ):
        # Neither bytes that are no answer of the target nor what it answered
        # show that it crashed, nor does an end when its time was over, or where
        # a later process may have answered.
        return AttemptError(CallOutcome.FAILED, str(exc))
    return AttemptError(CallOutcome.BROKEN, repr(exc))
