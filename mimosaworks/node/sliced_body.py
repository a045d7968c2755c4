"""Bodies that are written in slices, so that no connection holds them again."""

from typing import TypeAlias

from aiohttp.abc import AbstractStreamWriter
from aiohttp.payload import BytesPayload

SLICE_BYTES = 131072
SentBody: TypeAlias = 'bytes | bytearray | SlicedBody | None'


class SlicedBody(BytesPayload):
    """Writes the next slice of a body when most of the last one was sent."""

    async def write(self, writer: AbstractStreamWriter) -> None:
        """Write the whole body."""
        await self.write_with_length(writer, None)

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Write the body, or its first content_length bytes."""
        rest = memoryview(self._value)[:content_length]
        while rest:
            await writer.write(rest[:SLICE_BYTES])
            rest = rest[SLICE_BYTES:]


def sent_body(body: bytes | bytearray) -> SentBody:
    """Return what a client session sends for a body; None where it is empty."""
    if len(body) > SLICE_BYTES:
        return SlicedBody(body)
    return body or None
