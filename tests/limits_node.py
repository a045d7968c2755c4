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
WAIT_S = 0.5
GRANTS = Catalogue(version=1, workspace={'w': Workspace('w', RATE, BURST)})


async def serve(callers: str, own: str, *addresses: str) -> None:
    """Serve so many callers without a pause; print when each was served.

    The clock is the same in all processes of one machine, so that the test
    can count over any window.
    """
    async with AsyncExitStack() as stack:
        session = await stack.enter_async_context(ClientSession())
        service = TokenService(PeerClient(session), own)
        app = new_peer_app()
        service.add_handlers(app)
        runner = web.AppRunner(app)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        host, port = own.split(':')
        await web.TCPSite(runner, host, int(port)).start()
        await stack.enter_async_context(service)
        service.set_holders(1, addresses)
        service.confirm_holders(1)
        service.set_grants(GRANTS)
        async with asyncio.TaskGroup() as group:
            for _ in range(int(callers)):
                group.create_task(request_forever(service))


async def request_forever(service: TokenService) -> None:
    """Ask for tokens again as soon as a request has them or is refused."""
    while True:
        try:
            await service.acquire('w', COST, WAIT_S)
        except RequestError as exc:
            await asyncio.sleep(min(WAIT_S, exc.retry_after_s or 0))
        else:
            # The time of the decision; the clock may be far ahead by now.
            decided_at = service.holder.book.latest
            sys.stdout.write(f'{decided_at}\n')
            sys.stdout.flush()


if __name__ == '__main__':
    asyncio.run(serve(*sys.argv[1:]))
