"""Tests that docs/openapi-admin.json and the running program agree."""

import json
import types
from typing import Any

import attrs
import pytest
from aiohttp.test_utils import TestClient

from mimosaworks.admin import Fault
from mimosaworks.entities import ENTITY_TYPES
from mimosaworks.errors import ERROR_ANSWERS, ErrorKind
from tests.admin_fakes import FakeMembers, FakeStore, admin_client
from tests.catalogue import ROOT

API = json.loads((ROOT / 'docs' / 'openapi-admin.json').read_text())
SCHEMAS = API['components']['schemas']
METHODS = frozenset(('get', 'put', 'post', 'delete'))
TYPE_NAMES = types.MappingProxyType({
    str: 'string',
    int: 'integer',
    float: 'number',
    bool: 'boolean',
})
GRANT = types.MappingProxyType({'rate_tokens_per_s': 1, 'burst_tokens': 1})

Client = TestClient[Any, Any]


def documented_routes() -> set[tuple[str, str]]:
    return {
        (method.upper(), path)
        for path, operations in API['paths'].items()
        for method in METHODS.intersection(operations)
    }


def operation(method: str, path: str) -> Any:
    return API['paths'][path][method]


async def test_every_route_of_the_program_is_documented_and_no_other() -> None:
    async with admin_client(FakeStore(), FakeMembers()) as client:
        assert client.app is not None
        router = client.app.router
        routes = {
            (route.method, resource.canonical)
            for resource in router.resources()
            for route in resource
        }
    assert documented_routes() == routes


@pytest.mark.parametrize('kind', ENTITY_TYPES)
def test_schema_of_each_entity_has_its_attributes(kind: str) -> None:
    schema = SCHEMAS[ENTITY_TYPES[kind].__name__]
    fields = attrs.fields(ENTITY_TYPES[kind])
    types_by_name = {
        name: (one['type'], one.get('default', attrs.NOTHING))
        for name, one in schema['properties'].items()
    }
    assert types_by_name == {
        one.name: (TYPE_NAMES[one.type], one.default) for one in fields
    }
    required = {
        one.name
        for one in fields
        if one.default is attrs.NOTHING and one.name != 'name'
    }
    assert set(schema['required']) == required


def test_closed_lists_are_the_ones_of_the_code() -> None:
    error_schema = SCHEMAS['Error']['properties']['error']
    codes = error_schema['properties']['code']
    kinds = SCHEMAS['Change']['properties']['kind']
    assert codes['enum'] == [kind.value for kind in ErrorKind]
    assert kinds['enum'] == list(ENTITY_TYPES)
    fault_fields = {one.name for one in attrs.fields(Fault)}
    assert set(SCHEMAS['Fault']['properties']) == fault_fields


@pytest.mark.parametrize(
    ('method', 'path', 'url', 'schema'),
    [
        ('get', '/admin/v1/config', 'config', 'Config'),
        ('get', '/admin/v1/status', 'status', 'Status'),
        ('get', '/admin/v1/versions/{version}', 'versions/0', 'Outcome'),
        ('get', '/admin/v1/versions/{version}', 'versions/9', 'Error'),
        ('put', '/admin/v1/{kind}s/{name}', 'workspaces/camp', 'Outcome'),
        ('put', '/admin/v1/{kind}s/{name}', 'workspaces/a/b', 'Error'),
        ('delete', '/admin/v1/{kind}s/{name}', 'models/none', 'Error'),
        ('post', '/admin/v1/changes', 'changes', 'Error'),
    ],
)
async def test_answers_have_the_documented_status_and_members(
    method: str, path: str, url: str, schema: str
) -> None:
    headers = {'If-Match': '*'}
    async with admin_client(FakeStore(), FakeMembers()) as client:
        resp = await client.request(
            method, f'/admin/v1/{url}', json={**GRANT}, headers=headers
        )
        content = await resp.json()
    documented = operation(method, path)['responses'][str(resp.status)]
    shape = documented['content']['application/json']['schema']
    assert shape['$ref'].endswith(f'/{schema}')
    assert set(SCHEMAS[schema]['required']) <= set(content)
    assert set(content) <= set(SCHEMAS[schema]['properties'])
    sent = {name.lower() for name in resp.headers}
    assert {name.lower() for name in documented.get('headers', ())} <= sent


def test_documented_error_statuses_are_those_of_the_error_table() -> None:
    statuses = {answer.status.value for answer in ERROR_ANSWERS.values()}
    documented: set[int] = set()
    for method, path in documented_routes():
        documented.update(
            map(int, operation(method.lower(), path)['responses'])
        )
    errors = {status for status in documented if status >= 400}
    assert errors
    assert errors <= statuses
