"""Whole objects in the platform's store."""

from urllib.parse import quote

import attrs

from mimosaworks.platform.store import StoreClient

OBJECT_TIMEOUT_S = 5.0  # objects are larger than rows


@attrs.define
class ObjectClient:
    """Gets and puts whole objects; timeout_s limits each call."""

    store: StoreClient
    timeout_s: float = OBJECT_TIMEOUT_S

    async def get(self, name: str) -> bytes | None:
        """Return an object's bytes, or None when there is no such object.

        Raises StoreUnavailableError.
        """
        return await self.store.get_object(_object_id(name), self.timeout_s)

    async def put(self, name: str, content: bytes) -> None:
        """Store an object; raises StoreUnavailableError or in-doubt."""
        await self.store.put_object(_object_id(name), content, self.timeout_s)


def _object_id(name: str) -> str:
    # An id is one segment of a path.
    return quote(name.replace('/', '.'), safe='')
