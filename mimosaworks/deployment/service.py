"""Services that requests are routed to."""

import attrs

from mimosaworks.deployment.engine import EngineTerms


@attrs.frozen
class ServiceTerms:
    """A service; engine is None for a plain service.

    max_conns is the number of connections that one target accepts from all
    VMs together.
    """

    name: str
    health_path: str
    max_conns: int
    engine: EngineTerms | None = None
