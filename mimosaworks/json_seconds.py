"""Times in decoded JSON, which may be malformed."""

import math

from mimosaworks.json_fields import MAX_COUNT, Fields

MS_PER_S = 1000


def seconds_left(fields: Fields, name: str) -> float:
    """Return a field in milliseconds as seconds from 0.

    It is infinite where the field is absent or no number.
    """
    found = fields.get(name)
    if isinstance(found, bool) or not isinstance(found, int | float):
        return math.inf
    return min(max(found, 0), MAX_COUNT) / MS_PER_S
