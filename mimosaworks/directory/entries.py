"""The list of entry addresses that callers may use."""

from collections.abc import Callable, Iterable

from aiohttp import web

ENTRIES_PATH = '/v1/entries'


def add_entries_route(
    app: web.Application,
    addresses: Callable[[], Iterable[str]],
    max_age_s: float,
) -> None:
    """Answer GET /v1/entries with the routers that take new work.

    Each entry has an address (host:port) and a weight; max_age_s tells
    callers how long they may keep the list, in seconds.
    """

    async def answer(_req: web.Request) -> web.Response:
        entries = [{'address': address, 'weight': 1} for address in addresses()]
        return web.json_response(
            {'entries': entries, 'max_age_s': max_age_s},
            headers={'Cache-Control': f'max-age={max_age_s:.0f}'},
        )

    app.router.add_get(ENTRIES_PATH, answer)
