"""Orders to targets and their reports."""

import enum
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import aiohttp
import attrs
from multidict import MultiMapping

from mimosaworks.bounded_answers import REPORT_BYTES, read_bounded
from mimosaworks.deployment import ResidentModel
from mimosaworks.json_fields import (
    Fields,
    flag,
    parse_table,
    texts,
    whole,
)
from mimosaworks.platform.entries import decode_residences
from mimosaworks.platform.headers import EXPECTED_TARGET

# Orders are answered within some steps; a second send of one that was
# accepted is refused by its count.
ORDER_TIMEOUT_S = 0.25
REPORT_TIMEOUT_S = 0.6


class OrderAnswer(enum.Enum):
    """What a target said to an order."""

    ACCEPTED = 'accepted'
    HOLDS = 'holds'
    CONFLICT = 'conflict'
    FENCED = 'fenced'
    REJECTED = 'rejected'
    OTHER_TARGET = 'other_target'
    UNANSWERED = 'unanswered'


@attrs.frozen
class TargetOrder:
    """One order; expected_orders is the count that the target must have.

    fence is the number under which the holder was elected.
    """

    is_load: bool
    model: str
    adapter: str
    expected_orders: int
    holder: str
    fence: int


@attrs.frozen
class TargetReport:
    """A target's own account, some hundred milliseconds old.

    coming names the adapters on their way, which take places already, each as
    MODEL/ADAPTER@VERSION.
    """

    orders: int
    is_busy: bool
    born: int
    residences: tuple[ResidentModel, ...]
    coming: tuple[str, ...] = ()


_ANSWERS = {  # noqa: WPS407 -- read only
    HTTPStatus.ACCEPTED: OrderAnswer.ACCEPTED,
    HTTPStatus.OK: OrderAnswer.HOLDS,
    HTTPStatus.CONFLICT: OrderAnswer.CONFLICT,
    HTTPStatus.PRECONDITION_FAILED: OrderAnswer.FENCED,
    HTTPStatus.BAD_REQUEST: OrderAnswer.REJECTED,
    HTTPStatus.MISDIRECTED_REQUEST: OrderAnswer.OTHER_TARGET,
}


def _ignore_head(_target: str, _headers: MultiMapping[str]) -> None:
    """Tell nobody."""


@attrs.define
class EngineCalls:
    """Sends orders and reads reports; used by the holder.

    on_head is called with a target and the head of its answer.
    """

    session: aiohttp.ClientSession
    on_head: Callable[[str, MultiMapping[str]], None] = _ignore_head

    async def order(
        self, target: str, address: str, order: TargetOrder
    ) -> OrderAnswer:
        """Send one order; UNANSWERED when its effect is unknown."""
        limit = aiohttp.ClientTimeout(total=ORDER_TIMEOUT_S)
        try:
            async with self.session.post(
                f'http://{address}/v1/order',
                json=_order_body(order),
                headers={EXPECTED_TARGET: target},
                timeout=limit,
            ) as resp:
                self.on_head(target, resp.headers)
                return _ANSWERS.get(
                    HTTPStatus(resp.status), OrderAnswer.UNANSWERED
                )
        except (TimeoutError, aiohttp.ClientError, ValueError):
            return OrderAnswer.UNANSWERED

    async def report(self, target: str, address: str) -> TargetReport:
        """Return a target's report.

        Raises aiohttp.ClientError, TimeoutError or ValueError.
        """
        limit = aiohttp.ClientTimeout(total=REPORT_TIMEOUT_S)
        async with self.session.get(
            f'http://{address}/v1/report',
            headers={EXPECTED_TARGET: target},
            timeout=limit,
            raise_for_status=True,
        ) as resp:
            self.on_head(target, resp.headers)
            return _decode_report(
                parse_table(await read_bounded(resp, REPORT_BYTES))
            )


def _order_body(order: TargetOrder) -> dict[str, Any]:
    body: dict[str, Any] = {
        'operation': 'load' if order.is_load else 'unload',
        'model': order.model,
        'expected': order.expected_orders,
        'holder': order.holder,
        'fencing-token': order.fence,
    }
    if order.adapter:
        body['adapter'] = order.adapter
    return body


def _decode_report(fields: Fields) -> TargetReport:
    return TargetReport(
        orders=whole(fields, 'sequence', 0),
        is_busy=flag(fields, 'busy', default=False),
        born=whole(fields, 'born', 0),
        residences=decode_residences(fields),
        coming=texts(fields, 'coming'),
    )
