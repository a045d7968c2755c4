"""Tells whether an engine crashed, by its generation number."""

import aiohttp
import attrs

from mimosaworks.entities import Target

REPORT_TIMEOUT_S = 1.0


@attrs.define
class Generations:
    """The last generation seen of each engine; asks engines' reports."""

    session: aiohttp.ClientSession
    _known: dict[str, str] = attrs.field(factory=dict)

    async def learn(self, target: Target) -> None:
        """Ask for the generation of an engine that has none here yet."""
        if target.kind == 'engine' and target.name not in self._known:
            generation = await self._ask(target)
            if generation:
                self._known[target.name] = generation

    async def find_crash(self, target: Target) -> str | None:
        """Return the crash's id if the engine ended, else None.

        Evidence is a refused connection or a new generation; a time-out is
        none.
        """
        if target.kind != 'engine':
            return None
        before = self._known.get(target.name, '')
        try:
            now = await self._ask(target)
        except aiohttp.ClientConnectorError:
            return f'{target.name}@{before}'
        if now and before and now != before:
            self._known[target.name] = now
            return f'{target.name}@{before}'
        return None

    async def _ask(self, target: Target) -> str:
        limit = aiohttp.ClientTimeout(total=REPORT_TIMEOUT_S)
        try:
            async with self.session.get(
                f'{target.url}/report', timeout=limit
            ) as resp:
                report = await resp.json()
        except aiohttp.ClientConnectorError:
            raise
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return ''
        return str(report['generation'])
