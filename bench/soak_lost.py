"""Stops of a soak that last too long, and requests that these cut."""

import re
from collections.abc import Iterator

import attrs

from bench.soak_load import Seen, SoakLoad
from bench.soak_spans import SoakSpans, Span
from standins.agency.world import AgencyWorld

CONTACT_S = 3.0  # the bound in the nodes' settings
LOSS_SLACK_S = 0.2
EARLY_S = 3.0  # after SIGTERM, up to which a request is early
LAST_SHARE = 5 / 6  # of the grace, after which early requests may be cut
LIMIT_SLACK_S = 0.1
AFTER_GRACE_S = 1.0
ADMITTED = re.compile('"call_admitted","request_id":"([^"]+)"')
TOLERATED = 3  # lost requests where nothing was planned


def broken_stops(
    world: AgencyWorld, load: SoakLoad, spans: SoakSpans
) -> Iterator[str]:
    """Return nodes that outlast their grace, and requests that were lost."""
    for stop in spans.stops:
        name, _ = stop.place
        if stop.was_killed and spans.were_sound({name}, stop.at_s, stop.gone_s):
            yield f'{stop.place} still ran at the end of its grace'
    losses = _Losses(world, load, spans)
    at_stops, at_other_times = losses.find()
    yield from at_stops
    if len(at_other_times) > TOLERATED:
        yield from at_other_times


@attrs.define(eq=False)
class _Losses:
    """Finds requests that ended without a whole answer.

    terms_s gives when a process got its first SIGTERM.
    """

    world: AgencyWorld
    load: SoakLoad
    spans: SoakSpans
    terms_s: dict[tuple[str, int], float] = attrs.field(init=False)
    grace_s: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        stops = sorted(self.spans.stops, key=lambda one: -one.at_s)
        self.terms_s = {stop.place: stop.at_s for stop in stops}
        self.grace_s = float(self.world.bounds['grace-s'])
        self.spans.spans.extend(_crash_spans(self.world))

    def find(self) -> tuple[list[str], list[str]]:
        """Return those around a stop of their node, and the others."""
        admitted = _admitted(self.world)
        around: list[str] = []
        others: list[str] = []
        for one in self.load.seen:
            if one.status or not self._is_lost(one, admitted):
                continue
            after_s = self._after_term_s(one)
            is_around = 0 < after_s < self.grace_s + AFTER_GRACE_S
            found = around if is_around else others
            found.append(self._tell(one))
        return around, others

    def _after_term_s(self, one: Seen) -> float:
        """Return when a request ended, after SIGTERM; 0 without that."""
        term_s = self.terms_s.get(self.load.sent[one.request_id].node)
        return 0 if term_s is None else max(one.ended_s - term_s, 0)

    def _is_lost(self, one: Seen, admitted: set[str]) -> bool:
        sent = self.load.sent[one.request_id]
        targets = _targets(self.world, one.request_id)
        took_s = one.ended_s - sent.at_s
        waited_s = min(one.ended_s - one.written_s, took_s)
        is_read = bool(targets) or (
            one.request_id in admitted and waited_s > LOSS_SLACK_S
        )
        is_out_of_time = took_s > sent.limit_s - LIMIT_SLACK_S
        if not is_read or is_out_of_time or self._is_excused(one):
            return False
        name, _ = sent.node
        return self.spans.were_sound(
            {name}, sent.at_s - CONTACT_S, one.ended_s
        ) and self.spans.were_sound(targets, sent.at_s, one.ended_s)

    def _is_excused(self, one: Seen) -> bool:
        """Tell whether an early request was at work to the end of the grace."""
        after_s = self._after_term_s(one)
        took_s = one.ended_s - self.load.sent[one.request_id].at_s
        return after_s - took_s <= EARLY_S and (
            after_s >= self.grace_s * LAST_SHARE
        )

    def _tell(self, one: Seen) -> str:
        sent = self.load.sent[one.request_id]
        targets = ' '.join(sorted(_targets(self.world, one.request_id)))
        took_s = one.ended_s - sent.at_s
        after_s = self._after_term_s(one)
        waited_s = one.ended_s - one.written_s
        return ', '.join((
            f'{one.request_id} {one.path} lost at {sent.node}',
            f'after {took_s:.2f} s',
            f'{waited_s:.2f} s from its last byte',
            f'{after_s:.2f} s from SIGTERM',
            f'targets: {targets}',
            one.body.decode(),
        ))


def _targets(world: AgencyWorld, request_id: str) -> set[str]:
    """Return the targets that a request reached."""
    return {
        replica.name
        for replica in world.replicas.values()
        if request_id in replica.births
    }


def _admitted(world: AgencyWorld) -> set[str]:
    """Return the requests that nodes have read."""
    logs = (process.read_log() for process in world.runner.started)
    return {found for log in logs for found in ADMITTED.findall(log)}


def _crash_spans(world: AgencyWorld) -> Iterator[Span]:
    """Yield when requests had crashed their targets."""
    for at_s, request_id in zip(world.crashed_s, world.crashed_by, strict=True):
        for name in _targets(world, request_id):
            yield Span(name, at_s, at_s + world.crash_down_s)
