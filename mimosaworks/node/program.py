"""Composition root of the entry node."""

import asyncio
import contextlib
import functools
import secrets
import signal
import socket

import aiohttp
import attrs
from aiohttp import web

from mimosaworks.clock import now_s
from mimosaworks.dispatch import Dispatcher, ResendTerms
from mimosaworks.errors import PeerError, SettingError
from mimosaworks.events import Event, json_logging, log_event
from mimosaworks.node.beliefs import Beliefs
from mimosaworks.node.election import Election, Lease
from mimosaworks.node.exchange import CONNECT_TIMEOUT_S, Exchange
from mimosaworks.node.front import Front
from mimosaworks.node.holder import Holder
from mimosaworks.node.holder_link import HolderLink
from mimosaworks.node.local_choice import LocalChoice
from mimosaworks.node.meters import Meters
from mimosaworks.node.order_runner import OrderRunner
from mimosaworks.node.table_feed import Rows, TableFeed
from mimosaworks.platform import (
    DESIRED_TABLE,
    TARGETS_TABLE,
    BootSettings,
    EngineCalls,
    StoreClient,
    directory_app,
    read_boot,
    ready_app,
)
from mimosaworks.routing import SuspectTable
from mimosaworks.serving import serve_app, start_task, stop_event
from mimosaworks.wire import (
    Beat,
    BeatReply,
    CallAsk,
    CallReply,
    NodeRow,
    PeerClient,
    RunningCall,
    add_peer_handler,
    new_peer_app,
)

NONCE_BYTES = 6
TARGETS_GAP_S = 0.4  # a third of the targets' heartbeat interval
IDLE_TARGET_CONN_S = 6.0  # targets may close idle connections unannounced
DIRECTORY_TTL_S = 2.0
ACCEPT_SHARE = 0.75  # of the grace, in which callers still know the address
END_SHARE = 0.92  # of the grace, after which nothing can be ended
METERS_PERIOD_S = 1.0
KEEPALIVE_S = 20.0  # longer than callers may stay idle
FIELD_BYTES = 65536


