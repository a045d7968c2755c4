"""Room for one request at a target."""

import attrs

from mimosaworks.entities import Target
from mimosaworks.limits import Receipt
from mimosaworks.routing.lane import Lane
from mimosaworks.routing.target_state import TargetState


@attrs.define
class Slot:
    """One request's place at its target; receipt is for its tokens."""

    target: Target
    state: TargetState
    lane: Lane
    receipt: Receipt
    started_at_s: float
