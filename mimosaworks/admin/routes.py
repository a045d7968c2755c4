"""Routes of the administration API."""

from aiohttp import web

from mimosaworks.admin.mutations import (
    delete_entity,
    post_changes,
    put_entity,
)
from mimosaworks.admin.places import SERVICE
from mimosaworks.admin.queries import (
    get_config,
    get_entity,
    get_status,
    get_version,
)
from mimosaworks.admin.service import AdminService
from mimosaworks.entities import ENTITY_TYPES

PREFIX = '/admin/v1'


def add_admin_routes(app: web.Application, service: AdminService) -> None:
    """Add the routes of the administration API to the application."""
    app[SERVICE] = service
    kinds = '|'.join(ENTITY_TYPES)
    entity_path = f'{PREFIX}/{{kind:{kinds}}}s/{{name:.+}}'
    app.add_routes([
        web.get(f'{PREFIX}/config', get_config, allow_head=False),
        web.get(f'{PREFIX}/status', get_status, allow_head=False),
        web.get(
            f'{PREFIX}/versions/{{version:[0-9]+}}',
            get_version,
            allow_head=False,
        ),
        web.post(f'{PREFIX}/changes', post_changes),
        web.get(entity_path, get_entity, allow_head=False),
        web.put(entity_path, put_entity),
        web.delete(entity_path, delete_entity),
    ])
