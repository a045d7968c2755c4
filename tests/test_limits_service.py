"""Tests of the token service over connections on loopback."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncGenerator

import pytest
from aiohttp import ClientSession, web

from mimosaworks.entities import Catalogue, Workspace
from mimosaworks.errors import ErrorKind, RequestError
from mimosaworks.limits import TokenService
from mimosaworks.wire import PeerClient, new_peer_app

RATE = 50.0
BURST = 1000.0


class ManualClock:
    """A clock that tests advance."""

    def __init__(self) -> None:
        self.value = 100.0

    def __call__(self) -> float:
        return self.value


def fill_shares(clock: ManualClock, services: list[TokenService]) -> None:
    """Let the shares grow to their fractions, and then refill."""
    for step_s in (2, BURST / RATE):
        clock.value += step_s
        for service in services:
            service.token_balances()


async def start_service(
    stack: contextlib.AsyncExitStack, session: ClientSession, clock: ManualClock
) -> TokenService:
    """Return a service that listens on its own port."""
    sock = socket.create_server(('127.0.0.1', 0))
    host, port = sock.getsockname()
    service = TokenService(PeerClient(session), f'{host}:{port}', clock)
    app = new_peer_app()
    service.add_handlers(app)
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    await web.SockSite(runner, sock).start()
    return await stack.enter_async_context(service)


@contextlib.asynccontextmanager
async def run_services(
    clock: ManualClock, count: int
) -> AsyncGenerator[list[TokenService], None]:
    """Yield services that are peers of each other and have full shares."""
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(ClientSession())
        starting = (start_service(stack, session, clock) for _ in range(count))
        services = await asyncio.gather(*starting)
        grants = {'w': Workspace('w', RATE, BURST)}
        for service in services:
            service.set_grants(Catalogue(version=1, workspace=grants))
            service.set_holders(1, [peer.self_address for peer in services])
            service.confirm_holders(1)
        fill_shares(clock, services)
        yield services


async def test_a_member_that_is_short_gets_its_peers_tokens() -> None:
    async with run_services(ManualClock(), 2) as (near, far):
        receipt = await near.acquire('w', BURST, 1)
        assert receipt.tokens == BURST
        assert near.token_balances()['w'] + far.token_balances()[
            'w'
        ] == pytest.approx(0)


async def test_a_request_that_cannot_have_tokens_in_time_is_told_when() -> None:
    async with run_services(ManualClock(), 2) as (near, _):
        await near.acquire('w', BURST, 1)
        with pytest.raises(RequestError) as caught:
            await near.acquire('w', RATE, 0.1)
        assert caught.value.kind is ErrorKind.RATE_EXCEEDED
        assert caught.value.retry_after_s == pytest.approx(1, rel=0.01)


async def test_a_request_above_the_burst_is_too_costly() -> None:
    async with run_services(ManualClock(), 1) as members:
        only = members[0]
        with pytest.raises(RequestError) as caught:
            await only.acquire('w', BURST + 1, 1)
        assert caught.value.kind is ErrorKind.REQUEST_TOO_COSTLY


async def test_an_unknown_workspace_is_refused() -> None:
    async with run_services(ManualClock(), 1) as members:
        only = members[0]
        with pytest.raises(RequestError):
            await only.acquire('x', 1, 1)


async def test_waiting_requests_are_served_first_in_first_out() -> None:
    clock = ManualClock()
    async with run_services(clock, 1) as members:
        only = members[0]
        await only.acquire('w', BURST, 1)
        served: list[float] = []

        async def request(tokens: float) -> None:
            await only.acquire('w', tokens, 9)
            served.append(tokens)

        async with asyncio.TaskGroup() as group:
            for tokens in (30, 1, 2):
                group.create_task(request(tokens))
            await asyncio.sleep(0)
            assert not served
            clock.value += 1
        assert served == [30, 1, 2]


async def test_a_request_cancelled_when_served_gives_its_tokens_back() -> None:
    async with run_services(ManualClock(), 1) as members:
        only = members[0]
        receipt = await only.acquire('w', BURST, 1)
        task = asyncio.create_task(only.acquire('w', BURST, 99))
        await asyncio.sleep(0)
        only.refund(receipt, BURST)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        assert only.token_balances()['w'] == pytest.approx(BURST)


async def test_a_dead_peer_holds_up_no_request_beyond_its_refill() -> None:
    clock = ManualClock()
    async with run_services(clock, 1) as members:
        only = members[0]
        only.set_holders(2, [only.self_address, '127.0.0.1:1'])
        only.confirm_holders(2)
        fill_shares(clock, [only])
        await only.acquire('w', BURST / 2, 1)
        task = asyncio.create_task(only.acquire('w', RATE, 9))
        await asyncio.sleep(0.05)
        assert not task.done()
        clock.value += 2
        assert (await task).tokens == RATE
