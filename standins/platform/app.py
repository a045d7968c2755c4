"""The HTTP application of the platform stand-in."""

from aiohttp import web

from standins.platform.control import add_control_handlers
from standins.platform.platform import Platform
from standins.platform.store_app import store_app


def make_app(platform: Platform) -> web.Application:
    """Return the application that serves a platform's state."""

    async def get_weights(req: web.Request) -> web.Response:
        checkpoint = req.match_info['checkpoint']
        size_bytes = int(req.query.get('size_bytes', '0'))
        await platform.weights.load(checkpoint, size_bytes)
        answer = {'checkpoint': checkpoint, 'size_bytes': size_bytes}
        return web.json_response(answer)

    async def get_adapter(_: web.Request) -> web.Response:
        await platform.weights.load_adapter()
        return web.json_response({})

    app = store_app(platform.store, platform.faults, platform.counts)
    app.router.add_get('/weights/{checkpoint:.+}', get_weights)
    app.router.add_get('/adapters/{adapter:.+}', get_adapter)
    add_control_handlers(app, platform)
    return app
