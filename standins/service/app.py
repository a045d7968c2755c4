"""The HTTP application of the plain service stand-in."""

import asyncio
import hashlib
from http import HTTPStatus

from aiohttp import web

from standins.recorder import Recorder
from standins.serving import MAX_BODY_BYTES

REQUEST_ID = 'X-Request-Id'


def make_app(journal: str) -> web.Application:
    """Return an application that answers any call and counts its runs."""
    recorder = Recorder(journal)

    async def counts(_: web.Request) -> web.Response:
        return web.json_response({'requests': recorder.to_dict()})

    async def answer(req: web.Request) -> web.Response:
        body = await req.read()
        request_id = req.headers.get(REQUEST_ID, '')
        record = recorder.record(request_id, req)
        await asyncio.sleep(float(req.headers.get('X-Sleep-S', '0')))
        record.completed += 1
        echo = {
            'request_id': request_id,
            'method': req.method,
            'path': req.path,
            'sha256': hashlib.sha256(body).hexdigest(),
        }
        return web.json_response(
            echo,
            status=int(req.headers.get('X-Status', HTTPStatus.OK)),
            headers={REQUEST_ID: request_id},
        )

    app = web.Application(client_max_size=MAX_BODY_BYTES)
    app.router.add_get('/counts', counts)
    app.router.add_route('*', '/{path:.*}', answer)
    return app
