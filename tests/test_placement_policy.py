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

NOON_MINUTE = 720
LEASE_KEY = 'shards/s/lease'


@attrs.define
class PolicyHarness:
    """A lease holder whose targets carry out each order immediately."""

    placement_cfg: PlacementConfig
    models: list[Model]
    adapters: list[Adapter] = attrs.field(factory=list)
    target_names: tuple[str, ...] = ('t1',)
    memory_bytes: int = 20
    now_s: float = 100
    minute: int = NOON_MINUTE
    versions: int = 0
    loaded: dict[str, dict[str, LoadedState]] = attrs.field(factory=dict)
    cached: dict[str, CachedCheckpoints] = attrs.field(factory=dict)
    running: dict[str, int] = attrs.field(factory=dict)
    placer: ShardPlacer = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        state = ShardState(
            self.placement_cfg, LoadBudget(self.placement_cfg.loads_per_s)
        )
        state.apply_catalogue(
            Catalogue(
                1,
                model={model.name: model for model in self.models},
                adapter={one.name: one for one in self.adapters},
                target={
                    name: Target(
                        name,
                        'http://t',
                        'models',
                        memory_bytes=self.memory_bytes,
                    )
                    for name in self.target_names
                },
            )
        )
        lease = ShardLease('h', 'n', 1e9, 1)
        self.placer = ShardPlacer('s', lease, state, ReplicaMapBuilder('h'))
        self.placer.apply_rows({}, self.now_s)
        self.commit_pending()
        assert lease.row is not None
        row = Row(LEASE_KEY, lease.row.to_json(), self.versions)
        self.placer.apply_rows({LEASE_KEY: row}, self.now_s)
        self.loaded = {name: {} for name in self.target_names}
        self.run_round(1)

    def commit_pending(self) -> None:
        if self.placer.next_commit(self.now_s) is not None:
            self.versions += 1
            self.placer.confirm_commit(self.versions, self.now_s)

    def report_demand(self, *works: ModelDemand) -> None:
        self.placer.state.demand_tracker.record_demand(
            Demand('r', works), self.now_s
        )

    def run_round(self, seconds: float = 0.1) -> list[Decision]:
        self.now_s += seconds
        for name in self.target_names:
            report = Report(
                0,
                self.memory_bytes,
                models=self._reported_loads(name, adapters=False),
                adapters=self._reported_loads(name, adapters=True),
                cached=self.cached.get(name, CachedCheckpoints()),
            )
            self.placer.record_report(name, report, self.now_s)
        decisions = self.placer.decide(self.now_s, self.minute)
        self.commit_pending()
        for order in self.placer.collect_due_orders(self.now_s):
            held = LoadedState('ready', order.order_id, order.size_bytes)
            subject = order.adapter or order.model
            self.loaded[order.target].pop(subject, None)
            if order.action.startswith('load'):
                self.loaded[order.target][subject] = held
        return decisions

    def targets_holding(self, name: str) -> list[str]:
        return [one for one in self.target_names if name in self.loaded[one]]

    def _reported_loads(
        self, target: str, *, adapters: bool
    ) -> dict[str, LoadedState]:
        names = {one.name for one in self.adapters}
        return {
            name: attrs.evolve(held, running=self.running.get(name, 0))
            for name, held in self.loaded[target].items()
            if (name in names) is adapters
        }


def make_model(name: str, size: int = 10, **more: int) -> Model:
    return Model(name, f'{name}.ckpt', size, **more)


def waiting_demand(name: str, adapter: str = '', count: int = 1) -> ModelDemand:
    return ModelDemand(name, adapter, waiting=count, arrivals=count)


def make_config(kind: str = 'fixed', **more: float) -> PlacementConfig:
    keep = KeepAliveConfig(kind, fixed_window_s=30)
    return PlacementConfig(keep_alive=keep, **more)  # type: ignore[arg-type]


def test_a_waiting_request_loads_its_model_once() -> None:
    bench = PolicyHarness(
        make_config(), [make_model('m')], target_names=('t1', 't2')
    )
    for _ in range(5):
        bench.report_demand(waiting_demand('m'))
        bench.run_round()
    assert len(bench.targets_holding('m')) == 1


def test_the_target_that_has_the_checkpoint_goes_first() -> None:
    disk = CachedCheckpoints(disk=('m.ckpt',))
    memory = CachedCheckpoints(memory=('m.ckpt',))
    bench = PolicyHarness(
        make_config(),
        [make_model('m')],
        target_names=('t1', 't2', 't3'),
        cached={'t2': disk, 't3': memory},
    )
    bench.report_demand(waiting_demand('m'))
    decisions = bench.run_round()
    assert [one.target for one in decisions] == ['t3']
    assert [one[:2] for one in decisions[0].runners_up] == ['t2', 't1']


def test_more_requests_than_one_replica_takes_load_another() -> None:
    models = [make_model('m', replicas_max=2)]
    bench = PolicyHarness(
        make_config(), models, target_names=('t1', 't2', 't3')
    )
    bench.report_demand(waiting_demand('m', count=100))
    bench.run_round()
    assert len(bench.targets_holding('m')) == 2


def test_the_model_whose_requests_waited_most_together_is_loaded_first() -> (
    None
):
    models = [make_model('early', 1), make_model('busy', 1)]
    bench = PolicyHarness(make_config(loads_at_once=1, loads_per_s=0), models)
    bench.report_demand(waiting_demand('early'))
    bench.run_round()
    bench.report_demand(
        waiting_demand('early'), waiting_demand('busy', count=20)
    )
    bench.run_round()
    bench.now_s += 1
    bench.placer.state.load_bucket.loads_per_s = 100
    bench.report_demand(
        waiting_demand('early'), waiting_demand('busy', count=20)
    )
    decisions = bench.run_round()
    assert [one.model for one in decisions] == ['busy']


