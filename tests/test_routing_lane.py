"""Tests of lanes by random runs."""

import asyncio
import contextlib
from collections.abc import Callable, Sequence

import attrs
from hypothesis import example, given, settings
from hypothesis import strategies as st

from mimosaworks.routing import Lane, Waiter

ROOM = 3


class Target:
    """Room for a few requests, and who has it."""

    def __init__(self) -> None:
        self.running = 0
        self.most = 0
        self.lane = Lane(lambda granted: self.running + granted < ROOM)

    async def serve(self, timeout_s: float, done: asyncio.Event) -> bool:
        waiter = Waiter('w', 1, 1)
        if not await self.lane.wait_turn(waiter, timeout_s):
            return False
        self.running += 1
        self.most = max(self.most, self.running)
        self.lane.end_turn()
        with contextlib.ExitStack() as stack:
            stack.callback(self._end)
            await done.wait()
        return True

    def _end(self) -> None:
        self.running -= 1
        self.lane.pump()


Action = Callable[['Play'], None]


@attrs.define
class Play:
    """A random run: tasks that want service, and events that end it."""

    target: Target = attrs.field(factory=Target)
    tasks: list['asyncio.Task[bool]'] = attrs.field(factory=list)
    events: list[asyncio.Event] = attrs.field(factory=list)

    def arrive(self, timeout_s: float = 60) -> None:
        """A request comes."""
        self.events.append(asyncio.Event())
        serving = self.target.serve(timeout_s, self.events[-1])
        self.tasks.append(asyncio.create_task(serving))

    def time_out(self) -> None:
        """A request comes that can't wait."""
        self.arrive(0)

    def finish(self) -> None:
        """The oldest request may end."""
        if self.events:
            self.events.pop(0).set()

    def hang_up(self) -> None:
        """The newest caller goes away."""
        if self.tasks:
            self.tasks[-1].cancel()

    def finish_and_hang_up(self) -> None:
        """A caller goes away in the step in which its turn may come."""
        self.finish()
        self.hang_up()

    async def end(self) -> list[object]:
        """Let all requests end and return their outcomes."""
        while self.events:
            self.finish()
        return list(await asyncio.gather(*self.tasks, return_exceptions=True))


# One request more than there is room for.
FULL: Sequence[Action] = tuple(Play.arrive for _ in range(ROOM + 1))
ACTIONS = st.lists(
    st.sampled_from((
        Play.arrive,
        Play.finish,
        Play.hang_up,
        Play.time_out,
        Play.finish_and_hang_up,
    )),
    max_size=60,
)


async def _play(actions: list[Action]) -> tuple[Target, list[object]]:
    play = Play()
    left = list(actions)
    while left:
        left.pop(0)(play)
        await asyncio.sleep(0)
    return play.target, await play.end()


@settings(derandomize=True, deadline=None, database=None, max_examples=200)
@given(ACTIONS)
@example([*FULL, Play.finish, Play.hang_up])
@example([*FULL, Play.finish, Play.finish, Play.hang_up])
@example([*FULL, Play.finish_and_hang_up])
def test_no_room_is_lost_or_given_twice_whatever_callers_do(
    actions: list[Action],
) -> None:
    target, outcomes = asyncio.run(_play(actions))
    assert target.most <= ROOM
    assert target.running == 0
    assert not len(target.lane)
    allowed = (bool, asyncio.CancelledError)
    assert all(isinstance(outcome, allowed) for outcome in outcomes)
    # A hang-up at any point must have given its turn back.
    assert asyncio.run(_most_at_once(target)) == ROOM


async def _most_at_once(target: Target) -> int:
    target.most = 0
    play = Play(target)
    for action in FULL:
        action(play)
    await asyncio.sleep(0)
    await play.end()
    return target.most
