"""Settings of mimosa-placer."""

import attrs

from mimosaworks.placement.keep_alive import KEEP_ALIVE_KINDS, KeepAliveConfig
from mimosaworks.placement.placement_config import PlacementConfig
from mimosaworks.settings import option

_POSITIVE = attrs.validators.gt(0)
_DEFAULT_PLACEMENT = PlacementConfig()
_DEFAULT_KEEP_ALIVE = KeepAliveConfig()


@attrs.frozen
class PlacerSettings:
    """Settings in flags and MIMOSA_PLACER_ environment variables."""

    peer_address: str = option('host:port for messages between processes')
    platform_url: str = option('base URL of the platform')
    data_centre: str = option('data centre of this process')
    http_address: str = option(
        'host:port of GET /debug/placement; empty for none', ''
    )
    statsd_address: str = option('host:port of statsd; empty for none', '')
    shard: str = option('name of the placement shard', 'main')
    lease_s: float = option(
        'seconds of the lease', _DEFAULT_PLACEMENT.lease_s, _POSITIVE
    )
    quarantine_s: float = option(
        'longest time that an order can be on its way',
        _DEFAULT_PLACEMENT.quarantine_s,
        _POSITIVE,
    )
    loads_per_s: float = option(
        'loads a second from the weight store',
        _DEFAULT_PLACEMENT.loads_per_s,
        _POSITIVE,
    )
    loads_at_once: int = option(
        'loads at once from the weight store',
        _DEFAULT_PLACEMENT.loads_at_once,
        _POSITIVE,
    )
    adapters_at_once: int = option(
        'adapters in flight at once',
        _DEFAULT_PLACEMENT.adapters_at_once,
        _POSITIVE,
    )
    requests_per_replica: int = option(
        'requests of a model before it gets a replica more',
        _DEFAULT_PLACEMENT.requests_per_replica,
        _POSITIVE,
    )
    keep_alive: str = option(
        'how long idle models stay loaded: histogram, fixed or none',
        _DEFAULT_KEEP_ALIVE.kind,
        attrs.validators.in_(KEEP_ALIVE_KINDS),
    )
    keep_alive_s: float = option(
        'seconds of the fixed keep-alive',
        _DEFAULT_KEEP_ALIVE.fixed_window_s,
        _POSITIVE,
    )
    cold_start_weight: float = option(
        'cost of a second of cold start',
        _DEFAULT_KEEP_ALIVE.cold_start_weight,
        _POSITIVE,
    )
    idle_weight: float = option(
        'cost of a second of an idle replica',
        _DEFAULT_KEEP_ALIVE.idle_weight,
        _POSITIVE,
    )

    def placement_config(self) -> PlacementConfig:
        """Return the rules that the settings describe."""
        return PlacementConfig(
            lease_s=self.lease_s,
            renew_s=self.lease_s / 4,
            margin_s=self.lease_s / 8,
            quarantine_s=self.quarantine_s,
            loads_per_s=self.loads_per_s,
            loads_at_once=self.loads_at_once,
            adapters_at_once=self.adapters_at_once,
            requests_per_replica=self.requests_per_replica,
            keep_alive=KeepAliveConfig(
                kind=self.keep_alive,
                fixed_window_s=self.keep_alive_s,
                cold_start_weight=self.cold_start_weight,
                idle_weight=self.idle_weight,
            ),
        )
