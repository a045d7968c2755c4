"""Ends of targets under requests, and what entries show of them."""

from collections.abc import Mapping

import attrs

from mimosaworks.bounded import forget_oldest
from mimosaworks.deployment import TargetEntry

MAX_ENDS = 8  # of one content; more tell nothing new
MAX_BIRTHS = 1000  # whose ends are counted


@attrs.frozen
class TargetEnd:
    """A target may have ended while it ran a request.

    mark is the fingerprint of the request's content. number tells ends of
    the same birth apart, where a target has started anew and its birth is
    not known yet. One that is_silent broke no connection.
    is_proven: its node had seen the content succeed before.
    """

    mark: str
    target: str
    born: int
    number: int = 0
    is_silent: bool = False
    is_proven: bool = False

    @property
    def name(self) -> str:
        """Which end of which target it is."""
        return f'{self.target}/{self.born}/{self.number}'


@attrs.frozen
class EntriesView:
    """The targets' entries, read without a gap from since_s to read_s.

    An end shows within lapse_s.
    """

    entries: Mapping[str, TargetEntry]
    since_s: float
    read_s: float
    lapse_s: float

    def shows(self, end: TargetEnd, noted_s: float) -> bool:
        """Tell whether entries that were read after it show an end."""
        entry = self.entries.get(end.target)
        has_changed = entry is None or entry.born != end.born
        return has_changed and self.read_s > noted_s

    def would_show(self, noted_s: float) -> bool:
        """Tell whether an end before noted_s had to show by now."""
        return self.covered_s(noted_s) > self.lapse_s

    def covered_s(self, noted_s: float) -> float:
        """Return for how long after noted_s the entries were read."""
        return self.read_s - max(noted_s, self.since_s)


@attrs.define(eq=False)
class EndedBirths:
    """How often targets have ended that are known by one birth.

    They may have started anew without an entry that tells it.
    """

    _ended: dict[str, int] = attrs.field(factory=dict)

    def note(self, end: TargetEnd) -> None:
        """Count an end, once for all nodes that saw it."""
        birth = f'{end.target}/{end.born}'
        ended = self._ended.pop(birth, 0)
        self._ended[birth] = max(ended, end.number + 1)
        forget_oldest(self._ended, MAX_BIRTHS)

    def count(self, target: str, born: int) -> int:
        """Return the ends of a target that is known by a birth."""
        return self._ended.get(f'{target}/{born}', 0)
