"""The store over HTTP, as the platform's pages describe it."""

import asyncio
from http import HTTPStatus
from typing import Any

from aiohttp import web

from standins.platform.counts import Counts
from standins.platform.store import (
    ConflictError,
    HistoryGoneError,
    LimitError,
    Store,
)
from standins.platform.store_faults import StoreFaults
from standins.serving import MAX_BODY_BYTES

SILENCE_S = 3600.0
MS_PER_S = 1000


def store_app(
    store: Store, faults: StoreFaults, counts: Counts | None = None
) -> web.Application:
    """Return an application that serves rows and objects."""
    app = web.Application(client_max_size=MAX_BODY_BYTES)
    counts = counts or Counts()
    _add_row_handlers(app, store, faults, counts)
    _add_object_handlers(app, store, faults, counts)

    async def tell_era(_: web.Request, resp: web.StreamResponse) -> None:
        resp.headers['Store-Era'] = str(store.era)

    app.on_response_prepare.append(tell_era)
    return app


def _add_row_handlers(
    app: web.Application, store: Store, faults: StoreFaults, counts: Counts
) -> None:
    async def commit(req: web.Request) -> web.Response:
        ask = await req.json()
        await _suffer(req, faults)
        try:
            version = store.commit(ask)
        except ConflictError as exc:
            counts.conflicts += 1
            return web.json_response(
                {'rows': exc.rows, 'ver': store.version, 'now-ms': 0},
                status=HTTPStatus.PRECONDITION_FAILED,
            )
        except LimitError as exc:
            raise web.HTTPBadRequest(text=str(exc)) from exc
        counts.commits += 1
        if faults.takes_drop():
            _reset(req)
        return web.json_response({'ver': version, 'now-ms': 0})

    async def read(req: web.Request) -> web.Response:
        await _suffer(req, faults)
        counts.reads += 1
        page, has_more = store.read_page(
            req.query['table'],
            req.query.get('part', ''),
            req.query.get('from', ''),
            req.query.get('to', ''),
        )
        return _answer(store, page, has_more=has_more)

    async def follow(req: web.Request) -> web.Response:
        await _suffer(req, faults)
        table = req.query['table']
        after = int(req.query['after'])
        wait_s = int(req.query['wait-ms']) / MS_PER_S
        try:
            rows = await _wait_for_changes(store, table, after, wait_s)
        except HistoryGoneError:
            return web.Response(status=HTTPStatus.GONE)
        await _refuse(req, faults)
        return _answer(store, rows)

    app.router.add_post('/v1/rows-tx', commit)
    app.router.add_get('/v1/rows-get', read)
    app.router.add_get('/v1/rows-feed', follow)


def _add_object_handlers(
    app: web.Application, store: Store, faults: StoreFaults, counts: Counts
) -> None:
    async def get_object(req: web.Request) -> web.Response:
        await _suffer(req, faults)
        counts.object_reads += 1
        content = store.blobs.get(req.match_info['name'])
        if content is None:
            raise web.HTTPNotFound
        return web.Response(body=content)

    async def put_object(req: web.Request) -> web.Response:
        content = await req.read()
        await _suffer(req, faults)
        counts.object_writes += 1
        store.blobs[req.match_info['name']] = content
        return web.json_response({})

    app.router.add_get('/v1/blob-get/{name}', get_object)
    app.router.add_put('/v1/blob-put/{name}', put_object)


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


async def _suffer(req: web.Request, faults: StoreFaults) -> None:
    await asyncio.sleep(faults.slow_s)
    await _refuse(req, faults)


async def _refuse(req: web.Request, faults: StoreFaults) -> None:
    if faults.is_silent:
        await asyncio.sleep(SILENCE_S)
    if faults.resets_calls:
        _reset(req)
    if faults.outage:
        raise web.HTTPServiceUnavailable
    if faults.is_busy:
        raise web.HTTPTooManyRequests


def _answer(
    store: Store, rows: list[dict[str, Any]], *, has_more: bool = False
) -> web.Response:
    return web.json_response({
        'rows': rows,
        'more-pages': has_more,
        'ver': store.version,
        'now-ms': 0,
    })


def _reset(req: web.Request) -> None:
    if req.transport is not None:
        req.transport.abort()
