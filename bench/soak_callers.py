"""Callers of a soak that keep their connections."""

import asyncio
import random
import time
from typing import Any

import aiohttp
import attrs

from bench.soak_load import (
    STREAMS,
    Seen,
    Sent,
    SoakLoad,
    place_of,
    read_seals,
)
from bench.soak_plans import STREAM_LIMIT_MS
from standins.agency.event_text import ECHO
from standins.agency.replica import EVENTS_HEADER
from standins.agency.world import MODELS, NodeHandle

PATHS = ('/post/', '/look/', '/chat/', '/draft/')
PAUSE_S = (0, 0.2)
EVENTS = (1, 5, 30, 60)
EVENT_S = (0.005, 0.02, 0.045)  # paces of targets; streams last up to 2.7 s
STATED = (0.25, 1, 3)  # times the tokens that are made
DEADLINES_MS = (1000, 2000, 4000, STREAM_LIMIT_MS)
PLAIN_LIMIT_MS = 2000  # the time-out of the plain routes
PADDING = (0, 0, 2000, 40000)  # bytes
MS_PER_S = 1000
KEPT_S = 60.0  # longer than a soak


@attrs.define(eq=False)
class SoakCaller:
    """One caller, which sends its requests on one connection.

    It closes that when an answer says so. One that is_loyal comes back to the
    same node until that is gone, the others connect to any.
    """

    load: SoakLoad
    rng: random.Random
    name: str
    is_loyal: bool
    is_over: bool = False
    node: NodeHandle | None = None
    _number: int = 0
    _written_s: float = 0

    async def run(self) -> None:
        """Send one request after the other until it is over."""
        connector = aiohttp.TCPConnector(limit=1, keepalive_timeout=KEPT_S)
        trace = aiohttp.TraceConfig()
        trace.on_request_chunk_sent.append(self._note_written)
        async with aiohttp.ClientSession(
            connector=connector, trace_configs=[trace]
        ) as session:
            world = attrs.evolve(self.load.world, session=session)
            while not self.is_over:
                await asyncio.sleep(self.rng.uniform(*PAUSE_S))
                if self.node is None and world.nodes:
                    self.node = self.rng.choice(world.nodes)
                if self.node is not None:
                    await self._call(world.request, self.node)

    async def _call(self, request: Any, node: NodeHandle) -> None:
        self._number += 1
        request_id = f'{self.name}-{self._number}'
        path = self.rng.choice(PATHS)
        events = self.rng.choice(EVENTS)
        said = b'%s%s' % (ECHO, request_id.encode())
        body = said + b'\n' * self.rng.choice(PADDING)
        limit_ms = self._limit_ms(path)
        self.load.sent[request_id] = Sent(
            place_of(node), time.monotonic(), limit_ms / MS_PER_S
        )
        status, text = 0, b''
        seals: tuple[str, ...] = ()
        try:
            async with request(
                node,
                path,
                request_id,
                body,
                X_Deadline=str(limit_ms),
                **self._more(path, events),
            ) as resp:
                self._follow(resp)
                text = await resp.read()
                status, seals = resp.status, read_seals(resp)
        except aiohttp.ClientConnectorError:
            self.node = None
        except (aiohttp.ClientError, TimeoutError) as exc:
            status, text = 0, repr(exc).encode()
            self._leave()
        self.load.seen.append(
            Seen(
                request_id,
                path,
                status,
                text,
                said,
                events,
                written_s=self._written_s,
                seals=seals,
            )
        )

    async def _note_written(self, *_: object) -> None:
        """Note when the last bytes of a request left."""
        self._written_s = time.monotonic()

    def _limit_ms(self, path: str) -> int:
        """Return the time that the caller has, at most its route's."""
        limit_ms = self.rng.choice(DEADLINES_MS)
        return limit_ms if path in STREAMS else min(limit_ms, PLAIN_LIMIT_MS)

    def _more(self, path: str, events: int) -> dict[str, str]:
        """Return the headers that only some requests have."""
        more = {}
        if path in STREAMS:
            tokens = max(int(events * self.rng.choice(STATED)), 1)
            more['X_Model'] = self.rng.choice(MODELS)
            more['X_Token_Counts'] = f'500,{tokens}'
            more[EVENTS_HEADER] = str(events)
        return more

    def _follow(self, resp: aiohttp.ClientResponse) -> None:
        if resp.headers.get('Connection', '').lower() == 'close':
            self._leave()

    def _leave(self) -> None:
        """Connect to any node next time, unless this one is preferred."""
        if not self.is_loyal:
            self.node = None
