"""Authenticates callers: finds the workspace of a key."""

import attrs

from mimosaworks.entities import (
    Catalogue,
    Key,
    Route,
    Workspace,
    digest_key,
)
from mimosaworks.errors import ErrorKind, RequestError


@attrs.define
class KeyIndex:
    """Index of keys by digest, rebuilt for each version of the catalogue."""

    _version: int = -1
    _by_digest: dict[str, Key] = attrs.field(factory=dict)

    def find_workspace(
        self, catalogue: Catalogue, secret: str | None
    ) -> Workspace:
        """Return the workspace that the key belongs to.

        Raises RequestError UNAUTHENTICATED without a valid key.
        """
        if secret is None:
            raise RequestError(ErrorKind.UNAUTHENTICATED, 'request has no key')
        self._refresh(catalogue)
        key = self._by_digest.get(digest_key(secret))
        workspace = catalogue.workspace.get(key.workspace) if key else None
        if workspace is None:
            raise RequestError(ErrorKind.UNAUTHENTICATED, 'key is not valid')
        return workspace

    def _refresh(self, catalogue: Catalogue) -> None:
        if catalogue.version != self._version:
            self._by_digest = {
                key.digest: key for key in catalogue.key.values()
            }
            self._version = catalogue.version


def check_route_access(route: Route, workspace: Workspace) -> None:
    """Raise RequestError FORBIDDEN unless the workspace may use the route."""
    allowed_names = {
        name.strip() for name in route.workspaces.split(',') if name
    }
    if allowed_names and workspace.name not in allowed_names:
        raise RequestError(
            ErrorKind.FORBIDDEN,
            f'workspace {workspace.name} may not use route {route.name}',
        )
