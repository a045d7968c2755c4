"""Real processes for integration tests."""

import asyncio
from collections.abc import Awaitable, Callable

from standins.cluster import OPERATOR_TOKEN, Cluster, open_cluster
from standins.node import Node

__all__ = [
    'OPERATOR_TOKEN',
    'Cluster',
    'Node',
    'open_cluster',
    'wait_until',
]

WAIT_S = 20.0
POLL_S = 0.02


async def wait_until(
    condition: Callable[[], Awaitable[bool]], limit_s: float = WAIT_S
) -> None:
    """Return once a condition holds; raises TimeoutError after limit_s."""
    async with asyncio.timeout(limit_s):
        while not await condition():
            await asyncio.sleep(POLL_S)
