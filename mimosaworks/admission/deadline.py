"""Deadlines of requests, from a header field or the route."""

import math
from collections.abc import Mapping

import attrs

from mimosaworks.entities import Route
from mimosaworks.errors import ErrorKind, RequestError

DEADLINE_HEADER = 'Mimosa-Deadline-S'
MAX_DEADLINE_S = 3600.0


@attrs.frozen
class Deadline:
    """The time by which a request must be answered.

    at_s is in seconds of this process's clock.
    """

    at_s: float

    def remaining_s(self, now_s: float) -> float:
        """Return the remaining seconds; never below zero."""
        return max(self.at_s - now_s, 0)

    def has_passed(self, now_s: float) -> bool:
        """Return whether the deadline has passed."""
        return now_s >= self.at_s


def read_deadline(
    headers: Mapping[str, str], route: Route, now_s: float
) -> Deadline:
    """Return the caller's deadline, or the route's default without one.

    Raises RequestError BAD_REQUEST when the header field is not a number of
    seconds above 0 and up to MAX_DEADLINE_S.
    """
    text = headers.get(DEADLINE_HEADER)
    if text is None:
        return Deadline(now_s + route.deadline_s)
    try:
        timeout_s = float(text)
    except ValueError:
        timeout_s = math.nan
    if not 0 < timeout_s <= MAX_DEADLINE_S:
        raise RequestError(
            ErrorKind.BAD_REQUEST,
            f'{DEADLINE_HEADER} must be in (0, {MAX_DEADLINE_S:.0f}] seconds',
        )
    return Deadline(now_s + timeout_s)
