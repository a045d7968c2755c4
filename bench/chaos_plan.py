"""Draws calls and faults of a chaos run from a seed."""

import random
from collections.abc import Iterator

import attrs

from bench.chaos_ask import ChaosAsk

CALLS_PER_S = 14
ROUTERS = 3
PLACERS = 2
ENGINES = 3
SERVICES = 2
MODELS = ('model-0', 'model-1', 'model-2')
WORKSPACES = ('wide', 'middle', 'narrow')
DEADLINES_S = (2.5, 4, 8)
LANES = 3
CHURN_SHARE = 0.25  # of the calls of the workspace that it is for
CHAT_SHARE = 0.6
STREAM_SHARE = 0.8
CLAIM_SHARE = 0.6
RESENT_SHARE = 0.7
PROXY_FAULTS = (
    'cut',
    'freeze',
    'drop_to_upstream',
    'drop_to_client',
    'drop_replies',
)
SHORT_S = (1.0, 4.0)
PAUSE_S = (3.0, 6.0)
OUTAGE_S = (2.0, 6.0)
GAP_S = (0.3, 2.5)


@attrs.frozen
class ChaosFault:
    """A fault of one part, from at_s on, for lasts_s seconds."""

    at_s: float
    part: str
    kind: str
    lasts_s: float


def plan_calls(rng: random.Random, duration_s: float) -> Iterator[ChaosAsk]:
    """Yield the calls; some posts are resent through another router."""
    for number in range(int(duration_s * CALLS_PER_S)):
        at_s = rng.uniform(0, duration_s)
        ask = _ask(rng, f'c{number}', at_s)
        yield ask
        if ask.claim and _happens(rng, RESENT_SHARE):
            yield attrs.evolve(
                ask,
                name=f'{ask.name}-again',
                at_s=at_s + rng.choice((0, 0.1, 0.5, 3)),
                router=(ask.router + rng.randrange(ROUTERS)) % ROUTERS,
            )


def plan_faults(rng: random.Random, duration_s: float) -> Iterator[ChaosFault]:
    """Yield faults of several lanes, so that they overlap."""
    for _ in range(LANES):
        at_s = rng.uniform(1, 3)
        while at_s < duration_s:
            fault = _fault(rng, at_s)
            yield fault
            at_s += fault.lasts_s + rng.uniform(*GAP_S)


def _ask(rng: random.Random, name: str, at_s: float) -> ChaosAsk:
    workspace = rng.choice(WORKSPACES)
    is_churned = workspace == 'wide' and _happens(rng, CHURN_SHARE)
    ask = ChaosAsk(
        name=name,
        at_s=at_s,
        router=rng.randrange(ROUTERS),
        workspace=workspace,
        key_name='' if is_churned else workspace,
        deadline_s=rng.choice(DEADLINES_S),
    )
    if _happens(rng, CHAT_SHARE):
        return attrs.evolve(
            ask,
            model=rng.choice(MODELS),
            max_tokens=rng.randint(5, 60),
            is_stream=_happens(rng, STREAM_SHARE),
        )
    # Resends need one key: a churned one may be withdrawn between them.
    has_claim = not is_churned and _happens(rng, CLAIM_SHARE)
    return attrs.evolve(
        ask,
        claim=f'claim-{name}' if has_claim else '',
        sleep_s=rng.choice((0, 0, 0.2, 0.6)),
    )


def _fault(rng: random.Random, at_s: float) -> ChaosFault:
    part, kind, lasts_s = rng.choice((
        (_one(rng, 'router', ROUTERS), 'kill', SHORT_S),
        (_one(rng, 'router', ROUTERS), 'pause', PAUSE_S),
        (_one(rng, 'placer', PLACERS), 'kill', SHORT_S),
        (_one(rng, 'placer', PLACERS), 'pause', PAUSE_S),
        (_one(rng, 'engine', ENGINES), 'kill', SHORT_S),
        (_one(rng, 'engine', ENGINES), 'pause', PAUSE_S),
        ('platform', 'outage', OUTAGE_S),
        ('platform', 'slow_s', SHORT_S),
        ('platform', 'drop_replies', SHORT_S),
        (_one(rng, 'engine', ENGINES), rng.choice(PROXY_FAULTS), SHORT_S),
        (_one(rng, 'service', SERVICES), rng.choice(PROXY_FAULTS), SHORT_S),
        (_one(rng, 'service', SERVICES), 'drop_replies', SHORT_S),
        (_one(rng, 'service', SERVICES), 'cut', SHORT_S),
    ))
    return ChaosFault(at_s, part, kind, rng.uniform(*lasts_s))


def _happens(rng: random.Random, share: float) -> bool:
    return rng.random() < share


def _one(rng: random.Random, part: str, count: int) -> str:
    return f'{part}{rng.randrange(count)}'
