"""Sizes and load of one deployment."""

import attrs


@attrs.frozen
class Tenant:
    """A workspace: grant in tokens/s and tokens, and its share of the load.

    flood is by how much it exceeds its usual load in the middle third.
    """

    name: str
    rate_tokens_per_s: float
    burst_tokens: float
    load_share: float
    flood: float = 1


@attrs.frozen
class Profile:
    """A deployment as the bench starts it and loads it.

    delay_s is the one-way delay between data centres, laid before each
    target. requests_per_s is the mean over the run; draft_share of the model
    requests are long drafts, post_share of all requests are service posts.
    """

    name: str
    data_centres: tuple[str, ...]
    delay_s: float
    routers: int
    engines: int
    services: int
    models: int
    adapters: int
    loads_per_s: float
    loads_at_once: int
    tenants: tuple[Tenant, ...]
    requests_per_s: float
    draft_share: float = 0.1
    post_share: float = 0.2
    model_bytes: int = 10000000000
    engine_bytes: int = 45000000000
