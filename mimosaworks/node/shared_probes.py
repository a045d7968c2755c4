"""Asks targets once for all that wait for the same reply."""

import asyncio
import functools
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

import attrs

Key = TypeVar('Key')
Reply = TypeVar('Reply')


@attrs.define(eq=False)
class SharedProbes(Generic[Key, Reply]):
    """Asks with probe, at most once at a time for each key."""

    probe: Callable[[Key], Awaitable[Reply]]
    _running: 'dict[Key, asyncio.Task[Reply]]' = attrs.field(factory=dict)
    _waiting: 'dict[Key, asyncio.Task[Reply]]' = attrs.field(factory=dict)

    async def ask(self, key: Key) -> Reply:
        """Return the reply to a probe that begins from now on."""
        task = self._waiting.get(key)
        if task is None:
            task = asyncio.create_task(self._run(key))
            task.add_done_callback(functools.partial(self._forget, key))
            self._waiting[key] = task
        # A caller that leaves does not end the probe for the others.
        return await asyncio.shield(task)

    async def _run(self, key: Key) -> Reply:
        earlier = self._running.get(key)
        if earlier is not None:
            await asyncio.wait([earlier])
        self._running[key] = self._waiting.pop(key)
        return await self.probe(key)

    def _forget(self, key: Key, task: 'asyncio.Task[Reply]') -> None:
        for tasks in (self._running, self._waiting):
            if tasks.get(key) is task:
                tasks.pop(key)
