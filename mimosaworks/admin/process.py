"""Composition root of mimosa-admin."""

import contextlib
from typing import Any

from aiohttp import web

from mimosaworks.admin.middleware import answer_errors, authenticate
from mimosaworks.admin.operators import parse_operators
from mimosaworks.admin.routes import add_admin_routes
from mimosaworks.admin.service import AdminService
from mimosaworks.admin.settings import AdminSettings
from mimosaworks.admin.status import member_reader
from mimosaworks.configs import ConfigStore
from mimosaworks.events import Event, log_event, start_logging
from mimosaworks.members import Member, MemberRole, MemberService
from mimosaworks.members.removal import fail_when_removed
from mimosaworks.metrics import MetricsClient, open_metrics
from mimosaworks.platform import platform_clients
from mimosaworks.serving import (
    open_session,
    serve_app,
    start_task,
    stop_event,
)
from mimosaworks.wire import PeerClient, new_peer_app

PROGRAM = 'admin'
MAX_BODY_BYTES = 1 << 24  # 16 MiB


async def run_admin(cfg: AdminSettings) -> None:
    """Serve until SIGTERM or SIGINT, then end what was asked before."""
    start_logging()
    stopping = stop_event()
    async with contextlib.AsyncExitStack() as stack:
        metrics = stack.enter_context(open_metrics(cfg.statsd_address, PROGRAM))
        service = await _start_service(cfg, metrics, stack)
        app = new_admin_app(cfg, service)
        start_task(fail_when_removed(service.members), stack)
        await serve_app(app, cfg.http_address, stack)
        log_event(
            Event.PROCESS_STARTED,
            program=PROGRAM,
            http_address=cfg.http_address,
            peer_address=cfg.peer_address,
        )
        await stopping.wait()
        log_event(Event.PROCESS_DRAINING, program=PROGRAM)
    log_event(Event.PROCESS_STOPPED, program=PROGRAM)


def new_admin_app(cfg: AdminSettings, service: AdminService) -> web.Application:
    """Return the operators' application, to be served on its port."""
    operators = parse_operators(cfg.operator_token)
    middlewares: list[Any] = [answer_errors, authenticate(operators)]
    app = web.Application(
        middlewares=middlewares, client_max_size=MAX_BODY_BYTES
    )
    add_admin_routes(app, service)
    return app


async def _start_service(
    cfg: AdminSettings,
    metrics: MetricsClient,
    stack: contextlib.AsyncExitStack,
) -> AdminService:
    session = await open_session(stack)
    platform = platform_clients(session, cfg.platform_url)
    peer_app = new_peer_app()
    own = Member(
        address=cfg.peer_address,
        http_address=cfg.http_address,
        role=MemberRole.ADMIN,
        data_centre=cfg.data_centre,
    )
    members = MemberService(platform, PeerClient(session), peer_app, own)
    await serve_app(peer_app, cfg.peer_address, stack)
    await stack.enter_async_context(members)
    return AdminService(
        ConfigStore(platform.table, platform.snapshots),
        members,
        member_reader(platform.table),
        metrics,
    )
