"""When a node asks the store again for what the holder knows already."""

import asyncio

import attrs

from mimosaworks.node.cluster_follower import (
    DEPLOYMENT_LAG_GRACE_S,
    ClusterFollower,
)
from mimosaworks.node.cluster_state import ClusterState
from mimosaworks.node.table_follower import (
    FOLLOW_TIMEOUT_S,
    LONG_FOLLOW_TIMEOUT_S,
    MIN_FOLLOW_AGE_S,
)
from mimosaworks.platform import RowsAnswer
from mimosaworks.wire import BeatReply


@attrs.define(eq=False)
class SilentStore:
    """Answers reads, and no wait for changes."""

    waits: list[float] = attrs.field(factory=list)

    async def read(self, _table: str) -> RowsAnswer:
        return RowsAnswer((), 1, 1)

    async def follow(self, _table: str, _after: int, wait_s: float) -> object:
        self.waits.append(wait_s)
        return await asyncio.Event().wait()


@attrs.define(eq=False)
class FakeLink:
    """A link to a holder that is heard or not."""

    is_heard: bool = True

    def has_contact(self) -> bool:
        return self.is_heard

    def last_reply_age_s(self) -> float:
        return 0

    def standalone_s(self) -> float:
        return 0


def make(
    store: SilentStore, link: FakeLink, *, is_holder: bool
) -> ClusterFollower:
    return ClusterFollower(
        store=store,  # type: ignore[arg-type]
        cluster_state=ClusterState(),
        link=link,  # type: ignore[arg-type]
        is_holder=lambda: is_holder,
        drain_notice_s=lambda: 2,
        entry_lapse_s=lambda: 6,
    )


async def test_a_version_that_the_holder_knows_is_asked_for_at_once() -> None:
    # The store was silent for some nodes: their waits are never answered.
    store = SilentStore()
    views = make(store, FakeLink(), is_holder=False)
    task = asyncio.create_task(views.deployment_follower.run())
    await asyncio.sleep(MIN_FOLLOW_AGE_S + 0.1)
    views.compare_deployment(BeatReply(is_holder=True, deployment_version=0))
    await asyncio.sleep(DEPLOYMENT_LAG_GRACE_S * 2)
    assert store.waits == [LONG_FOLLOW_TIMEOUT_S]
    views.compare_deployment(BeatReply(is_holder=True, deployment_version=7))
    await asyncio.sleep(DEPLOYMENT_LAG_GRACE_S * 2)
    assert len(store.waits) == 2
    task.cancel()


async def test_a_node_that_nobody_tells_waits_shortly() -> None:
    # Right after an outage a change has to be in force within two seconds.
    for link, is_holder in (
        (FakeLink(is_heard=False), False),
        (FakeLink(), True),
    ):
        store = SilentStore()
        views = make(store, link, is_holder=is_holder)
        task = asyncio.create_task(views.deployment_follower.run())
        await asyncio.sleep(0.05)
        assert store.waits == [FOLLOW_TIMEOUT_S]
        task.cancel()


async def test_all_feeds_ask_again_when_the_store_is_back() -> None:
    store = SilentStore()
    views = make(store, FakeLink(), is_holder=True)
    tasks = [
        asyncio.create_task(feed.run())
        for feed in (views.deployment_follower, views.targets_follower)
    ]
    await asyncio.sleep(MIN_FOLLOW_AGE_S + 0.6)
    before = len(store.waits)
    views.restart_follows()
    await asyncio.sleep(0.1)
    assert len(store.waits) == before + 2
    for task in tasks:
        task.cancel()
