"""Keeps a node's cluster state up to date, from the store and the holder."""

import asyncio
from collections.abc import Callable

import attrs

from mimosaworks.dispatch import EntriesView
from mimosaworks.events import Event, log_event
from mimosaworks.node.cluster_state import ClusterState
from mimosaworks.node.holder_link import HolderLink
from mimosaworks.node.table_follower import (
    FOLLOW_TIMEOUT_S,
    LONG_FOLLOW_TIMEOUT_S,
    Rows,
    TableFollower,
)
from mimosaworks.platform import DESIRED_TABLE, TARGETS_TABLE, StoreClient
from mimosaworks.wire import BeatReply

# A third of the targets' heartbeat interval.
TARGETS_READ_INTERVAL_S = 0.4
# Shares of the time in which a leaving target must be known. The holder waits
# so long for a change, twice within the age at which its view is overdue;
# nothing is decided from an older view than the next one, and nothing sent when
# the view behind the decision is older than the last one.
HOLDER_FOLLOW_SHARE = 0.125
OVERDUE_VIEW_SHARE = 0.5
MAX_VIEW_AGE_SHARE = 0.7
MAX_SEND_AGE_SHARE = 0.9
# Time for a version to arrive over the node's own connection to the store.
DEPLOYMENT_LAG_GRACE_S = 0.1
# The time without a holder after which a node reads entries itself.
STANDALONE_READ_DELAY_S = 1.5


def _misses_none() -> bool:
    return False


@attrs.define(eq=False)
class ClusterFollower:
    """A node's followers of the deployment and of the targets' entries.

    is_holder tells whether this node decides for all. drain_notice_s returns
    the time in which a leaving target must be known, entry_lapse_s that in
    which the entry of a crashed target has changed. misses_notices tells
    whether targets leave and the holder does not tell when.
    holder_deployment_version is the version of the deployment that the holder
    last reported.
    """

    store: StoreClient
    cluster_state: ClusterState
    link: HolderLink
    is_holder: Callable[[], bool]
    drain_notice_s: Callable[[], float]
    entry_lapse_s: Callable[[], float]
    misses_notices: Callable[[], bool] = _misses_none
    holder_deployment_version: int = 0
    deployment_follower: TableFollower = attrs.field(init=False)
    targets_follower: TableFollower = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.deployment_follower = TableFollower(
            self.store,
            DESIRED_TABLE,
            self._apply_deployment_rows,
            follow_timeout_s=self._deployment_follow_timeout_s,
        )
        self.targets_follower = TableFollower(
            self.store,
            TARGETS_TABLE,
            self._apply_target_rows,
            follow_timeout_s=self._targets_follow_timeout_s,
            on_answer=self.cluster_state.record_targets_read,
            read_interval_s=TARGETS_READ_INTERVAL_S,
            max_retry_pause_s=TARGETS_READ_INTERVAL_S,
            is_needed=self._needs_target_rows,
        )

    def compare_deployment(self, reply: BeatReply) -> None:
        """Compare the deployment's version with that of the holder.

        A newer version should also arrive over this node's own connection to
        the store; if it does not, the store is read again.
        """
        self.holder_deployment_version = reply.deployment_version
        if self._known_deployment_version() < self.holder_deployment_version:
            loop = asyncio.get_running_loop()
            loop.call_later(
                DEPLOYMENT_LAG_GRACE_S, self._restart_follow_if_behind
            )

    def restart_follows(self) -> None:
        """Read the store again at once, after a loss of it or of the holder."""
        self.deployment_follower.restart_follow()
        self.targets_follower.restart_follow()

    def is_view_fresh(self, age_s: float) -> bool:
        """Return whether a view of the targets is fresh enough for decisions.

        age_s is its age in seconds. A target that leaves must be known in
        time.
        """
        return age_s < self.drain_notice_s() * MAX_VIEW_AGE_SHARE

    def is_view_usable(self, age_s: float) -> bool:
        """Return whether a standalone node may decide from a view.

        While neither the store nor a holder answers it, no fresher view is
        available to it.
        """
        return self.is_view_fresh(age_s) or self.targets_follower.is_store_lost

    def is_view_overdue(self) -> bool:
        """Return whether the targets should have been read again by now."""
        max_age_s = self.drain_notice_s() * OVERDUE_VIEW_SHARE
        return (
            self.targets_follower.is_store_lost
            or self.cluster_state.targets_age_s() > max_age_s
        )

    def max_send_age_s(self) -> float:
        """Return the greatest age of a view behind a request that is sent."""
        return self.drain_notice_s() * MAX_SEND_AGE_SHARE

    def entries_view(self) -> EntriesView:
        """Return the targets' entries as they were read."""
        follower = self.targets_follower
        return EntriesView(
            self.cluster_state.targets,
            read_since_s=follower.outage_end_s,
            last_read_s=self.cluster_state.targets_read_s,
            expiry_s=self.entry_lapse_s(),
        )

    def _known_deployment_version(self) -> int:
        deployment = self.cluster_state.deployment
        return 0 if deployment is None else deployment.version

    def _restart_follow_if_behind(self) -> None:
        known_version = self._known_deployment_version()
        if known_version < self.holder_deployment_version:
            log_event(
                Event.DEPLOYMENT_BEHIND,
                version=known_version,
                told=self.holder_deployment_version,
            )
            self.deployment_follower.restart_follow()

    def _deployment_follow_timeout_s(self) -> float:
        has_remote_holder = self.link.has_contact() and not self.is_holder()
        return LONG_FOLLOW_TIMEOUT_S if has_remote_holder else FOLLOW_TIMEOUT_S

    def _targets_follow_timeout_s(self) -> float:
        if self.is_holder():
            return self.drain_notice_s() * HOLDER_FOLLOW_SHARE
        return FOLLOW_TIMEOUT_S

    def _apply_deployment_rows(self, rows: Rows) -> None:
        self.cluster_state.apply_deployment_rows(rows)

    def _apply_target_rows(self, rows: Rows) -> None:
        self.cluster_state.apply_target_rows(
            rows, self.targets_follower.outage_end_s
        )

    def _needs_target_rows(self) -> bool:
        return (
            self.is_holder()
            or self.link.standalone_s() > STANDALONE_READ_DELAY_S
            or self.misses_notices()
        )
