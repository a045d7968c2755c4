"""Sends requests to targets."""

import contextlib
from collections.abc import AsyncGenerator

import aiohttp
import attrs
from multidict import CIMultiDict
from yarl import URL

from mimosaworks.body_framing import ends_with_connection
from mimosaworks.bounded_answers import HeldBytes, OversizedError, log_cut
from mimosaworks.entities import Target
from mimosaworks.relay.answer_body import AnswerBody
from mimosaworks.relay.outgoing import Outgoing
from mimosaworks.relay.sent_call import CheckEnd, SentCall
from mimosaworks.send_guard import SendGuard
from mimosaworks.serving import REQUEST_ID_HEADER

CONNECT_TIMEOUT_S = 1.0
STREAM_IDLE_S = 15.0
STREAM_END_S = 0.1  # behind its closing event
RESUME_HEADER = 'X-Resume-From'
CANCEL_TIMEOUT_S = 1.0


@attrs.define
class Upstream:
    """Two client sessions towards targets, owned by the router's root.

    check_end judges the ends of answers without framing. held bounds the bytes
    of answers that are held at once.

    single opens a new connection for each request: for requests that may
    run once only, a kept connection that the target closes at that moment
    would leave the outcome in doubt; and for targets whose answers have no
    id, as it couldn't be told which request an answer belongs to.
    """

    pooled: aiohttp.ClientSession
    single: aiohttp.ClientSession
    check_end: CheckEnd
    held: HeldBytes
    _with_ids: set[str] = attrs.field(factory=set)

    def note_answer(self, target: Target, resp: aiohttp.ClientResponse) -> None:
        """Learn whether the answers of a target have ids."""
        if REQUEST_ID_HEADER in resp.headers:
            self._with_ids.add(target.name)
        else:
            self.note_failure(target)

    def note_failure(self, target: Target) -> None:
        """Forget whether the answers of a target have ids."""
        self._with_ids.discard(target.name)

    @contextlib.asynccontextmanager
    async def send(
        self,
        target: Target,
        outgoing: Outgoing,
        guard: SendGuard,
        *,
        resume_from: int = 0,
        is_repeatable: bool = True,
    ) -> AsyncGenerator[AnswerBody, None]:
        """Yield the target's answer, of which the body is still to come."""
        is_kept = is_repeatable and target.name in self._with_ids
        session = self.pooled if is_kept else self.single
        headers: CIMultiDict[str] = outgoing.headers.copy()
        if resume_from:
            headers[RESUME_HEADER] = str(resume_from)
        request = session.request(
            outgoing.method,
            # The caller's bytes go on as they came, without re-encoding.
            URL(target.url.rstrip('/') + outgoing.path, encoded=True),
            data=outgoing.body or None,
            headers=headers,
            allow_redirects=False,
            trace_request_ctx=guard,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT_S
            ),
        )

        try:
            async with request as resp:
                with self.held.hold() as hold:
                    yield AnswerBody(resp, hold)
        except OversizedError as exc:
            log_cut(target.name, exc)
            raise

    async def confirm_end(
        self, sent: SentCall, resp: aiohttp.ClientResponse
    ) -> None:
        """Raise aiohttp.ClientError unless the end shows a whole answer.

        Called right behind the end of the body.
        """
        if ends_with_connection(resp):
            await self.check_end(sent)

    async def cancel(self, target: Target, request_id: str) -> None:
        """Ask an engine to stop a request; failures do not matter."""
        url = f'{target.url}/requests/{request_id}'
        limit = aiohttp.ClientTimeout(total=CANCEL_TIMEOUT_S)
        try:
            async with self.pooled.delete(url, timeout=limit):
                return
        except (aiohttp.ClientError, TimeoutError):
            return
