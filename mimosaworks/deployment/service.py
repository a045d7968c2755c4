"""Services that requests are routed to."""

import attrs

from mimosaworks.deployment.engine import EngineTerms


@attrs.frozen
class ServiceTerms:
    """A service; engine is None for a plain one.

    max_conns is what one target takes from all VMs together.
    """

    name: str
    health_path: str
    max_conns: int
    engine: EngineTerms | None = None
