"""A request's slot at a target."""

import attrs

from mimosaworks.entities import Target
from mimosaworks.limits import TokenCharge
from mimosaworks.routing.request_queue import RequestQueue
from mimosaworks.routing.target_status import TargetStatus


@attrs.define
class Slot:
    """One request's slot at a target; charge is what its tokens cost."""

    target: Target
    target_status: TargetStatus
    queue: RequestQueue
    charge: TokenCharge
    started_at_s: float
