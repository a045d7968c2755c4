"""A target of the agency's platform: orders, reports and requests."""

import asyncio
import contextlib
import time
from collections.abc import Callable, Generator
from http import HTTPStatus
from typing import Any

import attrs
from aiohttp import web

from standins.agency.event_text import event_text, repeated_text
from standins.agency.extra import (
    REQUEST_ID,
    Extra,
    reject_first,
    send_extras,
)
from standins.agency.prompt_parts import PARTS_HEADER, shared_parts
from standins.agency.raw_answer import RawAnswer, Writer, send_raw
from standins.platform import Store, json_row

MAX_BODY_BYTES = 1 << 24
FIRST_S = 0.01
EVENT_S = 0.005
EVENTS = 5
PLAIN = b'plain answer'
ERROR_TEXT = b'the target failed'
POISON = b'poison'  # the body of requests that crash what runs them
LAST_EVENT = 'Last-Event-Id'
EVENTS_HEADER = 'X-Events'  # how many events the stream of a request has
POISON_PATH = '/poison'  # or the end of their path, for those without a body


@attrs.frozen
class Hit:
    """One call that reached a target; sender is the holder of an order.

    request_id is empty for calls that are no requests.
    """

    at_s: float
    request_id: str = ''
    sender: str = ''


@attrs.frozen
class NamedLimit:
    """The rate limit in an answer to a request, empty without one."""

    at_s: float
    request_id: str
    limit: str


def _survive(_name: str, _request_id: str) -> None:
    """Go on."""


