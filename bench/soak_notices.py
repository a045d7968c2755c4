"""Targets of a soak that leave or ask for a pause, and who ignores it."""

import asyncio
import functools
import random
from collections.abc import Iterator

import attrs

from bench.soak_heads import SoakHeads
from bench.soak_load import Sent
from standins.agency.replica import Replica
from standins.agency.world import AgencyWorld

QUIET_S = (0.3, 1.2)
LEAVES_S = (2.2, 3.0)  # longer than DRAIN_S
PAUSE_S = (1.0, 2.0)
REJECTING_S = 0.2
DRAIN_S = 2.0  # the bound in the nodes' settings
NOTICED_S = 0.5  # after which a node must have taken in a pause
TOLERATED = 2  # requests in a pause


@attrs.define(eq=False)
class SoakNotices:
    """Has targets leave or ask for a pause, until cancelled.

    Its own random numbers leave the faults of known seeds as they were.
    """

    world: AgencyWorld
    rng: random.Random

    async def run(self) -> None:
        """Use one target after the other."""
        while True:  # noqa: WPS457 -- ends when the task is cancelled
            await asyncio.sleep(self.rng.uniform(*QUIET_S))
            replica = self.world.draw_replica(self.rng)
            if self.rng.random() < 1 / 2:
                await self._leave(replica)
            else:
                await self._reject(replica)

    async def _leave(self, replica: Replica) -> None:
        replica.is_leaving = True
        await asyncio.sleep(self.rng.uniform(*LEAVES_S))
        replica.restart()
        replica.register(self.world.store)

    async def _reject(self, replica: Replica) -> None:
        replica.pause_s = self.rng.uniform(*PAUSE_S)
        await asyncio.sleep(REJECTING_S)
        replica.pause_s = 0


def broken_notices(
    world: AgencyWorld, sent: dict[str, Sent], heads: SoakHeads
) -> Iterator[str]:
    """Return targets that nodes sent to against notices that they got."""
    for replica in world.replicas.values():
        has_passed = functools.partial(heads.has_passed, replica.name)
        for request_id, told_s in replica.told_leaving.items():
            if has_passed(request_id, told_s):
                yield from _broken_leave(replica, sent, request_id)
        for rejected_id, (rejected_s, _) in replica.rejected.items():
            if has_passed(rejected_id, rejected_s):
                yield from _broken_pause(replica, sent, rejected_id)


def _broken_leave(
    replica: Replica, sent: dict[str, Sent], request_id: str
) -> Iterator[str]:
    late = _late(replica, sent, request_id)
    if late:
        yield (
            f'{replica.name} told {request_id} that it leaves and '
            f'still got {late} from the same node'
        )


def _broken_pause(
    replica: Replica, sent: dict[str, Sent], request_id: str
) -> Iterator[str]:
    early = _early(replica, sent, request_id)
    if len(early) > TOLERATED:
        yield f'{replica.name} asked for a pause and got {early}'


def _late(
    replica: Replica, sent: dict[str, Sent], request_id: str
) -> list[str]:
    """Return what a node sent on long after a target announced its leave."""
    told_s = replica.told_leaving[request_id]
    return [
        other
        for other in _from_same(replica, sent, request_id)
        if sent[other].at_s > told_s + DRAIN_S
        and replica.births[other] == replica.births[request_id]
    ]


def _early(
    replica: Replica, sent: dict[str, Sent], request_id: str
) -> list[str]:
    """Return what a node sent on during a pause that a target asked for."""
    told_s, pause_s = replica.rejected[request_id]
    return [
        other
        for other in _from_same(replica, sent, request_id)
        if NOTICED_S < replica.arrivals[other] - told_s < pause_s
    ]


def _from_same(
    replica: Replica, sent: dict[str, Sent], request_id: str
) -> list[str]:
    """Return the requests that came from the node that sent this one."""
    if request_id not in sent:
        return []
    node = sent[request_id].node
    return [
        other
        for other in replica.arrivals
        if other in sent and sent[other].node == node
    ]
