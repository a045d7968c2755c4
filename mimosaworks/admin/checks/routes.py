"""Checks of routes."""

from collections.abc import Iterator

from mimosaworks.admin.checks.common import (
    empty_pool_warning,
    pool_targets,
    shared_faults,
)
from mimosaworks.admin.fault import Fault
from mimosaworks.entities import Catalogue, Route

KIND = 'route'


def route_faults(catalogue: Catalogue) -> Iterator[Fault]:
    """Yield the faults of routes, and warnings about their pools."""
    routes = catalogue.route.values()
    for route in routes:
        yield from _own_faults(catalogue, route)
        yield from _pool_faults(catalogue, route)
    paths = ((one.name, one.path) for one in routes)
    yield from shared_faults(KIND, 'path', paths)


def _own_faults(catalogue: Catalogue, route: Route) -> Iterator[Fault]:
    for workspace in filter(None, route.workspaces.split(',')):
        if workspace not in catalogue.workspace:
            yield Fault(
                KIND,
                route.name,
                'workspaces',
                f'there is no workspace {workspace!r}',
                missing=workspace,
            )
    if route.cost_tokens < 0:
        yield Fault(KIND, route.name, 'cost_tokens', 'must not be negative')


def _pool_faults(catalogue: Catalogue, route: Route) -> Iterator[Fault]:
    pool = pool_targets(catalogue, route.pool)
    wanted = 'engine' if route.kind == 'model' else 'service'
    if not pool:
        yield empty_pool_warning(KIND, route.name, route.pool)
    for target in pool:
        if target.kind != wanted:
            yield Fault(
                KIND,
                route.name,
                'pool',
                f'target {target.name} of pool {route.pool} is no {wanted}',
            )
