"""Tests of request queues by random runs."""

import asyncio
import contextlib
from collections.abc import Callable, Sequence

import attrs
from hypothesis import example, given, settings
from hypothesis import strategies as st

from mimosaworks.routing import QueuedRequest, RequestQueue

SLOTS = 3


class Target:
    """A target with a few slots; counts the requests that run at it."""

    def __init__(self) -> None:
        self.running = 0
        self.max_running = 0
        self.lane = RequestQueue(lambda granted: self.running + granted < SLOTS)

    async def serve(self, timeout_s: float, done: asyncio.Event) -> bool:
        waiter = QueuedRequest('w', 1, 1)
        if not await self.lane.wait_for_turn(waiter, timeout_s):
            return False
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        self.lane.return_turn()
        with contextlib.ExitStack() as stack:
            stack.callback(self._finish)
            await done.wait()
        return True

    def _finish(self) -> None:
        self.running -= 1
        self.lane.grant_turns()


Action = Callable[['Scenario'], None]


@attrs.define
class Scenario:
    """The tasks of a random run, and the events that end their requests."""

    target: Target = attrs.field(factory=Target)
    tasks: list['asyncio.Task[bool]'] = attrs.field(factory=list)
    events: list[asyncio.Event] = attrs.field(factory=list)

    def arrive(self, timeout_s: float = 60) -> None:
        """Start a request."""
        self.events.append(asyncio.Event())
        serving = self.target.serve(timeout_s, self.events[-1])
        self.tasks.append(asyncio.create_task(serving))

    def time_out(self) -> None:
        """Start a request whose timeout is 0."""
        self.arrive(0)

    def finish(self) -> None:
        """Let the oldest request finish."""
        if self.events:
            self.events.pop(0).set()

    def disconnect(self) -> None:
        """Cancel the newest request, as when its caller disconnects."""
        if self.tasks:
            self.tasks[-1].cancel()

    def finish_and_disconnect(self) -> None:
        """Cancel a request in the step in which its turn may be granted."""
        self.finish()
        self.disconnect()

    async def finish_all(self) -> list[object]:
        """Let all requests finish and return their outcomes."""
        while self.events:
            self.finish()
        return list(await asyncio.gather(*self.tasks, return_exceptions=True))


# One request more than there are slots.
FILL_SLOTS: Sequence[Action] = tuple(Scenario.arrive for _ in range(SLOTS + 1))
ACTIONS = st.lists(
    st.sampled_from((
        Scenario.arrive,
        Scenario.finish,
        Scenario.disconnect,
        Scenario.time_out,
        Scenario.finish_and_disconnect,
    )),
    max_size=60,
)


async def _run_scenario(actions: list[Action]) -> tuple[Target, list[object]]:
    scenario = Scenario()
    remaining_actions = list(actions)
    while remaining_actions:
        remaining_actions.pop(0)(scenario)
        await asyncio.sleep(0)
    return scenario.target, await scenario.finish_all()


@settings(derandomize=True, deadline=None, database=None, max_examples=200)
@given(ACTIONS)
@example([*FILL_SLOTS, Scenario.finish, Scenario.disconnect])
@example([*FILL_SLOTS, Scenario.finish, Scenario.finish, Scenario.disconnect])
@example([*FILL_SLOTS, Scenario.finish_and_disconnect])
def test_no_room_is_lost_or_given_twice_whatever_callers_do(
    actions: list[Action],
) -> None:
    target, outcomes = asyncio.run(_run_scenario(actions))
    assert target.max_running <= SLOTS
    assert target.running == 0
    assert not len(target.lane)
    allowed = (bool, asyncio.CancelledError)
    assert all(isinstance(outcome, allowed) for outcome in outcomes)
    # A disconnect at any point must have returned the turn.
    assert asyncio.run(_count_concurrent(target)) == SLOTS


async def _count_concurrent(target: Target) -> int:
    target.max_running = 0
    scenario = Scenario(target)
    for action in FILL_SLOTS:
        action(scenario)
    await asyncio.sleep(0)
    await scenario.finish_all()
    return target.max_running
