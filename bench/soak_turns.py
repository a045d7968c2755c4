"""Draws what a soak does next, so that no kind of it is left out."""

import random
from collections.abc import Collection, Iterator, Sequence


def draw_in_turn(
    rng: random.Random, kinds: Sequence[str], first: Collection[str]
) -> Iterator[str]:
    """Yield kinds for ever, each once before any of them comes again.

    Each turn begins with one of first, the rest of it is in any order.
    """
    while True:  # noqa: WPS457 -- ends when the iterator is dropped
        turn = rng.sample(kinds, len(kinds))
        begun = next((kind for kind in turn if kind in first), turn[0])
        turn.remove(begun)
        yield begun
        yield from turn
