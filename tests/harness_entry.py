"""An entry: routers with a configuration and a made-up replica map."""

import contextlib
import json
import types
from collections.abc import Sequence
from http import HTTPStatus
from pathlib import Path
from typing import Any

import aiohttp
import attrs
from yarl import URL

from mimosaworks.configs import ConfigConflictError, ConfigStore
from mimosaworks.entities import (
    Adapter,
    Catalogue,
    Change,
    Entity,
    Key,
    Model,
    Route,
    Target,
    Workspace,
    digest_key,
    put_change,
)
from mimosaworks.platform import platform_clients
from mimosaworks.wire import Ack, PeerClient, ReplicaEntry, ReplicaMap
from tests.harness import Cluster, Node, wait_until

CALLER_KEY = 'caller-secret-4711'
MODEL = 'model-a'
ADAPTER = 'adapter-a'
MODEL_BYTES = 1000
CHAT = '/v1/chat/completions'
PLOTS = '/plots'
READINGS = '/readings'
OPEN = '/open'
HUGE_RATE = 1e9
PEER_TIMEOUT_S = 5.0
# A short drain, and bounds that a test can reach.
ROUTER_FLAGS = (
    '--directory-max-age-s=0.5',
    '--drain-s=20',
    '--body-timeout-s=0.5',
    '--max-body-bytes=100000',
)
BEARER = types.MappingProxyType({'Authorization': f'Bearer {CALLER_KEY}'})
ENGINE_FLAGS = (
    f'--preload={MODEL}={MODEL_BYTES}',
    f'--preload-adapters={ADAPTER}={MODEL}',
)


@attrs.frozen
class Answer:
    """What a caller got."""

    status: int
    headers: Any
    body: bytes

    @property
    def request_id(self) -> str:
        """The id that the router gave the request."""
        return str(self.headers['X-Request-Id'])

    @property
    def run(self) -> str:
        """The run state of an error answer, else empty."""
        return str(self.headers.get('Mimosa-Run', ''))

    def fields(self) -> Any:
        """Return the body's JSON."""
        return json.loads(self.body)


