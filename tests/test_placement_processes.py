"""Tests of mimosa-placer with real processes and faults."""

import asyncio
import contextlib
from collections import Counter
from collections.abc import AsyncIterator
from typing import Any

import attrs
import pytest
from aiohttp import web

from mimosaworks.configs import ConfigStore
from mimosaworks.entities import Adapter, Change, Model, Target
from mimosaworks.members import Member, MemberRole, MemberState
from mimosaworks.placement.lease_row import LeaseRow, lease_row_from_json
from mimosaworks.placement.shard_commit import intent_key_prefix, lease_row_key
from mimosaworks.platform import RowWrite, TableClient, platform_clients
from mimosaworks.wire import (
    Ack,
    Demand,
    ModelDemand,
    PeerClient,
    ReplicaEntry,
    ReplicaMap,
    add_peer_handler,
    new_peer_app,
)
from standins.addresses import reserve_address
from tests.harness import Cluster, Node, wait_until

MODEL_BYTES = 100
ENGINE_MEMORY_BYTES = 250
SHORT_LEASE_FLAGS = ('--lease-s=1.2', '--quarantine-s=1.5', '--keep-alive=none')


@attrs.define
class FakeRouter:
    """A router's peer port: receives maps, sends demand to their holder."""

    cluster: Cluster
    address: str = attrs.field(factory=reserve_address)
    pushes: int = 0
    latest: ReplicaMap = ReplicaMap(0, 0, '')

    async def on_map(self, replica_map: ReplicaMap) -> Ack:
        self.pushes += 1
        key = (replica_map.fence, replica_map.sequence)
        if key >= (self.latest.fence, self.latest.sequence):
            self.latest = replica_map
        return Ack(True)

    async def send_demand(self, model: str, adapter: str = '') -> None:
        work = ModelDemand(model, adapter, waiting=1, arrivals=1)
        demand = Demand(self.address, (work,))
        if self.latest.holder:
            with contextlib.suppress(Exception):
                peers = PeerClient(self.cluster.http)
                await peers.call(self.latest.holder, demand, Ack, 0.3)

    def entry(self, model: str) -> ReplicaEntry | None:
        found = (one for one in self.latest.replicas if one.model == model)
        return next(found, None)

    async def wait_pushes(self, number: int) -> None:
        until = self.pushes + number

        async def are_pushed() -> bool:
            return self.pushes >= until

        await wait_until(are_pushed)

    async def wait_ready(self, model: str, adapter: str = '') -> None:
        async def is_ready() -> bool:
            await self.send_demand(model, adapter)
            entry = self.entry(model)
            if entry is None or entry.state != 'ready':
                return False
            return not adapter or adapter in entry.adapters

        await wait_until(is_ready)


@attrs.define
class Site:
    """Engines, a fake router and the table of one test."""

    cluster: Cluster
    router: FakeRouter
    engines: dict[str, Node] = attrs.field(factory=dict)

    @property
    def table(self) -> TableClient:
        url = self.cluster.platform.url
        return platform_clients(self.cluster.http, url).table

    async def configure(self, *entities: Any) -> None:
        platform = platform_clients(
            self.cluster.http, self.cluster.platform.url
        )
        store = ConfigStore(platform.table, platform.snapshots)
        changes = [
            Change(type(entity).__name__.lower(), entity.name, entity)
            for entity in entities
        ]
        await store.append(0, changes, 'test')

    async def add_engine(self, name: str, *flags: str) -> Target:
        node = await self.cluster.start_engine(
            f'--memory-bytes={ENGINE_MEMORY_BYTES}', *flags
        )
        self.engines[name] = node
        checks = '--checks-fence=False' not in flags
        return Target(
            name,
            node.url,
            'models',
            memory_bytes=ENGINE_MEMORY_BYTES,
            checks_fence=checks,
        )

    async def add_engines(self, *names: str) -> list[Target]:
        return await asyncio.gather(*(self.add_engine(name) for name in names))

    async def start_placer(self, *flags: str) -> Node:
        return await self.cluster.start_program(
            'placer', *SHORT_LEASE_FLAGS, *flags
        )

    async def lease(self) -> LeaseRow:
        rows = await self.table.read([lease_row_key('main')])
        row = rows.get(lease_row_key('main'))
        if row is None:
            return LeaseRow('', '', 0, 0)
        return lease_row_from_json(row.content)

    async def wait_fence(self, fence: int) -> LeaseRow:
        async def is_reached() -> bool:
            return (await self.lease()).fence >= fence

        await wait_until(is_reached)
        return await self.lease()

    async def intents(self) -> int:
        rows = await self.table.read([], [intent_key_prefix('main')])
        return len(rows)

    async def stats(self, name: str) -> dict[str, Any]:
        found = await self.cluster.get_json(self.engines[name], '/stats')
        assert isinstance(found, dict)
        return found

    async def all_stats(self) -> list[dict[str, Any]]:
        return await asyncio.gather(*(self.stats(one) for one in self.engines))

    async def loads(self) -> Counter[str]:
        """Count how often each model was reserved on any engine."""
        return Counter(
            name
            for stats in await self.all_stats()
            for _, what, name in stats['history']
            if what == 'reserved'
        )

    async def check_memory(self) -> None:
        for stats in await self.all_stats():
            assert stats['overcommits'] == 0
            assert stats['peak_bytes'] <= ENGINE_MEMORY_BYTES
            assert stats['unloads_while_running'] == 0


