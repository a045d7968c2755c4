"""Sends a planned load in open loop and gathers the outcomes."""

import asyncio
import itertools
import json
import time
from collections.abc import Sequence
from http import HTTPStatus

import aiohttp
import attrs

from bench.outcome import Outcome
from bench.planned_request import PlannedRequest

GRACE_S = 5.0  # beyond a request's deadline, for a stream's end
_DONE = b'[DONE]'
CUT = 'cut'
UNREACHED = 'unreached'


@attrs.define
class LoadRun:
    """Sends requests at their times, whatever happened to earlier ones.

    secrets maps workspaces to keys; routers are base URLs, used in turn.
    """

    session: aiohttp.ClientSession
    secrets: dict[str, str]
    routers: Sequence[str]
    started_s: float = 0

    async def send_all(self, plan: Sequence[PlannedRequest]) -> list[Outcome]:
        """Return the outcome of each planned request."""
        self.started_s = time.monotonic()
        turns = itertools.cycle(self.routers)
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(self._send(ask, next(turns))) for ask in plan
            ]
        return [task.result() for task in tasks]

    async def _send(self, ask: PlannedRequest, router: str) -> Outcome:
        await asyncio.sleep(self.started_s + ask.at_s - time.monotonic())
        limit = aiohttp.ClientTimeout(total=ask.deadline_s + GRACE_S)
        try:
            async with self.session.post(
                router + _path(ask),
                data=ask.body(),
                headers=self._headers(ask),
                timeout=limit,
            ) as resp:
                return await self._read(ask, resp)
        except (aiohttp.ClientError, TimeoutError):
            now_s = self._elapsed_s(ask)
            return Outcome(ask, 0, UNREACHED, False, now_s, now_s)

    async def _read(
        self, ask: PlannedRequest, resp: aiohttp.ClientResponse
    ) -> Outcome:
        body = await resp.content.readany()
        first_s = self._elapsed_s(ask)
        body += await resp.read()
        return Outcome(
            ask=ask,
            status=resp.status,
            code=_code(ask, resp.status, body),
            was_cold='Mimosa-Cold' in resp.headers,
            first_s=first_s,
            total_s=self._elapsed_s(ask),
        )

    def _headers(self, ask: PlannedRequest) -> dict[str, str]:
        return {
            'X-Api-Key': self.secrets[ask.workspace],
            'Mimosa-Deadline-S': str(ask.deadline_s),
        }

    def _elapsed_s(self, ask: PlannedRequest) -> float:
        return time.monotonic() - self.started_s - ask.at_s


def _path(ask: PlannedRequest) -> str:
    return '/v1/chat/completions' if ask.model else '/calls'


def _code(ask: PlannedRequest, status: int, body: bytes) -> str:
    if status != HTTPStatus.OK:
        return str(json.loads(body)['error']['code'])
    is_whole = not ask.model or _DONE in body
    return '' if is_whole else CUT
