"""HTTP handlers that change the configuration."""

import types
from collections.abc import Callable, Sequence

from aiohttp import hdrs, web

from mimosaworks.admin.answers import outcome_response
from mimosaworks.admin.bodies import parse_changes, parse_entity
from mimosaworks.admin.middleware import OPERATOR
from mimosaworks.admin.places import SERVICE, entity_place, present_entity
from mimosaworks.entities import Change
from mimosaworks.errors import ErrorKind, MimosaError, RequestError
from mimosaworks.events import Event, log_event
from mimosaworks.metrics import Metric

_ANY_VERSION = '*'
_EVENTS = types.MappingProxyType({
    True: (Event.CHANGE_ACCEPTED, Metric.CHANGES_ACCEPTED),
    False: (Event.CHANGE_PENDING, Metric.CHANGES_PENDING),
})


async def put_entity(req: web.Request) -> web.Response:
    """Create or replace one entity."""
    kind, name = entity_place(req)
    body = await req.read()
    return await _logged_change(req, lambda: (parse_entity(kind, name, body),))


async def delete_entity(req: web.Request) -> web.Response:
    """Delete one entity."""
    present_entity(await req.app[SERVICE].read(), req)
    change = Change(*entity_place(req))
    return await _logged_change(req, lambda: (change,))


async def post_changes(req: web.Request) -> web.Response:
    """Make all changes of a list as one version, or none."""
    body = await req.read()
    return await _logged_change(req, lambda: parse_changes(body))


async def _logged_change(
    req: web.Request, parse: Callable[[], Sequence[Change]]
) -> web.Response:
    try:
        return await _change(req, parse())
    except MimosaError as exc:
        req.app[SERVICE].metrics.count(Metric.CHANGES_REJECTED)
        log_event(
            Event.CHANGE_REJECTED,
            operator=req[OPERATOR],
            remote=req.remote,
            path=req.path,
            reason=str(exc),
        )
        raise


async def _change(req: web.Request, changes: Sequence[Change]) -> web.Response:
    outcome = await req.app[SERVICE].change(
        changes, _base_version(req), req[OPERATOR]
    )
    event, metric = _EVENTS[outcome.is_in_force]
    req.app[SERVICE].metrics.count(metric)
    log_event(
        event,
        operator=req[OPERATOR],
        remote=req.remote,
        version=outcome.version,
        changes=[_summary(change) for change in changes],
    )
    return outcome_response(outcome)


def _summary(change: Change) -> str:
    action = 'delete' if change.entity is None else 'put'
    return f'{action} {change.kind} {change.name}'


def _base_version(req: web.Request) -> int | None:
    """Return the version of If-Match, or None for any version."""
    tag = req.headers.get(hdrs.IF_MATCH, '').strip()
    if tag == _ANY_VERSION:
        return None
    digits = tag.strip('"')
    if not digits.isdecimal():
        raise RequestError(
            ErrorKind.BAD_REQUEST,
            'the header If-Match must hold a version, like "7", or *',
        )
    return int(digits)
