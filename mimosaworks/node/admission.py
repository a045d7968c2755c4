"""Decides whether a node takes a request, from the deployment in force."""

import asyncio
import hashlib
import random

from aiohttp import web

from mimosaworks.clock import now_s
from mimosaworks.deployment import (
    CallFacts,
    Deployment,
    Grant,
    ServiceRoute,
    WorkspaceTerms,
)
from mimosaworks.errors import ErrorKind, RequestError, RunState
from mimosaworks.node.call import Call
from mimosaworks.platform.headers import (
    REQUEST_ID,
    read_facts,
    read_key,
    read_time_left_s,
)

ANSWER_TRANSIT_MARGIN_S = 0.02  # the way back to the caller
FINGERPRINT_BYTES = 16
ROUTE_PRIORITY_LEVELS = 3  # route priorities that are told apart in a workspace
NO_DEPLOYMENT_RETRY_S = 1.0


async def admit_request(
    req: web.BaseRequest, deployment: Deployment | None, arrived_s: float
) -> Call:
    """Return the request if the deployment allows it.

    Its time counts from arrived_s. Raises RequestError, before anything was
    sent to a target.
    """
    if deployment is None:
        raise RequestError(
            ErrorKind.CONFIG_STALE,
            'this node knows no deployment yet',
            retry_after_s=NO_DEPLOYMENT_RETRY_S,
        )
    _check_head_is_utf8(req)
    route = _find_route(req, deployment)
    grant = _find_grant(req, route, deployment)
    facts, caller_timeout_s = _read_facts_and_timeout(req)
    timeout_s = route.timeout_s
    if caller_timeout_s is not None:
        timeout_s = min(timeout_s, caller_timeout_s - ANSWER_TRANSIT_MARGIN_S)
    deadline_s = arrived_s + timeout_s
    try:
        async with asyncio.timeout(deadline_s - now_s()):
            body = await read_request_body(req, deployment.limits.body_bytes)
    except TimeoutError as exc:
        raise _deadline_exceeded('the body did not come in time') from exc
    if deadline_s <= now_s():
        raise _deadline_exceeded('its time was over when it was read')
    workspace = None if grant is None else grant.workspace
    workspace_terms = deployment.workspaces.get(workspace or '')
    return Call(
        req=req,
        request_id=req.headers.get(REQUEST_ID, ''),
        route=route,
        service=pick_weighted_service(route),
        workspace=workspace,
        cost=_token_cost(workspace_terms, facts),
        priority=_request_priority(route, grant),
        facts=facts,
        body=body,
        arrived_s=arrived_s,
        deadline_s=deadline_s,
        fingerprint=_request_fingerprint(req, grant, body),
    )


def _deadline_exceeded(reason: str) -> RequestError:
    return RequestError(
        ErrorKind.DEADLINE_EXCEEDED, reason, run_state=RunState.NOT_RUN
    )


def pick_weighted_service(route: ServiceRoute) -> str:
    """Return one of a route's services at random, by their weights."""
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [max(share.weight, 0) for share in route.shares]
    if not any(weights):
        return route.shares[0].service
    return random.choices(route.shares, weights)[0].service


async def read_request_body(req: web.BaseRequest, max_bytes: int) -> bytes:
    """Return a request's body; raises RequestError when it is too large."""
    if not req.body_exists:
        return b''
    chunks: list[bytes] = []
    size = 0
    async for chunk in req.content.iter_any():
        size += len(chunk)
        if size > max_bytes:
            raise RequestError(
                ErrorKind.BODY_TOO_LARGE, f'at most {max_bytes} bytes'
            )
        chunks.append(chunk)
    return b''.join(chunks)


def _check_head_is_utf8(req: web.BaseRequest) -> None:
    """Raise RequestError for a head that can't be sent on as it came."""
    for text in (req.raw_path, *req.headers.values()):
        try:
            text.encode()
        except UnicodeEncodeError as exc:
            raise RequestError(
                ErrorKind.BAD_REQUEST, f'the head must be UTF-8: {exc}'
            ) from exc


def _find_route(req: web.BaseRequest, deployment: Deployment) -> ServiceRoute:
    host, _, _ = req.headers.get('Host', '').partition(':')
    path, _, _ = req.raw_path.partition('?')
    route = deployment.find_route(host.lower(), path)
    if route is None:
        raise RequestError(
            ErrorKind.UNKNOWN_ROUTE,
            f'no route for {path} in version {deployment.version}',
        )
    return route


def _find_grant(
    req: web.BaseRequest, route: ServiceRoute, deployment: Deployment
) -> Grant | None:
    key = read_key(req.headers)
    if not deployment.needs_key:
        return None
    grant = None if key is None else deployment.find_grant(key)
    if grant is None and not route.is_public:
        raise RequestError(
            ErrorKind.UNAUTHENTICATED,
            f'the key is not known in version {deployment.version}',
        )
    return grant


def _read_facts_and_timeout(
    req: web.BaseRequest,
) -> tuple[CallFacts, float | None]:
    try:
        return (read_facts(req.headers), read_time_left_s(req.headers))
    except ValueError as exc:
        raise RequestError(ErrorKind.BAD_REQUEST, str(exc)) from exc


def _token_cost(
    workspace_terms: WorkspaceTerms | None, facts: CallFacts
) -> float:
    return (
        0
        if workspace_terms is None
        else workspace_terms.cost(facts.declared_tokens)
    )


def _request_priority(route: ServiceRoute, grant: Grant | None) -> int:
    route_priority = min(max(route.priority, 0), ROUTE_PRIORITY_LEVELS - 1)
    if grant is None or grant.priority is None:
        return route_priority
    # The workspace's priority goes first, the route's decides among equals.
    return max(grant.priority, 0) * ROUTE_PRIORITY_LEVELS + route_priority


def _request_fingerprint(
    req: web.BaseRequest, grant: Grant | None, body: bytes
) -> str:
    workspace = '' if grant is None else grant.workspace
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    digest.update(f'{workspace}\0{req.method}\0{req.raw_path}\0'.encode())
    digest.update(body)
    return digest.hexdigest()
