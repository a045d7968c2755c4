"""Services whose targets are brittle for a time, and how often these fall."""

import asyncio
import contextlib
import random
import time
from collections.abc import Iterator, Sequence

import attrs

from bench.soak_load import SoakLoad
from standins.agency.replica import Replica
from standins.agency.world import AgencyWorld

WINDOW_S = 1.0
CONTACT_S = 3.0  # the bound in the nodes' settings
BRITTLE_S = (2.0, 4.0)  # after CONTACT_S
QUIET_S = (0.2, 1.0)
MOST_PER_S = (3, 5, 10)
ROOM = 2
BURST = 60
BURST_PAUSE_S = (0.5, 1.0)
# Falls of all targets in one time, and a share of their number.
TOLERATED_FALLS = 2
TOLERATED_SHARE = 0.1


@attrs.frozen
class BrittleTime:
    """A time in which the targets of a service had little room."""

    targets: tuple[Replica, ...]
    most_per_s: int
    begun_s: float
    ended_s: float

    def falls(self) -> int:
        """Return how often the targets had to turn away too many."""
        return sum(
            count_falls(target.turned_away_s, self) for target in self.targets
        )


def count_falls(times_s: Sequence[float], brittle: BrittleTime) -> int:
    """Count windows with too many of these times, none in two of them."""
    recent: list[float] = []
    falls = 0
    for at_s in sorted(times_s):
        if not brittle.begun_s <= at_s <= brittle.ended_s:
            continue
        recent = [one for one in recent if at_s - one < WINDOW_S]
        recent.append(at_s)
        if len(recent) > brittle.most_per_s:
            falls += 1
            recent.clear()
    return falls


@attrs.define(eq=False)
class SoakBrittle:
    """Makes the targets of a service brittle, until cancelled.

    They have little room and get bursts of requests. Its own random numbers
    leave the faults of known seeds as they were.
    """

    world: AgencyWorld
    load: SoakLoad
    rng: random.Random
    times: list[BrittleTime] = attrs.field(factory=list)

    async def run(self) -> None:
        """Use one service after the other."""
        while True:  # noqa: WPS457 -- ends when the task is cancelled
            service = self.world.draw_replica(self.rng).service
            targets = tuple(
                target
                for target in self.world.replicas.values()
                if target.service == service
            )
            with contextlib.ExitStack() as stack:
                stack.callback(_set_all, targets, brittle=0, room=0)
                await self._use(targets, stack)
            await asyncio.sleep(self.rng.uniform(*QUIET_S))

    async def _use(
        self, targets: tuple[Replica, ...], stack: contextlib.ExitStack
    ) -> None:
        most_per_s = self.rng.choice(MOST_PER_S)
        _set_all(targets, brittle=most_per_s, room=0)
        await asyncio.sleep(CONTACT_S)
        _set_all(targets, brittle=most_per_s, room=ROOM)
        begun_s = time.monotonic()
        stack.callback(self._record_time, targets, most_per_s, begun_s)
        await self._send_bursts(begun_s + self.rng.uniform(*BRITTLE_S))

    def _record_time(
        self, targets: tuple[Replica, ...], most_per_s: int, begun_s: float
    ) -> None:
        self.times.append(
            BrittleTime(targets, most_per_s, begun_s, time.monotonic())
        )

    async def _send_bursts(self, end_s: float) -> None:
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < end_s:
                for _ in range(BURST):
                    group.create_task(self.load.call())
                await asyncio.sleep(self.rng.uniform(*BURST_PAUSE_S))


def broken_times(brittle: SoakBrittle) -> Iterator[str]:
    """Yield the times in which brittle targets fell too often."""
    for one in brittle.times:
        falls = one.falls()
        allowed = TOLERATED_FALLS + TOLERATED_SHARE * len(one.targets)
        if falls > allowed:
            service = one.targets[0].service
            yield (
                f'targets of {service} turned away more than '
                f'{one.most_per_s} in a second {falls} times'
            )


def _set_all(targets: tuple[Replica, ...], *, brittle: int, room: int) -> None:
    for target in targets:
        target.brittle = brittle
        target.room = room
