"""Answers of the administration API."""

from http import HTTPStatus

import attrs
from aiohttp import web

from mimosaworks.admin.outcome import Outcome
from mimosaworks.admin.refusals import InvalidChangeError, VersionConflictError
from mimosaworks.errors import ErrorKind, RequestError
from mimosaworks.serving import error_fields, error_headers

VERSIONS_PATH = '/admin/v1/versions'


def config_etag(version: int) -> str:
    """Return the entity tag of the configuration at a version."""
    return f'"{version}"'


def outcome_response(outcome: Outcome) -> web.Response:
    """Return 200 for a version in force, or 202 with where to ask for it."""
    content = {
        'version': outcome.version,
        'state': outcome.state,
        'warnings': [attrs.asdict(warning) for warning in outcome.warnings],
    }
    headers = {'ETag': config_etag(outcome.version)}
    if outcome.is_in_force:
        return web.json_response(content, headers=headers)
    headers['Location'] = f'{VERSIONS_PATH}/{outcome.version}'
    return web.json_response(
        content, status=HTTPStatus.ACCEPTED, headers=headers
    )


def error_response(exc: RequestError, request_id: str) -> web.Response:
    """Return the answer that the error table gives for the error's kind."""
    content = error_fields(exc, request_id)
    headers = error_headers(exc, request_id)
    if exc.kind is ErrorKind.UNAUTHENTICATED:
        headers['WWW-Authenticate'] = 'Bearer'
    if isinstance(exc, InvalidChangeError):
        content['faults'] = [attrs.asdict(fault) for fault in exc.faults]
    if isinstance(exc, VersionConflictError):
        content['version'] = exc.version
        headers['ETag'] = config_etag(exc.version)
    return web.json_response(content, status=exc.answer.status, headers=headers)
