"""Tests of the administration API over HTTP, with a store in memory."""

import logging
import types
from collections.abc import AsyncIterator
from typing import Any, cast

import attrs
import pytest
from aiohttp.test_utils import TestClient

from mimosaworks.entities import Catalogue, Change, Key, Workspace, digest_key
from mimosaworks.errors import StoreInDoubtError
from mimosaworks.members import Acceptance, MemberService, MemberState
from mimosaworks.members.removal import MemberRemovedError, fail_when_removed
from tests.admin_fakes import FakeMembers, FakeStore, admin_client

GRANT = types.MappingProxyType({
    'rate_tokens_per_s': 100,
    'burst_tokens': 500.5,
})
CAMP = '/admin/v1/workspaces/camp'
AT_0 = types.MappingProxyType({'If-Match': '"0"'})
AT_ANY = types.MappingProxyType({'If-Match': '*'})

Client = TestClient[Any, Any]


@pytest.fixture
def store() -> FakeStore:
    return FakeStore()


@pytest.fixture
def members() -> FakeMembers:
    return FakeMembers()


@pytest.fixture
async def client(
    store: FakeStore, members: FakeMembers
) -> AsyncIterator[Client]:
    async with admin_client(store, members) as opened:
        yield opened


async def test_change_in_force_is_answered_200_with_its_version(
    client: Client, store: FakeStore
) -> None:
    resp = await client.put(CAMP, json={**GRANT}, headers=AT_0)
    assert resp.status == 200
    assert (await resp.json())['state'] == 'in-force'
    assert resp.headers['ETag'] == '"1"'
    assert store.catalogue.workspace['camp'] == Workspace('camp', 100, 500.5)


async def test_pending_change_is_answered_202_with_where_to_ask(
    client: Client, members: FakeMembers
) -> None:
    members.acceptance = Acceptance.PENDING
    resp = await client.put(CAMP, json={**GRANT}, headers=AT_0)
    assert resp.status == 202
    members.acceptance = Acceptance.IN_FORCE
    asked = await client.get(resp.headers['Location'])
    assert (asked.status, (await asked.json())['version']) == (200, 1)


async def test_version_that_was_never_stored_is_not_found(
    client: Client,
) -> None:
    resp = await client.get('/admin/v1/versions/1')
    assert resp.status == 404


@pytest.mark.parametrize(
    'token', ['', 'Bearer', 'Bearer wrong', 'Basic s3cret', 'Bearer asel']
)
@pytest.mark.parametrize('path', ['/admin/v1/config', '/admin/v1/none'])
async def test_nothing_is_answered_without_an_operator_token(
    client: Client, token: str, path: str
) -> None:
    resp = await client.get(path, headers={'Authorization': token})
    assert resp.status == 401
    assert (await resp.json())['error']['code'] == 'unauthenticated'


async def test_later_of_two_racing_operators_gets_412_with_the_winner(
    client: Client, store: FakeStore
) -> None:
    await client.put(CAMP, json={**GRANT}, headers=AT_0)
    other = await client.put(
        '/admin/v1/workspaces/cups', json={**GRANT}, headers=AT_0
    )
    assert other.status == 412
    assert (await other.json())['version'] == 1
    assert set(store.catalogue.workspace) == {'camp'}


async def test_race_inside_the_store_is_answered_412_too(
    client: Client, store: FakeStore
) -> None:
    store.winners = [[Change('workspace', 'cups', Workspace('cups', 1, 1))]]
    resp = await client.put(CAMP, json={**GRANT}, headers=AT_0)
    assert (resp.status, resp.headers['ETag']) == (412, '"1"')


async def test_change_at_any_version_is_put_on_top_of_the_winner(
    client: Client, store: FakeStore
) -> None:
    store.winners = [[Change('workspace', 'cups', Workspace('cups', 1, 1))]]
    resp = await client.put(CAMP, json={**GRANT}, headers=AT_ANY)
    assert resp.status == 200
    assert set(store.catalogue.workspace) == {'camp', 'cups'}


async def test_change_without_a_version_is_refused(client: Client) -> None:
    resp = await client.put(CAMP, json={**GRANT})
    assert resp.status == 400
    assert 'If-Match' in (await resp.json())['error']['message']


async def test_change_without_effect_stores_no_version(
    client: Client, store: FakeStore
) -> None:
    await client.put(CAMP, json={**GRANT}, headers=AT_ANY)
    again = await client.put(CAMP, json={**GRANT}, headers=AT_ANY)
    assert (again.status, store.catalogue.version) == (200, 1)


async def test_all_faults_of_a_list_are_reported_and_none_is_stored(
    client: Client, store: FakeStore
) -> None:
    bad = {'rate_tokens_per_s': '9', 'burst_tokens': -1, 'colour': 'red'}
    changes = [
        {'kind': 'workspace', 'name': 'camp', 'entity': {**GRANT}},
        {'kind': 'workspace', 'name': 'bad', 'entity': bad},
        {'kind': 'workspace', 'name': 'a/b', 'entity': {**GRANT}},
        {'kind': 'tent', 'name': 'x', 'entity': {}},
        'nonsense',
    ]
    resp = await client.post(
        '/admin/v1/changes', json={'changes': changes}, headers=AT_0
    )
    faults = (await resp.json())['faults']
    places = [(fault['name'], fault['attribute']) for fault in faults]
    assert resp.status == 422
    assert places == [
        ('bad', 'colour'),
        ('bad', 'rate_tokens_per_s'),
        ('bad', 'burst_tokens'),
        ('a/b', 'name'),
        ('', 'changes[3]'),
        ('', 'changes[4]'),
    ]
    assert store.catalogue == Catalogue()


