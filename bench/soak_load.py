"""Callers of a soak, and what they and the targets have seen."""

import asyncio
import itertools
import random
import time
from collections import Counter
from collections.abc import Iterator
from typing import Any

import aiohttp
import attrs

from standins.agency.event_text import ECHO, event_text
from standins.agency.replica import EVENTS, PLAIN
from standins.agency.world import MODELS, AgencyWorld, NodeHandle

PAUSE_S = 0.02
LIMIT_S = 4.0  # the deadline of a request
SHORT_LIMIT_S = 0.6  # of one in EVERY, so that targets can wait for it
EVERY = 16
ONCE = ('/post/', '/chat/')  # requests that must not be repeated
STREAMS = ('/chat/', '/draft/')
NOT_RUN = frozenset((408, 421, 429, 503))
OK = 200
MS = 1000


@attrs.frozen
class Seen:
    """One answer as a caller saw it; status 0 for a broken one, with its error.

    The answer is to repeat what the request said, in as many events. written_s
    is when its last bytes were sent, where that is known. seals are those in
    its head.
    """

    request_id: str
    path: str
    status: int
    body: bytes = b''
    said: bytes = b''
    events: int = EVENTS
    written_s: float = 0
    seals: tuple[str, ...] = ()
    ended_s: float = attrs.field(factory=time.monotonic)

    def is_whole(self) -> bool:
        """Return whether the body is all of the request's own answer."""
        if self.path not in STREAMS:
            return self.body == (self.said or PLAIN)
        numbers = range(1, self.events + 1)
        texts = (event_text(number, self.said) for number in numbers)
        return self.body == b''.join(texts)


@attrs.frozen
class Sent:
    """When a request was sent, to which process of a node.

    limit_s is the time in which its answer has to end.
    """

    node: tuple[str, int]
    at_s: float
    limit_s: float = LIMIT_S


def read_seals(resp: aiohttp.ClientResponse) -> tuple[str, ...]:
    """Return the targets that the head of an answer names."""
    return tuple(resp.headers.getall('X-Server-Seal', ()))


def place_of(node: NodeHandle) -> tuple[str, int]:
    """Return the name and the process id of a node."""
    return (node.process.name, node.process.pid)


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
        number = next(self._numbers)
        request_id = f'soak-{number}'
        # One half has the same content, the other its own each.
        said = b'%s%s' % (ECHO, request_id.encode()) if number % 2 else b''
        path = self.rng.choice(('/post/', '/look/', '/chat/', '/draft/'))
        limit_s = SHORT_LIMIT_S if number % EVERY == 1 else LIMIT_S
        extra = self._more(path)
        extra['X_Deadline'] = str(round(limit_s * MS))
        node = self.rng.choice(self.world.nodes)
        self.sent[request_id] = Sent(place_of(node), time.monotonic(), limit_s)
        status, body, seals = await self._ask(
            node, path, request_id, said or b'{}', **extra
        )
        self.seen.append(
            Seen(request_id, path, status, body, said, seals=seals)
        )

    def _more(self, path: str) -> dict[str, str]:
        """Return the headers that only some requests have."""
        if path not in STREAMS:
            return {}
        adapter = self.rng.choice(('', '', '/a1', '/a2', '/a3'))
        model = self.rng.choice(MODELS)
        return {'X_Model': f'{model}{adapter}', 'X_Token_Counts': '500,20'}

    async def _ask(
        self, *request: Any, **extra: str
    ) -> tuple[int, bytes, tuple[str, ...]]:
        """Return the status, the body and the seals of an answer."""
        try:
            async with self.world.request(*request, **extra) as resp:
                return resp.status, await resp.read(), read_seals(resp)
        except (aiohttp.ClientError, TimeoutError) as exc:
            return 0, repr(exc).encode(), ()


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
    if one.status == OK and not one.is_whole():
        yield f'{one.request_id} {one.path} has a wrong body: {one.body!r}'
    if one.status == OK and len(one.seals) != 1:
        yield f'{one.request_id} {one.path} has a head of {one.seals}'
