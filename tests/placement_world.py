"""Simulation of placers with clocks, a table, a network and targets."""

import functools
import heapq
import itertools
import random
import types
from collections.abc import Callable

import attrs

from mimosaworks.entities import Catalogue, Model, Target
from mimosaworks.placement import (
    Intent,
    KeepAliveConfig,
    LoadBudget,
    Order,
    PlacementConfig,
    ReplicaMapBuilder,
    Report,
    ShardCommit,
    ShardLease,
    ShardPlacer,
    ShardState,
)
from mimosaworks.placement.intent import intent_from_json
from mimosaworks.placement.lease_row import lease_row_from_json
from mimosaworks.placement.report import LoadedState, OrderReport
from mimosaworks.placement.shard_commit import intent_key_prefix, lease_row_key
from mimosaworks.platform import Row
from mimosaworks.wire import Demand, ModelDemand

TARGET_MEMORY_BYTES = 25
MODEL_SIZES = types.MappingProxyType({'m1': 10, 'm2': 10, 'm3': 20})
TARGETS = types.MappingProxyType({'checks': True, 'ignores': False})
PLACEMENT_CFG = PlacementConfig(
    quarantine_s=3,
    loads_per_s=100,
    keep_alive=KeepAliveConfig('none', min_window_s=0.5),
    min_residency_s=1,
    drain_ack_s=0.5,
    report_lag_s=0.25,
    starvation_s=1,
)
CALL_TIMEOUT_S = 2.0
READ_INTERVAL_S = 1
STALL_S = 30.0
SHARD = 's'


Event = Callable[[], None]
QueueEntry = tuple[float, int, Event]

_parse = functools.cache(intent_from_json)


@attrs.define
class FakeTable:
    """The transactional table."""

    version: int = 0
    rows: dict[str, Row] = attrs.field(factory=dict)
    is_unavailable: bool = False

    def commit(self, batch: ShardCommit) -> int | None:
        for need in batch.row_asserts():
            row = self.rows.get(need.key)
            version = 0 if row is None else row.version
            if version != need.version:
                return None
        self.version += 1
        for write in batch.row_writes():
            if write.content is None:
                self.rows.pop(write.key, None)
            else:
                row = Row(write.key, write.content, self.version)
                self.rows[write.key] = row
        return self.version

    def intents(self) -> list[Intent]:
        prefix = intent_key_prefix(SHARD)
        return [
            _parse(row.content)
            for key, row in self.rows.items()
            if key.startswith(prefix)
        ]


@attrs.define
class FakeTarget:
    """An engine that accepts every load, even without enough memory."""

    name: str
    checks_fence: bool
    is_up: bool = True
    generation: int = 0
    highest_fence: int = 0
    loaded: dict[str, LoadedState] = attrs.field(factory=dict)
    orders: dict[str, OrderReport] = attrs.field(factory=dict)

    def restart(self) -> None:
        self.generation += 1
        self.highest_fence = 0
        self.loaded = {}
        self.orders = {}

    def apply(self, order: Order, *, fails: bool) -> int:
        if order.order_id in self.orders:
            return 202
        if self.checks_fence and order.fence < self.highest_fence:
            return 409
        self.highest_fence = max(self.highest_fence, order.fence)
        self.orders[order.order_id] = OrderReport('failed' if fails else 'done')
        if order.action == 'unload':
            self.loaded.pop(order.model, None)
        elif not fails and order.model not in self.loaded:
            held = LoadedState('ready', order.order_id, order.size_bytes)
            self.loaded[order.model] = held
        return 202

    def report(self) -> Report:
        used = sum(held.size_bytes for held in self.loaded.values())
        return Report(
            generation=self.generation,
            memory_bytes=TARGET_MEMORY_BYTES,
            used_bytes=used,
            models=dict(self.loaded),
            orders=dict(self.orders),
        )


@attrs.define
class PlacerProcess:
    """One placer process; its clock runs at its own rate."""

    name: str
    rate: float
    offset_s: float
    placer: ShardPlacer
    epoch: int = 0
    is_paused: bool = False
    is_read_due: bool = True
    call_number: int = 0
    is_calling: bool = False
    call_until_s: float = 0
    last_read_s: float = 0
    inbox: list[Event] = attrs.field(factory=list)


def new_placer(name: str, epoch: int) -> ShardPlacer:
    lease = ShardLease(
        name, f'{name}/{epoch}', PLACEMENT_CFG.lease_s, PLACEMENT_CFG.margin_s
    )
    state = ShardState(PLACEMENT_CFG, LoadBudget(PLACEMENT_CFG.loads_per_s))
    return ShardPlacer(SHARD, lease, state, ReplicaMapBuilder(name))


