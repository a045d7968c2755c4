"""Times and limits that placement decisions use."""

import attrs

from mimosaworks.placement.keep_alive import KeepAliveConfig


@attrs.frozen
class PlacementConfig:
    """Times in seconds and budgets of one shard.

    quarantine_s bounds how long an order can be on its way: one that was
    sent longer ago has reached the target or never will. loads_per_s and
    loads_at_once are the weight store's budget, adapters_at_once that of
    adapters, fleet-wide. A replica more is loaded when a model has more
    than requests_per_replica requests for each that it has. A model that
    waits longer than starvation_s may displace one that has been ready for
    min_residency_s and still has work.
    """

    lease_s: float = 4.0
    renew_s: float = 1.0
    margin_s: float = 0.5
    quarantine_s: float = 5.0
    order_retry_s: float = 1.0
    drain_ack_s: float = 2.0
    report_lag_s: float = 1.0
    loads_per_s: float = 3.0
    loads_at_once: int = 4
    adapters_at_once: int = 30
    requests_per_replica: int = 8
    starvation_s: float = 2.0
    min_residency_s: float = 10.0
    keep_alive: KeepAliveConfig = attrs.field(factory=KeepAliveConfig)
