"""Targets with rate limits, and who exceeds these."""

import asyncio
import contextlib
import itertools
import operator
import random
import time
from collections.abc import Callable, Iterator, Sequence

import attrs

from bench.soak_load import OK, SoakLoad
from standins.agency.replica import Hit, NamedLimit, Replica
from standins.agency.world import AgencyWorld

WINDOW_S = 4.0
CONTACT_S = 3.0  # the bound in the nodes' settings
NOTICED_S = 0.5  # after which a node's sends count
EXCESS = 1.5
SLACK = 5
QUIET_S = (0.2, 1.0)
NAMED_S = (CONTACT_S, 2 * CONTACT_S)
LIMITS = ('0.2', '0.5', '1', '2', '5')

# Returns the process that sent a call, None if it is not known.
Sender = Callable[[Hit], object]


@attrs.frozen
class Span:
    """A time in which a target kept one rate limit."""

    limit: str
    begun_s: float
    ended_s: float
    named: tuple[NamedLimit, ...]

    @property
    def allowed(self) -> float:
        """The most calls in any WINDOW_S."""
        return EXCESS * WINDOW_S * float(self.limit) + SLACK


def spans(replica: Replica, ended_s: float) -> Iterator[Span]:
    """Return the times in which a target kept one rate limit."""
    groups = [
        (limit, tuple(group))
        for limit, group in itertools.groupby(
            replica.named, key=operator.attrgetter('limit')
        )
    ]
    begins = [group[0].at_s for _, group in groups]
    ends = [*begins[1:], ended_s]
    for (limit, group), begun_s, end_s in zip(
        groups, begins, ends, strict=False
    ):
        if limit:
            yield Span(limit, begun_s, end_s, group)


def most_hits(times: Sequence[float], from_s: float, until_s: float) -> int:
    """Return the most of these times in a window that ends between two."""
    ends = [end_s for end_s in times if from_s <= end_s <= until_s]
    counts = (
        sum(end_s - WINDOW_S < at_s <= end_s for at_s in times)
        for end_s in ends
    )
    return max(counts, default=0)


def exceeded(replica: Replica, ended_s: float, sender: Sender) -> Iterator[str]:
    """Yield the rate limits of a target that were exceeded.

    Calls count from processes that had passed on an answer with it.
    """
    for span in spans(replica, ended_s):
        told_s: dict[object, float] = {}
        for named in span.named:
            who = sender(Hit(named.at_s, named.request_id))
            told_s.setdefault(who, named.at_s + NOTICED_S)
        told_s.pop(None, None)
        times = [
            hit.at_s
            for hit in replica.hits
            if told_s.get(sender(hit), span.ended_s) <= hit.at_s
        ]
        most = most_hits(times, span.begun_s + CONTACT_S, span.ended_s)
        if most > span.allowed:
            yield (
                f'rate limit of {replica.name} is {span.limit}/s: '
                f'{most} calls in {WINDOW_S:.0f} s, at most {span.allowed:.0f}'
            )


@attrs.define(eq=False)
class SoakLimits:
    """Gives targets rate limits that change and end, until cancelled.

    Its own random numbers leave the faults of known seeds as they were.
    """

    world: AgencyWorld
    rng: random.Random

    async def run(self) -> None:
        """Use one target after the other."""
        while True:  # noqa: WPS457 -- ends when the task is cancelled
            replica = self.world.draw_replica(self.rng)
            with contextlib.ExitStack() as stack:
                stack.callback(setattr, replica, 'limit', '')
                await self._name_limit(replica)
                await self._name_limit(replica)
            await asyncio.sleep(self.rng.uniform(*QUIET_S))

    async def _name_limit(self, replica: Replica) -> None:
        replica.limit = self.rng.choice(LIMITS)
        await asyncio.sleep(self.rng.uniform(*NAMED_S))


def broken_limits(world: AgencyWorld, load: SoakLoad) -> Iterator[str]:
    """Yield the rate limits that informed processes exceeded."""
    answered = {one.request_id for one in load.seen if one.status == OK}
    sent = sorted(load.sent.values(), key=operator.attrgetter('at_s'))

    def sender(hit: Hit) -> object:
        if hit.request_id:
            known = load.sent.get(hit.request_id)
            return None if known is None else known.node
        earlier = [
            one.node
            for one in sent
            if one.node[0] == hit.sender and one.at_s <= hit.at_s
        ]
        return earlier[-1] if earlier else None

    for replica in world.replicas.values():
        replica.named = [
            one
            for one in replica.named
            if one.request_id in answered or not one.limit
        ]
        yield from exceeded(replica, time.monotonic(), sender)
