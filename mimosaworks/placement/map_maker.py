"""Makes the replica maps that routers get."""

import attrs

from mimosaworks.entities import ReplicaState
from mimosaworks.placement.evidence import held_state, is_ready, track_of
from mimosaworks.placement.intent import Intent, IntentState
from mimosaworks.placement.shard_state import ShardState
from mimosaworks.wire import ReplicaEntry, ReplicaMap


@attrs.define
class MapMaker:
    """Numbers the maps of one holder; a changed map gets a new number."""

    holder: str
    fence: int = 0
    sequence: int = 0
    entries: tuple[ReplicaEntry, ...] = ()

    def make(self, state: ShardState, fence: int, now: float) -> ReplicaMap:
        """Return the map of now; replicas that can't be reached are left out.

        Notes on each draining replica which map first shows it so.
        """
        entries = tuple(
            _entry(state, intent)
            for intent in state.ledger.intents().values()
            if not intent.adapter and _is_shown(state, intent, now)
        )
        is_same = fence == self.fence and entries == self.entries
        if not is_same:
            self.sequence += 1
            self.fence = fence
            self.entries = entries
        self._note_drains(state)
        return ReplicaMap(fence, self.sequence, self.holder, entries)

    def acked(self, state: ShardState, sequence: int, now: float) -> None:
        """Take in that every router has the map of this number."""
        for track in state.ledger.tracks.values():
            if 0 < track.drain_sequence <= sequence:
                track.drain_acked_s = min(track.drain_acked_s, now)

    def _note_drains(self, state: ShardState) -> None:
        for track in state.ledger.tracks.values():
            if track.is_draining and not track.drain_sequence:
                track.drain_sequence = self.sequence


def _is_shown(state: ShardState, intent: Intent, now: float) -> bool:
    is_configured = intent.target in state.catalogue.target
    return is_configured and state.is_reachable(intent.target, now)


def _entry(state: ShardState, intent: Intent) -> ReplicaEntry:
    ledger = state.ledger
    adapters = sorted(
        beside.adapter
        for beside in ledger.on_target(intent.target)
        if beside.adapter
        and beside.model == intent.model
        and is_ready(ledger, beside)
    )
    return ReplicaEntry(
        intent.model,
        intent.target,
        _replica_state(state, intent).value,
        tuple(adapters),
    )


def _replica_state(state: ShardState, intent: Intent) -> ReplicaState:
    if intent.state is IntentState.UNLOAD:
        return ReplicaState.UNLOADING
    if track_of(state.ledger, intent).is_draining:
        return ReplicaState.DRAINING
    if is_ready(state.ledger, intent):
        return ReplicaState.READY
    held = held_state(state.ledger, intent)
    if held is not None and held.state == 'unloading':
        return ReplicaState.UNLOADING
    return ReplicaState.LOADING
