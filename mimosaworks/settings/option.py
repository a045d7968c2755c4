"""Declares one setting of a program."""

from collections.abc import Callable
from typing import Any

import attrs

HELP = 'help'


def option(
    help_text: str,
    default: Any = attrs.NOTHING,
    validator: Callable[[Any, Any, Any], Any] | None = None,
) -> Any:
    """Return an attrs field for a setting; without default it is required."""
    return attrs.field(
        default=default, validator=validator, metadata={HELP: help_text}
    )
