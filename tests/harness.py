"""Real processes for integration tests."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import TypeVar

from standins.cluster import OPERATOR_TOKEN, Cluster, open_cluster
from standins.node import Node

__all__ = [
    'OPERATOR_TOKEN',
    'Cluster',
    'Node',
    'in_turn',
    'open_cluster',
    'wait_until',
]

Result = TypeVar('Result')
WAIT_S = 20.0
POLL_S = 0.02


async def wait_until(
    condition: Callable[[], Awaitable[bool]], limit_s: float = WAIT_S
) -> None:
    """Return once a condition holds; raises TimeoutError after limit_s."""
    async with asyncio.timeout(limit_s):
        while not await condition():
            await asyncio.sleep(POLL_S)


async def in_turn(calls: Iterable[Awaitable[Result]]) -> list[Result]:
    """Return the results of calls that are made one after another."""
    # The order is what this function is for.
    return [await call for call in calls]  # noqa: WPS476
