"""Requests without an answer, whose targets may have crashed."""

from collections.abc import Iterator

import attrs

from mimosaworks.bounded import forget_oldest
from mimosaworks.dispatch.target_ends import (
    MAX_ENDS,
    EntriesView,
    TargetEnd,
)

MAX_CONTENTS = 2000
# In which the entry of a target that ended lapses and is read, from a store
# whose answers may be some seconds behind.
HOLD_S = 10.0


@attrs.define
class _SilentEnd:
    """An end that no connection showed, and when it was noted.

    is_recent: entries need not show it yet.
    """

    end: TargetEnd
    noted_s: float
    is_recent: bool = True


@attrs.define(eq=False)
class SilentEnds:
    """Ends that count once entries show them, by content and name."""

    _pending: dict[str, dict[str, _SilentEnd]] = attrs.field(factory=dict)

    def add(self, end: TargetEnd, now: float) -> None:
        """Note an end that may be one."""
        pending = self._pending.setdefault(end.mark, {})
        pending.setdefault(end.name, _SilentEnd(end, now))
        forget_oldest(pending, MAX_ENDS)
        forget_oldest(self._pending, MAX_CONTENTS)

    def note_answer(self, mark: str) -> None:
        """Forget the ends of a content that a target answered."""
        self._pending.pop(mark, None)

    def count_recent(self, mark: str) -> int:
        """Return the targets that may have ended and need not show it yet."""
        pending = self._pending.get(mark, {}).values()
        return len({one.end.target for one in pending if one.is_recent})

    def take_shown(self, view: EntriesView) -> Iterator[TargetEnd]:
        """Yield ends that entries show; forget them and those that live on."""
        for mark, pending in list(self._pending.items()):
            left: dict[str, _SilentEnd] = {}
            for name, one in pending.items():
                if view.shows(one.end, one.noted_s):
                    yield one.end
                elif not view.would_show(one.noted_s):
                    one.is_recent = view.covered_s(one.noted_s) < HOLD_S
                    left[name] = one
            self._keep(mark, left)

    def _keep(self, mark: str, left: dict[str, _SilentEnd]) -> None:
        if left:
            self._pending[mark] = left
        else:
            self._pending.pop(mark)
