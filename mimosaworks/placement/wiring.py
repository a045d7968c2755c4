"""Composition root of mimosa-placer."""

import asyncio
import contextlib
import secrets

from aiohttp import ClientSession, web

from mimosaworks.events import Event, log_event, start_logging
from mimosaworks.members import Member, MemberRole, MemberService
from mimosaworks.members.removal import fail_when_removed
from mimosaworks.metrics import MetricsClient, open_metrics
from mimosaworks.placement.budget import LoadBudget
from mimosaworks.placement.debug import add_debug_handler
from mimosaworks.placement.lease import ShardLease
from mimosaworks.placement.map_pusher import MapPusher
from mimosaworks.placement.order_sender import OrderSender
from mimosaworks.placement.placer_settings import PlacerSettings
from mimosaworks.placement.replica_map_builder import ReplicaMapBuilder
from mimosaworks.placement.service import PlacerService
from mimosaworks.placement.shard_placer import ShardPlacer
from mimosaworks.placement.shard_state import ShardState
from mimosaworks.placement.shard_writer import ShardWriter
from mimosaworks.placement.target_poller import TargetPoller
from mimosaworks.placement.target_sessions import TargetSessions
from mimosaworks.placement.vm_monitor import VmStateMonitor
from mimosaworks.platform import PlatformClients, platform_clients
from mimosaworks.serving import (
    open_session,
    serve_app,
    start_task,
    stop_event,
)
from mimosaworks.wire import Demand, PeerClient, add_peer_handler, new_peer_app

PROGRAM = 'placer'
NONCE_BYTES = 8


async def run_placer(cfg: PlacerSettings) -> None:
    """Run a placer until SIGTERM or SIGINT, then give its lease up."""
    start_logging()
    stopping = stop_event()
    async with contextlib.AsyncExitStack() as stack:
        metrics = stack.enter_context(open_metrics(cfg.statsd_address, PROGRAM))
        session = await open_session(stack)
        app = new_peer_app()
        platform = platform_clients(session, cfg.platform_url)
        members = _make_members(cfg, session, app, platform)
        placer = _make_placer(cfg)
        service = await _make_service(
            session, placer, members, metrics, platform, stack
        )
        add_peer_handler(app, Demand, service.handle_demand)
        await serve_app(app, cfg.peer_address, stack)
        if cfg.http_address:
            debug_app = web.Application()
            add_debug_handler(debug_app, placer)
            await serve_app(debug_app, cfg.http_address, stack)
        members.subscribe(placer.state.apply_catalogue)
        await stack.enter_async_context(members)
        await stack.enter_async_context(service)
        start_task(fail_when_removed(members), stack)
        log_event(
            Event.PROCESS_STARTED,
            program=PROGRAM,
            peer_address=cfg.peer_address,
        )
        await stopping.wait()
        log_event(Event.PROCESS_DRAINING, program=PROGRAM)
    log_event(Event.PROCESS_STOPPED, program=PROGRAM)


def _make_members(
    cfg: PlacerSettings,
    session: ClientSession,
    app: web.Application,
    platform: PlatformClients,
) -> MemberService:
    own_member = Member(
        address=cfg.peer_address,
        http_address=cfg.http_address,
        role=MemberRole.PLACER,
        data_centre=cfg.data_centre,
    )
    return MemberService(platform, PeerClient(session), app, own_member)


def _make_placer(cfg: PlacerSettings) -> ShardPlacer:
    rules = cfg.placement_config()
    lease = ShardLease(
        cfg.peer_address,
        secrets.token_hex(NONCE_BYTES),
        rules.lease_s,
        rules.margin_s,
    )
    state = ShardState(rules, LoadBudget(rules.loads_per_s))
    return ShardPlacer(
        cfg.shard, lease, state, ReplicaMapBuilder(cfg.peer_address)
    )


async def _make_service(
    session: ClientSession,
    placer: ShardPlacer,
    members: MemberService,
    metrics: MetricsClient,
    platform: PlatformClients,
    stack: contextlib.AsyncExitStack,
) -> PlacerService:
    targets = await TargetSessions.open(stack)
    wake = asyncio.Event()

    def routers() -> list[str]:
        return [member.address for member in members.routers()]

    return PlacerService(
        placer=placer,
        shard_writer=ShardWriter(platform.table, placer),
        order_sender=OrderSender(targets.order_session, placer.may_send_order),
        target_poller=TargetPoller(targets.report_reader, placer, wake.set),
        map_pusher=MapPusher(PeerClient(session), placer, routers),
        vm_monitor=VmStateMonitor(platform.vm_list, placer.state),
        wake_event=wake,
        metrics=metrics,
    )
