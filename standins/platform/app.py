"""The HTTP application of the platform stand-in."""

import asyncio

from aiohttp import web

from standins.platform.control import add_control_handlers
from standins.platform.object_handlers import add_object_handlers
from standins.platform.platform import Platform
from standins.platform.table_handlers import add_table_handlers
from standins.serving import MAX_BODY_BYTES


def make_app(platform: Platform) -> web.Application:
    """Return the application that serves a platform's state."""

    async def get_vms(_: web.Request) -> web.Response:
        now_s = asyncio.get_running_loop().time()
        return web.json_response({'vms': platform.vm_list.get(now_s)})

    async def get_weights(req: web.Request) -> web.Response:
        checkpoint = req.match_info['checkpoint']
        size_bytes = int(req.query.get('size_bytes', '0'))
        await platform.weights.load(checkpoint, size_bytes)
        answer = {'checkpoint': checkpoint, 'size_bytes': size_bytes}
        return web.json_response(answer)

    async def get_adapter(_: web.Request) -> web.Response:
        await platform.weights.load_adapter()
        return web.json_response({})

    app = web.Application(client_max_size=MAX_BODY_BYTES)
    app.router.add_get('/vms', get_vms)
    app.router.add_get('/weights/{checkpoint:.+}', get_weights)
    app.router.add_get('/adapters/{adapter:.+}', get_adapter)
    add_table_handlers(app, platform)
    add_object_handlers(app, platform)
    add_control_handlers(app, platform)
    return app
