"""Chooses a target: prefix affinity, else power of two choices."""

import random
from collections.abc import Sequence

import attrs
import mmh3

from mimosaworks.routing.target_status import TargetStatus

# The target with prefix affinity is not used when it has more than this many
# requests in flight above the least loaded candidate.
AFFINITY_SLACK = 4


@attrs.frozen
class TargetChoice:
    """A chosen target, with the reason and the runners-up for the log.

    runners_up are texts of name and requests in flight.
    """

    target: TargetStatus
    runners_up: tuple[str, ...]
    reason: str


def choose_target(
    candidates: Sequence[TargetStatus],
    prompt_prefix: str,
    rng: random.Random,
) -> TargetChoice | None:
    """Choose one of the candidates; return None when there are none.

    With a prompt prefix, the target with the highest rendezvous hash
    (Thaler and Ravishankar 1998) is preferred, since its cache is likely to
    hold the prefix; else the less loaded of two random ones is taken
    (Mitzenmacher 2001).
    """
    if not candidates:
        return None
    if len(candidates) == 1:
        return TargetChoice(candidates[0], (), 'only candidate')
    if prompt_prefix:
        affine_target = _find_affine_target(candidates, prompt_prefix)
        least_in_flight = min(status.in_flight for status in candidates)
        if affine_target.in_flight <= least_in_flight + AFFINITY_SLACK:
            return _build_choice(affine_target, candidates, 'prefix affinity')
    sampled_targets = rng.sample(list(candidates), 2)
    return _build_choice(
        min(sampled_targets, key=lambda status: status.in_flight),
        sampled_targets,
        'less loaded of two',
    )


def _find_affine_target(
    candidates: Sequence[TargetStatus], prefix: str
) -> TargetStatus:
    return max(
        candidates,
        key=lambda status: mmh3.hash64(f'{status.name}/{prefix}', signed=False),
    )


def _build_choice(
    chosen_target: TargetStatus,
    compared_targets: Sequence[TargetStatus],
    reason: str,
) -> TargetChoice:
    runners_up = tuple(
        f'{status.name}:{status.in_flight}'
        for status in compared_targets
        if status is not chosen_target
    )
    return TargetChoice(chosen_target, runners_up, reason)