def test_the_weight_store_gets_no_more_loads_at_once_than_its_budget() -> None:
    models = [make_model(f'm{index}', 1) for index in range(10)]
    bench = PolicyHarness(make_config(loads_at_once=2, loads_per_s=100), models)
    bench.report_demand(*(waiting_demand(one.name) for one in models))
    decisions = bench.run_round()
    assert {one.kind for one in decisions} == {DecisionKind.LOAD}
    assert len(decisions) == 2


def test_a_scheduled_model_is_ready_from_its_hour_to_its_end() -> None:
    schedule = {'ready_from_min': 700, 'ready_until_min': 800}
    models = [make_model('m', replicas_min=1, **schedule)]
    bench = PolicyHarness(make_config('none'), models, minute=699)
    assert not bench.targets_holding('m')
    bench.minute = 700
    bench.run_round()
    bench.run_round(100)
    assert bench.targets_holding('m')
    bench.minute = 800
    for _ in range(100):
        bench.run_round()
    assert not bench.targets_holding('m')


@pytest.mark.parametrize(('minute', 'is_ready'), [(1430, 1), (5, 1), (20, 0)])
def test_a_schedule_may_run_over_midnight(minute: int, is_ready: int) -> None:
    schedule = {'ready_from_min': 1420, 'ready_until_min': 10}
    models = [make_model('m', replicas_min=1, **schedule)]
    bench = PolicyHarness(make_config(), models, minute=minute)
    assert len(bench.targets_holding('m')) == is_ready


def test_an_idle_model_goes_after_its_keep_alive_and_not_before() -> None:
    bench = PolicyHarness(make_config(), [make_model('m')])
    bench.report_demand(waiting_demand('m'))
    bench.run_round()
    bench.run_round()
    bench.report_demand()
    for _ in range(29):
        bench.run_round(1)
    assert bench.targets_holding('m')
    for _ in range(20):
        bench.run_round(1)
    assert not bench.targets_holding('m')
    assert not bench.placer.state.ledger.committed_intents


def test_a_model_that_runs_is_not_unloaded_for_an_idle_one() -> None:
    bench = PolicyHarness(
        make_config(), [make_model('m', 15), make_model('n', 15)]
    )
    bench.report_demand(waiting_demand('m'))
    bench.run_round()
    bench.running = {'m': 1}
    bench.report_demand(waiting_demand('n'))
    bench.run_round()
    bench.run_round()
    assert bench.targets_holding('m')
    bench.running = {}
    for _ in range(100):
        bench.report_demand(waiting_demand('n'))
        bench.run_round()
    assert bench.targets_holding('n')
    assert not bench.targets_holding('m')


def test_a_starved_model_displaces_one_that_is_always_busy() -> None:
    bench = PolicyHarness(
        make_config(), [make_model('m', 15), make_model('n', 15)]
    )
    bench.report_demand(waiting_demand('m'))
    bench.run_round()
    ledger = bench.placer.state.ledger
    for _ in range(200):
        tracks = ledger.tracks.values()
        is_draining = any(track.is_draining for track in tracks)
        bench.running = {'m': int(not is_draining)}
        bench.report_demand(waiting_demand('n'), ModelDemand('m', running=1))
        bench.run_round()
    assert bench.targets_holding('n')


def test_adapters_stay_within_their_slots_and_memory() -> None:
    adapters = [Adapter(f'a{index}', 'm', 4) for index in range(4)]
    bench = PolicyHarness(
        make_config(adapters_at_once=1), [make_model('m')], adapters
    )
    bench.report_demand(waiting_demand('m', 'a0'))
    bench.run_round()
    for index in (0, 1, 2):
        for _ in range(60):
            bench.report_demand(waiting_demand('m', f'a{index}'))
            bench.run_round()
        assert bench.targets_holding(f'a{index}')
    assert not bench.targets_holding('a0'), 'the least recently used one goes'
    assert sum(held.size_bytes for held in bench.loaded['t1'].values()) <= 20


def test_a_replaced_checkpoint_is_unloaded_and_loaded_anew() -> None:
    bench = PolicyHarness(make_config(), [make_model('m')])
    bench.report_demand(waiting_demand('m'))
    bench.run_round()
    old = bench.loaded['t1']['m'].order_id
    state = bench.placer.state
    newer = attrs.evolve(make_model('m'), checkpoint='m2.ckpt')
    state.apply_catalogue(attrs.evolve(state.catalogue, model={'m': newer}))
    for _ in range(100):
        bench.report_demand(waiting_demand('m'))
        bench.run_round()
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
    bench = PolicyHarness(make_config(), [make_model('m')])
    ledger = bench.placer.state.ledger
    ledger.import_intents({intent.order_id: intent}, bench.now_s)
    bench.run_round(10)
    bench.run_round(10)
    assert not bench.targets_holding('m')
    assert intent.order_id in ledger.committed_intents
    order = ledger.tracks[intent.order_id].unload_order_id
    seen = {order: OrderReport('done')}
    bench.now_s += 1
    report = Report(0, bench.memory_bytes, orders=seen)
    bench.placer.record_report('t1', report, bench.now_s)
    bench.placer.decide(bench.now_s, NOON_MINUTE)
    bench.commit_pending()
    assert not ledger.committed_intents
