"""Keys that are added and withdrawn while a chaos run goes on."""

import asyncio
import random
from typing import Any

import attrs

from bench.control import run_mimosactl
from mimosaworks.clock import now_s

IN_FORCE, PENDING = 0, 3
USED_S = 2.0


@attrs.define
class ChaosKeys:
    """Secrets by key name, and what operators were told of changes.

    withdrawn maps a key to the time when its withdrawal was told to be in
    force; added and removed hold the names of accepted changes; unknown
    those whose change was answered with an error.
    """

    admin_url: str
    secrets: dict[str, str]
    withdrawn: dict[str, float] = attrs.Factory(dict)
    added: set[str] = attrs.Factory(set)
    removed: set[str] = attrs.Factory(set)
    unknown: set[str] = attrs.Factory(set)
    churned: list[str] = attrs.Factory(list)

    def pick(self, rng: random.Random) -> str:
        """Return a key that is or was in use, a recent one more often."""
        recent = self.churned[-3:]
        return rng.choice(recent) if recent else 'wide'

    async def churn(self, prefix: str) -> None:
        """Add keys and withdraw them until cancelled."""
        number = 0
        while True:
            number += 1
            await self._use(f'{prefix}{number}')

    async def _use(self, name: str) -> None:
        told = await self._change('add', name, '--workspace=wide')
        if told is None:
            return
        self.added.add(name)
        self.secrets[name] = told['secret']
        self.churned.append(name)
        await asyncio.sleep(USED_S)
        told = await self._change('withdraw', name)
        if told is None:
            return
        self.removed.add(name)
        if told['state'] == 'in-force':
            self.withdrawn[name] = now_s()

    async def _change(self, verb: str, name: str, *words: str) -> Any:
        result = await run_mimosactl(
            self.admin_url, '--output=json', 'key', verb, name, *words
        )
        if result.exit_code in {IN_FORCE, PENDING}:
            return result.fields
        self.unknown.add(name)
        return None
