"""The store over HTTP, as the platform's pages describe it."""

import asyncio
from http import HTTPStatus
from typing import Any

from aiohttp import web

from standins.agency.faults import StoreFaults
from standins.agency.store import ConflictError, HistoryGoneError, Store

SILENCE_S = 3600.0
MS_PER_S = 1000


def store_app(store: Store, faults: StoreFaults) -> web.Application:
    """Return the store's application."""

    async def commit(req: web.Request) -> web.Response:
        ask = await req.json()
        await _suffer(faults)
        try:
            version = store.commit(ask)
        except ConflictError as exc:
            return web.json_response(
                {'rows': exc.rows, 'ver': store.version, 'now-ms': 0},
                status=HTTPStatus.PRECONDITION_FAILED,
            )
        if faults.loses_answers:
            _reset(req)
        return web.json_response({'ver': version, 'now-ms': 0})

    async def read(req: web.Request) -> web.Response:
        await _suffer(faults)
        part = req.query.get('part', '')
        rows = store.read(req.query['table'], part)
        start = req.query.get('from', '')
        page = [row for row in rows if row['key'] >= start]
        return _answer(store, page)

    async def follow(req: web.Request) -> web.Response:
        await _suffer(faults)
        table = req.query['table']
        after = int(req.query['after'])
        wait_s = int(req.query['wait-ms']) / MS_PER_S
        try:
            rows = await _wait_for_changes(store, table, after, wait_s)
        except HistoryGoneError:
            return web.Response(status=HTTPStatus.GONE)
        if faults.is_down:
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        return _answer(store, rows)

    app = web.Application()
    app.router.add_post('/v1/rows-tx', commit)
    app.router.add_get('/v1/rows-get', read)
    app.router.add_get('/v1/rows-feed', follow)
    return app


async def _wait_for_changes(
    store: Store, table: str, after: int, wait_s: float
) -> list[dict[str, Any]]:
    loop = asyncio.get_running_loop()
    end_s = loop.time() + wait_s
    rows = store.changes(table, after)
    while not rows and loop.time() < end_s:
        try:
            async with asyncio.timeout_at(end_s):
                await store.changed.wait()
        except TimeoutError:
            break
        rows = store.changes(table, after)
    return rows


async def _suffer(faults: StoreFaults) -> None:
    if faults.is_silent:
        await asyncio.sleep(SILENCE_S)
    await asyncio.sleep(faults.delay_s)
    if faults.is_down:
        raise web.HTTPServiceUnavailable


def _answer(store: Store, rows: list[dict[str, Any]]) -> web.Response:
    return web.json_response({
        'rows': rows,
        'more-pages': False,
        'ver': store.version,
        'now-ms': 0,
    })


def _reset(req: web.Request) -> None:
    if req.transport is not None:
        req.transport.abort()
