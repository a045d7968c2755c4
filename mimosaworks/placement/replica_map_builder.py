"""Builds the replica maps that are pushed to routers."""

import attrs

from mimosaworks.entities import ReplicaState
from mimosaworks.placement.intent import Intent, IntentState
from mimosaworks.placement.intent_status import (
    find_loaded_state,
    get_track,
    is_intent_ready,
)
from mimosaworks.placement.shard_state import ShardState
from mimosaworks.wire import ReplicaEntry, ReplicaMap


@attrs.define
class ReplicaMapBuilder:
    """Numbers the maps of one holder; a changed map gets a new number."""

    holder: str
    fence: int = 0
    sequence: int = 0
    entries: tuple[ReplicaEntry, ...] = ()

    def build_map(
        self, state: ShardState, fence: int, now: float
    ) -> ReplicaMap:
        """Return the present map, without replicas that can't be reached.

        Records for each draining replica the first map that shows the drain.
        """
        entries = tuple(
            _make_replica_entry(state, intent)
            for intent in state.ledger.intents().values()
            if not intent.adapter and _is_listed(state, intent, now)
        )
        is_same = fence == self.fence and entries == self.entries
        if not is_same:
            self.sequence += 1
            self.fence = fence
            self.entries = entries
        self._record_drain_sequences(state)
        return ReplicaMap(fence, self.sequence, self.holder, entries)

    def record_acked_map(
        self, state: ShardState, sequence: int, now: float
    ) -> None:
        """Record that every router has the map of this number."""
        for track in state.ledger.tracks.values():
            if 0 < track.drain_map_sequence <= sequence:
                track.drain_acked_s = min(track.drain_acked_s, now)

    def _record_drain_sequences(self, state: ShardState) -> None:
        for track in state.ledger.tracks.values():
            if track.is_draining and not track.drain_map_sequence:
                track.drain_map_sequence = self.sequence


def _is_listed(state: ShardState, intent: Intent, now: float) -> bool:
    is_configured = intent.target in state.catalogue.target
    return is_configured and state.is_reachable(intent.target, now)


def _make_replica_entry(state: ShardState, intent: Intent) -> ReplicaEntry:
    ledger = state.ledger
    adapters = sorted(
        beside.adapter
        for beside in ledger.intents_on_target(intent.target)
        if beside.adapter
        and beside.model == intent.model
        and is_intent_ready(ledger, beside)
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
    if get_track(state.ledger, intent).is_draining:
        return ReplicaState.DRAINING
    if is_intent_ready(state.ledger, intent):
        return ReplicaState.READY
    loaded_state = find_loaded_state(state.ledger, intent)
    if loaded_state is not None and loaded_state.state == 'unloading':
        return ReplicaState.UNLOADING
    return ReplicaState.LOADING
