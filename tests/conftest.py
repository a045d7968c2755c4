"""Fixtures of real processes."""

from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from tests.harness import Cluster, open_cluster


@pytest.fixture
async def cluster(tmp_path: Path) -> AsyncIterator[Cluster]:
    """A platform of its own, to which a test adds what it needs."""
    async with open_cluster(tmp_path) as started:
        yield started
