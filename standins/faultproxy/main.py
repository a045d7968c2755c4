"""Starts the TCP fault proxy."""

from contextlib import AsyncExitStack

import click
from aiohttp import web

from standins.faultproxy.proxy import CONTROLS, Proxy
from standins.serving import run, serve_app, split_address, wait_for_stop


@click.command()
@click.option('--listen', required=True, help='HOST:PORT for clients.')
@click.option('--upstream', required=True, help='HOST:PORT to connect to.')
@click.option('--control', required=True, help='HOST:PORT for POST /control.')
def main(listen: str, upstream: str, control: str) -> None:
    """Run a TCP proxy that shows faults on demand."""
    proxy = Proxy(split_address(listen), split_address(upstream))
    run(_serve(proxy, listen, control))


async def _serve(proxy: Proxy, listen: str, control: str) -> None:
    async with AsyncExitStack() as stack:
        stack.callback(proxy.close)
        await proxy.open()
        await serve_app(stack, _make_app(proxy), control)
        await wait_for_stop('fault proxy', listen)


def _make_app(proxy: Proxy) -> web.Application:
    async def control(req: web.Request) -> web.Response:
        ask = await req.json()
        unknown = ask.keys() - CONTROLS
        if unknown:
            raise web.HTTPBadRequest(text=f'unknown: {sorted(unknown)}')
        await proxy.control(ask)
        return web.json_response({'links': len(proxy.links)})

    app = web.Application()
    app.router.add_post('/control', control)
    return app


if __name__ == '__main__':
    main()
