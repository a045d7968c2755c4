"""How one attempt at a target failed."""

from mimosaworks.errors import MimosaError


class AttemptError(MimosaError):
    """An attempt to have a request answered by a target failed."""


class AttemptNotRunError(AttemptError):
    """No byte reached the target, or it said that it did not run it."""


class AttemptRefusedError(AttemptNotRunError):
    """The target answered that it ran nothing."""


class AttemptInDoubtError(AttemptError):
    """The target may have run the request; its answer did not come whole."""


class CallerGoneError(MimosaError):
    """The caller closed its connection before it had the whole answer."""
