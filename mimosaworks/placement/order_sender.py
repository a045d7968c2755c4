"""Sends orders to targets."""

import json
from collections.abc import AsyncIterator, Callable
from http import HTTPStatus

import aiohttp
import attrs

from mimosaworks.clock import now_s
from mimosaworks.placement.errors import LeaseLapsedError
from mimosaworks.placement.order import Order

ORDER_TIMEOUT_S = 2.0

MaySend = Callable[[Order, float], bool]


@attrs.define
class OrderSender:
    """Posts orders; calls may_send_order right before the body is sent."""

    session: aiohttp.ClientSession
    may_send_order: MaySend

    async def send_order(self, order: Order) -> HTTPStatus | None:
        """Return the target's status; None when it is unknown.

        Raises LeaseLapsedError when the order was not sent.
        """
        body = json.dumps(order.body_fields()).encode()
        if not self.may_send_order(order, now_s()):
            raise LeaseLapsedError(order.order_id)
        try:
            async with self.session.post(
                f'{order.url}/orders',
                data=self._stream_body_if_allowed(order, body),
                headers={
                    'Content-Type': 'application/json',
                    'Content-Length': str(len(body)),
                },
                timeout=aiohttp.ClientTimeout(total=ORDER_TIMEOUT_S),
            ) as resp:
                return HTTPStatus(resp.status)
        except (TimeoutError, aiohttp.ClientError, ValueError):
            return None

    async def _stream_body_if_allowed(
        self, order: Order, body: bytes
    ) -> AsyncIterator[bytes]:
        # Connecting can take long, and the process can be paused meanwhile.
        # Targets ignore a request whose body never arrives.
        if not self.may_send_order(order, now_s()):
            raise LeaseLapsedError(order.order_id)
        yield body
