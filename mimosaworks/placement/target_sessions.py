"""Connections from a placer to targets."""

import contextlib
from typing import Self

import attrs
from aiohttp import ClientSession

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
        most = AnswerBounds().answer_bytes
        single = BoundedConnector(most, force_close=True)
        orders = ClientSession(connector=single)
        await stack.enter_async_context(orders)
        reports = ClientSession(connector=BoundedConnector(most))
        await stack.enter_async_context(reports)
        return cls(orders, ReportReader(reports))
