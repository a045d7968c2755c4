"""Tests of the placement policy, without I/O."""

import attrs
import pytest

from mimosaworks.entities import Adapter, Catalogue, Model, Target
from mimosaworks.placement import (
    Decision,
    DecisionKind,
    Intent,
    IntentState,
    KeepAliveConfig,
    LoadBudget,
    PlacementConfig,
    ReplicaMapBuilder,
    Report,
    ShardLease,
    ShardPlacer,
    ShardState,
    compute_keep_alive_s,
)
from mimosaworks.placement.keep_alive import ArrivalHistogram
from mimosaworks.placement.report import (
    CachedCheckpoints,
    LoadedState,
    OrderReport,
)
from mimosaworks.platform import Row
from mimosaworks.wire import Demand, ModelDemand

NOON = 720
KEY = 'shards/s/lease'


@attrs.define
class Bench:
    """A holder whose targets carry out each order at once."""

    rules: PlacementConfig
    models: list[Model]
    adapters: list[Adapter] = attrs.field(factory=list)
    names: tuple[str, ...] = ('t1',)
    memory: int = 20
    now: float = 100
    minute: int = NOON
    versions: int = 0
    loaded: dict[str, dict[str, LoadedState]] = attrs.field(factory=dict)
    cached: dict[str, CachedCheckpoints] = attrs.field(factory=dict)
    running: dict[str, int] = attrs.field(factory=dict)
    placer: ShardPlacer = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        state = ShardState(self.rules, LoadBudget(self.rules.loads_per_s))
        state.set_catalogue(
            Catalogue(
                1,
                model={model.name: model for model in self.models},
                adapter={one.name: one for one in self.adapters},
                target={
                    name: Target(
                        name, 'http://t', 'models', memory_bytes=self.memory
                    )
                    for name in self.names
                },
            )
        )
        lease = ShardLease('h', 'n', 1e9, 1)
        self.placer = ShardPlacer('s', lease, state, ReplicaMapBuilder('h'))
        self.placer.apply_rows({}, self.now)
        self.commit()
        assert lease.row is not None
        row = Row(KEY, lease.row.to_json(), self.versions)
        self.placer.apply_rows({KEY: row}, self.now)
        self.loaded = {name: {} for name in self.names}
        self.step(1)

    def commit(self) -> None:
        if self.placer.next_commit(self.now) is not None:
            self.versions += 1
            self.placer.confirm_commit(self.versions, self.now)

    def ask(self, *works: ModelDemand) -> None:
        self.placer.state.demand_tracker.record_demand(
            Demand('r', works), self.now
        )

    def step(self, seconds: float = 0.1) -> list[Decision]:
        self.now += seconds
        for name in self.names:
            report = Report(
                0,
                self.memory,
                models=self._on(name, adapters=False),
                adapters=self._on(name, adapters=True),
                cached=self.cached.get(name, CachedCheckpoints()),
            )
            self.placer.record_report(name, report, self.now)
        decisions = self.placer.decide(self.now, self.minute)
        self.commit()
        for order in self.placer.collect_due_orders(self.now):
            held = LoadedState('ready', order.order_id, order.size_bytes)
            subject = order.adapter or order.model
            self.loaded[order.target].pop(subject, None)
            if order.action.startswith('load'):
                self.loaded[order.target][subject] = held
        return decisions

    def where(self, name: str) -> list[str]:
        return [one for one in self.names if name in self.loaded[one]]

    def _on(self, target: str, *, adapters: bool) -> dict[str, LoadedState]:
        names = {one.name for one in self.adapters}
        return {
            name: attrs.evolve(held, running=self.running.get(name, 0))
            for name, held in self.loaded[target].items()
            if (name in names) is adapters
        }


def model(name: str, size: int = 10, **more: int) -> Model:
    return Model(name, f'{name}.ckpt', size, **more)


def waits(name: str, adapter: str = '', count: int = 1) -> ModelDemand:
    return ModelDemand(name, adapter, waiting=count, arrivals=count)