@attrs.define
class Entry:
    """Routers before the targets of one cluster.

    urls holds the base URL of each target as configured: its proxy's.
    """

    cluster: Cluster
    router: Node
    journals: Path
    engines: dict[str, Node] = attrs.Factory(dict)
    services: dict[str, Node] = attrs.Factory(dict)
    proxies: dict[str, Node] = attrs.Factory(dict)
    urls: dict[str, str] = attrs.Factory(dict)
    _sequence: int = 0

    async def add_engine(self, name: str, *flags: str) -> Node:
        """Start an engine that holds the model, behind a proxy."""
        engine = await self.cluster.start_engine(
            *ENGINE_FLAGS, self._journal(name), *flags
        )
        self.engines[name] = engine
        self.proxies[name] = await self.cluster.start_proxy(engine.address)
        self.urls[name] = self.proxies[name].url
        return engine

    async def add_service(self, name: str) -> Node:
        """Start a plain service behind a proxy."""
        service = await self.cluster.start_service(self._journal(name))
        self.services[name] = service
        self.proxies[name] = await self.cluster.start_proxy(service.address)
        self.urls[name] = self.proxies[name].url
        return service

    async def open(self, *more: Entity) -> None:
        """Configure all targets and return when the router serves them."""
        await self.configure(
            Workspace('camp', HUGE_RATE, HUGE_RATE),
            Key('camp-key', digest_key(CALLER_KEY), 'camp'),
            Model(MODEL, 'c', MODEL_BYTES),
            Adapter(ADAPTER, MODEL, 1),
            Route('chat', '/v1', 'models'),
            Route('plots', PLOTS, 'plots', 'service'),
            Route('readings', READINGS, 'plots', 'service', is_idempotent=True),
            Route('open', OPEN, 'plots', 'service', is_open=True),
            *(Target(name, self.urls[name], 'models') for name in self.engines),
            *(
                Target(name, self.urls[name], 'plots', 'service')
                for name in self.services
            ),
            *more,
        )
        await wait_until(lambda: self._serves(self.router))
        if self.engines:
            await self.announce(tuple(self.engines))
            await wait_until(self._grants_tokens)
            self._forget_runs()

    async def add_router(self) -> Node:
        """Start another router and return once it serves."""
        router = await self.cluster.start_program('router', *ROUTER_FLAGS)
        await wait_until(lambda: self._serves(router))
        return router

    async def configure(self, *entities: Entity) -> None:
        """Append one version that puts the entities."""
        await self.change(*(put_change(entity) for entity in entities))

    async def change(self, *changes: Change) -> None:
        """Append one version; the routers write versions of their own."""
        cluster = self.cluster
        platform = platform_clients(cluster.http, cluster.platform.url)
        store = ConfigStore(platform.table, platform.snapshots)

        async def is_appended() -> bool:
            known = await store.load(Catalogue())
            with contextlib.suppress(ConfigConflictError):
                await store.append(known.version, changes, 'test')
                return True
            return False

        await wait_until(is_appended)

    async def announce(self, engines: Sequence[str]) -> None:
        """Tell the router that these engines hold model and adapter."""
        self._sequence += 1
        replicas = tuple(
            ReplicaEntry(MODEL, name, 'ready', (ADAPTER,)) for name in engines
        )
        replica_map = ReplicaMap(1, self._sequence, '', replicas)
        peers = PeerClient(self.cluster.http)
        address = self.router.peer_address
        await peers.call(address, replica_map, Ack, PEER_TIMEOUT_S)

    async def call(self, path: str, body: Any = b'', **options: Any) -> Answer:
        """Send a request with the key and return the whole answer.

        Options are those of aiohttp's request, and router for another one.
        """
        router = options.pop('router', self.router)
        headers = {**BEARER, **options.pop('headers', {})}
        content = body if isinstance(body, bytes) else json.dumps(body)
        async with self.cluster.http.request(
            options.pop('method', 'POST'),
            URL(router.url + path, encoded=True),
            data=content,
            headers=headers,
            **options,
        ) as resp:
            return Answer(resp.status, resp.headers, await resp.read())

    def runs(self) -> list[str]:
        """Return the request id of each run at any target, killed or not."""
        return [
            line
            for journal in self.journals.iterdir()
            for line in journal.read_text().splitlines()
        ]

    async def fault(self, name: str, **faults: Any) -> None:
        """Set faults between the router and a target."""
        await self.cluster.control(self.proxies[name], **faults)

    async def _grants_tokens(self) -> bool:
        answer = await self.call(CHAT, chat('warm-up'))
        return answer.status == HTTPStatus.OK

    def _forget_runs(self) -> None:
        for journal in self.journals.iterdir():
            journal.write_text('')

    def _journal(self, name: str) -> str:
        path = self.journals / name
        return f'--journal={path}'

    async def _serves(self, router: Node) -> bool:
        with contextlib.suppress(aiohttp.ClientError):
            answer = await self.call(
                CHAT, chat('x', model='absent'), router=router
            )
            return bool(answer.fields()['error']['code'] == 'unknown_model')
        return False


def chat(prompt: str, **fields: Any) -> dict[str, Any]:
    """Return the body of a chat request."""
    messages = [{'role': 'user', 'content': prompt}]
    return {'model': MODEL, 'messages': messages, 'max_tokens': 4} | fields


def chunks(body: bytes) -> list[Any]:
    """Return the JSON of each streamed chunk, without the end mark."""
    return [
        json.loads(line.removeprefix('data: '))
        for line in body.decode().splitlines()
        if line.startswith('data: {')
    ]


def streamed_text(body: bytes) -> str:
    """Return the text of all streamed chunks."""
    return ''.join(
        chunk['choices'][0]['delta']['content'] for chunk in chunks(body)
    )
