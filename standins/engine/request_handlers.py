"""HTTP handlers for chat and completions."""

import json
import uuid
from contextlib import ExitStack
from http import HTTPStatus
from typing import Any

from aiohttp import web

from standins.engine.completion import (
    CHAT_PATH,
    COMPLETION_PATH,
    Completion,
)
from standins.engine.engine import Engine
from standins.engine.kv_cache import KVCache
from standins.engine.refusal import refuse
from standins.engine.sequence import Sequence
from standins.engine.tokens import prompt_text

REQUEST_ID = 'X-Request-Id'
CRASH_MARK = 'CRASH-ME'
DEFAULT_MAX_TOKENS = 16


def add_request_handlers(
    app: web.Application, engine: Engine, kv_cache: KVCache
) -> None:
    """Serve chat, completions and cancellation."""

    async def complete(req: web.Request) -> web.StreamResponse:
        try:
            body = await req.json()
            prompt_text(body)
        except (ValueError, KeyError, TypeError) as exc:
            return refuse(HTTPStatus.BAD_REQUEST, 'bad_request', repr(exc))
        refusal = _refusal(engine, str(body.get('model')))
        if refusal is not None:
            return refusal
        sequence = _new_sequence(engine, req, body)
        engine.batch.add(sequence)
        with ExitStack() as stack:
            stack.callback(_end, engine, kv_cache, sequence)
            return await _answer(req, sequence, bool(body.get('stream')))

    async def cancel(req: web.Request) -> web.Response:
        found = engine.batch.find(req.match_info['request_id'])
        for sequence in found:
            engine.batch.cancel(sequence)
        if not found:
            raise web.HTTPNotFound
        return web.Response(status=HTTPStatus.NO_CONTENT)

    app.on_response_prepare.append(_echo_id)
    app.router.add_post(CHAT_PATH, complete)
    app.router.add_post(COMPLETION_PATH, complete)
    app.router.add_delete('/requests/{request_id}', cancel)


async def _echo_id(req: web.Request, resp: web.StreamResponse) -> None:
    """Give each answer, refusals too, the id of its request."""
    request_id = req.headers.get(REQUEST_ID)
    if request_id:
        resp.headers[REQUEST_ID] = request_id


def _refusal(engine: Engine, name: str) -> web.Response | None:
    if engine.resolve(name) is None:
        return refuse(HTTPStatus.NOT_FOUND, 'model_not_loaded', name)
    if engine.batch.is_full():
        return refuse(HTTPStatus.TOO_MANY_REQUESTS, 'queue_full', name)
    return None


def _end(engine: Engine, kv_cache: KVCache, sequence: Sequence) -> None:
    engine.batch.cancel(sequence)
    kv_cache.put(sequence.request_id, _kv_of(sequence))


def _new_sequence(
    engine: Engine, req: web.Request, body: dict[str, Any]
) -> Sequence:
    request_id = req.headers.get(REQUEST_ID) or uuid.uuid4().hex
    resolved = engine.resolve(str(body['model']))
    model, adapter = resolved or ('', '')
    return Sequence(
        request_id=request_id,
        model=model,
        adapter=adapter,
        prompt=prompt_text(body),
        next_index=int(req.headers.get('X-Resume-From', '0')),
        count=int(body.get('max_tokens') or DEFAULT_MAX_TOKENS),
        priority=int(req.headers.get('X-Priority', '0')),
        crashes=CRASH_MARK in json.dumps(body),
        record=engine.recorder.record(request_id, req),
    )


async def _answer(
    req: web.Request, sequence: Sequence, is_stream: bool
) -> web.StreamResponse:
    completion = Completion(
        sequence, req.path == CHAT_PATH, sequence.next_index
    )
    if is_stream:
        return await _stream(req, completion)
    while not (sequence.is_done() and sequence.out.empty()):
        if await sequence.out.get() is None:
            text = 'the request was cancelled'
            return refuse(HTTPStatus.GONE, 'cancelled', text)
    sequence.record.completed += 1
    return web.json_response(
        completion.whole(), headers={REQUEST_ID: sequence.request_id}
    )


async def _stream(
    req: web.Request, completion: Completion
) -> web.StreamResponse:
    sequence = completion.sequence
    resp = web.StreamResponse(headers={REQUEST_ID: sequence.request_id})
    resp.content_type = 'text/event-stream'
    await resp.prepare(req)
    while not (sequence.is_done() and sequence.out.empty()):
        index = await sequence.out.get()
        if index is None:
            # A stream without its end mark tells that it was cut short.
            return resp
        chunk = json.dumps(completion.chunk(index))
        await resp.write(f'data: {chunk}\n\n'.encode())
        sequence.record.sent += 1
    await resp.write(b'data: [DONE]\n\n')
    await resp.write_eof()
    sequence.record.completed += 1
    return resp


def _kv_of(sequence: Sequence) -> dict[str, Any]:
    return {
        'request_id': sequence.request_id,
        'model': sequence.model,
        'adapter': sequence.adapter,
        'tokens': sequence.next_index,
    }
