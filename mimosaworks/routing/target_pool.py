"""Which targets can take a request now."""

from collections.abc import Callable

import attrs

from mimosaworks.clock import now_s
from mimosaworks.entities import Catalogue, Target
from mimosaworks.routing.lane_key import LaneKey
from mimosaworks.routing.replica_table import ReplicaTable
from mimosaworks.routing.suspects import SuspectTable
from mimosaworks.routing.target_state import TargetState
from mimosaworks.routing.ticket import Ticket

REFUSAL_PAUSE_S = 0.25


@attrs.define
class TargetPool:
    """The targets as one router knows them, by configuration and traffic.

    max_in_flight limits this router's requests at one target, so that the
    order of service is decided here and not in the target's own queue.
    """

    catalogue: Callable[[], Catalogue]
    replicas: ReplicaTable
    suspects: SuspectTable
    max_in_flight: int
    is_leaving: Callable[[Target], bool]
    _states: dict[str, TargetState] = attrs.field(factory=dict)
    _refused_until_s: dict[tuple[str, LaneKey], float] = attrs.field(
        factory=dict
    )

    def candidates(self, ticket: Ticket) -> list[TargetState]:
        """Return the targets that may take the ticket now.

        Targets that failed it are left out unless no other is there.
        """
        now = now_s()
        usable = [
            state
            for state in self.serving(ticket.lane_key)
            if self._may_take(state, ticket)
            and not self._is_paused(state, ticket.lane_key, now)
        ]
        untried = [state for state in usable if state.name not in ticket.tried]
        return untried or usable

    def serving(self, key: LaneKey) -> list[TargetState]:
        """Return the targets that serve a lane, busy ones included."""
        targets = self.catalogue().target
        if key.model:
            ready = self.replicas.ready(key.model, key.adapter)
            names = [entry.target for entry in ready]
        else:
            pool = key.pool
            names = [
                name for name, target in targets.items() if target.pool == pool
            ]
        return [
            self._states.setdefault(name, TargetState(name))
            for name in names
            if name in targets and not self.is_leaving(targets[name])
        ]

    def note_refusal(self, name: str, key: LaneKey, now_s: float) -> None:
        """Leave a target out for one lane after it refused a request.

        Its other models are not touched: it may just have unloaded this one.
        """
        self._refused_until_s[name, key] = now_s + REFUSAL_PAUSE_S

    def is_served(self, key: LaneKey) -> bool:
        """Tell whether any target serves the lane."""
        return bool(self.serving(key))

    def has_room(self, key: LaneKey, granted: int) -> bool:
        """Tell whether one more than granted requests can be sent now."""
        now = now_s()
        room = sum(
            self.max_in_flight - state.in_flight
            for state in self.serving(key)
            if not self._is_paused(state, key, now) and not state.exclusive_to
        )
        return room > granted

    def _is_paused(self, state: TargetState, key: LaneKey, now: float) -> bool:
        until_s = self._refused_until_s.get((state.name, key), 0)
        return state.is_cooling(now) or now < until_s

    def _may_take(self, state: TargetState, ticket: Ticket) -> bool:
        if state.exclusive_to:
            return False
        if self.suspects.is_suspect(ticket.mark):
            return state.in_flight == 0
        return state.in_flight < self.max_in_flight
