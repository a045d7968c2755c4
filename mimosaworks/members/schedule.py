"""Decides whom a member asks, and when; does no I/O."""

import hashlib
import math

import attrs

from mimosaworks.members.freshness import Freshness
from mimosaworks.members.view import View

MEMBERS_PER_POLLER = 8
POLL_TABLE_S = 0.7
ASK_S = 0.7
URGENT_ASK_S = 0.45
ROUND_EVERY_S = 0.2
URGENT_AGE_S = 1.75
# Ages at which the first poller and the other members ask every member.
FIRST_ROUND_AGE_S = 1.0
ROUND_AGE_S = 2.25


@attrs.frozen
class Plan:
    """What is to be asked now."""

    is_table_due: bool = False
    peers: tuple[str, ...] = ()
    is_round_due: bool = False


@attrs.define
class Schedule:
    """Spreads the reads of the table over a few members, the pollers.

    Each other member asks a poller; all fall back to the table, and to every
    other member, as their freshness runs out.
    """

    _last_s: dict[str, float] = attrs.field(factory=dict)
    _view: View = attrs.field(factory=View)
    _pollers: tuple[str, ...] = ()

    def due(self, now_s: float, state: Freshness) -> Plan:
        """Return what to ask now, and count it as asked."""
        own = state.own.address
        age_s = state.age_s(now_s)
        pollers = self._pollers_of(state.view)
        is_urgent = age_s >= URGENT_AGE_S
        reads_table = not state.own.is_serving or own in pollers or is_urgent
        return Plan(
            reads_table and self._is_due(now_s, 'table', POLL_TABLE_S),
            self._peers(now_s, age_s, own, pollers),
            state.own.is_serving
            and age_s >= _round_age_s(own, pollers)
            and self._is_due(now_s, 'round', ROUND_EVERY_S),
        )

    def _pollers_of(self, view: View) -> tuple[str, ...]:
        # Ordering a thousand members at every look would cost too much.
        if view is not self._view:
            self._view = view
            self._pollers = pollers_of(view)
        return self._pollers

    def _peers(
        self, now_s: float, age_s: float, own: str, pollers: tuple[str, ...]
    ) -> tuple[str, ...]:
        is_urgent = age_s >= URGENT_AGE_S
        wanted = set()
        if pollers and own not in pollers:
            wanted.add(pollers[_hash(own) % len(pollers)])
        if pollers and (is_urgent or _is_behind(age_s, own, pollers)):
            wanted.add(pollers[0])
        wanted.discard(own)
        every_s = URGENT_ASK_S if is_urgent else ASK_S
        if wanted and self._is_due(now_s, 'peers', every_s):
            return tuple(wanted)
        return ()

    def _is_due(self, now_s: float, source: str, every_s: float) -> bool:
        if now_s - self._last_s.get(source, -math.inf) < every_s:
            return False
        self._last_s[source] = now_s
        return True


def pollers_of(view: View) -> tuple[str, ...]:
    """Return the addresses of the members that read the table, in order."""
    serving = [peer.address for peer in view.members if peer.is_serving]
    count = math.ceil(len(serving) / MEMBERS_PER_POLLER)
    return tuple(sorted(serving, key=_hash)[:count])


def _is_behind(age_s: float, own: str, pollers: tuple[str, ...]) -> bool:
    return own in pollers[1:] and age_s >= FIRST_ROUND_AGE_S


def _round_age_s(own: str, pollers: tuple[str, ...]) -> float:
    return FIRST_ROUND_AGE_S if own in pollers[:1] else ROUND_AGE_S


def _hash(address: str) -> int:
    digest = hashlib.blake2b(address.encode(), digest_size=8)
    return int.from_bytes(digest.digest())
