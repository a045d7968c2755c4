"""Connections from a placer to targets."""

import contextlib
from typing import Self

import attrs
from aiohttp import ClientSession

from mimosaworks.body_ends import BodyEndConnector
from mimosaworks.bounded_answers import AnswerBounds, BoundedConnector
from mimosaworks.placement.report_reader import ReportReader


@attrs.frozen
class TargetSessions:
    """HTTP sessions that never take an earlier answer for a later one.

    Orders get a connection each. The connections for reports are kept until
    data arrives that wasn't requested.
    """

    order_session: ClientSession
    report_reader: ReportReader

    @classmethod
    async def open(cls, stack: contextlib.AsyncExitStack) -> Self:
        """Return sessions that are open until the stack is closed."""
        orders = ClientSession(connector=BodyEndConnector(force_close=True))
        await stack.enter_async_context(orders)
        bounded = BoundedConnector(AnswerBounds().answer_bytes)
        reports = ClientSession(connector=bounded)
        await stack.enter_async_context(reports)
        return cls(orders, ReportReader(reports))
