"""Fixtures of real processes."""

from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from standins.agency.world import AgencyWorld
from tests.harness import Cluster, open_cluster
from tests.harness_entry import ROUTER_FLAGS, Entry
from tests.limits_world import open_limited_world

pytest_plugins = ('tests.known_red',)


@pytest.fixture
async def cluster(tmp_path: Path) -> AsyncIterator[Cluster]:
    """A platform of its own, to which a test adds what it needs."""
    async with open_cluster(tmp_path) as started:
        yield started


@pytest.fixture
async def entry(cluster: Cluster, tmp_path: Path) -> AsyncIterator[Entry]:
    """A router without targets; the test adds them and opens it."""
    journals = tmp_path / 'journals'
    journals.mkdir()
    router = await cluster.start_program('router', *ROUTER_FLAGS)
    yield Entry(cluster, router, journals)


@pytest.fixture
async def limited_world(tmp_path: Path) -> AsyncIterator[AgencyWorld]:
    """Real nodes and targets that may name limits."""
    async with open_limited_world(tmp_path) as opened:
        yield opened
