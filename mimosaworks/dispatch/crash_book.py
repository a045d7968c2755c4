"""Connects requests that broke off with crashes of their targets."""

from collections.abc import Mapping

import attrs

from mimosaworks.deployment import TargetEntry
from mimosaworks.routing import SuspectTable

# Longer than an entry takes to lapse and a crashed target to restart.
REMEMBER_S = 10.0


@attrs.frozen
class _Broken:
    mark: str
    target: str
    born: int
    at_s: float


@attrs.define
class CrashBook:
    """Counts, for each request's content, the targets that ended under it.

    A request that ran beside the one to blame is counted too; it is refused
    only after as many crashes, which its caller's few tries do not reach.
    """

    suspects: SuspectTable = attrs.field(factory=SuspectTable)
    _broken: list[_Broken] = attrs.field(factory=list)

    def is_refused(self, mark: str) -> bool:
        """Tell whether a request has crashed too many targets."""
        return bool(mark) and self.suspects.is_refused(mark)

    def note_broken(self, mark: str, entry: TargetEntry, now: float) -> None:
        """Remember a request that broke off at a target."""
        if mark:
            broken = _Broken(mark, entry.name, entry.born, now)
            self._broken.append(broken)

    def note_whole(self, mark: str) -> None:
        """Clear a request that ran to its end."""
        self.suspects.clear(mark)

    def follow_entries(
        self, entries: Mapping[str, TargetEntry], now: float
    ) -> None:
        """Count the crashes that entries show."""
        kept = []
        for broken in self._broken:
            entry = entries.get(broken.target)
            has_crashed = entry is None or entry.born != broken.born
            if has_crashed:
                crash = f'{broken.target}/{broken.born}'
                self.suspects.note_crash(broken.mark, crash, now)
            elif now - broken.at_s < REMEMBER_S:
                kept.append(broken)
        self._broken = kept
