"""Detects crashes of engines by their generation numbers."""

import asyncio
import json
from collections import defaultdict

import aiohttp
import attrs

from mimosaworks.bounded_answers import (
    REPORT_BYTES,
    OversizedError,
    log_cut,
    read_bounded,
)
from mimosaworks.entities import Target

REPORT_TIMEOUT_S = 1.0


@attrs.define
class GenerationTracker:
    """The last known generation of each engine, read from its report.

    An engine's report is fetched by one task at a time: otherwise, a crash
    that is detected while the generation is still being fetched would get a
    second id later.
    """

    session: aiohttp.ClientSession
    _known_generations: dict[str, str] = attrs.field(factory=dict)
    _locks: defaultdict[str, asyncio.Lock] = attrs.field(
        factory=lambda: defaultdict(asyncio.Lock)
    )

    async def fetch_if_unknown(self, target: Target) -> None:
        """Fetch the generation of an engine if it is not known yet."""
        if target.kind != 'engine':
            return
        async with self._locks[target.name]:
            if target.name not in self._known_generations:
                generation = await self._fetch_generation(target)
                if generation:
                    self._known_generations[target.name] = generation

    async def detect_crash(self, target: Target) -> str | None:
        """Return the id of a crash if the engine seems to have crashed.

        Evidence is a new generation, or a connection for the report that is
        refused or breaks; a timeout is none. A broken connection may have
        other causes, so has_survived has to be called later.
        """
        if target.kind != 'engine':
            return None
        async with self._locks[target.name]:
            return await self._compare_generation(target)

    async def has_survived(self, target: Target, crash_id: str) -> bool | None:
        """Return whether the engine has the generation of the crash's id.

        If so, it did not crash. None while it does not answer.
        """
        try:
            current_generation = await self._fetch_generation(target)
        except (aiohttp.ClientError, TimeoutError):
            return None
        return (
            crash_id == f'{target.name}@{current_generation}'
            if current_generation
            else None
        )

    async def _compare_generation(self, target: Target) -> str | None:
        known_generation = self._known_generations.get(target.name, '')
        try:
            current_generation = await self._fetch_generation(target)
        except TimeoutError:
            return None
        except aiohttp.ClientError:
            return f'{target.name}@{known_generation}'
        if not current_generation:
            return None
        self._known_generations[target.name] = current_generation
        is_same = known_generation in {'', current_generation}
        return None if is_same else f'{target.name}@{known_generation}'

    async def _fetch_generation(self, target: Target) -> str:
        timeout = aiohttp.ClientTimeout(total=REPORT_TIMEOUT_S)
        try:
            async with self.session.get(
                f'{target.url}/report', timeout=timeout, raise_for_status=True
            ) as resp:
                report = await read_bounded(resp, REPORT_BYTES)
        except OversizedError as exc:
            # Too many bytes show no crash.
            log_cut(target.name, exc)
            return ''
        return _parse_generation(report)


def _parse_generation(report: bytes) -> str:
    """Return the generation in a report; empty if it has none."""
    try:
        return str(json.loads(report)['generation'])
    except (ValueError, KeyError, TypeError):
        return ''
