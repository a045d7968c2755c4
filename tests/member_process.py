"""A process of the made-up world: real decision code, made-up clock."""

from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import attrs

from mimosaworks.members import Member
from mimosaworks.members.barrier import Barrier
from mimosaworks.members.core import MemberCore
from mimosaworks.members.freshness import Freshness

Result = TypeVar('Result')


@attrs.define(eq=False)
class MemberProcess:
    """One start of a process; clock_rate is its clock's seconds a second.

    publishing is the version on its way through the barrier, 0 for a join.
    """

    own: Member
    clock_rate: float
    real_s: Callable[[], float]
    is_frozen: bool = False
    is_dead: bool = False
    publishing: int | None = None
    barrier: Barrier | None = None
    core: MemberCore = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Make the decision code."""
        self.core = MemberCore(Freshness(self.own), self.now_s)

    def now_s(self) -> float:
        """Return the time by the process's clock."""
        return self.real_s() * self.clock_rate

    @property
    def freshness(self) -> Freshness:
        """The state under test."""
        return self.core.freshness

    def is_admitting(self) -> bool:
        """Whether it would run a keyed request now."""
        is_running = not self.is_dead and not self.is_frozen
        return is_running and self.freshness.is_fresh(self.now_s())


def run_plain(work: Coroutine[Any, Any, Result]) -> Result:
    """Return the result of a coroutine that waits for nothing."""
    try:
        work.send(None)
    except StopIteration as stop:
        result: Result = stop.value
        return result
    raise AssertionError('the coroutine waits')
