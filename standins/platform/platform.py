"""State of the platform stand-in."""

import attrs

from standins.platform.counts import Counts
from standins.platform.store import Store
from standins.platform.store_faults import StoreFaults
from standins.platform.weight_store import WeightStore


@attrs.define
class Platform:
    """All services of the platform; kept in memory only.

    vms_lag_s is the time until a published list of VMs is seen.
    """

    weights: WeightStore
    store: Store = attrs.Factory(Store)
    faults: StoreFaults = attrs.Factory(StoreFaults)
    counts: Counts = attrs.Factory(Counts)
    vms_lag_s: float = 0
