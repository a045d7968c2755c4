"""HTTP handlers that export and import KV caches."""

from http import HTTPStatus

from aiohttp import web

from standins.engine.kv_cache import KVCache


def add_kv_handlers(app: web.Application, kv_cache: KVCache) -> None:
    """Serve /kv/{request id}."""

    async def export(req: web.Request) -> web.Response:
        held = kv_cache.get(req.match_info['request_id'])
        if held is None:
            raise web.HTTPNotFound
        return web.json_response(held)

    async def import_(req: web.Request) -> web.Response:
        kv_cache.put(req.match_info['request_id'], await req.json())
        return web.Response(status=HTTPStatus.NO_CONTENT)

    app.router.add_get('/kv/{request_id}', export)
    app.router.add_post('/kv/{request_id}', import_)