def rules(kind: str = 'fixed', **more: float) -> PlacementConfig:
    keep = KeepAliveConfig(kind, fixed_window_s=30)
    return PlacementConfig(keep_alive=keep, **more)  # type: ignore[arg-type]


def test_a_waiting_request_loads_its_model_once() -> None:
    bench = Bench(rules(), [model('m')], names=('t1', 't2'))
    for _ in range(5):
        bench.ask(waits('m'))
        bench.step()
    assert len(bench.where('m')) == 1


def test_the_target_that_has_the_checkpoint_goes_first() -> None:
    disk = CachedCheckpoints(disk=('m.ckpt',))
    memory = CachedCheckpoints(memory=('m.ckpt',))
    bench = Bench(
        rules(),
        [model('m')],
        names=('t1', 't2', 't3'),
        cached={'t2': disk, 't3': memory},
    )
    bench.ask(waits('m'))
    decisions = bench.step()
    assert [one.target for one in decisions] == ['t3']
    assert [one[:2] for one in decisions[0].runners_up] == ['t2', 't1']


def test_more_requests_than_one_replica_takes_load_another() -> None:
    models = [model('m', replicas_max=2)]
    bench = Bench(rules(), models, names=('t1', 't2', 't3'))
    bench.ask(waits('m', count=100))
    bench.step()
    assert len(bench.where('m')) == 2


def test_the_model_whose_requests_waited_most_together_is_loaded_first() -> (
    None
):
    models = [model('early', 1), model('busy', 1)]
    bench = Bench(rules(loads_at_once=1, loads_per_s=0), models)
    bench.ask(waits('early'))
    bench.step()
    bench.ask(waits('early'), waits('busy', count=20))
    bench.step()
    bench.now += 1
    bench.placer.state.load_bucket.loads_per_s = 100
    bench.ask(waits('early'), waits('busy', count=20))
    decisions = bench.step()
    assert [one.model for one in decisions] == ['busy']


def test_the_weight_store_gets_no_more_loads_at_once_than_its_budget() -> None:
    models = [model(f'm{index}', 1) for index in range(10)]
    bench = Bench(rules(loads_at_once=2, loads_per_s=100), models)
    bench.ask(*(waits(one.name) for one in models))
    decisions = bench.step()
    assert {one.kind for one in decisions} == {DecisionKind.LOAD}
    assert len(decisions) == 2


def test_a_scheduled_model_is_ready_from_its_hour_to_its_end() -> None:
    schedule = {'ready_from_min': 700, 'ready_until_min': 800}
    models = [model('m', replicas_min=1, **schedule)]
    bench = Bench(rules('none'), models, minute=699)
    assert not bench.where('m')
    bench.minute = 700
    bench.step()
    bench.step(100)
    assert bench.where('m')
    bench.minute = 800
    for _ in range(100):
        bench.step()
    assert not bench.where('m')


@pytest.mark.parametrize(('minute', 'is_ready'), [(1430, 1), (5, 1), (20, 0)])
def test_a_schedule_may_run_over_midnight(minute: int, is_ready: int) -> None:
    schedule = {'ready_from_min': 1420, 'ready_until_min': 10}
    models = [model('m', replicas_min=1, **schedule)]
    bench = Bench(rules(), models, minute=minute)
    assert len(bench.where('m')) == is_ready


def test_an_idle_model_goes_after_its_keep_alive_and_not_before() -> None:
    bench = Bench(rules(), [model('m')])
    bench.ask(waits('m'))
    bench.step()
    bench.step()
    bench.ask()
    for _ in range(29):
        bench.step(1)
    assert bench.where('m')
    for _ in range(20):
        bench.step(1)
    assert not bench.where('m')
    assert not bench.placer.state.ledger.committed_intents


def test_a_model_that_runs_is_not_unloaded_for_an_idle_one() -> None:
    bench = Bench(rules(), [model('m', 15), model('n', 15)])
    bench.ask(waits('m'))
    bench.step()
    bench.running = {'m': 1}
    bench.ask(waits('n'))
    bench.step()
    bench.step()
    assert bench.where('m')
    bench.running = {}
    for _ in range(100):
        bench.ask(waits('n'))
        bench.step()
    assert bench.where('n')
    assert not bench.where('m')


