"""The lagging load figures of an engine."""

import asyncio
from collections import deque

import attrs

from standins.engine.batch import Batch

SAMPLE_S = 0.05


@attrs.define
class LoadReport:
    """Shows running and queued as they were lag_s seconds ago."""

    lag_s: float
    _samples: deque[tuple[float, int, int]] = attrs.Factory(deque)

    async def watch(self, batch: Batch) -> None:
        """Sample the batch until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            counts = len(batch.running), len(batch.waiting)
            self._samples.append((loop.time(), *counts))
            self._forget(loop.time())
            await asyncio.sleep(SAMPLE_S)

    def current(self) -> tuple[int, int]:
        """Return running and queued, late."""
        if not self._samples:
            return 0, 0
        _, running, queued = self._samples[0]
        return running, queued

    def _forget(self, now_s: float) -> None:
        shown_s = now_s - self.lag_s
        while len(self._samples) > 1:
            next_s, _, _ = self._samples[1]
            if next_s > shown_s:
                return
            self._samples.popleft()
