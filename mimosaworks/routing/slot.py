"""Room for one request at a target."""

import attrs

from mimosaworks.entities import Target
from mimosaworks.routing.target_state import TargetState


@attrs.define
class Slot:
    """One request's place at its target; tokens were taken for it."""

    target: Target
    state: TargetState
    tokens: float
    started_at_s: float
