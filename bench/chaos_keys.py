"""Keys that are added and withdrawn while a chaos run goes on."""

import asyncio
import random
from typing import Any

import attrs

from bench.control import ControlResult, run_mimosactl
from mimosaworks.clock import now_s

IN_FORCE, PENDING = 0, 3
USED_S = 2.0


@attrs.define
class ChaosKeys:
    """Secrets by key name, and what operators were told of changes.

    withdrawn maps a key to the time when its withdrawal was told to be in
    force; added and removed hold the names of accepted changes; unknown
    those whose change is under way or was answered with an error.
    """

    admin_url: str
    secrets: dict[str, str]
    withdrawn: dict[str, float] = attrs.Factory(dict)
    added: set[str] = attrs.Factory(set)
    removed: set[str] = attrs.Factory(set)
    unknown: set[str] = attrs.Factory(set)
    churned: list[str] = attrs.Factory(list)
    _running: set[asyncio.Task[ControlResult]] = attrs.Factory(set)

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

    async def close(self) -> None:
        """Wait for changes that were given up, so that no child is left."""
        await asyncio.gather(*self._running)

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
        # Unknown until told: the configuration may be read meanwhile.
        self.unknown.add(name)
        task = asyncio.create_task(
            run_mimosactl(
                self.admin_url, '--output=json', 'key', verb, name, *words
            )
        )
        self._running.add(task)
        result = await asyncio.shield(task)
        self._running.discard(task)
        if result.exit_code not in {IN_FORCE, PENDING}:
            return None
        self.unknown.discard(name)
        return result.fields
