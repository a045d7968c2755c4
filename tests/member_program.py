"""A member alone in a process, which tells its state over HTTP."""

import asyncio

import click
from aiohttp import web

from mimosaworks.members import MemberRole
from standins.serving import split_address
from tests.member_node import MemberNode, open_member


@click.command()
@click.option('--listen', required=True)
@click.option('--peer-address', required=True)
@click.option('--platform-url', required=True)
def main(listen: str, peer_address: str, platform_url: str) -> None:
    """Run a member until the process is ended."""
    asyncio.run(_run(listen, peer_address, platform_url))


async def _run(listen: str, peer_address: str, platform_url: str) -> None:
    async with open_member(
        platform_url, peer_address, MemberRole.ROUTER
    ) as node:
        runner = web.AppRunner(_app(node), access_log=None)
        await runner.setup()
        host, port = split_address(listen)
        await web.TCPSite(runner, host, port).start()
        await asyncio.Event().wait()


def _app(node: MemberNode) -> web.Application:
    async def tell(_: web.Request) -> web.Response:
        return web.json_response({
            'is_fresh': node.service.is_fresh(),
            'version': node.service.catalogue.version,
        })

    app = web.Application()
    app.router.add_get('/state', tell)
    return app


if __name__ == '__main__':
    main()
