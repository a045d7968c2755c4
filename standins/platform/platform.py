"""State of the platform stand-in."""

import attrs

from standins.platform.counts import Counts
from standins.platform.faults import Faults
from standins.platform.table import Table
from standins.platform.vm_list import VMList
from standins.platform.weight_store import WeightStore


@attrs.define
class Platform:
    """All services of the platform; kept in memory only."""

    weights: WeightStore
    table: Table = attrs.Factory(Table)
    blobs: dict[str, bytes] = attrs.Factory(dict)
    vm_list: VMList = attrs.Factory(VMList)
    faults: Faults = attrs.Factory(Faults)
    counts: Counts = attrs.Factory(Counts)
