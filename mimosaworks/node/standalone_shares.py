"""Shares of standalone nodes in what brittle targets may turn away."""

import zlib
from collections.abc import Iterable

# Share of the requests that a target may turn away in a second. The last
# holder and the next one may send at the same time.
STANDALONE_REJECTION_SHARE = 0.25


def share_of_rejections(
    most_per_s: int,
    target: str,
    node: str,
    members: Iterable[str],
    member_count: int,
) -> int:
    """Return how many requests a standalone node may have at a target.

    The target may turn away most_per_s requests in a second. The requests are
    dealt to the nodes in turn, from another node on for each target.
    member_count is the number of nodes if not all members are known.
    """
    most_at_once = max(int(most_per_s * STANDALONE_REJECTION_SHARE), 1)
    names = sorted({node, *members})
    count = max(member_count, len(names))
    number = names.index(node)
    if len(names) < count:
        number = zlib.crc32(node.encode())
    position = (number - zlib.crc32(target.encode())) % count
    return most_at_once // count + (position < most_at_once % count)
