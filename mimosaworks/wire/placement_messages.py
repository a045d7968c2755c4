"""Messages between routers and the placement shard's holder."""

import attrs


@attrs.frozen
class ReplicaEntry:
    """One replica as routers see it; state is a ReplicaState's value."""

    model: str
    target: str
    state: str
    adapters: tuple[str, ...] = ()


@attrs.frozen
class ReplicaMap:
    """All replicas of a shard; (fence, sequence) orders the maps."""

    fence: int
    sequence: int
    holder: str
    replicas: tuple[ReplicaEntry, ...] = ()


@attrs.frozen
class ModelDemand:
    """A router's work for one model and adapter (empty for none).

    waiting and running count requests, waiting_tokens their tokens; arrivals
    counts requests since the router's previous demand message.
    """

    model: str
    adapter: str = ''
    waiting: int = 0
    waiting_tokens: int = 0
    running: int = 0
    arrivals: int = 0


@attrs.frozen
class Demand:
    """A router's demand for models that it has waiting or running work for."""

    router: str
    models: tuple[ModelDemand, ...] = ()