async def test_list_of_changes_is_one_version(
    client: Client, store: FakeStore
) -> None:
    key = {'digest': digest_key('k'), 'workspace': 'camp'}
    changes = [
        {'kind': 'key', 'name': 'desk', 'entity': key},
        {'kind': 'workspace', 'name': 'camp', 'entity': {**GRANT}},
    ]
    resp = await client.post(
        '/admin/v1/changes', json={'changes': changes}, headers=AT_0
    )
    assert (resp.status, store.catalogue.version) == (200, 1)


async def test_workspace_with_keys_is_not_deleted(
    client: Client, store: FakeStore
) -> None:
    key = Key('desk', digest_key('k'), 'camp')
    store.catalogue = Catalogue(
        1, {'camp': Workspace('camp', 1, 1)}, {'desk': key}
    )
    resp = await client.delete(CAMP, headers=AT_ANY)
    assert resp.status == 422
    assert 'key desk' in (await resp.json())['error']['message']


@pytest.mark.parametrize('method', ['GET', 'DELETE'])
async def test_absent_entity_is_not_found(client: Client, method: str) -> None:
    resp = await client.request(method, CAMP, headers=AT_ANY)
    assert resp.status == 404


async def test_lost_reply_of_the_store_is_said_to_be_in_doubt(
    client: Client, store: FakeStore
) -> None:
    store.error = StoreInDoubtError('table: no answer')
    resp = await client.put(CAMP, json={**GRANT}, headers=AT_0)
    assert resp.status == 503
    assert resp.headers['Mimosa-Run'] == 'may-have-run'


async def test_outage_of_the_store_refuses_changes_and_recalls_the_rest(
    client: Client, store: FakeStore, members: FakeMembers
) -> None:
    members.catalogue = Catalogue(version=7)
    store.is_down = True
    refused = await client.put(CAMP, json={**GRANT}, headers=AT_0)
    recalled = await (await client.get('/admin/v1/config')).json()
    assert refused.status == 503
    assert refused.headers['Mimosa-Run'] == 'not-run'
    assert (recalled['version'], recalled['source']) == (7, 'memory')


async def test_each_change_is_logged_with_operator_and_content(
    client: Client, store: FakeStore, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO, logger='absl')
    await client.put(CAMP, json={**GRANT}, headers=AT_0)
    await client.put(CAMP, json={}, headers=AT_0)
    accepted, rejected = caplog.messages
    assert accepted.startswith('E601 change_accepted operator="asel"')
    assert 'put workspace camp' in accepted
    assert rejected.startswith('E602 change_rejected operator="asel"')
    assert store.authors == ['asel']


async def test_status_names_the_members(client: Client) -> None:
    content = await (await client.get('/admin/v1/status')).json()
    assert content['is_fresh']
    assert content['members'][0]['role'] == 'router'


async def test_status_in_an_outage_tells_the_members_last_known(
    client: Client, store: FakeStore
) -> None:
    store.is_down = True
    content = await (await client.get('/admin/v1/status')).json()
    assert content['source'] == 'memory'
    assert content['members'][0]['role'] == 'admin'
    assert content['members'][0]['applied_version'] is None


@pytest.mark.parametrize('name', ['is_open', 'is_idempotent'])
async def test_text_is_no_boolean(client: Client, name: str) -> None:
    route = {'path': '/v1', 'pool': 'models', name: 'false'}
    resp = await client.put('/admin/v1/routes/chat', json=route, headers=AT_0)
    assert (await resp.json())['faults'][0]['attribute'] == name


@pytest.mark.parametrize('rate', ['1e999', 'NaN', '-Infinity', 'true'])
async def test_rate_must_be_a_finite_number(client: Client, rate: str) -> None:
    body = f'{{"rate_tokens_per_s": {rate}, "burst_tokens": 1}}'
    resp = await client.put(CAMP, data=body, headers=AT_0)
    assert resp.status == 422


@pytest.mark.parametrize(
    'body',
    [b'', b'{', b'[]', b'"text"', b'\xff', b'[' * 100_000, b'1' * 5000],
    ids=['empty', 'cut', 'list', 'text', 'no-utf8', 'deep', 'digits'],
)
async def test_body_that_is_no_json_object_is_a_bad_request(
    client: Client, body: bytes
) -> None:
    put = await client.put(CAMP, data=body, headers=AT_0)
    post = await client.post('/admin/v1/changes', data=body, headers=AT_0)
    assert (put.status, post.status) == (400, 400)


async def test_removed_process_fails_so_that_it_is_started_again(
    members: FakeMembers,
) -> None:
    members.own = attrs.evolve(members.own, state=MemberState.STOPPED)
    with pytest.raises(MemberRemovedError, match='removed'):
        await fail_when_removed(cast('MemberService', members))
