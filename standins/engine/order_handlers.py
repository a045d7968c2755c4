"""HTTP handlers for orders."""

from http import HTTPStatus

from aiohttp import web

from standins.engine.engine import Engine
from standins.engine.order import Order, order_from_dict
from standins.engine.orders import OrderRunner
from standins.engine.refusal import refuse


def add_order_handlers(
    app: web.Application, engine: Engine, runner: OrderRunner
) -> None:
    """Serve /orders."""

    async def take(req: web.Request) -> web.Response:
        try:
            order = order_from_dict(await req.json())
        except (ValueError, KeyError, TypeError) as exc:
            return refuse(HTTPStatus.BAD_REQUEST, 'bad_request', repr(exc))
        engine.received.append(order)
        if order.order_id in engine.orders:
            return _taken(order)
        if _is_stale(engine, order):
            engine.stale_refused += 1
            text = f'a number up to {engine.highest_fence} was seen'
            return refuse(HTTPStatus.CONFLICT, 'stale_fence', text)
        engine.highest_fence = max(engine.highest_fence, order.fence)
        if not _reserves(engine, order):
            text = f'{order.size_bytes} bytes do not fit'
            return refuse(
                HTTPStatus.INSUFFICIENT_STORAGE, 'out_of_memory', text
            )
        runner.start(order)
        return _taken(order)

    app.router.add_post('/orders', take)


def _taken(order: Order) -> web.Response:
    answer = {'order_id': order.order_id}
    return web.json_response(answer, status=HTTPStatus.ACCEPTED)


def _is_stale(engine: Engine, order: Order) -> bool:
    return engine.cfg.checks_fence and order.fence < engine.highest_fence


def _reserves(engine: Engine, order: Order) -> bool:
    if order.action != 'load' or order.model in engine.models:
        return True
    return engine.memory.reserve(order.model, order.size_bytes)
