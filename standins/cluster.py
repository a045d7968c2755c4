"""A small set of real processes on one machine."""

from collections.abc import AsyncGenerator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any

import aiohttp
import attrs

from standins.addresses import reserve_address
from standins.node import Node
from standins.processes import ProcessRunner

DATA_CENTRE = 'dc1'
OPERATOR_TOKEN = 'operator-token'  # noqa: S105
CALL_TIMEOUT_S = 20.0


@attrs.define
class Cluster:
    """Starts stand-ins and programs; all stop when the cluster closes.

    http has no limit of its own on connections.
    """

    runner: ProcessRunner
    http: aiohttp.ClientSession
    platform: Node

    async def start_engine(self, *flags: str, address: str = '') -> Node:
        """Start an engine that loads from the platform's weight store."""
        address = address or reserve_address()
        process = await self.runner.start(
            'engine',
            'standins.engine.main',
            address,
            f'--listen={address}',
            self._platform_flag(),
            *flags,
        )
        return Node(process, address)

    async def start_service(self, *flags: str, address: str = '') -> Node:
        """Start a plain service."""
        address = address or reserve_address()
        process = await self.runner.start(
            'service',
            'standins.service.main',
            address,
            f'--listen={address}',
            *flags,
        )
        return Node(process, address)

    async def start_proxy(self, upstream: str) -> Node:
        """Start a fault proxy in front of HOST:PORT."""
        address, control = reserve_address(), reserve_address()
        process = await self.runner.start(
            'proxy',
            'standins.faultproxy.main',
            control,
            f'--listen={address}',
            f'--upstream={upstream}',
            f'--control={control}',
        )
        return Node(process, address, control_url=f'http://{control}')

    async def start_program(
        self,
        name: str,
        *flags: str,
        address: str = '',
        peer_address: str = '',
    ) -> Node:
        """Start mimosaworks.cmdline.NAME: router, placer or admin.

        A flag that is given again goes before the default here.
        """
        address = address or reserve_address()
        peer_address = peer_address or reserve_address()
        process = await self.runner.start(
            name,
            f'mimosaworks.cmdline.{name}',
            address,
            f'--http-address={address}',
            f'--peer-address={peer_address}',
            self._platform_flag(),
            f'--data-centre={DATA_CENTRE}',
            *_admin_flags(name),
            *flags,
        )
        return Node(process, address, peer_address)

    async def control(self, node: Node, **faults: Any) -> None:
        """Set faults of a proxy or of the platform."""
        url = node.control_url or node.url
        async with self.http.post(f'{url}/control', json=faults) as resp:
            resp.raise_for_status()

    async def get_json(self, node: Node, path: str) -> Any:
        """Return the JSON of a GET."""
        async with self.http.get(node.url + path) as resp:
            resp.raise_for_status()
            return await resp.json()

    def _platform_flag(self) -> str:
        url = self.platform.url
        return f'--platform-url={url}'


def _admin_flags(name: str) -> tuple[str, ...]:
    if name != 'admin':
        return ()
    return (f'--operator-token={OPERATOR_TOKEN}',)


@asynccontextmanager
async def open_cluster(
    log_dir: Path, *platform_flags: str
) -> AsyncGenerator[Cluster, None]:
    """Start a platform and yield a cluster around it."""
    async with AsyncExitStack() as stack:
        http = await stack.enter_async_context(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0),
                timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
            )
        )
        runner = ProcessRunner(stack, log_dir)
        address = reserve_address()
        process = await runner.start(
            'platform',
            'standins.platform.main',
            address,
            f'--listen={address}',
            *platform_flags,
        )
        yield Cluster(runner, http, Node(process, address))
