"""Finds the route of a path."""

from mimosaworks.entities import Catalogue, Route
from mimosaworks.errors import ErrorKind, RequestError


def find_route(catalogue: Catalogue, path: str) -> Route:
    """Return the route with the longest prefix of the path.

    A prefix matches whole path segments. Raises RequestError UNKNOWN_ROUTE.
    """
    matches = [
        route
        for route in catalogue.route.values()
        if _is_prefix(route.path.rstrip('/'), path)
    ]
    if not matches:
        raise RequestError(ErrorKind.UNKNOWN_ROUTE, f'no route for {path}')
    return max(matches, key=lambda route: len(route.path))


def _is_prefix(prefix: str, path: str) -> bool:
    return path == prefix or path.startswith(f'{prefix}/')
