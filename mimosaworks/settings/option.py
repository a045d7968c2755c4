"""Declares one setting of a program."""

from collections.abc import Callable
from typing import Any

import attrs

HELP = 'help'
MASKED = 'masked'


def option(
    help_text: str,
    default: Any = attrs.NOTHING,
    validator: Callable[[Any, Any, Any], Any] | None = None,
    *,
    is_secret: bool = False,
) -> Any:
    """Return an attrs field for a setting; without default it is required.

    The value of a secret is masked where settings are printed.
    """
    return attrs.field(
        default=default,
        validator=validator,
        metadata={HELP: help_text, MASKED: is_secret},
    )
