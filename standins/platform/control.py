"""HTTP handlers that control and count the platform stand-in."""

import asyncio
from typing import Any

import attrs
from aiohttp import web

from standins.platform.platform import Platform
from standins.platform.vm_rows import publish_vms

_FAULTS = frozenset(('outage', 'slow_s', 'drop_replies'))
_LIMITS = frozenset(('loads_per_s', 'loads_at_once'))
_KNOWN = _FAULTS | _LIMITS | {'vms', 'vms_lag_s'}


def add_control_handlers(app: web.Application, platform: Platform) -> None:
    """Serve /control and /stats."""

    async def control(req: web.Request) -> web.Response:
        ask = await req.json()
        unknown = ask.keys() - _KNOWN
        if unknown:
            raise web.HTTPBadRequest(text=f'unknown: {sorted(unknown)}')
        _apply(platform, ask)
        await platform.weights.notify()
        return web.json_response({})

    async def stats(_: web.Request) -> web.Response:
        weights = platform.weights
        return web.json_response({
            **attrs.asdict(platform.counts),
            'loads': sum(weights.loads.values()),
            'loads_by_checkpoint': weights.loads,
            'most_loads_at_once': weights.most_running,
            'rows': len(platform.store.rows),
        })

    app.router.add_post('/control', control)
    app.router.add_get('/stats', stats)


def _apply(platform: Platform, ask: dict[str, Any]) -> None:
    for name in ask.keys() & _FAULTS:
        setattr(platform.faults, name, ask[name])
    for limit in ask.keys() & _LIMITS:
        setattr(platform.weights, limit, ask[limit])
    platform.vms_lag_s = ask.get('vms_lag_s', platform.vms_lag_s)
    vms = ask.get('vms')
    if vms is not None:
        loop = asyncio.get_running_loop()
        loop.call_later(platform.vms_lag_s, publish_vms, platform.store, vms)
