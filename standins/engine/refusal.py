"""Error answers of an engine."""

from http import HTTPStatus

from aiohttp import web


def refuse(status: HTTPStatus, code: str, text: str) -> web.Response:
    """Return an error answer with a code."""
    error = {'error': {'code': code, 'message': text}}
    return web.json_response(error, status=status)