@attrs.define(eq=False)
class Node:
    """The parts of an entry node, once they are wired."""

    cfg: BootSettings
    nonce: str
    beliefs: Beliefs
    store: StoreClient
    calls: EngineCalls
    peers: PeerClient
    local: LocalChoice
    meters: Meters
    targets_feed: TableFeed = attrs.field(init=False)
    election: Election = attrs.field(init=False)
    link: HolderLink = attrs.field(init=False)
    front: Front = attrs.field(init=False)
    holder: Holder | None = None
    is_stopping: bool = False

    def row(self) -> NodeRow:
        """Return what this node says of itself."""
        return NodeRow(
            name=self.cfg.name,
            front_address=self.cfg.front_address,
            peer_address=self.cfg.peer_address,
            data_centre=self.cfg.data_centre,
            is_stopping=self.is_stopping,
        )

    def addresses(self, _: str) -> list[str]:
        """Return the addresses that callers may use, this node's first."""
        listed = {
            row.front_address
            for row in self.link.members.values()
            if not row.is_stopping and row.name != self.cfg.name
        }
        if self.is_stopping and listed:
            return sorted(listed)
        return [self.cfg.front_address, *sorted(listed)]

    def is_ready(self) -> bool:
        """Tell whether callers may come."""
        return self.beliefs.deployment is not None and not self.is_stopping

    def take_lease(self, lease: Lease) -> None:
        """Begin to decide for all nodes."""
        bounds = self.cfg.bounds
        terms = ResendTerms(
            bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s
        )
        self.holder = Holder(
            beliefs=self.beliefs,
            dispatcher=Dispatcher(terms),
            orders=OrderRunner(self.calls, self.cfg.name, lease.fence),
            on_fenced=self.election.step_down,
            suspects=SuspectTable(),
            lease_version=lease.version,
        )
        self.holder.start()
        levels = self.link.levels
        self.holder.dispatcher.limiter.set_levels(levels, now_s())

    def lose_lease(self) -> None:
        """Stop deciding."""
        if self.holder is not None:
            self.holder.stop()
            self.holder = None

    async def on_ask(self, ask: CallAsk) -> CallReply:
        """Answer a node's request for a target."""
        if self.holder is None:
            raise web.HTTPConflict(text='not the holder')
        try:
            return await self.holder.on_ask(ask)
        except PeerError as exc:
            raise web.HTTPConflict(text=str(exc)) from exc

    async def on_beat(self, beat: Beat) -> BeatReply:
        """Answer a node's beat."""
        if self.holder is None:
            return BeatReply(is_holder=False)
        lease = self.election.lease
        if lease is not None:
            self.holder.lease_version = lease.version
        return await self.holder.on_beat(beat)

    def on_desired(self, rows: Rows) -> None:
        """Take over a desired state."""
        self.beliefs.apply_desired(rows)

    def on_targets(self, rows: Rows) -> None:
        """Take over the targets' entries."""
        self.beliefs.apply_entries(rows, self.targets_feed.outage_end_s)

    def wants_targets(self) -> bool:
        """Tell whether this node has to read the targets' entries itself."""
        return self.holder is not None or not self.link.is_up()

    def reload(self, boot_path: str) -> None:
        """Read the settings file again; addresses stay until a restart."""
        try:
            cfg = read_boot(boot_path)
        except SettingError as exc:
            log_event(
                Event.SETTINGS_READ, is_changed=False, reason=str(exc)
            )
            return
        is_changed = cfg != self.cfg
        log_event(
            Event.SETTINGS_READ, is_changed=is_changed, reason='SIGHUP'
        )
        self.cfg = attrs.evolve(
            self.cfg, bounds=cfg.bounds, memory_mb=cfg.memory_mb
        )

    async def run_meters(self) -> None:
        """Keep the gauges of what this node believes."""
        while True:  # noqa: WPS457 -- ends when the task is cancelled
            now = now_s()
            self.meters.ages.labels('holder').set(self.link.silent_s())
            self.meters.ages.labels('targets').set(
                now - self.beliefs.targets_read_s
            )
            await asyncio.sleep(METERS_PERIOD_S)


async def run_node(cfg: BootSettings, boot_path: str) -> None:
    """Serve until SIGTERM, then end what callers have begun.

    boot_path is the settings file, which SIGHUP has read again.
    """
    async with contextlib.AsyncExitStack() as stack:
        log = stack.enter_context(json_logging())
        stopping = stop_event()
        node = await _wire(cfg, stack)
        log_event(
            Event.NODE_STARTED,
            node=cfg.name,
            nonce=node.nonce,
            front=cfg.front_address,
            peer=cfg.peer_address,
            data_centre=cfg.data_centre,
        )
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGHUP, functools.partial(node.reload, boot_path)
        )
        await stopping.wait()
        await _stop(node)
        log_event(Event.NODE_STOPPED, node=cfg.name, dropped=log.dropped)


