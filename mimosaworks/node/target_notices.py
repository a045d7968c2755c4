"""Targets that have asked this node to send them no requests."""

from collections.abc import Callable

import attrs
from multidict import MultiMapping

from mimosaworks.bounded import forget_oldest
from mimosaworks.clock import now_s
from mimosaworks.events import Event, log_event
from mimosaworks.node.brittle_targets import BrittleTargets
from mimosaworks.node.limit_view import LimitView
from mimosaworks.platform.headers import says_leaving

# More than the targets of a deployment.
MAX_NOTICES = 1000


@attrs.define(eq=False)
class TargetNotices:
    """Targets that announced that they leave, and targets to back off from.

    find_incarnation returns the known incarnation of a target, 0 without one.
    A notice that a target leaves holds for one incarnation. on_leaving is
    called with the target's name and incarnation, on_notice with the kind of a
    notice.
    """

    find_incarnation: Callable[[str], int]
    on_leaving: Callable[[str, int], None]
    on_notice: Callable[[str], None]
    _leaving_incarnations: dict[str, int] = attrs.field(factory=dict)
    _paused_until_s: dict[str, float] = attrs.field(factory=dict)

    def record_leaving(self, target: str) -> None:
        """Block a target that leaves until it has restarted."""
        if target in self.leaving_targets():
            return
        incarnation = self.find_incarnation(target)
        self._leaving_incarnations[target] = incarnation
        forget_oldest(self._leaving_incarnations, MAX_NOTICES)
        log_event(Event.TARGET_LEAVING, target=target, born=incarnation)
        self.on_notice('leaving')
        self.on_leaving(target, incarnation)

    def record_pause(self, target: str, pause_s: float, now: float) -> None:
        """Block a target for pause_s seconds."""
        self._paused_until_s.pop(target, None)
        self._paused_until_s[target] = now + pause_s
        forget_oldest(self._paused_until_s, MAX_NOTICES)
        log_event(Event.TARGET_PAUSED, target=target, for_s=pause_s)
        self.on_notice('paused')

    def leaving_targets(self) -> dict[str, int]:
        """Return the incarnations of the targets that leave, by name."""
        leaving_incarnations: dict[str, int] = {}
        for target, recorded_incarnation in self._leaving_incarnations.items():
            incarnation = self.find_incarnation(target)
            # The notice may have come before the incarnation was known.
            self._leaving_incarnations[target] = (
                recorded_incarnation or incarnation
            )
            if (
                not incarnation
                or incarnation == self._leaving_incarnations[target]
            ):
                leaving_incarnations[target] = self._leaving_incarnations[
                    target
                ]
        return leaving_incarnations

    def blocked_targets(self, now: float) -> frozenset[str]:
        """Return the targets to which nothing may be sent."""
        for target, until_s in list(self._paused_until_s.items()):
            if now >= until_s:
                self._paused_until_s.pop(target)
        return frozenset((*self.leaving_targets(), *self._paused_until_s))

    def next_pause_remaining_s(self, now: float) -> float | None:
        """Return the seconds until the next pause ends, None without one."""
        remaining_s = [
            until_s - now for until_s in self._paused_until_s.values()
        ]
        return min(
            (
                pause_remaining_s
                for pause_remaining_s in remaining_s
                if pause_remaining_s > 0
            ),
            default=None,
        )


def apply_response_headers(
    notices: TargetNotices,
    limits: LimitView,
    brittle_targets: BrittleTargets,
    target: str,
    headers: MultiMapping[str],
) -> None:
    """Apply the headers of an answer to an order or to a report request.

    They may announce that the target leaves, is brittle, or has a lower rate
    limit.
    """
    if says_leaving(headers):
        notices.record_leaving(target)
    limits.read_other_headers(target, headers, now_s())
    brittle_targets.read_other_headers(target, headers)
