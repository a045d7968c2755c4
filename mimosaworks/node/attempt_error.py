"""A send to a target that brought no answer to pass on."""

from mimosaworks.dispatch import CallOutcome
from mimosaworks.errors import MimosaError


class AttemptError(MimosaError):
    """One send failed; is_not_run when the target surely did not run it."""

    def __init__(
        self, outcome: CallOutcome, reason: str, *, is_not_run: bool
    ) -> None:
        super().__init__(reason)
        self.outcome = outcome
        self.reason = reason
        self.is_not_run = is_not_run


class StreamCutError(MimosaError):
    """A stream ended early after a part of it went to the caller."""
