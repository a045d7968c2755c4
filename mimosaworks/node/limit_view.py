"""What a node knows of limits that targets have named."""

import math
from collections.abc import Callable

import attrs
from multidict import MultiMapping

from mimosaworks.bounded import forget_oldest
from mimosaworks.events import Event, log_event
from mimosaworks.platform.headers import LIMIT

MAX_LIMITS = 1000  # more than targets that a deployment has
MAX_SHOWN = 40  # characters of a field that can't be read


@attrs.define(eq=False)
class LimitView:
    """Requests a second that targets take from all nodes together.

    find_born gives the birth of a target as it is known, 0 if it is not;
    on_notice is called with the kind of a notice.
    """

    find_born: Callable[[str], int]
    on_notice: Callable[[str], None]
    _own: dict[str, float] = attrs.field(factory=dict)

    def per_s(self, target: str) -> float:
        """Return the limit of a target, inf without one."""
        return self._own.get(target, math.inf)

    def read_head(self, target: str, headers: MultiMapping[str]) -> None:
        """Take over what the head of a target's answer says."""
        try:
            per_s = read_limit_per_s(headers)
        except ValueError as exc:
            sent = headers[LIMIT][:MAX_SHOWN]
            self.on_notice('limit_ignored')
            log_event(
                Event.LIMIT_IGNORED,
                target=target,
                sent=sent,
                reason=str(exc)[:MAX_SHOWN],
            )
            return
        if per_s != self.per_s(target):
            self._note(target, per_s)

    def _note(self, target: str, per_s: float) -> None:
        was_per_s = self.per_s(target)
        born = self.find_born(target)
        self._own.pop(target, None)
        if per_s == math.inf:
            self.on_notice('limit_lifted')
            log_event(
                Event.LIMIT_LIFTED,
                target=target,
                born=born,
                was_per_s=was_per_s,
            )
            return
        self._own[target] = per_s
        forget_oldest(self._own, MAX_LIMITS)
        self.on_notice('limited')
        log_event(
            Event.TARGET_LIMITED,
            target=target,
            born=born,
            per_s=per_s,
        )


def read_limit_per_s(headers: MultiMapping[str]) -> float:
    """Return the requests a second that a target takes; inf if it names none.

    Raises ValueError for anything but one finite number from 0 on.
    """
    sent = headers.getall(LIMIT, ())
    if not sent:
        return math.inf
    if len(sent) > 1:
        raise ValueError(f'{LIMIT} is named {len(sent)} times')
    # Unlike a field of the wire, float() takes digits in groups.
    limit_per_s = float(sent[0].replace('_', ','))
    if not 0 <= limit_per_s < math.inf:
        raise ValueError(f'{LIMIT} must be a finite number from 0 on')
    return limit_per_s
