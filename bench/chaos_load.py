"""Sends the calls of a chaos run and keeps what became of them."""

import asyncio
import random
from collections.abc import Sequence

import aiohttp
import attrs

from bench.chaos_ask import ChaosAsk
from bench.chaos_call import ChaosCall
from bench.chaos_keys import ChaosKeys
from bench.chaos_unit import ChaosUnit
from mimosaworks.clock import now_s

# Long past every deadline: a call that is cut here got no answer.
PATIENCE_S = 30.0
NO_ANSWER = 'no answer'


@attrs.define
class ChaosLoad:
    """Sends each call at its time, whatever became of earlier ones."""

    session: aiohttp.ClientSession
    routers: Sequence[ChaosUnit]
    keys: ChaosKeys
    rng: random.Random
    started_s: float = attrs.Factory(now_s)

    async def send_all(self, asks: Sequence[ChaosAsk]) -> list[ChaosCall]:
        """Return the calls with their answers, in the order of asks."""
        return await asyncio.gather(*(self._send_at(ask) for ask in asks))

    async def send(self, ask: ChaosAsk) -> ChaosCall:
        """Send a call now and return it with its answer."""
        if not ask.key_name:
            ask = attrs.evolve(ask, key_name=self.keys.pick(self.rng))
        url = self.routers[ask.router].node.url + ask.path
        partial = ChaosCall(ask, now_s(), 0)
        try:
            async with self.session.post(
                url,
                data=ask.body(),
                headers=ask.headers(self.keys.secrets[ask.key_name]),
                timeout=aiohttp.ClientTimeout(total=PATIENCE_S),
            ) as resp:
                partial = attrs.evolve(
                    partial,
                    first_s=now_s(),
                    status=resp.status,
                    headers=resp.headers,
                )
                body = await resp.read()
        except TimeoutError:
            return attrs.evolve(partial, ended_s=now_s(), fault=NO_ANSWER)
        except aiohttp.ClientError as exc:
            name = type(exc).__name__
            return attrs.evolve(partial, ended_s=now_s(), fault=name)
        return attrs.evolve(partial, ended_s=now_s(), body=body)

    async def _send_at(self, ask: ChaosAsk) -> ChaosCall:
        await asyncio.sleep(self.started_s + ask.at_s - now_s())
        return await self.send(ask)
