"""Services that requests are routed to."""

import attrs

from mimosaworks.deployment.engine import EngineConfig


@attrs.frozen
class ServiceConfig:
    """A service; engine is None for a plain service.

    max_conns is the number of connections that one target accepts from all
    VMs together.
    """

    name: str
    health_path: str
    max_conns: int
    engine: EngineConfig | None = None