@attrs.define(eq=False)
class Replica:
    """State of one target; runs lists the ids of requests that it ran.

    models maps each loaded model to its adapters. Answers begin after first_s;
    streams have so many events, event_s apart, and breaks_after cuts them after
    that many. on_crash is called with its name and the id of a request with the
    body POISON that begins to run. overloads counts orders beyond the memory.
    All answers of one that is_leaving announce it; while pause_s is set,
    requests are rejected with this time to back off. arrivals and told_leaving
    give a time for each request, rejected the pause as well, births the birth
    that it met. limit is named in all answers as it is spelled; hits are all
    calls, named the answers to requests from its first use on. extra follows
    each answer to a request; rejections lack its id where is_curt. The first
    send of each request is rejected, and once more reject_twice_s later, unless
    that is 0. Requests whose prompts have one of deadly_parts crash it.
    While fails_with is set, requests are answered with this status and
    ERROR_TEXT. version is that of its software, in its entry unless empty.
    All answers say how many requests in a second it may turn away if that is
    set (brittle); turned_away_s are the times of those, when it runs as many as
    it has room for. raws are its next answers to requests, which it
    writes itself; then a writer, if set, makes them. remaining_ms is the notice
    in its entry, if set. Without has_report it tells nothing of itself.
    """

    name: str
    service: str
    data_centre: str
    address: str = ''
    weights_mb: float = 140000.0
    sizes_mb: dict[str, float] = attrs.field(factory=dict)
    models: dict[str, set[str]] = attrs.field(factory=dict)
    on_disk: list[str] = attrs.field(factory=list)
    load_s: float = 0.05
    adapter_slots: int = 2
    slots: int = 64
    state: str = 'ready'
    born: int = 1
    orders: int = 0
    fence: int = 0
    is_busy: bool = False
    runs: list[str] = attrs.field(factory=list)
    headers: list[dict[str, str]] = attrs.field(factory=list)
    cancelled: list[str] = attrs.field(factory=list)
    breaks_after: int = 0
    events: int = EVENTS
    event_s: float = EVENT_S
    first_s: float = FIRST_S
    overloads: int = 0
    is_leaving: bool = False
    pause_s: float = 0
    arrivals: dict[str, float] = attrs.field(factory=dict)
    births: dict[str, int] = attrs.field(factory=dict)
    rejected: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    told_leaving: dict[str, float] = attrs.field(factory=dict)
    limit: str = ''
    hits: list[Hit] = attrs.field(factory=list)
    named: list[NamedLimit] = attrs.field(factory=list)
    on_crash: Callable[[str, str], None] = _survive
    extra: Extra | None = None
    is_curt: bool = False
    reject_twice_s: float = 0
    deadly_parts: frozenset[str] = frozenset()
    fails_with: int = 0
    version: Any = 'v1'
    brittle: int = 0
    room: int = 0
    turned_away_s: list[float] = attrs.field(factory=list)
    running: int = 0
    raws: list[RawAnswer] = attrs.field(factory=list)
    writer: Writer | None = None
    remaining_ms: int = 0
    has_report: bool = True

    def note_hit(self, request_id: str = '', sender: str = '') -> None:
        """Note a call that has arrived."""
        self.hits.append(Hit(time.monotonic(), request_id, sender))

    def name_limit(self, request_id: str) -> None:
        """Note what an answer to a request says of a limit."""
        if self.limit or self.named:
            now = time.monotonic()
            self.named.append(NamedLimit(now, request_id, self.limit))

    @property
    def is_full(self) -> bool:
        """Whether it has no room for another request."""
        return 0 < self.room <= self.running

    def next_raw(
        self, request_id: str, pieces: list[bytes]
    ) -> RawAnswer | None:
        """Return the answer that the target writes itself, or None."""
        if self.raws:
            return self.raws.pop(0)
        if self.writer is None:
            return None
        return self.writer(self.name, request_id, pieces)

    def turn_away(self, req: web.Request, now: float) -> web.Response:
        """Return the rejection of a target that pauses or is full."""
        resp = _reject(self, req, HTTPStatus.SERVICE_UNAVAILABLE)
        resp.headers['X-Not-Executed'] = '1'
        if self.pause_s:
            self.rejected[req.headers[REQUEST_ID]] = (now, self.pause_s)
            resp.headers['Retry-After'] = f'{self.pause_s}'
        else:
            self.turned_away_s.append(now)
        return resp

    @contextlib.contextmanager
    def count_running(self, request_id: str) -> Generator[None, None, None]:
        """Count a request that runs, and note one that is cancelled."""
        self.running += 1
        try:
            yield
        except asyncio.CancelledError:
            self.cancelled.append(request_id)
            raise
        finally:
            self.running -= 1

    def restart(self) -> None:
        """Start anew: what was held and counted is gone, the disk stays."""
        self.born += 1
        self.models = {}
        self.orders = 0
        self.fence = 0
        self.is_busy = False
        self.is_leaving = False

    def register(self, store: Store) -> None:
        """Write the entry of this target to the store."""
        entry = {
            'service': self.service,
            'address': self.address,
            'zone': self.data_centre,
            **({'version': self.version} if self.version else {}),
            'slots': self.slots,
            'state': self.state,
            'cold-left-ms': 0,
            **(
                {'remaining-ms': self.remaining_ms} if self.remaining_ms else {}
            ),
            'stage': 'colocated',
            'models': self._listed(),
            'at-hand': {'in-memory': [], 'on-disk': self.on_disk},
            'sequence': 0,
            'born': self.born,
        }
        store.commit({'put': [json_row('servers', self.name, entry)]})

    def report(self) -> dict[str, Any]:
        """Return the report of this target."""
        return {
            'stage': 'colocated',
            'models': self._listed(),
            'busy': self.is_busy,
            'sequence': self.orders,
            'born': self.born,
        }

    async def order(self, ask: dict[str, Any]) -> int:
        """Carry out an order; return the status of the answer."""
        if ask['fencing-token'] < self.fence:
            return HTTPStatus.PRECONDITION_FAILED
        self.fence = ask['fencing-token']
        if self.is_busy or ask.get('expected', self.orders) != self.orders:
            return HTTPStatus.CONFLICT
        if ask.get('adapter') and ask['model'] not in self.models:
            return HTTPStatus.BAD_REQUEST
        self.orders += 1
        if ask.get('adapter'):
            return self._change_adapter(ask)
        self.is_busy = True
        asyncio.get_running_loop().create_task(self._change_model(ask))
        return HTTPStatus.ACCEPTED

    def _change_adapter(self, ask: dict[str, Any]) -> int:
        adapters = self.models[ask['model']]
        if ask['operation'] == 'load':
            adapters.add(ask['adapter'])
        else:
            adapters.discard(ask['adapter'])
        held = sum(len(names) for names in self.models.values())
        self.overloads += held > self.adapter_slots
        return HTTPStatus.ACCEPTED

    async def _change_model(self, ask: dict[str, Any]) -> None:
        born = self.born
        if ask['operation'] == 'load':
            await asyncio.sleep(self.load_s)
        if born != self.born:
            return  # The target has started anew meanwhile.
        if ask['operation'] == 'load':
            self.models[ask['model']] = set()
        else:
            self.models.pop(ask['model'], None)
        held_mb = sum(self.sizes_mb.get(name, 0) for name in self.models)
        self.overloads += held_mb > self.weights_mb
        self.is_busy = False

    def _listed(self) -> list[dict[str, Any]]:
        return [
            {'name': name, 'version': 1, 'adapters': sorted(adapters)}
            for name, adapters in self.models.items()
        ]


