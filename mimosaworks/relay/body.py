"""Reads a caller's body within bounds of size and time."""

import asyncio

from aiohttp import web

from mimosaworks.errors import ErrorKind, RequestError


async def read_body(
    req: web.Request, max_bytes: int, timeout_s: float
) -> bytes:
    """Return the whole body.

    Raises RequestError BODY_TOO_LARGE beyond max_bytes, BAD_REQUEST when it
    does not arrive in time or breaks off.
    """
    if (req.content_length or 0) > max_bytes:
        raise _too_large(max_bytes)
    try:
        async with asyncio.timeout(timeout_s):
            return await _gather(req, max_bytes)
    except TimeoutError as exc:
        raise RequestError(
            ErrorKind.BAD_REQUEST, f'body did not arrive in {timeout_s} s'
        ) from exc
    except web.RequestPayloadError as exc:
        raise RequestError(
            ErrorKind.BAD_REQUEST, f'body broke off: {exc}'
        ) from exc


async def _gather(req: web.Request, max_bytes: int) -> bytes:
    gathered = bytearray()
    async for chunk in req.content.iter_any():
        gathered += chunk
        if len(gathered) > max_bytes:
            raise _too_large(max_bytes)
    return bytes(gathered)


def _too_large(max_bytes: int) -> RequestError:
    return RequestError(
        ErrorKind.BODY_TOO_LARGE, f'body is larger than {max_bytes} bytes'
    )
