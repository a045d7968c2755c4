"""Targets of a soak that send more than their answers."""

import asyncio
import contextlib
import random

import attrs

from bench.soak_spans import SoakSpans
from standins.agency.extra import Extra
from standins.agency.replica import Replica
from standins.agency.world import AgencyWorld

KINDS = ('named', 'bare', 'rejection', 'garbage')
QUIET_S = (0.1, 0.5)
EXTRA_S = (0.5, 2.0)
AFTER_S = (0, 0.06)  # about as long as the next answer takes


@attrs.define(eq=False)
class SoakExtras:
    """Has targets send extra bytes, until cancelled.

    A stream that such bytes break off is the target's fault.
    """

    world: AgencyWorld
    spans: SoakSpans
    rng: random.Random

    async def run(self) -> None:
        """Use one target after the other."""
        while True:  # noqa: WPS457 -- ends when the task is cancelled
            await asyncio.sleep(self.rng.uniform(*QUIET_S))
            replica = self.world.draw_replica(self.rng)
            with self.spans.disturb(replica.name):
                await self._exceed(replica)

    async def _exceed(self, replica: Replica) -> None:
        kind = self.rng.choice(KINDS)
        replica.extra = Extra(kind, self.rng.uniform(*AFTER_S))
        with contextlib.ExitStack() as stack:
            stack.callback(setattr, replica, 'extra', None)
            await asyncio.sleep(self.rng.uniform(*EXTRA_S))