def _say_more(replica: Replica, req: web.Request) -> dict[str, str]:
    """Return what the head of an answer says of further requests."""
    request_id = req.headers.get(REQUEST_ID, '')
    said = {}
    if replica.is_leaving:
        said['Server-Leaving'] = '1'
        replica.told_leaving[request_id] = time.monotonic()
    if replica.limit:
        said['Server-Limit'] = replica.limit
    if replica.brittle:
        said['Server-Brittle'] = f'{replica.brittle}'
    if request_id:
        replica.name_limit(request_id)
    return said


def replica_app(replica: Replica) -> web.Application:
    """Return the application of one target."""

    async def order(req: web.Request) -> web.Response:
        ask = await req.json()
        replica.note_hit(sender=ask['holder'])
        return web.Response(status=await replica.order(ask))

    async def report(_: web.Request) -> web.Response:
        replica.note_hit()
        if not replica.has_report:
            return web.Response(status=HTTPStatus.NOT_FOUND)
        return web.json_response(replica.report())

    async def serve(req: web.Request) -> web.StreamResponse:
        expected = req.headers.get('X-Expect-Instance', replica.name)
        model, _, adapter = req.headers.get('X-Model', '').partition('/')
        request_id = req.headers[REQUEST_ID]
        replica.note_hit(request_id)
        replica.births[request_id] = replica.born
        if expected != replica.name or not _holds(replica, model, adapter):
            return _reject(replica, req, HTTPStatus.MISDIRECTED_REQUEST)
        body = await req.read()
        now = time.monotonic()
        replica.arrivals[request_id] = now
        if replica.pause_s or replica.is_full:
            return replica.turn_away(req, now)
        replica.runs.append(request_id)
        replica.headers.append(dict(req.headers))
        with replica.count_running(request_id):
            return await _run(replica, req, body, model)

    async def say_more(req: web.Request, resp: web.StreamResponse) -> None:
        resp.headers.update(_say_more(replica, req))

    handler = send_extras(replica, reject_first(replica, serve))
    app = web.Application(client_max_size=MAX_BODY_BYTES)
    app.on_response_prepare.append(say_more)
    app.router.add_post('/v1/order', order)
    app.router.add_get('/v1/report', report)
    app.router.add_route('*', '/{tail:.*}', handler)
    return app


def _reject(
    replica: Replica, req: web.Request, status: HTTPStatus
) -> web.Response:
    resp = web.Response(status=status)
    if not replica.is_curt:
        resp.headers[REQUEST_ID] = req.headers[REQUEST_ID]
    return resp


def _holds(replica: Replica, model: str, adapter: str) -> bool:
    if not model:
        return True
    held = replica.models.get(model)
    return held is not None and (not adapter or adapter in held)


async def _run(
    replica: Replica, req: web.Request, body: bytes, model: str
) -> web.StreamResponse:
    is_poison = body == POISON or req.path.endswith(POISON_PATH)
    parts = shared_parts(req.headers.get(PARTS_HEADER, ''))
    if is_poison or parts & replica.deadly_parts:
        replica.on_crash(replica.name, req.headers[REQUEST_ID])
    head = {
        REQUEST_ID: req.headers[REQUEST_ID],
        'X-Server-Seal': f'seal-{replica.name}',
    }
    await asyncio.sleep(replica.first_s)
    said = repeated_text(body)
    raw = replica.next_raw(
        req.headers[REQUEST_ID],
        _events(replica, req, said) if model else [said or PLAIN],
    )
    if raw is not None:
        await send_raw(req, raw, head | _say_more(replica, req))
    if replica.fails_with:
        return web.Response(
            body=ERROR_TEXT, status=replica.fails_with, headers=head
        )
    if not model:
        return web.Response(body=said or PLAIN, headers=head)
    return await _stream(replica, req, head, said)


def _events(replica: Replica, req: web.Request, said: bytes) -> list[bytes]:
    """Return the events of a stream that its caller has not got yet."""
    first = int(req.headers.get(LAST_EVENT) or 0) + 1
    events = int(req.headers.get(EVENTS_HEADER, replica.events))
    return [event_text(number, said) for number in range(first, events + 1)]


async def _stream(
    replica: Replica, req: web.Request, head: dict[str, str], said: bytes
) -> web.StreamResponse:
    out = web.StreamResponse(headers=head)
    out.content_type = 'text/event-stream'
    await out.prepare(req)
    number = int(req.headers.get(LAST_EVENT) or 0)
    events = int(req.headers.get(EVENTS_HEADER, replica.events))
    while number < events:
        number += 1
        if replica.breaks_after and number > replica.breaks_after:
            _break(req)
        await out.write(event_text(number, said))
        await asyncio.sleep(replica.event_s)
    await out.write_eof()
    return out


def _break(req: web.Request) -> None:
    if req.transport is not None:
        req.transport.abort()
    raise ConnectionResetError
