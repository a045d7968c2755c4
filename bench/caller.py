"""A caller of the system: chat requests and service calls."""

import json
import time
from collections.abc import Mapping
from typing import Any

import aiohttp
import attrs

CHAT_PATH = '/v1/chat/completions'
_EVENT_PREFIX = 'data: '
_DONE = '[DONE]'


@attrs.frozen
class Reply:
    """An answer: status, header fields, body, and time to first byte in s."""

    status: int
    headers: Mapping[str, str]
    body: bytes
    first_byte_s: float

    def streamed_text(self) -> str:
        """Return the joined tokens of a whole stream.

        Raises ValueError if the stream does not end with its closing event.
        """
        lines = self.body.decode().splitlines()
        events = [
            line.removeprefix(_EVENT_PREFIX)
            for line in lines
            if line.startswith(_EVENT_PREFIX)
        ]
        if not events or events[-1] != _DONE:
            raise ValueError('the stream was cut')
        chunks = [json.loads(event) for event in events[:-1]]
        return ''.join(
            chunk['choices'][0]['delta']['content'] for chunk in chunks
        )


@attrs.frozen
class Caller:
    """Sends requests with one key to routers by URL."""

    session: aiohttp.ClientSession
    secret: str = ''

    async def chat(
        self, router_url: str, model: str, prompt: str, max_tokens: int
    ) -> Reply:
        """Send a streamed chat request and return the whole answer."""
        ask = {
            'model': model,
            'messages': [{'role': 'user', 'content': prompt}],
            'max_tokens': max_tokens,
            'stream': True,
        }
        return await self.post(router_url + CHAT_PATH, json=ask)

    async def post(self, url: str, **content: Any) -> Reply:
        """Send a POST and return the whole answer."""
        headers = dict(content.pop('headers', {}))
        if self.secret:
            headers['Authorization'] = f'Bearer {self.secret}'
        started_s = time.monotonic()
        async with self.session.post(url, headers=headers, **content) as resp:
            first = await resp.content.readany()
            first_byte_s = time.monotonic() - started_s
            body = first + await resp.read()
            return Reply(resp.status, resp.headers, body, first_byte_s)