def catalogue(models: set[str]) -> Catalogue:
    return Catalogue(
        1,
        model={
            name: Model(name, name, MODEL_SIZES[name], replicas_max=2)
            for name in sorted(models)
        },
        target={
            name: Target(
                name,
                'http://t',
                'models',
                memory_bytes=TARGET_MEMORY_BYTES,
                checks_fence=checks,
            )
            for name, checks in TARGETS.items()
        },
    )


@attrs.define
class World:
    """Runs placers against targets; faults is the probability of a fault."""

    rng: random.Random
    now_s: float = 0
    faults: float = 0
    table: FakeTable = attrs.field(factory=FakeTable)
    targets: dict[str, FakeTarget] = attrs.field(init=False)
    procs: list[PlacerProcess] = attrs.field(init=False)
    queue: list[QueueEntry] = attrs.field(factory=list)
    numbers: 'itertools.count[int]' = attrs.field(factory=itertools.count)
    demand: set[str] = attrs.field(factory=set)
    models: set[str] = attrs.field(factory=lambda: set(MODEL_SIZES))
    cut_links: set[tuple[str, str]] = attrs.field(factory=set)
    churn: float = 0
    loads: int = 0

    def __attrs_post_init__(self) -> None:
        self.targets = {
            name: FakeTarget(name, checks) for name, checks in TARGETS.items()
        }
        rates = (0.995, 1.005, 1.0)
        self.procs = [
            PlacerProcess(
                f'p{index}', rate, 100.0 * index, new_placer(f'p{index}', 0)
            )
            for index, rate in enumerate(rates)
        ]

    def run(self, seconds: float) -> None:
        """Let time pass in small steps."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += 0.25
            if self.churn > self.rng.random():
                self.demand ^= {self.rng.choice(sorted(MODEL_SIZES))}
                self.models ^= {self.rng.choice(sorted(MODEL_SIZES))}
            self._deliver()
            for proc in self.procs:
                if not proc.is_paused:
                    self._step(proc)
                    self.check()

    def check(self) -> None:
        """Compare the loads on the targets with the intents in the table."""
        intents = self.table.intents()
        decided = {(intent.target, intent.model) for intent in intents}
        assert len(decided) == len(intents), 'a replica was decided twice'
        for target in self.targets.values():
            for model in target.loaded:
                pair = (target.name, model)
                assert pair in decided, f'{pair} is loaded but not decided'
            used = sum(map(MODEL_SIZES.__getitem__, target.loaded))
            assert used <= TARGET_MEMORY_BYTES, (
                f'{target.name} is overcommitted: {used}'
            )

    def holder(self) -> PlacerProcess:
        """Return the process that the lease row names."""
        row = self.table.rows.get(lease_row_key(SHARD))
        name = 'p0' if row is None else lease_row_from_json(row.content).holder
        return next(proc for proc in self.procs if proc.name == name)

    def crash(self, proc: PlacerProcess) -> None:
        proc.epoch += 1
        proc.placer = new_placer(proc.name, proc.epoch)
        proc.is_paused = False
        proc.is_read_due = True
        proc.is_calling = False
        proc.call_until_s = 0
        proc.inbox = []

    def resume(self, proc: PlacerProcess) -> None:
        proc.is_paused = False
        inbox = proc.inbox
        proc.inbox = []
        for event in inbox:
            event()

    def local_s(self, proc: PlacerProcess) -> float:
        return proc.offset_s + proc.rate * self.now_s

    def _chance(self, weight: float = 1) -> bool:
        return self.rng.random() < self.faults * weight

    def _delay(self, limit_s: float, weight: float = 2) -> float:
        return self.rng.uniform(0, limit_s) if self._chance(weight) else 0

    def _schedule(self, delay_s: float, event: Event) -> None:
        entry = (self.now_s + delay_s, next(self.numbers), event)
        heapq.heappush(self.queue, entry)

    def _deliver(self) -> None:
        while self.queue and self.queue[0][0] <= self.now_s:
            _, _, event = heapq.heappop(self.queue)
            event()
            self.check()

    def _schedule_in_process(
        self, proc: PlacerProcess, delay_s: float, event: Event
    ) -> None:
        """Run an event in a process, if it still is the same process then."""
        epoch = proc.epoch

        def run() -> None:
            if proc.epoch != epoch:
                return
            if proc.is_paused:
                proc.inbox.append(run)
            else:
                event()

        self._schedule(delay_s, run)

    def _step(self, proc: PlacerProcess) -> None:
        now = self.local_s(proc)
        proc.placer.state.apply_catalogue(catalogue(self.models))
        works = tuple(ModelDemand(model, waiting=1) for model in self.demand)
        proc.placer.state.demand_tracker.record_demand(Demand('r', works), now)
        proc.placer.decide(now, 0)
        proc.placer.build_replica_map(now)
        self._call_table(proc)
        for order in proc.placer.collect_due_orders(self.local_s(proc)):
            emit = functools.partial(self._send_order, proc, order)
            self._schedule_in_process(proc, self._delay(2), emit)
        if proc.placer.is_holder:
            for target in self.targets.values():
                self._poll(proc, target)
        self._deliver()
        if self._chance(0.05):
            self.crash(proc)

    def _call_table(self, proc: PlacerProcess) -> None:
        if proc.is_calling and proc.call_until_s > self.now_s:
            return
        proc.is_read_due |= proc.is_calling
        proc.is_calling = False
        is_look_due = self.now_s - proc.last_read_s >= READ_INTERVAL_S
        if proc.is_read_due or (is_look_due and not proc.placer.is_holder):
            self._read(proc)
        else:
            self._commit(proc)

    def _read(self, proc: PlacerProcess) -> None:
        proc.last_read_s = self.now_s
        if self.table.is_unavailable or self._chance():
            return
        rows = dict(self.table.rows)

        def answer() -> None:
            proc.is_read_due = False
            proc.placer.apply_rows(rows, self.local_s(proc))

        delay_s = self._delay(CALL_TIMEOUT_S * 1.2)
        self._schedule_in_process(proc, delay_s, self._open_call(proc, answer))

    def _open_call(self, proc: PlacerProcess, answer: Event) -> Event:
        """Open a call; return its answer, which is ignored after a timeout."""
        proc.call_until_s = self.now_s + CALL_TIMEOUT_S
        proc.is_calling = True
        proc.call_number += 1
        call = proc.call_number

        def answer_in_time() -> None:
            if proc.is_calling and proc.call_number == call:
                proc.is_calling = False
                proc.call_until_s = 0
                answer()

        return answer_in_time

    def _commit(self, proc: PlacerProcess) -> None:
        batch = proc.placer.next_commit(self.local_s(proc))
        if batch is None:
            return
        versions: list[int | None] = []

        def answer() -> None:
            version = versions.pop()
            if version is None:
                proc.is_read_due = True
                return
            proc.placer.confirm_commit(version, self.local_s(proc))
            proc.is_read_due = not proc.placer.is_holder

        answer_in_time = self._open_call(proc, answer)

        def land() -> None:
            if self.table.is_unavailable:
                return
            versions.append(self.table.commit(batch))
            if not self._chance():
                self._schedule_in_process(proc, self._delay(1), answer_in_time)

        if not self._chance():
            self._schedule(self._delay(4), land)

    def _send_order(self, proc: PlacerProcess, order: Order) -> None:
        if not proc.placer.may_send_order(order, self.local_s(proc)):
            return
        if (proc.name, order.target) in self.cut_links:
            return
        arrive = functools.partial(self._deliver_order, proc, order)
        if self.targets[order.target].checks_fence and self._chance(0.5):
            self._pause_before_send(proc, order)
        for _ in range(1 + self._chance()):
            if proc.is_paused or self._chance():
                continue
            self._schedule(self._delay(PLACEMENT_CFG.quarantine_s, 5), arrive)

    def _pause_before_send(self, proc: PlacerProcess, order: Order) -> None:
        """Pause a process between its lease check and sending the order."""
        target = self.targets[order.target]
        generation = target.generation

        def arrive() -> None:
            # A restart of the target closes the connection with the order.
            if target.generation == generation:
                self._deliver_order(proc, order)

        def leave() -> None:
            self._schedule(self._delay(PLACEMENT_CFG.quarantine_s), arrive)

        proc.is_paused = True
        proc.inbox.append(leave)
        self._schedule(self.rng.uniform(0, STALL_S), lambda: self.resume(proc))

    def _deliver_order(self, proc: PlacerProcess, order: Order) -> None:
        target = self.targets[order.target]
        if not target.is_up:
            return
        fails = order.action == 'load' and self._chance()
        status = target.apply(order, fails=fails)
        self.loads += status == 202 and order.action == 'load'

        def refused() -> None:
            proc.is_read_due = True

        if status == 409:
            self._schedule_in_process(proc, self._delay(1), refused)

    def _poll(self, proc: PlacerProcess, target: FakeTarget) -> None:
        asked_s = self.local_s(proc)
        is_cut = (proc.name, target.name) in self.cut_links
        if is_cut or self._chance():
            return

        def ask() -> None:
            if not target.is_up:
                return
            report = target.report()
            self._schedule_in_process(
                proc,
                self._delay(1),
                lambda: proc.placer.record_report(target.name, report, asked_s),
            )

        self._schedule(self._delay(1), ask)
