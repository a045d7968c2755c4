"""A process with a token service, for tests with several processes."""

import asyncio
import sys
from contextlib import AsyncExitStack

from aiohttp import ClientSession, web

from mimosaworks.entities import Catalogue, Workspace
from mimosaworks.errors import RequestError
from mimosaworks.limits import TokenService
from mimosaworks.wire import PeerClient, new_peer_app

RATE = 400.0
BURST = 400.0
COST = 20.0
TOKEN_TIMEOUT_S = 0.5
GRANTS = Catalogue(version=1, workspace={'w': Workspace('w', RATE, BURST)})


async def serve(caller_count: str, own_address: str, *addresses: str) -> None:
    """Acquire tokens for so many callers; print the time of each acquisition.

    The clock is the same in all processes of one machine, so that the test
    can count over any window.
    """
    async with AsyncExitStack() as stack:
        session = await stack.enter_async_context(ClientSession())
        service = TokenService(PeerClient(session), own_address)
        app = new_peer_app()
        service.add_handlers(app)
        runner = web.AppRunner(app)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        host, port = own_address.split(':')
        await web.TCPSite(runner, host, int(port)).start()
        await stack.enter_async_context(service)
        service.set_holders(1, addresses)
        service.confirm_holders(1)
        service.set_grants(GRANTS)
        async with asyncio.TaskGroup() as group:
            for _ in range(int(caller_count)):
                group.create_task(acquire_forever(service))


async def acquire_forever(service: TokenService) -> None:
    """Acquire tokens again and again; after a refusal, wait retry_after_s."""
    while True:
        try:
            await service.acquire('w', COST, TOKEN_TIMEOUT_S)
        except RequestError as exc:
            await asyncio.sleep(min(TOKEN_TIMEOUT_S, exc.retry_after_s or 0))
        else:
            # The time of the decision, since the clock may have advanced a lot
            # since then.
            decision_time = service.allocator.registry.latest_time
            sys.stdout.write(f'{decision_time}\n')
            sys.stdout.flush()


if __name__ == '__main__':
    asyncio.run(serve(*sys.argv[1:]))
