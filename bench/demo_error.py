"""The demo's own error."""

from mimosaworks.errors import MimosaError


class DemoError(MimosaError):
    """A step of the demo did not give what it must."""


def require(condition: object, message: str) -> None:
    """Raise DemoError with the message unless the condition holds."""
    if not condition:
        raise DemoError(message)
