"""Ends bodies at the places where other answers begin."""

import asyncio

import aiohttp
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader

from mimosaworks.body_ends import BodyEndHandler
from mimosaworks.events import Event, log_event
from mimosaworks.foreign_heads import (
    ForeignHead,
    ForeignHeadFinder,
    has_events,
    has_json,
    holds_messages,
)


class ForeignAnswerError(aiohttp.ClientError):
    """An answer does not show that it belongs to the request."""


class UnmixedBodyHandler(BodyEndHandler):
    """Breaks a body off in which the head of another answer begins.

    id_field is the header field with the id of a request, which answers
    repeat; without it no body is broken off. Whoever reads the body gets
    ForeignAnswerError.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, id_field: str) -> None:
        super().__init__(loop)
        self._id_field = id_field
        self._finder: ForeignHeadFinder | None = None
        self._watched_id = ''

    def data_received(self, data: bytes) -> None:
        """Read bytes of an answer, up to the head of another one."""
        body = self._latest_body
        foreign = None
        if self._finder is not None and body is not None:
            foreign = self._finder.feed(data)
        if foreign is not None and foreign.start:
            super().data_received(data[: foreign.start])
            data = data[foreign.start :]
        if foreign is None or body is None or body.is_eof():
            super().data_received(data)
        else:
            self._break_off(body, foreign)

    def eof_received(self) -> None:
        """Break a body off that ends inside the head of another answer."""
        super().eof_received()
        body = self._latest_body
        if self._finder is None or body is None or body.is_eof():
            return
        if self._finder.unended_head is not None:
            self._break_off(body, self._finder.unended_head)

    def watch_body(self, request_id: str, message: RawResponseMessage) -> None:
        """Look for other answers in the body of the one to a request."""
        self._watched_id = request_id
        content_type = message.headers.get('Content-Type', '')
        if self._id_field and not holds_messages(content_type):
            is_structured = has_events(content_type) or has_json(content_type)
            self._finder = ForeignHeadFinder(
                self._id_field,
                is_structured=is_structured,
            )

    def leave_body(self) -> None:
        """Look for no other answers until the next body comes."""
        self._finder = None

    def _break_off(self, body: StreamReader, foreign: ForeignHead) -> None:
        self.leave_body()
        log_dropped(
            self.transport,
            self._watched_id,
            foreign.request_id,
            foreign.status,
            'it began inside the body of another answer',
        )
        body.set_exception(
            ForeignAnswerError('another answer began inside the body')
        )
        # The end of the connection would replace the reason.
        self._payload = None
        self.force_close()
        if self.transport is not None:
            self.transport.abort()


def log_dropped(
    transport: asyncio.BaseTransport | None,
    request_id: str,
    sent: str,
    status: int,
    reason: str,
) -> None:
    """Tell that an answer is not passed on; sent is the id in it."""
    log_event(
        Event.ANSWER_DROPPED,
        address=peer_address(transport),
        request_id=request_id,
        sent=sent,
        status=status,
        reason=reason,
    )


def peer_address(transport: asyncio.BaseTransport | None) -> str:
    """Return the address of the other side, empty without a connection."""
    peer = None if transport is None else transport.get_extra_info('peername')
    return '' if peer is None else f'{peer[0]}:{peer[1]}'
