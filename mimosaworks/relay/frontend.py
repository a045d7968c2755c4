"""Callers' HTTP interface of a router."""

import functools
import uuid
from collections.abc import Callable

import attrs
from absl import logging
from aiohttp import web

from mimosaworks.admission import (
    Deadline,
    KeyIndex,
    ModelRequest,
    check_route_access,
    find_credentials,
    find_route,
    parse_model_request,
    read_deadline,
)
from mimosaworks.clock import now_s
from mimosaworks.entities import Route, Workspace
from mimosaworks.errors import ErrorKind, RequestError
from mimosaworks.events import Event, log_event
from mimosaworks.metrics import Metric, MetricsClient
from mimosaworks.relay.answers import error_response
from mimosaworks.relay.attempt_error import CallerGoneError
from mimosaworks.relay.body import read_body
from mimosaworks.relay.caller_stream import CallerStream
from mimosaworks.relay.claim import claim_key
from mimosaworks.relay.claimed_run import ClaimedRuns
from mimosaworks.relay.cutoff import Cutoff
from mimosaworks.relay.exchange import Exchange
from mimosaworks.relay.outgoing import make_outgoing
from mimosaworks.relay.upstream import Upstream
from mimosaworks.relay.view import View
from mimosaworks.routing import (
    CrashMonitor,
    Dispatcher,
    RetryBudget,
    RoutedRequest,
    compute_fingerprint,
)

_SAFE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))
MODEL_PRIORITY = 10
CALLER_GONE_STATUS = 499
IDEMPOTENCY_HEADER = 'Idempotency-Key'
# For the end of the first request; storing it takes two calls of the store.
MAX_RESEND_WAIT_S = 1.0


