"""Runs a request under a claim, also when its caller hangs up."""

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from typing import Any

import attrs
from aiohttp import web
from multidict import CIMultiDict

from mimosaworks.errors import ErrorKind, MimosaError, RequestError, RunState
from mimosaworks.relay.claim import (
    Claim,
    StoredAnswer,
    stored_answer,
)
from mimosaworks.relay.claim_book import ClaimBook
from mimosaworks.serving import REQUEST_ID_HEADER

MAX_STORED_BYTES = 262144  # 256 KiB
REPLAYED_HEADER = 'Idempotency-Replayed'


@attrs.define
class ClaimedRuns:
    """The claimed requests that this router runs; owns their tasks.

    A planned stop waits for them with wait_idle.
    """

    book: ClaimBook
    _tasks: set['asyncio.Task[Any]'] = attrs.field(factory=set)

    async def run(
        self,
        key: str,
        mark: str,
        request_id: str,
        exchange: Callable[[], Coroutine[Any, Any, web.StreamResponse]],
        may_wait: Callable[[], bool],
    ) -> web.StreamResponse:
        """Return the request's answer, or the kept one for a resend.

        While may_wait() holds, a resend waits for the first request. The
        exchange goes on when the caller hangs up: its outcome is what a
        resend asks for. Raises RequestError.
        """
        claim = await self._claim(self.book.new_claim(key, mark), may_wait)
        if claim.answer is not None:
            return _replay(claim.answer, request_id)
        task = asyncio.create_task(self._run_claimed(claim, exchange))
        self._keep(task)
        return await asyncio.shield(task)

    @property
    def running(self) -> int:
        """The claimed requests that haven't ended or aren't settled."""
        return len(self._tasks)

    async def wait_idle(self, until_s: float) -> None:
        """Return when all claimed requests have ended and are settled.

        Or at a time of the event loop.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(until_s):
                while self._tasks:
                    await asyncio.wait(self._tasks)

    async def _claim(
        self, wanted: Claim, may_wait: Callable[[], bool]
    ) -> Claim:
        try:
            return await self.book.claim(wanted, may_wait)
        except RequestError as exc:
            if exc.kind is ErrorKind.STORE_UNAVAILABLE:
                self._settle(self.book.release(wanted))
            raise

    async def _run_claimed(
        self,
        claim: Claim,
        exchange: Callable[[], Coroutine[Any, Any, web.StreamResponse]],
    ) -> web.StreamResponse:
        try:
            resp = await exchange()
        except RequestError as exc:
            if exc.run_state is RunState.NOT_RUN:
                self._settle(self.book.release(claim))
            else:
                self._settle(self.book.settle(claim, None))
            raise
        except MimosaError:
            self._settle(self.book.settle(claim, None))
            raise
        self._settle(self.book.settle(claim, _storable(resp)))
        return resp

    def _settle(self, work: Coroutine[Any, Any, None]) -> None:
        # The caller does not wait for the table: its answer is known. A
        # resend may come before the table knows it; ClaimBook.claim waits.
        self._keep(asyncio.create_task(work))

    def _keep(self, task: 'asyncio.Task[Any]') -> None:
        self._tasks.add(task)
        task.add_done_callback(self._forget)

    def _forget(self, task: 'asyncio.Task[Any]') -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            # Marks the exception as seen; the caller was told, or hung up.
            task.exception()


def _storable(resp: web.StreamResponse) -> StoredAnswer | None:
    body = resp.body if isinstance(resp, web.Response) else None
    if not isinstance(body, bytes) or len(body) > MAX_STORED_BYTES:
        return None
    headers = CIMultiDict(resp.headers)
    headers.popall(REQUEST_ID_HEADER, None)
    headers.popall('Content-Length', None)
    return stored_answer(resp.status, headers, body)


def _replay(answer: StoredAnswer, request_id: str) -> web.Response:
    headers = CIMultiDict(answer.headers)
    headers[REQUEST_ID_HEADER] = request_id
    headers[REPLAYED_HEADER] = 'true'
    return web.Response(status=answer.status, headers=headers, body=answer.body)
