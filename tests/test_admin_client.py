"""Tests of the API's client and of changes by mimosactl that race."""

from collections.abc import AsyncIterator, Sequence

import pytest

from mimosaworks.admin.api_error import AdminApiError
from mimosaworks.admin.client import AdminClient
from mimosaworks.body_ends import BodyEndConnector
from mimosaworks.cmdline.ctl_changes import ATTEMPTS, change_with_retries
from mimosaworks.entities import Catalogue, Change, HolderSet, Workspace
from mimosaworks.errors import StoreInDoubtError
from mimosaworks.members import Acceptance
from tests.admin_fakes import FakeMembers, FakeStore, admin_client
from tests.test_body_ends import EndingServer, open_session

CUPS = Change('workspace', 'cups', Workspace('cups', 1, 1))
LATER = Change('workspace', 'cups', Workspace('cups', 2, 2))


@pytest.fixture
def store() -> FakeStore:
    return FakeStore()


@pytest.fixture
def members() -> FakeMembers:
    return FakeMembers()


@pytest.fixture
async def client(
    store: FakeStore, members: FakeMembers
) -> AsyncIterator[AdminClient]:
    async with admin_client(store, members) as opened:
        base_url = str(opened.make_url('')).rstrip('/')
        yield AdminClient(opened.session, base_url)


def double_rates(catalogue: Catalogue) -> Sequence[Change]:
    """Return changes that double the rate of each workspace."""
    return [
        Change(
            'workspace',
            one.name,
            Workspace(one.name, one.rate_tokens_per_s * 2, one.burst_tokens),
        )
        for one in catalogue.workspace.values()
    ]


async def test_lost_race_is_decided_again_on_the_newer_configuration(
    client: AdminClient, store: FakeStore
) -> None:
    await client.change([CUPS], 0)
    store.winners = [[LATER]]
    outcome = await change_with_retries(client, double_rates, 0, ATTEMPTS)
    assert outcome.version == 3
    assert store.catalogue.workspace['cups'] == Workspace('cups', 4, 2)


async def test_change_that_always_loses_is_refused_at_last(
    client: AdminClient, store: FakeStore
) -> None:
    await client.change([CUPS], 0)
    store.winners = [[LATER] for _ in range(ATTEMPTS)]
    with pytest.raises(AdminApiError) as caught:
        await change_with_retries(client, double_rates, 0, ATTEMPTS)
    assert caught.value.code == 'conflict'


async def test_doubt_of_the_store_is_passed_on_and_not_retried(
    client: AdminClient, store: FakeStore
) -> None:
    store.error = StoreInDoubtError('table: no answer')
    with pytest.raises(AdminApiError) as caught:
        await change_with_retries(client, lambda _: [CUPS], 0, ATTEMPTS)
    assert caught.value.may_have_run


async def test_pending_change_is_asked_for_until_the_wait_is_over(
    client: AdminClient, members: FakeMembers
) -> None:
    members.acceptance = Acceptance.PENDING
    outcome = await change_with_retries(client, lambda _: [CUPS], 0.1, 1)
    assert (outcome.version, outcome.is_in_force) == (1, False)


async def test_whole_configuration_is_read_as_it_is_stored(
    client: AdminClient, store: FakeStore
) -> None:
    store.catalogue = Catalogue(
        7,
        workspace={'cups': Workspace('cups', 1, 1)},
        holder_set={'holders': HolderSet(epoch=1, addresses=('a:1', 'b:1'))},
    )
    assert await client.read_config() == store.catalogue


# Guards against a traceback where a change may have been stored, and against no
# answer that is taken for one.
@pytest.mark.parametrize('body', [b'', b'{"version": 3, "sta'])
async def test_a_cut_answer_is_none(body: bytes) -> None:
    head = b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n'
    server = EndingServer(b'%s%s' % (head, body), 0)
    async with open_session(server, BodyEndConnector) as session:
        api = AdminClient(session, server.url.rstrip('/'))
        with pytest.raises(AdminApiError) as read:
            await api.read_status()
        with pytest.raises(AdminApiError) as change:
            await api.change([CUPS], 2)
    assert (read.value.may_have_run, change.value.may_have_run) == (False, True)
