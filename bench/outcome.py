"""What became of one planned request."""

from http import HTTPStatus

import attrs

from bench.planned_request import PlannedRequest


@attrs.frozen
class Outcome:
    """A request with its answer.

    first_s and total_s count from the intended time, in seconds. status is 0
    when the connection failed. code is the error's kind, or empty.
    """

    ask: PlannedRequest
    status: int
    code: str
    was_cold: bool
    first_s: float
    total_s: float

    @property
    def is_answered(self) -> bool:
        """Whether the whole answer came."""
        return self.status == HTTPStatus.OK and not self.code
