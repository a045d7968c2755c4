"""Client of the platform's object store."""

from http import HTTPStatus

import aiohttp
import attrs

from mimosaworks.errors import StoreInDoubtError, StoreUnavailableError


@attrs.define
class ObjectClient:
    """Gets and puts whole objects; timeout_s limits each call."""

    session: aiohttp.ClientSession
    base_url: str
    timeout_s: float = 5.0

    async def get(self, name: str) -> bytes | None:
        """Return an object's bytes, or None when there is no such object.

        Raises StoreUnavailableError.
        """
        try:
            return await self._call('GET', name, None)
        except StoreInDoubtError as exc:
            raise StoreUnavailableError(str(exc)) from exc

    async def put(self, name: str, content: bytes) -> None:
        """Store an object; raises StoreUnavailableError or in-doubt."""
        await self._call('PUT', name, content)

    async def _call(
        self, method: str, name: str, body: bytes | None
    ) -> bytes | None:
        limit = aiohttp.ClientTimeout(total=self.timeout_s)
        url = f'{self.base_url}/objects/{name}'
        try:
            async with self.session.request(
                method, url, data=body, timeout=limit
            ) as resp:
                return await _checked(resp)
        except aiohttp.ClientConnectorError as exc:
            raise StoreUnavailableError(f'objects: {exc}') from exc
        except (TimeoutError, aiohttp.ClientError) as exc:
            raise StoreInDoubtError(f'objects: no answer: {exc!r}') from exc


async def _checked(resp: aiohttp.ClientResponse) -> bytes | None:
    if resp.status == HTTPStatus.NOT_FOUND:
        return None
    if resp.status >= HTTPStatus.BAD_REQUEST:
        raise StoreUnavailableError(f'objects: status {resp.status}')
    return await resp.read()
