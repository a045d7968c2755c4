"""Callers of a soak, and what they and the targets have seen."""

import asyncio
import itertools
import random
import time
from collections import Counter
from collections.abc import Iterator

import aiohttp
import attrs

from standins.agency.replica import EVENTS
from standins.agency.world import MODELS, AgencyWorld

PAUSE_S = 0.02
ONCE = ('/post/', '/chat/')  # requests that must not be repeated
STREAMS = ('/chat/', '/draft/')
NOT_RUN = frozenset((408, 421, 429, 503))
OK = 200


@attrs.frozen
class Seen:
    """One answer as a caller saw it; status 0 for a broken one."""

    request_id: str
    path: str
    status: int
    body: bytes = b''


@attrs.frozen
class Sent:
    """When a request was sent, to which process of a node."""

    node: tuple[str, int]
    at_s: float


@attrs.define(eq=False)
class SoakLoad:
    """Sends requests to random nodes until it is cancelled."""

    world: AgencyWorld
    rng: random.Random
    seen: list[Seen] = attrs.field(factory=list)
    sent: dict[str, Sent] = attrs.field(factory=dict)
    _numbers: Iterator[int] = attrs.field(factory=lambda: itertools.count(1))
    _tasks: set['asyncio.Task[None]'] = attrs.field(factory=set)

    async def run(self) -> None:
        """Send one request each PAUSE_S."""
        while True:  # noqa: WPS457 -- ends when the task is cancelled
            task = asyncio.create_task(self.call())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(PAUSE_S)

    async def finish(self) -> None:
        """Wait for the answers that are due."""
        await asyncio.gather(*self._tasks)

    async def call(self) -> None:
        """Send one request and note what came back."""
        if not self.world.nodes:
            return
        path = self.rng.choice(('/post/', '/look/', '/chat/', '/draft/'))
        request_id = f'soak-{next(self._numbers)}'
        extra = {}
        if path in STREAMS:
            adapter = self.rng.choice(('', '', '/a1', '/a2', '/a3'))
            model = self.rng.choice(MODELS)
            extra['X_Model'] = f'{model}{adapter}'
            extra['X_Token_Counts'] = '500,20'
        node = self.rng.choice(self.world.nodes)
        place = (node.process.name, node.process.child.pid)
        self.sent[request_id] = Sent(place, time.monotonic())
        try:
            async with self.world.request(
                node, path, request_id, **extra
            ) as resp:
                body = await resp.read()
                self.seen.append(Seen(request_id, path, resp.status, body))
        except (aiohttp.ClientError, TimeoutError):
            self.seen.append(Seen(request_id, path, 0))


def broken_promises(world: AgencyWorld, seen: list[Seen]) -> list[str]:
    """Return what callers or targets saw that the promises rule out."""
    runs = Counter(
        request_id
        for replica in world.replicas.values()
        for request_id in replica.runs
    )
    found = [
        f'{replica.name} was loaded beyond its memory'
        for replica in world.replicas.values()
        if replica.overloads
    ]
    for one in seen:
        found.extend(_broken_by(one, runs[one.request_id]))
    keys = [
        headers['X-Request-Id']
        for replica in world.replicas.values()
        for headers in replica.headers
        if 'Authorization' in headers or headers.get('X-Tenant') != 'agency'
    ]
    return found + [f'{name}: the key reached a target' for name in keys]


def _broken_by(one: Seen, runs: int) -> Iterator[str]:
    if one.path in ONCE and runs > 1:
        yield f'{one.request_id} {one.path} ran {runs} times'
    if one.status in NOT_RUN and runs and one.path in ONCE:
        yield f'{one.request_id} {one.path} was said not to have run'
    if one.status == OK and not _is_whole(one):
        yield f'{one.request_id} {one.path} has a wrong body: {one.body!r}'


def _is_whole(one: Seen) -> bool:
    if one.path not in STREAMS:
        return one.body == b'plain answer'
    ids = [line for line in one.body.split(b'\n') if line.startswith(b'id: ')]
    return ids == [b'id: %d' % number for number in range(1, EVENTS + 1)]
