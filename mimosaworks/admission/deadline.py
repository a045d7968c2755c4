"""Deadlines of requests."""

import math
from collections.abc import Mapping

import attrs

from mimosaworks.entities import Route
from mimosaworks.errors import ErrorKind, RequestError

DEADLINE_HEADER = 'Mimosa-Deadline-S'
MAX_DEADLINE_S = 3600.0


@attrs.frozen
class Deadline:
    """The point on this process's clock at which a request's time is over."""

    at_s: float

    def remaining_s(self, now_s: float) -> float:
        """Return the seconds left; never below zero."""
        return max(self.at_s - now_s, 0)

    def has_passed(self, now_s: float) -> bool:
        """Tell whether the time is over."""
        return now_s >= self.at_s


def read_deadline(
    headers: Mapping[str, str], route: Route, now_s: float
) -> Deadline:
    """Return the caller's deadline or the route's default.

    Raises RequestError BAD_REQUEST when the header is not a positive number
    of seconds.
    """
    text = headers.get(DEADLINE_HEADER)
    if text is None:
        return Deadline(now_s + route.deadline_s)
    try:
        given_s = float(text)
    except ValueError:
        given_s = math.nan
    if not 0 < given_s <= MAX_DEADLINE_S:
        raise RequestError(
            ErrorKind.BAD_REQUEST,
            f'{DEADLINE_HEADER} must be in (0, {MAX_DEADLINE_S:.0f}] seconds',
        )
    return Deadline(now_s + given_s)
