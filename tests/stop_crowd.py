"""Callers that stay with a node until its process is gone."""

import asyncio
import itertools
import time
from collections.abc import Iterator

import aiohttp
import attrs

from standins.agency.world import HOST, KEY, AgencyWorld, NodeHandle

PAUSE_S = 0.01
ANSWER_S = 20.0  # more than any grace here
USED_SHARE = 0.9  # of a deadline, after which the deadline ends a request
MS_PER_S = 1000
OK = 200
LOSS_SLACK_S = 0.5  # a request and the close of its connection cross


@attrs.define(eq=False)
class Asked:
    """A request, and what came of it; status is 0 without an answer."""

    request_id: str
    sent_s: float
    deadline_s: float
    status: int = 0
    body: bytes = b''
    closes: bool = False
    is_whole: bool = False
    is_refused_conn: bool = False
    ended_s: float = 0

    @property
    def is_lost(self) -> bool:
        """Whether it ended without a whole answer, before its deadline."""
        used_s = self.ended_s - self.sent_s
        return not self.is_whole and used_s < USED_SHARE * self.deadline_s


@attrs.define(eq=False)
class Crowd:
    """The callers of one node; deadline_ms are given in turn."""

    world: AgencyWorld
    node: NodeHandle
    deadlines_ms: tuple[int, ...]
    asked: list[Asked] = attrs.field(factory=list)
    _numbers: Iterator[int] = attrs.field(factory=itertools.count)

    async def stay(self, path: str, model: str = '') -> None:
        """Ask on one connection that is kept, until the process is gone."""
        conn = aiohttp.TCPConnector(limit=1)
        async with aiohttp.ClientSession(connector=conn) as session:
            while self.node.process.is_running():
                await self.ask(session, path, model)
                await asyncio.sleep(PAUSE_S)

    async def come(self, path: str, model: str = '') -> None:
        """Ask on a new connection each time, until the process is gone."""
        conn = aiohttp.TCPConnector(limit=0, force_close=True)
        async with (
            aiohttp.ClientSession(connector=conn) as session,
            asyncio.TaskGroup() as group,
        ):
            while self.node.process.is_running():
                group.create_task(self.ask(session, path, model))
                await asyncio.sleep(PAUSE_S)

    async def ask(
        self, session: aiohttp.ClientSession, path: str, model: str
    ) -> None:
        """Send a request that is stated as short, and read its answer."""
        number = next(self._numbers)
        place = self.node.process.name
        name = f'{place}-{number}'
        deadline_ms = self.deadlines_ms[number % len(self.deadlines_ms)]
        asked = Asked(name, time.monotonic(), deadline_ms / MS_PER_S)
        self.asked.append(asked)
        headers = {
            'Host': HOST,
            'X-Request-Id': name,
            'X-Deadline': str(deadline_ms),
            'Authorization': f'Bearer {KEY}',
        }
        if model:
            headers |= {'X-Model': model, 'X-Token-Counts': '12,20'}
        address = self.node.front
        try:
            async with session.post(
                f'http://{address}{path}',
                headers=headers,
                data=b'{}',
                timeout=aiohttp.ClientTimeout(total=ANSWER_S),
            ) as resp:
                asked.status = resp.status
                asked.closes = resp.headers.get('Connection') == 'close'
                asked.body = await resp.read()
                asked.is_whole = True
        except aiohttp.ClientConnectorError:
            asked.is_refused_conn = True
        except (aiohttp.ClientError, TimeoutError):
            asked.is_whole = False
        asked.ended_s = time.monotonic()

    def served(self, since_s: float) -> list[Asked]:
        """Return requests sent since then that got a target's whole answer."""
        return [
            one
            for one in self.asked
            if one.sent_s >= since_s and one.is_whole and one.status == OK
        ]

    def cut(self, since_s: float) -> list[Asked]:
        """Return requests that ran and got no whole answer."""
        ran = {
            name for one in self.world.replicas.values() for name in one.runs
        }
        return [
            one
            for one in self.asked
            if one.sent_s >= since_s and one.is_lost and one.request_id in ran
        ]

    def unheard(self, since_s: float) -> list[Asked]:
        """Return requests that were kept waiting for no answer."""
        return [
            one
            for one in self.asked
            if one.sent_s >= since_s
            and one.is_lost
            and not one.is_refused_conn
            and one.ended_s - one.sent_s > LOSS_SLACK_S
        ]
