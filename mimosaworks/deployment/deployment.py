"""One version of all settings that operators configure."""

import functools
from collections.abc import Mapping

import attrs

from mimosaworks.deployment.route import ServiceRoute
from mimosaworks.deployment.service import ServiceConfig
from mimosaworks.deployment.workspace import Grant, WorkspaceConfig


@attrs.frozen
class RequestLimits:
    """Limits on a caller's request, in bytes and in seconds."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.define(eq=False)
class Deployment:
    """Routes, services and workspaces of one version; read-only.

    needs_key is false when no workspaces are configured.
    """

    version: int
    routes: tuple[ServiceRoute, ...]
    services: Mapping[str, ServiceConfig]
    workspaces: Mapping[str, WorkspaceConfig]
    limits: RequestLimits = RequestLimits()

    @property
    def needs_key(self) -> bool:
        """Whether requests on routes that are not public need a key."""
        return bool(self.workspaces)

    def find_route(self, host: str, path: str) -> ServiceRoute | None:
        """Return the host's route with the longest prefix of the path."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_grant(self, secret: str) -> Grant | None:
        """Return the grant of the key's workspace; None for an unknown key."""
        return self._grants_by_key.get(secret)

    @functools.cached_property
    def _routes_by_host(self) -> dict[str, list[ServiceRoute]]:
        routes_by_host: dict[str, list[ServiceRoute]] = {}
        routes_longest_first = sorted(
            self.routes, key=_prefix_length, reverse=True
        )
        for route in routes_longest_first:
            routes_by_host.setdefault(route.host, []).append(route)
        return routes_by_host

    @functools.cached_property
    def _grants_by_key(self) -> dict[str, Grant]:
        return {
            secret: Grant(workspace.name, workspace.priority)
            for workspace in self.workspaces.values()
            for secret in workspace.keys
        }


def _prefix_length(route: ServiceRoute) -> int:
    return len(route.prefix)
