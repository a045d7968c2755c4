"""Tells whether an engine crashed, by its generation number."""

import asyncio
import json
from collections import defaultdict

import aiohttp
import attrs

from mimosaworks.entities import Target

REPORT_TIMEOUT_S = 1.0


@attrs.define
class Generations:
    """The last generation seen of each engine; asks engines' reports.

    One question at a time goes to an engine: a crash that is found while
    its generation is still being learned would get a second id later.
    """

    session: aiohttp.ClientSession
    _known: dict[str, str] = attrs.field(factory=dict)
    _locks: defaultdict[str, asyncio.Lock] = attrs.field(
        factory=lambda: defaultdict(asyncio.Lock)
    )

    async def learn(self, target: Target) -> None:
        """Ask for the generation of an engine that has none here yet."""
        if target.kind != 'engine':
            return
        async with self._locks[target.name]:
            if target.name not in self._known:
                generation = await self._ask(target)
                if generation:
                    self._known[target.name] = generation

    async def find_crash(self, target: Target) -> str | None:
        """Return the crash's id if the engine seems to have ended.

        Evidence is a new generation, or a report that is refused or breaks
        off; a time-out is none. A broken report may be the link's fault, so
        has_survived has to be asked later.
        """
        if target.kind != 'engine':
            return None
        async with self._locks[target.name]:
            return await self._compare(target)

    async def has_survived(self, target: Target, crash_id: str) -> bool | None:
        """Tell whether the engine still has the generation of a crash's id.

        None while it does not answer.
        """
        try:
            current = await self._ask(target)
        except (aiohttp.ClientError, TimeoutError):
            return None
        return crash_id == f'{target.name}@{current}' if current else None

    async def _compare(self, target: Target) -> str | None:
        before = self._known.get(target.name, '')
        try:
            current = await self._ask(target)
        except TimeoutError:
            return None
        except aiohttp.ClientError:
            return f'{target.name}@{before}'
        if not current:
            return None
        self._known[target.name] = current
        is_same = before in {'', current}
        return None if is_same else f'{target.name}@{before}'

    async def _ask(self, target: Target) -> str:
        limit = aiohttp.ClientTimeout(total=REPORT_TIMEOUT_S)
        async with self.session.get(
            f'{target.url}/report', timeout=limit, raise_for_status=True
        ) as resp:
            report = await resp.text()
        return _generation(report)


def _generation(report: str) -> str:
    """Return a report's generation, empty when it tells none."""
    try:
        return str(json.loads(report)['generation'])
    except (ValueError, KeyError, TypeError):
        return ''
