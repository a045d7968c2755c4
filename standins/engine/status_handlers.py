"""HTTP handlers that tell the state of an engine."""

import asyncio
from typing import Any

import attrs
from aiohttp import web

from standins.engine.engine import Engine
from standins.engine.load_report import LoadReport
from standins.engine.loaded import Loaded


def add_status_handlers(
    app: web.Application, engine: Engine, load: LoadReport
) -> None:
    """Serve /report, /events and /stats."""

    async def report(_: web.Request) -> web.Response:
        running, queued = load.current()
        return web.json_response({
            **_report(engine),
            'running': running,
            'queued': queued,
        })

    async def events(req: web.Request) -> web.Response:
        after = int(req.query.get('after', '0'))
        now_s = asyncio.get_running_loop().time()
        shown = engine.batch.prefixes.events_after(now_s, after)
        return web.json_response({'events': shown})

    async def stats(_: web.Request) -> web.Response:
        return web.json_response(_stats(engine))

    app.router.add_get('/report', report)
    app.router.add_get('/events', events)
    app.router.add_get('/stats', stats)


def _report(engine: Engine) -> dict[str, Any]:
    orders = {
        order_id: attrs.asdict(outcome)
        for order_id, outcome in engine.orders.items()
    }
    return {
        'generation': engine.generation,
        'memory_bytes': engine.memory.total_bytes,
        'used_bytes': engine.memory.used_bytes(),
        'models': _loaded(engine, engine.models),
        'adapters': _loaded(engine, engine.adapters),
        'orders': orders,
        'role': engine.role,
        'cached': {
            'memory': engine.checkpoints.memory,
            'disk': engine.checkpoints.disk,
        },
    }


def _loaded(engine: Engine, loaded: dict[str, Loaded]) -> dict[str, Any]:
    return {
        name: attrs.asdict(entry) | {'running': engine.batch.count_of(name)}
        for name, entry in loaded.items()
    }


def _stats(engine: Engine) -> dict[str, Any]:
    memory = engine.memory
    return {
        'requests': engine.recorder.to_dict(),
        'orders': [attrs.asdict(order) for order in engine.received],
        'stale_refused': engine.stale_refused,
        'unloads_while_running': engine.unloads_while_running,
        'peak_bytes': memory.peak_bytes,
        'overcommits': memory.overcommits,
        'history': memory.history,
    }
