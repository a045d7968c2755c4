"""A platform of stand-ins with real entry nodes."""

import asyncio
import contextlib
import json
import random
import socket
import time
import types
from collections.abc import AsyncGenerator, Mapping
from pathlib import Path
from typing import Any

import attrs
from aiohttp import ClientSession, web

from standins.addresses import reserve_address
from standins.agency.replica import Replica, replica_app
from standins.faultproxy.proxy import Proxy
from standins.platform import Store, StoreFaults, json_row, store_app
from standins.process import Process
from standins.processes import ROOT, ProcessRunner

NAME = 'name'
NODE_MODULE = 'mimosaworks.cmdline.node'
HOST = 'camp.example'
KEY = 'key-1'
OTHER_KEY = 'key-2'
MODELS = ('alpha', 'beta', 'gamma', 'delta')
SIZE_MB = 60000.0
DISK_MB = 500000.0
PORTS_A_NODE = 5
CRASH_DOWN_S = 1.0
CLOSE_S = 0.1  # for handlers at the end of a test; 0 would be no limit


def desired(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a desired state with a model service and a plain one."""
    models = [
        {
            NAME: name,
            'weights-mb': SIZE_MB,
            'load-time-s': 0.3,
            'adapters': 3,
            'adapter-size-mb': 40.0,
            'warm-s': 0.05,
            'disk-s': 0.06,
        }
        for name in MODELS
    ]
    engine = {
        'slots': 64,
        'kv-capacity': 232000,
        'models': models,
        'weights-mb': 140000.0,
        'adapter-slots': 2,
        'loads-per-s': 4.0,
        'disk-mb': DISK_MB,
    }
    stream = {'host': HOST, 'service': 'engines', 'kind': 'streaming'}
    plain = {'host': HOST, 'service': 'ledger', 'timeout-ms': 2000}
    return {
        'version': version,
        'routes': [
            {
                **stream,
                NAME: 'draft',
                'prefix': '/draft/',
                'timeout-ms': 4000,
                'target-latency-ms': 800,
                'max-attempts': 2,
                'resumable': True,
            },
            {
                **stream,
                NAME: 'chat',
                'prefix': '/chat/',
                'timeout-ms': 4000,
                'target-latency-ms': 500,
            },
            {**plain, 'name': 'post', 'prefix': '/post/', 'kind': 'once'},
            {
                **plain,
                'name': 'look',
                'prefix': '/look/',
                'kind': 'idempotent',
                'max-attempts': 2,
            },
        ],
        'services': [
            {
                NAME: 'engines',
                'health-path': '/health',
                'max-conns': 300,
                'engine': engine,
            },
            {NAME: 'ledger', 'health-path': '/health', 'max-conns': 90},
        ],
        'limits': {
            'max-header-bytes': 16384,
            'max-body-bytes': 65536,
            'header-timeout-ms': 3000,
            'idle-timeout-ms': 15000,
        },
        'tenants': [
            {
                'name': 'agency',
                'api-keys': [KEY],
                'unit': 'token_stream',
                'plain-tokens': 200,
                'rate-per-s': 1000000,
                'burst': 1000000,
            },
            {
                'name': 'small',
                'api-keys': [OTHER_KEY],
                'unit': 'token_stream',
                'plain-tokens': 200,
                'rate-per-s': 100,
                'burst': 1500,
            },
        ],
        **changes,
    }


@attrs.define(eq=False)
class NodeHandle:
    """A real node: its process and its addresses."""

    process: Process
    boot: dict[str, Any]

    @property
    def front(self) -> str:
        """Where callers connect."""
        return str(self.boot['listen']['front'])

    @property
    def directory(self) -> str:
        """Where callers ask for addresses."""
        return str(self.boot['listen']['directory'])

    @property
    def ready(self) -> str:
        """Where the platform asks for readiness."""
        return str(self.boot['listen']['ready'])

    @property
    def metrics(self) -> str:
        """Where the metrics are."""
        last = self.boot['internal-ports'][1]
        host = self.boot['ip']
        return f'{host}:{last}'

    @property
    def peer(self) -> str:
        """Where other nodes send their messages."""
        host = self.boot['ip']
        port, _ = self.boot['internal-ports']
        return f'{host}:{port}'

    @property
    def grace_s(self) -> float:
        """How long the platform waits between SIGTERM and SIGKILL."""
        return float(self.boot['bounds']['grace-s'])

    async def stop(self) -> bool:
        """Stop the node as the platform does, with SIGKILL after its grace.

        Returns whether it ended before that.
        """
        return await self.process.stop(self.grace_s)

    def events(self, name: str) -> list[dict[str, Any]]:
        """Return the node's log lines of one event."""
        return [line for line in self.lines() if line['event'] == name]

    def lines(self) -> list[dict[str, Any]]:
        """Return all structured log lines that were written whole."""
        return [
            json.loads(line)
            for line in self.process.read_log().splitlines(keepends=True)
            if line.startswith('{') and line.endswith('\n')
        ]


@attrs.define(eq=False)
class AgencyWorld:
    """The store, the targets and the nodes of one test.

    crashed_s are the times at which requests crashed targets, which start
    again crash_down_s later; crashed_by are these requests' ids. The store
    has their new entries entry_late_s after that. bounds are in the settings of
    the nodes that are added from then on.
    """

    stack: contextlib.AsyncExitStack
    runner: ProcessRunner
    folder: Path
    session: ClientSession
    store: Store = attrs.field(factory=Store)
    faults: StoreFaults = attrs.field(factory=StoreFaults)
    store_address: str = ''
    store_proxy: Proxy | None = None
    proxies: dict[str, Proxy] = attrs.field(factory=dict)
    replicas: dict[str, Replica] = attrs.field(factory=dict)
    nodes: list[NodeHandle] = attrs.field(factory=list)
    crashed_s: list[float] = attrs.field(factory=list)
    crashed_by: list[str] = attrs.field(factory=list)
    crash_down_s: float = CRASH_DOWN_S
    entry_late_s: float = 0
    bounds: dict[str, Any] = attrs.field(factory=lambda: dict(BOUNDS))
    _crashes: set['asyncio.Task[None]'] = attrs.field(factory=set)

    async def open(self) -> None:
        """Serve the store with a first desired state."""
        app = store_app(self.store, self.faults)
        address = await self.serve(app)
        self.store_proxy = await self._proxy(address)
        self.store_address = _joined(self.store_proxy.address)
        self.configure(desired())

    def configure(self, state: dict[str, Any]) -> None:
        """Write a desired state, as the operator does."""
        self.store.commit({'put': [json_row('op', 'config', state)]})

    async def add_replica(self, name: str, **facts: Any) -> Replica:
        """Serve a target and register it."""
        replica = Replica(
            name=name,
            service=facts.pop('service', 'engines'),
            data_centre=facts.pop('data_centre', 'north'),
            sizes_mb=dict.fromkeys(MODELS, SIZE_MB),
            on_disk=facts.pop('on_disk', list(MODELS)),
            on_crash=self._on_crash,
            **facts,
        )
        address = await self.serve(replica_app(replica))
        self.proxies[name] = await self._proxy(address)
        replica.address = _joined(self.proxies[name].address)
        replica.register(self.store)
        self.replicas[name] = replica
        return replica

    async def add_node(
        self,
        name: str,
        boot: dict[str, Any] | None = None,
        module: str = NODE_MODULE,
        folder: Path = ROOT,
        options: tuple[str, ...] = (),
    ) -> NodeHandle:
        """Start a real node and wait until it serves callers.

        boot are the settings of an earlier process of the same node; module is
        the program, folder the checkout with its sources, options are further
        words of the command line.
        """
        boot = boot or self._boot(name)
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(boot))
        process = await self.runner.start(
            name,
            module,
            boot['listen']['front'],
            '--boot',
            str(path),
            *options,
            folder=folder,
        )
        node = NodeHandle(process, boot)
        self.nodes.append(node)
        return node

    async def add_parted_node(self, name: str) -> tuple[NodeHandle, Proxy]:
        """Start a node with a path of its own to the store; return both."""
        path = await self._proxy(self.store_address)
        boot = self._boot(name)
        boot['platform']['address'] = _joined(path.address)
        return await self.add_node(name, boot), path

    def draw_replica(self, rng: random.Random) -> Replica:
        """Return a target that is drawn at random."""
        return self.replicas[rng.choice(sorted(self.replicas))]

    async def crash(
        self, name: str, down_s: float, *, is_reset: bool = True
    ) -> None:
        """End a target at once and start it again down_s later.

        Its connections are reset, or last as long as the answers on them;
        those without a request are closed. If it ends again meanwhile, it is
        down until both times are over.
        """
        proxy = self.proxies[name]
        with proxy.hold_down():
            if is_reset:
                proxy.close()
            else:
                proxy.close_unused()
            self.replicas[name].restart()
            await asyncio.sleep(down_s)
        await proxy.open()
        await asyncio.sleep(self.entry_late_s)
        if not proxy.is_held_down:
            self.replicas[name].register(self.store)

    async def serve(self, app: web.Application) -> str:
        """Serve an application; return its address."""
        runner = web.AppRunner(
            app,
            access_log=None,
            shutdown_timeout=CLOSE_S,
            handler_cancellation=True,
        )
        await runner.setup()
        self.stack.push_async_callback(runner.cleanup)
        address = reserve_address()
        host, _, port = address.rpartition(':')
        await web.TCPSite(runner, host, int(port)).start()
        return address

    def request(
        self,
        node: NodeHandle,
        path: str,
        request_id: str,
        body: bytes = b'{}',
        /,
        method: str = 'POST',
        **extra: str,
    ) -> Any:
        """Send a request as a caller does."""
        headers = {
            'Host': HOST,
            'X-Request-Id': request_id,
            'X-Deadline': '4000',
            'Authorization': f'Bearer {KEY}',
            **{name.replace('_', '-'): text for name, text in extra.items()},
        }
        url = f'http://{node.front}{path}'
        return self.session.request(
            method, url, headers=headers, data=body or None
        )

    def _on_crash(self, name: str, request_id: str) -> None:
        self.crashed_by.append(request_id)
        self.crashed_s.append(time.monotonic())
        task = asyncio.ensure_future(self.crash(name, self.crash_down_s))
        self._crashes.add(task)
        task.add_done_callback(self._crashes.discard)

    async def _proxy(self, upstream: str) -> Proxy:
        proxy = Proxy(_parted(reserve_address()), _parted(upstream))
        await proxy.open()
        self.stack.callback(proxy.close)
        return proxy

    def _boot(self, name: str) -> dict[str, Any]:
        host, _, _ = reserve_address().rpartition(':')
        ports = _free_ports(host)
        address = {
            use: f'{host}:{port}'
            for use, port in zip(
                ('front', 'ready', 'directory'), ports, strict=False
            )
        }
        return {
            'node-name': name,
            'ip': host,
            'zone': 'north',
            'listen': address,
            'internal-ports': ports[3:],
            'limits': {'memory-mb': 300, 'max-fds': 4100},
            'heartbeat-ms': 1200,
            'bounds': dict(self.bounds),
            'platform': {
                'address': self.store_address,
                'writes-per-s': 400,
                'reads-per-s': 2000,
            },
        }


BOUNDS: Mapping[str, Any] = types.MappingProxyType({
    'drain-ms': 2000,
    'config-apply-ms': 2000,
    'grace-s': 2,
    'contact-ms': 3000,
    'lease-ms': 3000,
    'addr-reuse-s': 2,
    'retry-budget-ratio': 0.2,
    'budget-slack': 50,
    'budget-window-s': 10,
    'ttl_max_s': 5,
    'ceiling-window-s': 5,
    'fence-required': True,
})


def _joined(address: tuple[str, int]) -> str:
    host, port = address
    return f'{host}:{port}'


def _parted(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return (host, int(port))


def _free_ports(host: str) -> list[int]:
    with contextlib.ExitStack() as stack:
        socks = [
            stack.enter_context(socket.create_server((host, 0)))
            for _ in range(PORTS_A_NODE)
        ]
        return [sock.getsockname()[1] for sock in socks]


@contextlib.asynccontextmanager
async def open_agency(folder: Path) -> AsyncGenerator[AgencyWorld, None]:
    """Open a platform without targets and nodes."""
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(ClientSession())
        runner = ProcessRunner(stack, folder)
        world = AgencyWorld(stack, runner, folder, session)
        await world.open()
        yield world