@pytest.fixture
async def site(cluster: Cluster) -> AsyncIterator[Site]:
    router = FakeRouter(cluster)
    app = new_peer_app()
    add_peer_handler(app, ReplicaMap, router.on_map)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    host, _, port = router.address.rpartition(':')
    await web.TCPSite(runner, host, int(port)).start()
    made = Site(cluster, router)
    row = Member(
        router.address, '', MemberRole.ROUTER, 'dc1', state=MemberState.LIVE
    )
    await made.table.commit([], [RowWrite(row.key, row.to_json())])
    yield made
    await runner.cleanup()


def model(name: str, **more: Any) -> Model:
    return Model(name, f'{name}.ckpt', MODEL_BYTES, **more)


async def test_a_burst_of_demand_makes_one_load_of_model_and_adapter(
    site: Site,
) -> None:
    targets = await site.add_engines('t1', 't2')
    await site.configure(*targets, model('m'), Adapter('a', 'm', 10))
    await site.start_placer()
    await site.router.wait_ready('m', 'a')
    await asyncio.gather(
        *(site.router.send_demand('m', 'a') for _ in range(20))
    )
    assert (await site.loads())['m'] == 1
    await site.check_memory()


async def start_two(site: Site) -> tuple[Node, Node]:
    """Start two placers; return the holder and the one that stands by."""
    first = await site.start_placer()
    await site.wait_fence(1)
    return first, await site.start_placer()


@pytest.mark.parametrize('flags', [(), ('--checks-fence=False',)])
async def test_a_holder_paused_over_its_lease_starts_nothing_afterwards(
    site: Site, flags: tuple[str, ...]
) -> None:
    target = await site.add_engine('t1', *flags)
    await site.configure(target, model('m'), model('n'))
    first, second = await start_two(site)
    await site.router.wait_ready('m')
    first.process.pause()
    lease = await site.wait_fence(2)
    assert lease.holder == second.peer_address
    await site.router.wait_ready('n')
    first.process.resume()
    await site.router.wait_ready('m')
    await site.router.wait_ready('n')
    orders = (await site.stats('t1'))['orders']
    fences = [order['fence'] for order in orders]
    assert fences == sorted(fences)
    assert (await site.lease()).holder == second.peer_address
    await site.check_memory()


async def test_a_holder_killed_in_the_middle_of_a_load_is_succeeded(
    site: Site,
) -> None:
    slow = ('--remote-load-s=3', '--platform-url=')
    targets = [await site.add_engine('t1', *slow)]
    targets.append(await site.add_engine('t2', *slow))
    await site.configure(*targets, model('m'))
    first, _ = await start_two(site)

    async def is_ordered() -> bool:
        await site.router.send_demand('m')
        return bool((await site.loads())['m'])

    await wait_until(is_ordered)
    await first.process.kill()
    await site.wait_fence(2)
    await site.router.wait_ready('m')
    assert (await site.loads())['m'] == 1
    await site.check_memory()


