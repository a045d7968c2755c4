"""Keeps what a node believes up to date, from the store and the holder."""

import asyncio
from collections.abc import Callable

import attrs

from mimosaworks.dispatch import EntriesView
from mimosaworks.events import Event, log_event
from mimosaworks.node.beliefs import Beliefs
from mimosaworks.node.holder_link import HolderLink
from mimosaworks.node.table_feed import LONG_WAIT_S, WAIT_S, Rows, TableFeed
from mimosaworks.platform import DESIRED_TABLE, TARGETS_TABLE, StoreClient
from mimosaworks.wire import BeatReply

TARGETS_GAP_S = 0.4  # a third of the targets' heartbeat interval
VIEW_SHARE = 0.7  # of the time in which a leaving target must be known
BEHIND_S = 0.1  # in which a version comes over the node's own connection
ALONE_S = 1.5  # without a holder, after which a node reads entries itself


@attrs.define(eq=False)
class Views:
    """A node's feeds of the deployment and of the targets.

    is_holder tells whether this node decides for all, drain_s gives the time
    in which a target that leaves must be known, lapse_s the one in which the
    entry of a target that ended has changed. told_version is the
    deployment that the holder knew last.
    """

    store: StoreClient
    beliefs: Beliefs
    link: HolderLink
    is_holder: Callable[[], bool]
    drain_s: Callable[[], float]
    lapse_s: Callable[[], float]
    told_version: int = 0
    desired_feed: TableFeed = attrs.field(init=False)
    targets_feed: TableFeed = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.desired_feed = TableFeed(
            self.store,
            DESIRED_TABLE,
            self._take_desired,
            wait_s=self._desired_wait_s,
        )
        self.targets_feed = TableFeed(
            self.store,
            TARGETS_TABLE,
            self._take_targets,
            gap_s=TARGETS_GAP_S,
            max_pause_s=TARGETS_GAP_S,
            wanted=self._wants_targets,
        )

    def on_told(self, reply: BeatReply) -> None:
        """Compare the deployment with the one that the holder knows.

        It should come over this node's own connection to the store as well.
        """
        self.told_version = reply.deployment_version
        if self._known_version() < self.told_version:
            loop = asyncio.get_running_loop()
            loop.call_later(BEHIND_S, self._ask_if_behind)

    def ask_again(self) -> None:
        """Ask the store at once: it, or the holder, was away."""
        self.desired_feed.ask_again()
        self.targets_feed.ask_again()

    def is_usable(self, age_s: float) -> bool:
        """Tell whether a view of the targets of an age (s) may decide.

        A target that leaves must be known in time. Without the store there
        is no fresher view to be had.
        """
        return age_s < self.drain_s() * VIEW_SHARE or self.targets_feed.is_lost

    def entries_view(self) -> EntriesView:
        """Return the targets' entries as they were read."""
        feed = self.targets_feed
        return EntriesView(
            self.beliefs.targets,
            since_s=feed.outage_end_s,
            read_s=feed.read_s,
            lapse_s=self.lapse_s(),
        )

    def _known_version(self) -> int:
        deployment = self.beliefs.deployment
        return 0 if deployment is None else deployment.version

    def _ask_if_behind(self) -> None:
        known = self._known_version()
        if known < self.told_version:
            log_event(
                Event.DEPLOYMENT_BEHIND, version=known, told=self.told_version
            )
            self.desired_feed.ask_again()

    def _desired_wait_s(self) -> float:
        is_told = self.link.is_up() and not self.is_holder()
        return LONG_WAIT_S if is_told else WAIT_S

    def _take_desired(self, rows: Rows) -> None:
        self.beliefs.apply_desired(rows)

    def _take_targets(self, rows: Rows) -> None:
        self.beliefs.apply_entries(rows, self.targets_feed.outage_end_s)

    def _wants_targets(self) -> bool:
        return self.is_holder() or self.link.alone_s() > ALONE_S
