"""What requests of the administration API refer to."""

from aiohttp import web

from mimosaworks.admin.service import AdminService
from mimosaworks.entities import Catalogue, Entity
from mimosaworks.errors import ErrorKind, RequestError

SERVICE = web.AppKey('service', AdminService)


def entity_place(req: web.Request) -> tuple[str, str]:
    """Return the kind and name in the request's path."""
    return req.match_info['kind'], req.match_info['name']


def present_entity(catalogue: Catalogue, req: web.Request) -> Entity:
    """Return the entity in the request's path; RequestError if absent."""
    kind, name = entity_place(req)
    entity: Entity | None = getattr(catalogue, kind).get(name)
    if entity is None:
        raise RequestError(ErrorKind.NOT_FOUND, f'there is no {kind} {name!r}')
    return entity
