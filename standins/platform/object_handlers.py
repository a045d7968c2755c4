"""HTTP handlers of the platform stand-in's object store."""

from http import HTTPStatus

from aiohttp import web

from standins.platform.platform import Platform
from standins.platform.table_handlers import show_faults


def add_object_handlers(app: web.Application, platform: Platform) -> None:
    """Serve /objects/{name}."""

    async def get_object(req: web.Request) -> web.Response:
        await show_faults(platform)
        platform.counts.object_reads += 1
        content = platform.blobs.get(req.match_info['name'])
        if content is None:
            raise web.HTTPNotFound
        return web.Response(body=content)

    async def put_object(req: web.Request) -> web.Response:
        await show_faults(platform)
        platform.counts.object_writes += 1
        platform.blobs[req.match_info['name']] = await req.read()
        return web.Response(status=HTTPStatus.NO_CONTENT)

    app.router.add_get('/objects/{name:.+}', get_object)
    app.router.add_put('/objects/{name:.+}', put_object)
