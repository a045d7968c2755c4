"""Composition root of mimosa-router."""

import asyncio
import contextlib
import random

import attrs
from aiohttp import ClientSession, DummyCookieJar, web

from mimosaworks.bounded_answers import (
    AnswerBounds,
    BoundedConnector,
    HeldBytes,
)
from mimosaworks.configs import ConfigStore
from mimosaworks.directory import add_entries_route
from mimosaworks.events import Event, log_event, start_logging
from mimosaworks.limits import TokenService
from mimosaworks.members import (
    Member,
    MemberRole,
    MemberService,
    fail_when_removed,
)
from mimosaworks.metrics import MetricsClient, open_metrics
from mimosaworks.node.end_judge import EndJudge
from mimosaworks.platform import (
    GroupCommit,
    TableClient,
    platform_clients,
)
from mimosaworks.relay import (
    ClaimBook,
    ClaimedRuns,
    Frontend,
    Upstream,
    guard_trace,
)
from mimosaworks.router.drain import Drain
from mimosaworks.router.end_check import make_end_check
from mimosaworks.router.gauges import send_gauges
from mimosaworks.router.holder_sync import HolderSync
from mimosaworks.router.settings import RouterSettings
from mimosaworks.router.stop import Stop
from mimosaworks.routing import (
    CrashMonitor,
    DemandSender,
    Dispatcher,
    GenerationTracker,
    LeavingTargets,
    ReplicaTable,
    RetryBudget,
    SuspectTable,
    TargetPool,
)
from mimosaworks.serving import (
    REQUEST_ID_HEADER,
    open_session,
    serve_app,
    start_task,
    stop_event,
)
from mimosaworks.wire import (
    Ack,
    PeerClient,
    ReplicaMap,
    SuspectNotice,
    add_peer_handler,
    new_peer_app,
)

PROGRAM = 'router'
# When the server is closed, no request runs that still has time.
SHUTDOWN_TIMEOUT_S = 0.1
MAX_HEADER_BYTES = 32768
MAX_ANSWER_BYTES = 1073741824  # 1 GiB
BOUNDS = AnswerBounds(answer_bytes=MAX_ANSWER_BYTES)


async def run_router(cfg: RouterSettings) -> None:
    """Serve until SIGTERM or SIGINT, then drain without cutting a request."""
    start_logging()
    async with contextlib.AsyncExitStack() as stack:
        await _serve(cfg, stack, stop_event())
    log_event(Event.PROCESS_STOPPED, program=PROGRAM)


@attrs.define
class Router:
    """The parts of a running router; each owns its state."""

    members: MemberService
    tokens: TokenService
    dispatcher: Dispatcher
    leaving: LeavingTargets
    holders: HolderSync
    sender: DemandSender
    crashes: CrashMonitor
    claimed: ClaimedRuns

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        """Start the tasks; they end in reverse order with the stack."""
        await stack.enter_async_context(self.members)
        await stack.enter_async_context(self.tokens)
        start_task(fail_when_removed(self.members), stack)
        start_task(self.leaving.run(), stack)
        start_task(self.dispatcher.run(), stack)
        start_task(self.holders.run(), stack)
        start_task(self.sender.run(), stack)
        start_task(send_gauges(self.members, self.dispatcher), stack)


async def _serve(
    cfg: RouterSettings,
    stack: contextlib.AsyncExitStack,
    stopping: asyncio.Event,
) -> None:
    session = await open_session(stack)
    peer_app = new_peer_app()
    metrics = stack.enter_context(open_metrics(cfg.statsd_address, PROGRAM))
    router = _new_router(cfg, session, peer_app, metrics)
    requests = Drain(await _new_frontend(cfg, router, stack))
    await serve_app(
        peer_app,
        cfg.peer_address,
        stack,
        shutdown_s=SHUTDOWN_TIMEOUT_S,
    )
    await router.start(stack)
    app = _new_app(cfg, router.members, requests)
    await serve_app(
        app,
        cfg.http_address,
        stack,
        cancels_on_hang_up=True,
        shutdown_s=SHUTDOWN_TIMEOUT_S,
    )
    log_event(
        Event.PROCESS_STARTED,
        program=PROGRAM,
        http_address=cfg.http_address,
        peer_address=cfg.peer_address,
    )
    await stopping.wait()
    stop = Stop(
        PROGRAM,
        router.members,
        requests,
        router.claimed,
        cfg.directory_max_age_s,
        cfg.drain_s,
    )
    await stop.run()


