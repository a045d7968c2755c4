"""Where an engine finds the checkpoint of a model."""

import asyncio

import aiohttp
import attrs

from standins.engine.options import EngineOptions

CACHED_IN_MEMORY = 2
CACHED_ON_DISK = 8


@attrs.define
class Checkpoints:
    """Loads checkpoints from memory, disk or the platform's weight store."""

    cfg: EngineOptions
    session: aiohttp.ClientSession
    memory: list[str] = attrs.Factory(list)
    disk: list[str] = attrs.Factory(list)

    async def load(self, checkpoint: str, size_bytes: int) -> None:
        """Return when a model's checkpoint has been loaded.

        Raises aiohttp.ClientError when the weight store fails.
        """
        if checkpoint in self.memory:
            await asyncio.sleep(self.cfg.memory_load_s)
            return
        if checkpoint not in self.disk:
            await self._fetch(checkpoint, size_bytes)
        await asyncio.sleep(self.cfg.disk_load_s)

    async def load_adapter(self, adapter: str) -> None:
        """Return when an adapter has been loaded."""
        if self.cfg.platform_url:
            await self._get(f'/adapters/{adapter}', {})
        else:
            await asyncio.sleep(self.cfg.memory_load_s / 10)

    def keep_in_memory(self, checkpoint: str) -> None:
        """Keep an unloaded model's checkpoint in the host's memory."""
        if checkpoint not in self.memory:
            self.memory.append(checkpoint)
        self.memory = self.memory[-CACHED_IN_MEMORY:]

    async def _fetch(self, checkpoint: str, size_bytes: int) -> None:
        if self.cfg.platform_url:
            query = {'size_bytes': str(size_bytes)}
            await self._get(f'/weights/{checkpoint}', query)
        else:
            await asyncio.sleep(self.cfg.remote_load_s)
        self.disk.append(checkpoint)
        self.disk = self.disk[-CACHED_ON_DISK:]

    async def _get(self, path: str, query: dict[str, str]) -> None:
        limit = aiohttp.ClientTimeout(total=None)
        url = self.cfg.platform_url + path
        async with self.session.get(
            url, params=query, timeout=limit, raise_for_status=True
        ) as resp:
            await resp.read()
