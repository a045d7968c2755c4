"""HTTP handlers that read the configuration and its state."""

import attrs
from aiohttp import hdrs, web

from mimosaworks.admin.answers import config_etag, outcome_response
from mimosaworks.admin.places import SERVICE, present_entity
from mimosaworks.admin.status import (
    SOURCE_MEMORY,
    SOURCE_STORE,
    status_content,
)


async def get_config(req: web.Request) -> web.Response:
    """Answer with the whole configuration and its version.

    In an outage of the store it is what this process has applied; source
    tells which.
    """
    catalogue, is_read = await req.app[SERVICE].read_or_recall()
    content = attrs.asdict(catalogue)
    content['source'] = _source(is_read)
    headers = {hdrs.ETAG: config_etag(catalogue.version)}
    return web.json_response(content, headers=headers)


async def get_status(req: web.Request) -> web.Response:
    """Answer with what is known of the members."""
    service = req.app[SERVICE]
    members, is_read = await service.read_members()
    content = status_content(service.members, members, _source(is_read))
    return web.json_response(content)


async def get_version(req: web.Request) -> web.Response:
    """Answer whether a stored version is in force or pending."""
    version = int(req.match_info['version'])
    return outcome_response(await req.app[SERVICE].outcome_of(version))


async def get_entity(req: web.Request) -> web.Response:
    """Answer with one entity; the entity tag is the configuration's."""
    catalogue = await req.app[SERVICE].read()
    entity = present_entity(catalogue, req)
    headers = {hdrs.ETAG: config_etag(catalogue.version)}
    return web.json_response(attrs.asdict(entity), headers=headers)


def _source(is_read: bool) -> str:
    return SOURCE_STORE if is_read else SOURCE_MEMORY