def _new_router(
    cfg: RouterSettings,
    session: ClientSession,
    peer_app: web.Application,
    metrics: MetricsClient,
) -> Router:
    peers = PeerClient(session)
    platform = platform_clients(session, cfg.platform_url)
    own = Member(
        address=cfg.peer_address,
        http_address=cfg.http_address,
        role=MemberRole.ROUTER,
        data_centre=cfg.data_centre,
    )
    members = MemberService(platform, peers, peer_app, own)
    tokens = TokenService(peers, cfg.peer_address)
    tokens.add_handlers(peer_app)
    leaving = LeavingTargets(platform.vm_list)
    pool = _new_target_pool(cfg, members, leaving)
    dispatcher = Dispatcher(pool, tokens, random.SystemRandom(), metrics)
    _handle_replica_maps(peer_app, dispatcher.targets.replicas)
    members.subscribe(tokens.set_grants)
    members.subscribe(
        lambda _catalogue: dispatcher.targets.replicas.notify_waiters()
    )
    store = ConfigStore(platform.table, platform.snapshots)
    holders = HolderSync(members, store, tokens, dispatcher.rng)
    # Each applied set is passed on: a holder that misses an epoch has no
    # tokens until the next one is confirmed.
    members.subscribe(lambda _catalogue: holders.apply())
    return Router(
        members=members,
        tokens=tokens,
        dispatcher=dispatcher,
        leaving=leaving,
        holders=holders,
        sender=DemandSender(cfg.peer_address, dispatcher, peers),
        crashes=_new_crash_watch(session, peers, peer_app, dispatcher, members),
        claimed=ClaimedRuns(_new_claim_book(platform.table, members)),
    )


def _new_crash_watch(
    session: ClientSession,
    peers: PeerClient,
    peer_app: web.Application,
    dispatcher: Dispatcher,
    members: MemberService,
) -> CrashMonitor:
    crashes = CrashMonitor(
        GenerationTracker(session),
        dispatcher.targets.suspects,
        peers,
        lambda: [
            router.address
            for router in members.routers()
            if router.address != members.own.address
        ],
    )
    add_peer_handler(peer_app, SuspectNotice, crashes.handle_suspect_notice)
    return crashes


def _new_claim_book(table: TableClient, members: MemberService) -> ClaimBook:
    def is_running(address: str, boot: str) -> bool:
        return any(
            member.address == address and member.boot_nonce == boot
            for member in members.members()
        )

    return ClaimBook(
        table,
        GroupCommit(table),
        members.own.address,
        members.own.boot_nonce,
        is_running,
    )


def _new_target_pool(
    cfg: RouterSettings, members: MemberService, leaving: LeavingTargets
) -> TargetPool:
    return TargetPool(
        catalogue=lambda: members.catalogue,
        replicas=ReplicaTable(),
        suspects=SuspectTable(),
        max_in_flight=cfg.max_in_flight,
        is_leaving=leaving.is_leaving,
    )


def _handle_replica_maps(
    peer_app: web.Application, replicas: ReplicaTable
) -> None:
    async def take(received: ReplicaMap) -> Ack:
        return Ack(replicas.apply_map(received))

    add_peer_handler(peer_app, ReplicaMap, take)


async def _new_frontend(
    cfg: RouterSettings,
    router: Router,
    stack: contextlib.AsyncExitStack,
) -> Frontend:
    pooled = await _enter_target_session(stack, closes=False)
    single = await _enter_target_session(stack, closes=True)
    check_end = make_end_check(EndJudge(), router.leaving.has_left)
    held = HeldBytes(BOUNDS.held_bytes, BOUNDS.all_held_bytes)
    return Frontend(
        view=router.members,
        dispatcher=router.dispatcher,
        upstream=Upstream(pooled, single, check_end, held),
        crashes=router.crashes,
        claimed=router.claimed,
        budget=RetryBudget(),
        metrics=router.dispatcher.metrics,
        max_body_bytes=cfg.max_body_bytes,
        body_timeout_s=cfg.body_timeout_s,
    )


async def _enter_target_session(
    stack: contextlib.AsyncExitStack, *, closes: bool
) -> ClientSession:
    connector = BoundedConnector(
        BOUNDS.answer_bytes, REQUEST_ID_HEADER, limit=0, force_close=closes
    )
    return await stack.enter_async_context(
        ClientSession(
            connector=connector,
            trace_configs=[guard_trace()],
            auto_decompress=False,
            cookie_jar=DummyCookieJar(),
        )
    )


def _new_app(
    cfg: RouterSettings, members: MemberService, requests: Drain
) -> web.Application:
    app = web.Application(
        client_max_size=cfg.max_body_bytes,
        handler_args={
            'max_line_size': MAX_HEADER_BYTES,
            'max_field_size': MAX_HEADER_BYTES,
        },
    )
    add_entries_route(
        app,
        lambda: [member.http_address for member in members.routers()],
        cfg.directory_max_age_s,
    )
    app.router.add_route('*', '/{path:.*}', requests.handle)
    app.on_response_prepare.append(requests.on_prepare)
    return app