async def test_lost_replies_of_the_table_make_no_second_load(
    site: Site,
) -> None:
    targets = await site.add_engines('t1', 't2')
    await site.configure(*targets, model('m'), model('n'))
    await start_two(site)
    await site.router.wait_ready('m')
    await site.cluster.control(site.cluster.platform, drop_replies=4)
    await site.router.wait_ready('n')
    assert await site.loads() == {'m': 1, 'n': 1}
    assert (await site.lease()).fence == 1
    await site.check_memory()


async def test_without_the_table_nothing_is_loaded_and_maps_go_on(
    site: Site,
) -> None:
    await site.configure(
        *await site.add_engines('t1', 't2'), model('m'), model('n')
    )
    await site.start_placer('--keep-alive=fixed')
    await site.router.wait_ready('m')
    await site.cluster.control(site.cluster.platform, outage=True)
    await asyncio.sleep(2)  # more than the lease
    await site.router.send_demand('n')
    await site.router.wait_pushes(2)
    await site.router.wait_ready('m')
    assert await site.loads() == {'m': 1}
    await site.cluster.control(site.cluster.platform, outage=False)
    await site.router.wait_ready('m')
    assert (await site.lease()).fence == 1


async def test_idle_models_are_unloaded_to_make_room_and_all_intents_end(
    site: Site,
) -> None:
    await site.configure(
        await site.add_engine('t1'), model('m'), model('n'), model('o')
    )
    await site.start_placer('--keep-alive=fixed')
    await site.router.wait_ready('m')
    await site.router.wait_ready('n')
    await site.router.wait_ready('o')
    assert await site.intents() == 2
    await site.check_memory()


async def test_a_planned_stop_hands_the_shard_over_at_once(
    site: Site,
) -> None:
    await site.configure(await site.add_engine('t1'), model('m'))
    first = await site.start_placer('--lease-s=600')
    await site.wait_fence(1)
    await site.start_placer('--lease-s=600')
    await site.router.wait_ready('m')
    first.process.terminate()
    await site.wait_fence(2)
    await site.router.wait_ready('m')
    assert (await site.loads())['m'] == 1


async def test_an_order_under_way_at_a_planned_stop_is_carried_out_once(
    site: Site,
) -> None:
    direct = await site.add_engine('t1')
    proxy = await site.cluster.start_proxy(site.engines['t1'].address)
    await site.configure(attrs.evolve(direct, url=proxy.url), model('m'))
    first = await site.start_placer('--lease-s=600')
    await site.wait_fence(1)
    await site.start_placer('--lease-s=600')
    await site.cluster.control(proxy, delay_s=0.3)
    asking = asyncio.create_task(site.router.wait_ready('m'))

    async def is_sent() -> bool:
        return 'order_sent' in first.process.read_log()

    await wait_until(is_sent)
    # The order is on its way or its answer is.
    await asyncio.sleep(0.2)
    first.process.terminate()
    await site.wait_fence(2)
    await asking
    assert 'order_resolved' not in first.process.read_log()
    assert (await site.loads())['m'] == 1
    await site.check_memory()


async def test_replicas_move_off_a_leaving_vm_and_a_gone_one_is_forgotten(
    site: Site,
) -> None:
    targets = await site.add_engines('t1', 't2')
    await site.configure(*targets, model('m'))
    await site.start_placer('--keep-alive=fixed')
    await site.router.wait_ready('m')
    old = site.router.entry('m')
    assert old is not None
    address = site.engines[old.target].address
    vm = {'address': address, 'data_centre': 'dc1', 'state': 'leaving'}
    await site.cluster.control(site.cluster.platform, vms=[vm], vms_lag_s=0)

    async def is_moved() -> bool:
        await site.router.send_demand('m')
        entry = site.router.entry('m')
        is_ready = entry is not None and entry.state == 'ready'
        return is_ready and entry != old and await site.intents() == 1

    await wait_until(is_moved)
    new = site.router.entry('m')
    assert new is not None
    node = site.engines.pop(new.target)
    await node.process.kill()
    vm = {'address': node.address, 'data_centre': 'dc1', 'state': 'gone'}
    await site.cluster.control(site.cluster.platform, vms=[vm], vms_lag_s=0)

    async def is_forgotten() -> bool:
        await site.router.send_demand('m')
        entry = site.router.entry('m')
        return entry == old and await site.intents() == 1

    await wait_until(is_forgotten)
    await site.check_memory()
