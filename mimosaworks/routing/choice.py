"""Chooses a target: prefix affinity, else power of two choices."""

import random
from collections.abc import Sequence

import attrs
import mmh3

from mimosaworks.routing.target_state import TargetState

# An affine target is left when it has this many more requests in flight than
# the least loaded candidate.
AFFINITY_SLACK = 4


@attrs.frozen
class Choice:
    """The chosen target, the runners-up and the reason, for the log."""

    target: TargetState
    runners_up: tuple[str, ...]
    reason: str


def choose_target(
    candidates: Sequence[TargetState],
    prompt_prefix: str,
    rng: random.Random,
) -> Choice | None:
    """Return the choice among candidates, or None when there are none.

    With a prompt prefix, the target with the highest rendezvous hash
    (Thaler and Ravishankar 1998) is preferred, since its cache is likely to
    hold the prefix; else the less loaded of two random ones is taken
    (Mitzenmacher 2001).
    """
    if not candidates:
        return None
    if len(candidates) == 1:
        return Choice(candidates[0], (), 'only candidate')
    if prompt_prefix:
        affine = _affine(candidates, prompt_prefix)
        least = min(state.in_flight for state in candidates)
        if affine.in_flight <= least + AFFINITY_SLACK:
            return _explain(affine, candidates, 'prefix affinity')
    pair = rng.sample(list(candidates), 2)
    return _explain(
        min(pair, key=lambda state: state.in_flight),
        pair,
        'less loaded of two',
    )


def _affine(candidates: Sequence[TargetState], prefix: str) -> TargetState:
    return max(
        candidates,
        key=lambda state: mmh3.hash64(f'{state.name}/{prefix}', signed=False),
    )


def _explain(
    chosen: TargetState, weighed: Sequence[TargetState], reason: str
) -> Choice:
    others = tuple(
        f'{state.name}:{state.in_flight}'
        for state in weighed
        if state is not chosen
    )
    return Choice(chosen, others, reason)
