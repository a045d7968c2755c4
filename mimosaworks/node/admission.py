"""Admits or refuses requests by the deployment in force."""

import asyncio
import hashlib
import random

from aiohttp import web

from mimosaworks.clock import now_s
from mimosaworks.deployment import (
    Deployment,
    Grant,
    RequestProfile,
    ServiceRoute,
    WorkspaceConfig,
)
from mimosaworks.errors import ErrorKind, RequestError, RunState
from mimosaworks.node.call import Call
from mimosaworks.node.held_bodies import BodyHold, read_request_body
from mimosaworks.platform.headers import (
    LAST_EVENT,
    REQUEST_ID,
    RESUMED_REQUEST,
    read_key,
    read_profile,
    read_time_left_s,
)

# Reserved for the transit of the answer back to the caller.
ANSWER_TRANSIT_MARGIN_S = 0.02
FINGERPRINT_BYTES = 16
# Number of route priorities that are distinguished within a workspace.
ROUTE_PRIORITY_LEVELS = 3
NO_DEPLOYMENT_RETRY_S = 1.0
# Of the time until an answer must begin, in which a body may wait for room.
ROOM_WAIT_SHARE = 0.5


async def admit_request(
    req: web.BaseRequest,
    deployment: Deployment | None,
    arrived_s: float,
    hold: BodyHold,
) -> Call:
    """Read a request and return it if the deployment allows it.

    Its timeout counts from arrived_s; hold accounts for its bytes. Raises
    RequestError otherwise; nothing was sent to a target by then.
    """
    if deployment is None:
        raise RequestError(
            ErrorKind.CONFIG_STALE,
            'this node has not read a deployment yet',
            retry_after_s=NO_DEPLOYMENT_RETRY_S,
        )
    _check_head_is_utf8(req)
    route = _find_route(req, deployment)
    grant = _find_grant(req, route, deployment)
    profile, caller_timeout_s = _read_profile_and_timeout(req)
    timeout_s = route.timeout_s
    if caller_timeout_s is not None:
        timeout_s = min(timeout_s, caller_timeout_s - ANSWER_TRANSIT_MARGIN_S)
    deadline_s = arrived_s + timeout_s
    try:
        async with asyncio.timeout(deadline_s - now_s()):
            body = await read_request_body(
                req,
                deployment.limits.body_bytes,
                hold,
                min(timeout_s, route.first_event_timeout_s) * ROOM_WAIT_SHARE,
            )
    except TimeoutError as exc:
        raise _deadline_exceeded(
            'the body did not arrive before the deadline'
        ) from exc
    if deadline_s <= now_s():
        raise _deadline_exceeded(
            'the deadline passed while the request was read'
        )
    workspace = None if grant is None else grant.workspace
    workspace_cfg = deployment.workspaces.get(workspace or '')
    return Call(
        req=req,
        request_id=req.headers.get(REQUEST_ID, ''),
        route=route,
        service=pick_weighted_service(route),
        workspace=workspace,
        cost=_token_cost(workspace_cfg, profile),
        priority=_request_priority(route, grant),
        profile=profile,
        body=body,
        arrived_s=arrived_s,
        deadline_s=deadline_s,
        fingerprint=_request_fingerprint(req, grant, body),
        resumes=_read_resumption(req, route),
    )


def _deadline_exceeded(reason: str) -> RequestError:
    return RequestError(
        ErrorKind.DEADLINE_EXCEEDED, reason, run_state=RunState.NOT_RUN
    )


def pick_weighted_service(route: ServiceRoute) -> str:
    """Return a random service of a route, weighted by its traffic shares."""
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [max(share.weight, 0) for share in route.shares]
    if not any(weights):
        return route.shares[0].service
    return random.choices(route.shares, weights)[0].service


def _check_head_is_utf8(req: web.BaseRequest) -> None:
    """Raise RequestError for a head that can't be forwarded unchanged."""
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
            f'no route for {path} in deployment version {deployment.version}',
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
            f'the key is unknown in deployment version {deployment.version}',
        )
    return grant


def _read_profile_and_timeout(
    req: web.BaseRequest,
) -> tuple[RequestProfile, float | None]:
    try:
        return (read_profile(req.headers), read_time_left_s(req.headers))
    except ValueError as exc:
        raise RequestError(ErrorKind.BAD_REQUEST, str(exc)) from exc


def _read_resumption(req: web.BaseRequest, route: ServiceRoute) -> str | None:
    """Return the id of the request that began the stream that this resumes.

    It is empty if the caller does not tell, None if no stream is resumed.
    """
    if not route.is_resumable or not req.headers.get(LAST_EVENT):
        return None
    return req.headers.get(RESUMED_REQUEST, '')


def _token_cost(
    workspace_cfg: WorkspaceConfig | None, profile: RequestProfile
) -> float:
    return (
        0
        if workspace_cfg is None
        else workspace_cfg.request_cost(profile.declared_tokens)
    )


def _request_priority(route: ServiceRoute, grant: Grant | None) -> int:
    route_priority = min(max(route.priority, 0), ROUTE_PRIORITY_LEVELS - 1)
    if grant is None or grant.priority is None:
        return route_priority
    # The workspace's priority ranks first, the route's breaks ties.
    return max(grant.priority, 0) * ROUTE_PRIORITY_LEVELS + route_priority


def _request_fingerprint(
    req: web.BaseRequest, grant: Grant | None, body: bytes | bytearray
) -> str:
    workspace = '' if grant is None else grant.workspace
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    digest.update(f'{workspace}\0{req.method}\0{req.raw_path}\0'.encode())
    digest.update(body)
    return digest.hexdigest()
