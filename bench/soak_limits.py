"""Targets that name limits, and who sends them more."""

import itertools
import operator
from collections.abc import Callable, Iterator, Sequence

import attrs

from standins.agency.replica import Hit, NamedLimit, Replica

WINDOW_S = 4.0
CONTACT_S = 3.0  # the bound in the nodes' settings
NOTICED_S = 0.5  # after which a node's sends count
EXCESS = 1.5
SLACK = 5

# Returns the process that sent a call, None if it is not known.
Sender = Callable[[Hit], object]


@attrs.frozen
class Span:
    """A time in which all answers name one limit."""

    limit: str
    begun_s: float
    ended_s: float
    named: tuple[NamedLimit, ...]

    @property
    def allowed(self) -> float:
        """The calls that the target may get in any WINDOW_S."""
        return EXCESS * WINDOW_S * float(self.limit) + SLACK


def spans(replica: Replica, ended_s: float) -> Iterator[Span]:
    """Return the times in which a target named a limit without a change."""
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
    """Return the limits of a target that processes exceeded.

    Calls count from processes that had passed on an answer that named it.
    """
    for span in spans(replica, ended_s):
        told_s: dict[object, float] = {}
        for named in span.named:
            who = sender(Hit(named.at_s, named.request_id))
            told_s.setdefault(who, named.at_s + NOTICED_S)
        times = [
            hit.at_s
            for hit in replica.hits
            if told_s.get(sender(hit), span.ended_s) <= hit.at_s
        ]
        most = most_hits(times, span.begun_s + CONTACT_S, span.ended_s)
        if most > span.allowed:
            yield (
                f'{replica.name} named a limit of {span.limit} a second and '
                f'got {most} in {WINDOW_S:.0f} s, allowed {span.allowed:.0f}'
            )