async def _wire(
    cfg: BootSettings, stack: contextlib.AsyncExitStack
) -> Node:
    store_session = await _session(stack)
    target_session = await _session(stack, IDLE_TARGET_CONN_S)
    peer_session = await _session(stack)
    node = Node(
        cfg=cfg,
        nonce=secrets.token_hex(NONCE_BYTES),
        beliefs=Beliefs(),
        store=StoreClient(store_session, f'http://{cfg.store.address}'),
        calls=EngineCalls(target_session),
        peers=PeerClient(peer_session),
        local=LocalChoice(),
        meters=Meters(),
    )
    desired_feed = TableFeed(node.store, DESIRED_TABLE, node.on_desired)
    node.targets_feed = TableFeed(
        node.store,
        TARGETS_TABLE,
        node.on_targets,
        gap_s=TARGETS_GAP_S,
        wanted=node.wants_targets,
    )
    node.link = HolderLink(
        peers=node.peers,
        lease=lambda: node.election.lease,
        local=lambda: node.holder,
        row=node.row,
        running=lambda: _running(node),
        on_renewed=lambda version: node.election.heard(version),
    )
    node.election = Election(
        store=node.store,
        name=cfg.name,
        address=cfg.peer_address,
        nonce=node.nonce,
        hears_holder=node.link.is_up,
        on_taken=node.take_lease,
        on_lost=node.lose_lease,
        survives=cfg.bounds.orders_are_fenced,
    )
    node.front = Front(
        node=cfg.name,
        nonce=node.nonce,
        data_centre=cfg.data_centre,
        beliefs=node.beliefs,
        link=node.link,
        local=node.local,
        exchange=Exchange(target_session),
        meters=node.meters,
        is_stopping=lambda: node.is_stopping,
    )
    await _serve(node, stack)
    for work in (
        desired_feed.run(),
        node.targets_feed.run(),
        node.election.run(),
        node.link.run(),
        node.run_meters(),
    ):
        start_task(work, stack)
    return node


def _running(node: Node) -> tuple[RunningCall, ...]:
    return node.front.running()


async def _serve(node: Node, stack: contextlib.AsyncExitStack) -> None:
    cfg = node.cfg
    peer_app = new_peer_app()
    add_peer_handler(peer_app, CallAsk, node.on_ask)
    add_peer_handler(peer_app, Beat, node.on_beat)
    await serve_app(
        peer_app, cfg.peer_address, stack, cancels_on_hang_up=True
    )
    pages = (
        (node.meters.app(), cfg.metrics_address),
        (directory_app(node.addresses, DIRECTORY_TTL_S), cfg.directory_address),
        (ready_app(node.is_ready), cfg.ready_address),
    )
    for app, address in pages:
        await serve_app(app, address, stack)
    await _serve_front(node, stack)


async def _serve_front(
    node: Node, stack: contextlib.AsyncExitStack
) -> None:
    server = web.Server(
        node.front.handle,
        handler_cancellation=True,
        access_log=None,
        keepalive_timeout=KEEPALIVE_S,
        max_field_size=FIELD_BYTES,
        max_line_size=FIELD_BYTES,
        auto_decompress=False,
    )
    runner = web.ServerRunner(server, shutdown_timeout=0)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    host, _, port = node.cfg.front_address.rpartition(':')
    await web.TCPSite(runner, host, int(port)).start()


async def _stop(node: Node) -> None:
    begun_s = now_s()
    node.is_stopping = True
    log_event(
        Event.NODE_STOPPING,
        node=node.cfg.name,
        running=len(node.front.calls),
    )
    await node.link.beat_now()
    await node.election.give_back()
    grace_s = node.cfg.bounds.grace_s
    await asyncio.sleep(grace_s * ACCEPT_SHARE)
    end_s = begun_s + grace_s * END_SHARE
    while node.front.calls and now_s() < end_s:
        await asyncio.sleep(0.05)


async def _session(
    stack: contextlib.AsyncExitStack, idle_s: float = KEEPALIVE_S
) -> aiohttp.ClientSession:
    connector = aiohttp.TCPConnector(
        limit=0,
        keepalive_timeout=idle_s,
        socket_factory=_make_socket,
        enable_cleanup_closed=False,
    )
    session = aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
        read_bufsize=FIELD_BYTES,
        max_line_size=FIELD_BYTES,
        max_field_size=FIELD_BYTES,
    )
    return await stack.enter_async_context(session)


@functools.cache
def _options() -> tuple[tuple[int, int, int], ...]:
    return (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        # Unacknowledged bytes for this long (ms) close a silent connection.
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 3000),
    )


def _make_socket(info: tuple[int, int, int, str, object]) -> socket.socket:
    family, kind, proto = info[:3]
    sock = socket.socket(family, kind, proto)
    for level, name, setting in _options():
        sock.setsockopt(level, name, setting)
    return sock
