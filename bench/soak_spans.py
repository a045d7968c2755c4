"""Who was disturbed in a soak, and when."""

import contextlib
import time
from collections.abc import Generator

import attrs

STORE = 'store'


@attrs.frozen
class Span:
    """A time in which a node, a target or the store was disturbed."""

    who: str
    begun_s: float
    ended_s: float
    is_planned: bool = False

    def meets(self, from_s: float, until_s: float) -> bool:
        """Return whether the two times have a moment in common."""
        return self.begun_s <= until_s and self.ended_s >= from_s


@attrs.frozen
class Stop:
    """A planned stop of a process of a node."""

    place: tuple[str, int]
    at_s: float
    gone_s: float
    was_killed: bool


@attrs.define(eq=False)
class SoakSpans:
    """Keeps the times of all disturbances, and the planned stops."""

    spans: list[Span] = attrs.field(factory=list)
    stops: list[Stop] = attrs.field(factory=list)

    def are_calm(self, node: str, from_s: float, until_s: float) -> bool:
        """Tell whether a node and the store were not disturbed."""
        return not any(
            span.who in {node, STORE} and span.meets(from_s, until_s)
            for span in self.spans
        )

    def were_sound(self, who: set[str], from_s: float, until_s: float) -> bool:
        """Tell whether only planned work disturbed these."""
        return not any(
            span.who in who and span.meets(from_s, until_s)
            for span in self.spans
            if not span.is_planned
        )

    @contextlib.contextmanager
    def disturb(
        self, who: str, *, is_planned: bool = False
    ) -> Generator[None, None, None]:
        """Note who is disturbed until this closes."""
        begun_s = time.monotonic()
        try:
            yield
        finally:
            ended_s = time.monotonic()
            self.spans.append(Span(who, begun_s, ended_s, is_planned))
