"""Decides loads, drains and unloads for a shard."""

import math
from collections.abc import Callable

import attrs

from mimosaworks.entities import Model
from mimosaworks.placement.adapter_policy import place_adapters
from mimosaworks.placement.budget import has_load_slot
from mimosaworks.placement.choice import (
    REMOTE_RANK,
    Candidate,
    cache_rank,
    candidates,
)
from mimosaworks.placement.decision import Decision, DecisionKind
from mimosaworks.placement.eviction import plan_eviction
from mimosaworks.placement.evidence import track_of
from mimosaworks.placement.intent import Intent, IntentState
from mimosaworks.placement.keep_alive import keep_alive_s
from mimosaworks.placement.shard_state import ShardState
from mimosaworks.placement.wants import unwanted_reason, wanted_replicas

COLD_START_S = 10.0


@attrs.define
class PlacementRound:
    """One round of decisions at one time.

    minute is the minute of the day in UTC; new_id returns unique order ids;
    promised maps targets to bytes that models wait for.
    """

    state: ShardState
    now: float
    minute: int
    fence: int
    new_id: Callable[[], str]
    promised: dict[str, int] = attrs.field(factory=dict)
    decisions: list[Decision] = attrs.field(factory=list)

    def run(self) -> list[Decision]:
        """Decide for all models and adapters; return what was decided."""
        self.state.demand.refresh(self.now)
        models = self.state.catalogue.model.values()
        for model in sorted(models, key=self._urgency):
            wanted = wanted_replicas(self.state, model, self.minute)
            live = self.state.live(model.name, self.now)
            self._raise_by(model, wanted - len(live))
            self._lower(model, wanted)
        self.decisions += place_adapters(
            self.state, self.now, self.fence, self.new_id
        )
        return self.decisions

    def _urgency(self, model: Model) -> tuple[float, str]:
        # The weight store is the bottleneck of a burst: the model whose
        # requests have waited most, all together, is loaded first. A single
        # request is overtaken only until its own wait adds up.
        demand = self.state.demand
        waiting = demand.waiting(model.name)
        if not waiting:
            return (0, model.name)
        waited_s = self.now - demand.wait_start_s(model.name)
        return (-waiting * waited_s, model.name)

    def _raise_by(self, model: Model, missing: int) -> None:
        missing -= self._keep_draining(model, missing)
        # A replica that can't be reached, or that is on its way out, may
        # still be loaded: a replacement would exceed what operators allow.
        allowed = max(model.replicas_max, model.replicas_min)
        missing = min(missing, allowed - self.state.held(model.name))
        for _ in range(missing):
            if not self._place(model):
                return

    def _keep_draining(self, model: Model, missing: int) -> int:
        kept = 0
        ledger = self.state.ledger
        for intent in ledger.replicas(model.name):
            if kept >= missing:
                break
            if self._can_keep(intent):
                track_of(ledger, intent).cancel_drain()
                self._note(DecisionKind.KEEP, intent, 'wanted again')
                kept += 1
        return kept

    def _can_keep(self, intent: Intent) -> bool:
        if unwanted_reason(self.state, intent):
            return False
        track = track_of(self.state.ledger, intent)
        # A starved model keeps its claim, or a busy one would never go.
        if self.state.demand.waiting(track.room_for):
            return False
        return intent.state is IntentState.LOAD and track.is_draining

    def _place(self, model: Model) -> bool:
        found = candidates(self.state, model, self.promised, self.now)
        if not found:
            self._make_room(model)
            return False
        if not self._take_budget(model, found[0]):
            self._promise(found[0].target, model)
            return False
        self._load(model, found)
        return True

    def _take_budget(self, model: Model, best: Candidate) -> bool:
        state = self.state
        rank = cache_rank(state, best.target, model.checkpoint)
        if rank < REMOTE_RANK:
            return True
        has_slot = has_load_slot(state.ledger, state.rules)
        return has_slot and state.budget.try_take(self.now)

    def _load(self, model: Model, found: list[Candidate]) -> None:
        best = found[0]
        target = self.state.catalogue.target[best.target]
        intent = Intent(
            order_id=self.new_id(),
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
        self.state.ledger.put(intent, self.now)
        runners_up = tuple(other.describe() for other in found[1:4])
        reason = f'wanted; {best.describe()} is best'
        self._note(DecisionKind.LOAD, intent, reason, runners_up)

    def _make_room(self, model: Model) -> None:
        # Room that is made sooner than it can be loaded into costs warm
        # models. The models that waited longest come first.
        if len(self.promised) >= self.state.rules.loads_at_once:
            return
        plan = plan_eviction(
            self.state, model, self.promised, self.minute, self.now
        )
        if plan is None:
            return
        for intent in plan.victims:
            self._drain(intent, f'room for {model.name}', model.name)
        self._promise(plan.target, model)

    def _promise(self, target: str, model: Model) -> None:
        before = self.promised.get(target, 0)
        self.promised[target] = before + model.size_bytes

    def _lower(self, model: Model, wanted: int) -> None:
        state = self.state
        ready = state.ready(model.name, self.now)
        if len(ready) <= wanted:
            state.surplus_since.pop(model.name, None)
            return
        since = state.surplus_since.setdefault(model.name, self.now)
        key = (model.name, '')
        last_use = state.demand.last_use_s.get(key, -math.inf)
        counts = state.demand.gap_counts(model.name)
        keep_s = keep_alive_s(state.rules.keep_alive, counts, COLD_START_S)
        if self.now - max(since, last_use) > keep_s:
            self._drain(ready[-1], f'idle for {keep_s:.1f} s')

    def _drain(self, intent: Intent, reason: str, room_for: str = '') -> None:
        track = track_of(self.state.ledger, intent)
        track.start_drain(self.now, room_for)
        self._note(DecisionKind.DRAIN, intent, reason)

    def _note(
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
