"""HTTP handlers of the platform stand-in's table."""

import asyncio

from aiohttp import web

from standins.platform.platform import Platform


def add_table_handlers(app: web.Application, platform: Platform) -> None:
    """Serve /table/read and /table/commit."""

    async def read(req: web.Request) -> web.Response:
        await show_faults(platform)
        ask = await req.json()
        platform.counts.reads += 1
        keys = ask.get('keys', ())
        prefixes = ask.get('prefixes', ())
        rows = platform.table.read(keys, prefixes)
        return web.json_response({'rows': rows})

    async def commit(req: web.Request) -> web.Response:
        await show_faults(platform)
        ask = await req.json()
        version = platform.table.commit(
            ask.get('asserts', ()), ask.get('writes', ())
        )
        if version is None:
            platform.counts.conflicts += 1
            raise web.HTTPConflict(text='an assert failed')
        platform.counts.commits += 1
        if platform.faults.takes_drop():
            _drop_connection(req)
        return web.json_response({'version': version})

    app.router.add_post('/table/read', read)
    app.router.add_post('/table/commit', commit)


async def show_faults(platform: Platform) -> None:
    """Wait while slow, and raise the 503 of an outage."""
    if platform.faults.slow_s:
        await asyncio.sleep(platform.faults.slow_s)
    if platform.faults.outage:
        raise web.HTTPServiceUnavailable(text='outage')


def _drop_connection(req: web.Request) -> None:
    if req.transport is not None:
        req.transport.abort()
