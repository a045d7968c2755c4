"""Decides loads, drains and unloads for a shard."""

import math
from collections.abc import Callable

import attrs

from mimosaworks.entities import Model
from mimosaworks.placement.adapter_policy import place_adapters
from mimosaworks.placement.budget import has_weight_store_slot
from mimosaworks.placement.decision import Decision, DecisionKind
from mimosaworks.placement.eviction import plan_eviction
from mimosaworks.placement.intent import Intent, IntentState
from mimosaworks.placement.intent_status import get_track
from mimosaworks.placement.keep_alive import compute_keep_alive_s
from mimosaworks.placement.replica_demand import (
    count_wanted_replicas,
    find_removal_reason,
)
from mimosaworks.placement.shard_state import ShardState
from mimosaworks.placement.target_choice import (
    REMOTE_RANK,
    TargetCandidate,
    checkpoint_cache_rank,
    rank_target_candidates,
)

ASSUMED_COLD_START_S = 10.0


@attrs.define
class PlacementRound:
    """One round of decisions at one time.

    minute is the minute of the day in UTC; new_id returns unique order ids;
    promised_bytes maps targets to memory set aside for models that wait.
    """

    state: ShardState
    now: float
    minute: int
    fence: int
    new_order_id: Callable[[], str]
    promised_bytes: dict[str, int] = attrs.field(factory=dict)
    decisions: list[Decision] = attrs.field(factory=list)

    def decide_all(self) -> list[Decision]:
        """Decide for all models and adapters; return the decisions."""
        self.state.demand_tracker.expire_demands(self.now)
        models = self.state.catalogue.model.values()
        for model in sorted(models, key=self._load_priority):
            wanted_count = count_wanted_replicas(self.state, model, self.minute)
            live_replicas = self.state.live_replicas(model.name, self.now)
            self._add_replicas(model, wanted_count - len(live_replicas))
            self._drain_surplus(model, wanted_count)
        self.decisions += place_adapters(
            self.state, self.now, self.fence, self.new_order_id
        )
        return self.decisions

    def _load_priority(self, model: Model) -> tuple[float, str]:
        # The weight store is the bottleneck of a burst: the model whose
        # requests have waited most, all together, is loaded first. A single
        # request is overtaken only until its own wait adds up.
        demand = self.state.demand_tracker
        waiting_count = demand.count_waiting(model.name)
        if not waiting_count:
            return (0, model.name)
        waited_s = self.now - demand.oldest_wait_start_s(model.name)
        return (-waiting_count * waited_s, model.name)

    def _add_replicas(self, model: Model, missing_count: int) -> None:
        missing_count -= self._cancel_drains(model, missing_count)
        # A replica that can't be reached, or that is on its way out, may
        # still be loaded: a replacement would exceed what operators allow.
        max_replicas = max(model.replicas_max, model.replicas_min)
        missing_count = min(
            missing_count,
            max_replicas - self.state.count_possibly_loaded(model.name),
        )
        for _ in range(missing_count):
            if not self._try_place_replica(model):
                return

    def _cancel_drains(self, model: Model, missing_count: int) -> int:
        kept_count = 0
        ledger = self.state.ledger
        for intent in ledger.replica_intents(model.name):
            if kept_count >= missing_count:
                break
            if self._can_cancel_drain(intent):
                get_track(ledger, intent).cancel_drain()
                self._record_decision(DecisionKind.KEEP, intent, 'needed again')
                kept_count += 1
        return kept_count

    def _can_cancel_drain(self, intent: Intent) -> bool:
        if find_removal_reason(self.state, intent):
            return False
        track = get_track(self.state.ledger, intent)
        # While the model that the eviction was for still waits, the drain
        # goes on. Otherwise a busy model would never be evicted.
        if self.state.demand_tracker.count_waiting(track.freed_for_model):
            return False
        return intent.state is IntentState.LOAD and track.is_draining

    def _try_place_replica(self, model: Model) -> bool:
        candidates = rank_target_candidates(
            self.state, model, self.promised_bytes, self.now
        )
        if not candidates:
            self._evict_for_model(model)
            return False
        if not self._acquire_load_slot(model, candidates[0]):
            self._promise_bytes(candidates[0].target, model)
            return False
        self._decide_load(model, candidates)
        return True

    def _acquire_load_slot(
        self, model: Model, candidate: TargetCandidate
    ) -> bool:
        state = self.state
        rank = checkpoint_cache_rank(state, candidate.target, model.checkpoint)
        if rank < REMOTE_RANK:
            return True
        has_slot = has_weight_store_slot(state.ledger, state.placement_cfg)
        return has_slot and state.load_bucket.try_take(self.now)

    def _decide_load(
        self, model: Model, candidates: list[TargetCandidate]
    ) -> None:
        best_candidate = candidates[0]
        target = self.state.catalogue.target[best_candidate.target]
        intent = Intent(
            order_id=self.new_order_id(),
            state=IntentState.LOAD,
            model=model.name,
            adapter='',
            target=target.name,
            url=target.url,
            checkpoint=model.checkpoint,
            size_bytes=model.size_bytes,
            fence=self.fence,
            checks_fence=target.checks_fence,
        )
        self.state.ledger.put_intent(intent, self.now)
        runners_up = tuple(other.describe() for other in candidates[1:4])
        reason = f'replica is needed; {best_candidate.describe()} is best'
        self._record_decision(DecisionKind.LOAD, intent, reason, runners_up)

    def _evict_for_model(self, model: Model) -> None:
        # Memory that is freed before a load can start costs loaded models.
        # The models that waited longest come first.
        if len(self.promised_bytes) >= self.state.placement_cfg.loads_at_once:
            return
        eviction_plan = plan_eviction(
            self.state, model, self.promised_bytes, self.minute, self.now
        )
        if eviction_plan is None:
            return
        for intent in eviction_plan.victims:
            self._start_drain(intent, f'evicted for {model.name}', model.name)
        self._promise_bytes(eviction_plan.target, model)

    def _promise_bytes(self, target: str, model: Model) -> None:
        already_promised = self.promised_bytes.get(target, 0)
        self.promised_bytes[target] = already_promised + model.size_bytes

    def _drain_surplus(self, model: Model, wanted_count: int) -> None:
        state = self.state
        ready_replicas = state.ready_replicas(model.name, self.now)
        if len(ready_replicas) <= wanted_count:
            state.surplus_since.pop(model.name, None)
            return
        surplus_since_s = state.surplus_since.setdefault(model.name, self.now)
        key = (model.name, '')
        last_use_s = state.demand_tracker.last_use_s.get(key, -math.inf)
        gap_counts = state.demand_tracker.arrival_gap_counts(model.name)
        keep_alive_s = compute_keep_alive_s(
            state.placement_cfg.keep_alive, gap_counts, ASSUMED_COLD_START_S
        )
        if self.now - max(surplus_since_s, last_use_s) > keep_alive_s:
            self._start_drain(
                ready_replicas[-1], f'idle for {keep_alive_s:.1f} s'
            )

    def _start_drain(
        self, intent: Intent, reason: str, room_for: str = ''
    ) -> None:
        track = get_track(self.state.ledger, intent)
        track.start_drain(self.now, room_for)
        self._record_decision(DecisionKind.DRAIN, intent, reason)

    def _record_decision(
        self,
        kind: DecisionKind,
        intent: Intent,
        reason: str,
        runners_up: tuple[str, ...] = (),
    ) -> None:
        self.decisions.append(
            Decision(
                kind,
                intent.model,
                intent.adapter,
                intent.target,
                reason,
                runners_up,
            )
        )