def test_a_starved_model_displaces_one_that_is_always_busy() -> None:
    bench = Bench(rules(), [model('m', 15), model('n', 15)])
    bench.ask(waits('m'))
    bench.step()
    ledger = bench.placer.state.ledger
    for _ in range(200):
        tracks = ledger.tracks.values()
        is_draining = any(track.is_draining for track in tracks)
        bench.running = {'m': int(not is_draining)}
        bench.ask(waits('n'), ModelDemand('m', running=1))
        bench.step()
    assert bench.where('n')


def test_adapters_stay_within_their_slots_and_memory() -> None:
    adapters = [Adapter(f'a{index}', 'm', 4) for index in range(4)]
    bench = Bench(rules(adapters_at_once=1), [model('m')], adapters)
    bench.ask(waits('m', 'a0'))
    bench.step()
    for index in (0, 1, 2):
        for _ in range(60):
            bench.ask(waits('m', f'a{index}'))
            bench.step()
        assert bench.where(f'a{index}')
    assert not bench.where('a0'), 'the least recently used one goes'
    assert sum(held.size_bytes for held in bench.loaded['t1'].values()) <= 20


def test_a_replaced_checkpoint_is_unloaded_and_loaded_anew() -> None:
    bench = Bench(rules(), [model('m')])
    bench.ask(waits('m'))
    bench.step()
    old = bench.loaded['t1']['m'].order_id
    state = bench.placer.state
    newer = attrs.evolve(model('m'), checkpoint='m2.ckpt')
    state.set_catalogue(attrs.evolve(state.catalogue, model={'m': newer}))
    for _ in range(100):
        bench.ask(waits('m'))
        bench.step()
    assert bench.loaded['t1']['m'].order_id != old


@pytest.mark.parametrize(
    ('gap_s', 'kept'), [(1, True), (10, True), (3000, False)]
)
def test_keep_alive_spans_the_gaps_that_cost_less_than_a_cold_start(
    gap_s: float, kept: bool
) -> None:
    history = ArrivalHistogram()
    for index in range(20):
        history.record_arrival(index * gap_s)
    keep_s = compute_keep_alive_s(KeepAliveConfig(), history.counts, 10)
    assert (keep_s >= gap_s) is kept


def test_a_lease_is_free_for_others_only_after_its_holder_gave_it_up() -> None:
    first = ShardLease('a', 'a1', 10, 1)
    other = ShardLease('b', 'b1', 10, 1)
    first.observe_row(None, 0, 0)
    row = first.make_next_row()
    first.record_written_row(row, 1, 0, 1)
    assert first.may_send_orders(8.9)
    assert not first.may_send_orders(9)
    other.observe_row(row, 1, 100)
    assert not other.may_claim(110.1)
    assert other.may_claim(110.2)
    other.observe_row(first.make_release_row(), 2, 105)
    assert other.may_claim(105)
    assert other.make_next_row().fence == 2


def test_a_checking_target_learns_the_number_before_a_reservation_ends() -> (
    None
):
    intent = Intent(
        's-1-1',
        IntentState.UNLOAD,
        'm',
        '',
        't1',
        'http://t',
        'm.ckpt',
        10,
        1,
        checks_fence=True,
    )
    bench = Bench(rules(), [model('m')])
    ledger = bench.placer.state.ledger
    ledger.import_intents({intent.order_id: intent}, bench.now)
    bench.step(10)
    bench.step(10)
    assert not bench.where('m')
    assert intent.order_id in ledger.committed_intents
    order = ledger.tracks[intent.order_id].unload_order_id
    seen = {order: OrderReport('done')}
    bench.now += 1
    report = Report(0, bench.memory, orders=seen)
    bench.placer.record_report('t1', report, bench.now)
    bench.placer.decide(bench.now, NOON)
    bench.commit()
    assert not ledger.committed_intents