@attrs.define
class Frontend:
    """Answers callers; one for each router.

    view is the process's copy of the configuration and its freshness.
    max_body_bytes and body_timeout_s bound what a caller can hold.
    """

    view: View
    dispatcher: Dispatcher
    upstream: Upstream
    crashes: CrashMonitor
    claimed: ClaimedRuns
    budget: RetryBudget
    metrics: MetricsClient
    max_body_bytes: int
    body_timeout_s: float
    keys: KeyIndex = attrs.field(factory=KeyIndex)
    cutoff: Cutoff = attrs.field(factory=Cutoff)

    async def handle(self, req: web.Request) -> web.StreamResponse:
        """Answer one request; every refusal is logged with its kind."""
        request_id = uuid.uuid4().hex
        arrived_at_s = now_s()
        try:
            resp = await self._serve(req, request_id)
        except RequestError as exc:
            return self._refuse(exc, request_id)
        except CallerGoneError:
            # Nobody reads this answer; aiohttp wants one to close the call.
            return web.Response(status=CALLER_GONE_STATUS)
        except Exception as exc:  # noqa: BLE001
            # A fault of ours: the caller still has to learn that it failed.
            logging.exception('request %s failed', request_id)
            return self._answer_fault(req, request_id, exc)
        self.metrics.count(Metric.REQUESTS_ANSWERED)
        self.metrics.timing(Metric.REQUEST_DURATION, now_s() - arrived_at_s)
        return resp

    def refuse_at_stop(self) -> web.StreamResponse:
        """Return the answer for a request that came too late to be taken."""
        exc = RequestError(ErrorKind.STOPPING, 'the router stops')
        return self._refuse(exc, uuid.uuid4().hex)

    def _answer_fault(
        self, req: web.Request, request_id: str, exc: Exception
    ) -> web.Response:
        if req.writer is not None and req.writer.output_size:
            # The answer has begun; cutting it shows that it is incomplete.
            raise exc
        fault = RequestError(ErrorKind.INTERNAL, 'the router failed')
        return self._refuse(fault, request_id)

    def _refuse(self, exc: RequestError, request_id: str) -> web.Response:
        self.metrics.count(Metric.REQUESTS_REFUSED)
        log_event(
            Event.REQUEST_REFUSED,
            request_id=request_id,
            kind=exc.kind.value,
            run=exc.run_state.value,
            reason=exc.message,
        )
        return error_response(exc, request_id)

    async def _serve(
        self, req: web.Request, request_id: str
    ) -> web.StreamResponse:
        route = self._find_route(req)
        workspace = self._admit(req, route)
        deadline = read_deadline(req.headers, route, now_s())
        async with self.cutoff.limit():
            body = await read_body(
                req, self.max_body_bytes, self.body_timeout_s
            )
        ticket = RoutedRequest(request_id, route, workspace, deadline, now_s())
        if route.kind == 'model':
            _describe_model(
                ticket, parse_model_request(self.view.catalogue, body)
            )
        else:
            ticket.cost_tokens = route.cost_tokens
        ticket.fingerprint = compute_fingerprint(
            ticket.workspace_name, ticket.model, body
        )
        exchange = Exchange(
            ticket=ticket,
            outgoing=make_outgoing(
                req,
                body,
                request_id,
                ticket.priority,
                is_model=bool(ticket.model),
            ),
            stream=CallerStream(req, request_id),
            dispatcher=self.dispatcher,
            upstream=self.upstream,
            crashes=self.crashes,
            budget=self.budget,
            metrics=self.metrics,
            check=functools.partial(self._check_again, req, ticket),
            is_repeatable=_is_repeatable(req, route),
        )
        claim_text = req.headers.get(IDEMPOTENCY_HEADER)
        if claim_text is None or route.kind == 'model':
            return await exchange.run(self.cutoff)
        return await self.claimed.run(
            claim_key(ticket.workspace_name, claim_text),
            compute_fingerprint(req.method, req.path, body),
            request_id,
            functools.partial(exchange.run, self.cutoff),
            self._patience(deadline),
        )

    def _patience(self, deadline: Deadline) -> Callable[[], bool]:
        """Return what tells whether a resend may go on to wait."""
        now = now_s()
        # Half of its time: it may still have to be sent.
        wait_s = min(MAX_RESEND_WAIT_S, deadline.remaining_s(now) / 2)
        return lambda: not self.cutoff.is_over and now_s() < now + wait_s

    def _find_route(self, req: web.Request) -> Route:
        try:
            return find_route(self.view.catalogue, req.path)
        except RequestError as exc:
            # A router that has just started knows no route at all.
            if exc.kind is ErrorKind.UNKNOWN_ROUTE:
                self._require_fresh()
            raise

    def _require_fresh(self) -> None:
        if not self.view.is_fresh():
            raise RequestError(
                ErrorKind.CONFIG_STALE, 'configuration may be out of date'
            )

    def _admit(self, req: web.Request, route: Route) -> Workspace | None:
        if route.is_open:
            return None
        self._require_fresh()
        secret = find_credentials(req.headers, req.query).secret
        workspace = self.keys.find_workspace(self.view.catalogue, secret)
        check_route_access(route, workspace)
        return workspace

    def _check_again(self, req: web.Request, ticket: RoutedRequest) -> None:
        # Runs right before the first byte leaves: the process may have been
        # paused, or the key withdrawn, while the request waited.
        route = self._find_route(req)
        self._admit(req, route)
        if ticket.deadline.has_passed(now_s()):
            raise RequestError(
                ErrorKind.DEADLINE_UNREACHABLE, 'deadline passed while waiting'
            )


def _describe_model(ticket: RoutedRequest, call: ModelRequest) -> None:
    ticket.model = call.model.name
    ticket.adapter = call.adapter
    ticket.cost_tokens = call.cost_tokens
    ticket.max_tokens = call.max_tokens
    ticket.prompt_prefix = call.prompt_prefix
    ticket.priority = MODEL_PRIORITY


def _is_repeatable(req: web.Request, route: Route) -> bool:
    return (
        route.kind == 'model'
        or route.is_idempotent
        or req.method in _SAFE_METHODS
    )
