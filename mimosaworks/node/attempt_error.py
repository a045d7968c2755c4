"""Errors of one attempt: the send to a target or the answer's relay."""

from mimosaworks.dispatch import CallOutcome
from mimosaworks.errors import MimosaError


class AttemptError(MimosaError):
    """One attempt failed.

    is_not_run is true only when it is certain that the target did not run
    the request.
    """

    def __init__(
        self, outcome: CallOutcome, reason: str, *, is_not_run: bool = False
    ) -> None:
        super().__init__(reason)
        self.outcome = outcome
        self.reason = reason
        self.is_not_run = is_not_run


class CallerDisconnectedError(MimosaError):
    """The caller's connection was lost before it had a whole answer."""
