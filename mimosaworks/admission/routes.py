"""Matches request paths with routes."""

from mimosaworks.entities import Catalogue, Route
from mimosaworks.errors import ErrorKind, RequestError

_DOT_SEGMENTS = frozenset(('.', '..'))


def find_route(catalogue: Catalogue, path: str) -> Route:
    """Return the route with the longest prefix of the path.

    A prefix matches whole path segments. Raises RequestError UNKNOWN_ROUTE
    if no route matches, and BAD_REQUEST for a path with dot segments: a
    target that resolves them would serve another route than the one that
    admitted the request.
    """
    if not _DOT_SEGMENTS.isdisjoint(path.replace('\\', '/').split('/')):
        raise RequestError(ErrorKind.BAD_REQUEST, 'path has dot segments')
    matching_routes = [
        route
        for route in catalogue.route.values()
        if _is_prefix(route.path.rstrip('/'), path)
    ]
    if not matching_routes:
        raise RequestError(ErrorKind.UNKNOWN_ROUTE, f'no route for {path}')
    return max(matching_routes, key=lambda route: len(route.path))


def _is_prefix(prefix: str, path: str) -> bool:
    return path == prefix or path.startswith(f'{prefix}/')
