"""A member service with its peer port, inside the test's process."""

import contextlib
from collections.abc import AsyncGenerator

import attrs
from aiohttp import ClientSession, web

from mimosaworks.configs import ConfigStore
from mimosaworks.members import Member, MemberRole, MemberService
from mimosaworks.platform import platform_clients
from mimosaworks.wire import PeerClient, new_peer_app
from standins.addresses import reserve_address
from standins.serving import split_address


@attrs.frozen
class MemberNode:
    """A member and a store of its own."""

    service: MemberService
    store: ConfigStore


@contextlib.asynccontextmanager
async def open_member(
    platform_url: str, address: str = '', role: MemberRole = MemberRole.ROUTER
) -> AsyncGenerator[MemberNode, None]:
    """Run a member until the context ends."""
    address = address or reserve_address()
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(ClientSession())
        platform = platform_clients(session, platform_url)
        platform.table.store.timeout_s = 1.0
        app = new_peer_app()
        own = Member(address, address, role, 'dc1')
        service = MemberService(platform, PeerClient(session), app, own)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        host, port = split_address(address)
        await web.TCPSite(runner, host, port).start()
        await stack.enter_async_context(service)
        yield MemberNode(
            service, ConfigStore(platform.table, platform.snapshots)
        )
