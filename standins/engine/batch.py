"""The continuous batch of an engine."""

import asyncio
import bisect
import os

import attrs

from standins.engine.options import EngineOptions
from standins.engine.prefix_cache import PrefixCache
from standins.engine.sequence import Sequence

CHARS_PER_TOKEN = 4
CRASH_EXIT_CODE = 70


@attrs.define
class Batch:
    """Generates one token per step for each running sequence.

    Waiting sequences are taken by priority, lower first, then by arrival.
    """

    cfg: EngineOptions
    prefixes: PrefixCache
    running: list[Sequence] = attrs.Factory(list)
    waiting: list[Sequence] = attrs.Factory(list)
    _arrived: asyncio.Event = attrs.Factory(asyncio.Event)

    def is_full(self) -> bool:
        """Return whether the queue takes no more."""
        return len(self.waiting) >= self.cfg.max_queued

    def add(self, sequence: Sequence) -> None:
        """Queue a sequence."""
        bisect.insort(self.waiting, sequence, key=_priority)
        self._arrived.set()

    def cancel(self, sequence: Sequence) -> None:
        """End a sequence early; one that has ended is left alone."""
        for members in (self.running, self.waiting):
            if sequence in members:
                members.remove(sequence)
                sequence.record.cancelled += 1
                sequence.out.put_nowait(None)

    def find(self, request_id: str) -> list[Sequence]:
        """Return the sequences of a request id."""
        return [
            sequence
            for sequence in self.running + self.waiting
            if sequence.request_id == request_id
        ]

    def count_of(self, name: str) -> int:
        """Return how many sequences use a model or adapter."""
        return sum(
            name in {sequence.model, sequence.adapter}
            for sequence in self.running + self.waiting
        )

    async def run(self) -> None:
        """Step until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            if not (self.running or self.waiting):
                self._arrived.clear()
                await self._arrived.wait()
            self._admit(loop.time())
            await asyncio.sleep(self.cfg.step_s)
            self._step(loop.time())

    def _admit(self, now_s: float) -> None:
        while self.waiting and len(self.running) < self.cfg.max_batch:
            sequence = self.waiting.pop(0)
            prompt = sequence.prompt
            if not self.prefixes.touch(now_s, sequence.model, prompt):
                tokens = len(prompt) / CHARS_PER_TOKEN
                prefill_s = tokens / self.cfg.prefill_tokens_per_s
                sequence.ready_s = now_s + prefill_s
            self.running.append(sequence)

    def _step(self, now_s: float) -> None:
        for sequence in tuple(self.running):
            if sequence.crashes:
                os._exit(CRASH_EXIT_CODE)  # a crash runs no clean-up
            if sequence.ready_s <= now_s and not sequence.is_done():
                sequence.generate()
            if sequence.is_done():
                self.running.remove(sequence)


def _priority(sequence: Sequence) -> int:
    return sequence.priority
