"""How a send to a target, or the way back to the caller, failed."""

from mimosaworks.dispatch import CallOutcome
from mimosaworks.errors import MimosaError


class AttemptError(MimosaError):
    """One send failed; is_not_run when the target surely did not run it."""

    def __init__(
        self, outcome: CallOutcome, reason: str, *, is_not_run: bool = False
    ) -> None:
        super().__init__(reason)
        self.outcome = outcome
        self.reason = reason
        self.is_not_run = is_not_run


class CallerDisconnectedError(MimosaError):
    """The caller's connection was lost while its answer was passed on."""
