"""An entry node: its parts and the calls between them."""

import asyncio
import time
from collections.abc import Callable

import attrs
from aiohttp import web

from mimosaworks.clock import now_s
from mimosaworks.dispatch import (
    ResendBudgetConfig,
    ResendBudgets,
)
from mimosaworks.errors import PeerError, SettingError
from mimosaworks.events import Event, log_event
from mimosaworks.node.caller_server import CallerServer
from mimosaworks.node.candidates import Candidates, compute_strength
from mimosaworks.node.cluster_follower import ClusterFollower
from mimosaworks.node.cluster_state import ClusterState
from mimosaworks.node.dispatcher_setup import make_dispatcher
from mimosaworks.node.election import Election, Lease
from mimosaworks.node.frontend import Frontend
from mimosaworks.node.holder import Holder
from mimosaworks.node.holder_link import HolderLink
from mimosaworks.node.lease_handover import LeaseHandover
from mimosaworks.node.limit_view import LimitView
from mimosaworks.node.meters import Meters
from mimosaworks.node.order_rate_limit import (
    make_call_interval,
    make_permit_waiter,
)
from mimosaworks.node.order_runner import OrderRunner
from mimosaworks.platform import (
    BootSettings,
    EngineCalls,
    RowChange,
    StoreClient,
    read_boot,
)
from mimosaworks.wire import (
    Beat,
    BeatReply,
    CallAsk,
    CallReply,
    NodeRow,
)

GAUGE_UPDATE_INTERVAL_S = 1.0


@attrs.define(eq=False)
class Node:
    """An entry node's parts; program.py builds and connects them.

    nonce identifies this process among those of its name. started_s is the
    start in seconds since the epoch, as other nodes compare it. holder is
    set while this node holds the lease. stop_started_s and stop_deadline_s
    are on this process's clock; the latter is None until a stop begins.
    """

    cfg: BootSettings
    nonce: str
    cluster_state: ClusterState
    store_client: StoreClient
    engine_calls: EngineCalls
    meters: Meters
    limit_view: LimitView = attrs.field(init=False)
    cluster_follower: ClusterFollower = attrs.field(init=False)
    election: Election = attrs.field(init=False)
    candidates: Candidates = attrs.field(init=False)
    holder_link: HolderLink = attrs.field(init=False)
    frontend: Frontend = attrs.field(init=False)
    caller_server: CallerServer = attrs.field(init=False)
    started_s: float = attrs.field(factory=time.time)
    holder: Holder | None = None
    stop_started_s: float = 0
    stop_deadline_s: float | None = None

    @property
    def is_stopping(self) -> bool:
        """Whether a planned stop has begun."""
        return self.stop_deadline_s is not None

    def stop_remaining_s(self) -> float | None:
        """Return the seconds until the stop deadline, None before a stop."""
        return (
            None
            if self.stop_deadline_s is None
            else self.stop_deadline_s - now_s()
        )

    def node_row(self) -> NodeRow:
        """Return this node's row for its heartbeats to the holder."""
        return NodeRow(
            name=self.cfg.name,
            front_address=self.cfg.front_address,
            peer_address=self.cfg.peer_address,
            data_centre=self.cfg.data_centre,
            is_stopping=self.is_stopping,
            strength=compute_strength(self.cfg),
            started_s=self.started_s,
            relays=not (
                self.is_stopping or self.frontend.relay.paths.is_cut_off
            ),
            judges_ends=True,
        )

    def caller_addresses(self) -> list[str]:
        """Return the addresses that callers may use, this node's first.

        A node that stops leaves itself out if it knows others.
        """
        other_addresses = {
            row.front_address
            for row in self.holder_link.replicated_view.members.values()
            if not row.is_stopping and row.name != self.cfg.name
        }
        if self.is_stopping and other_addresses:
            return sorted(other_addresses)
        return [self.cfg.front_address, *sorted(other_addresses)]

    def find_incarnation(self, target: str) -> int:
        """Return a target's known incarnation, 0 if it is unknown."""
        entry = self.cluster_state.targets.get(target)
        if self.holder is None:
            entry = self.holder_link.replicated_view.targets.get(target, entry)
        return 0 if entry is None else entry.incarnation

    def accepts_callers(self) -> bool:
        """Return whether the node accepts requests of callers."""
        return (
            self.cluster_state.deployment is not None and not self.is_stopping
        )

    def start_holder(self, lease: Lease, previous_holder: str) -> None:
        """Begin to assign targets for all nodes after acquiring the lease."""
        takeover_s = now_s() if self.election.has_predecessor else None
        resend_budgets = ResendBudgets(resend_config(self), takeover_s)
        dispatcher = make_dispatcher(
            resend_budgets,
            self.limit_view,
            self.holder_link.brittle_targets,
            now_s(),
            is_informed=self.holder_link.last_reply_s > 0,
        )
        self.holder = Holder(
            cluster_state=self.cluster_state,
            dispatcher=dispatcher,
            order_runner=OrderRunner(
                self.engine_calls,
                self.cfg.name,
                lease.fence,
                self.meters.count_order,
                make_permit_waiter(
                    dispatcher.rate_limits, self.election.is_lease_verified
                ),
                make_call_interval(dispatcher.rate_limits),
            ),
            on_fenced=self.election.step_down,
            is_lease_verified=self.election.is_lease_verified,
            entries_view=self.cluster_follower.entries_view,
            on_rate_limited_call=self.meters.count_rate_limited_request,
            request_early_renewal=self.election.renewal_pause.wake,
            lease_version=lease.version,
            handover=make_lease_handover(self),
            store=self.store_client,
            row_bytes=self.cfg.row_bytes,
        )
        # The directory needs the known members; each is kept until its
        # heartbeats stop.
        for row in self.holder_link.replicated_view.members.values():
            if row.name != previous_holder:
                self.holder.members.record_heartbeat(row, now_s())
        tracker = self.holder.dispatcher.crash_tracker
        self.holder_link.crash_view.stored_suspects.import_into_tracker(
            tracker, now_s()
        )
        self.holder.start()
        self.cluster_follower.restart_follows()
        self.candidates.notify_members(lease)
        replicated_view = self.holder_link.replicated_view
        self.holder.dispatcher.limiter.cap_balances(
            replicated_view.token_balances, now_s()
        )
        shares = self.holder.members.shares
        silent_since_s = replicated_view.silent_since_s
        for node in replicated_view.sharing_nodes():
            shares.expect_node(node, silent_since_s.get(node, now_s()))
        shares.withhold_from(self.holder.dispatcher.limiter, now_s())

    def unsaved_rows(self) -> tuple[RowChange, ...]:
        """Return the holder's rows that are not in the store yet."""
        if self.holder is None:
            return ()
        tracker = self.holder.dispatcher.crash_tracker
        return self.holder.suspect_saver.unsaved_rows(
            tracker, self.cfg.row_bytes
        )

    def record_saved_rows(self, write_started_s: float) -> None:
        """Record that the store has the holder's rows as of write_started_s."""
        if self.holder is not None:
            suspect_saver = self.holder.suspect_saver
            suspect_saver.record_saved(write_started_s)
            trial_planner = self.holder.dispatcher.trial_planner
            trial_planner.record_stored_suspects(
                suspect_saver.saved_version, suspect_saver.saved_fingerprints
            )

    def stop_holder(self) -> None:
        """Stop assigning targets after losing the lease."""
        if self.holder is not None:
            self.holder.stop()
            self.holder = None

    async def handle_call_ask(self, call_ask: CallAsk) -> CallReply:
        """Answer a node's request for a target."""
        if self.holder is None:
            raise web.HTTPConflict(text='not the holder')
        try:
            return await self.holder.handle_call_ask(call_ask)
        except PeerError as exc:
            raise web.HTTPConflict(text=str(exc)) from exc

    async def handle_heartbeat(self, heartbeat: Beat) -> BeatReply:
        """Answer a node's heartbeat."""
        if self.holder is None:
            return BeatReply(is_holder=False)
        lease = self.election.lease
        if lease is not None:
            self.holder.lease_version = lease.version
        return await self.holder.handle_heartbeat(heartbeat)

    def apply_holder_reply(self, reply: BeatReply) -> None:
        """Apply the lease and deployment versions in a holder's reply."""
        self.election.record_renewal(reply.lease_version)
        self.cluster_follower.compare_deployment(reply)

    def reload_settings(self, boot_path: str) -> None:
        """Read the settings file again and apply its bounds.

        Other settings, as addresses, apply after a restart.
        """
        try:
            cfg = read_boot(boot_path)
        except SettingError as exc:
            log_event(Event.SETTINGS_READ, is_changed=False, reason=str(exc))
            return
        is_changed = cfg != self.cfg
        log_event(Event.SETTINGS_READ, is_changed=is_changed, reason='SIGHUP')
        self.cfg = attrs.evolve(self.cfg, bounds=cfg.bounds)

    async def run_gauge_updates(
        self, count_dropped_lines: Callable[[], int]
    ) -> None:
        """Update the gauges periodically until cancelled.

        count_dropped_lines returns the number of dropped log lines.
        """
        while True:  # noqa: WPS457 -- ends when the task is cancelled
            self._update_gauges()
            self.meters.dropped_log_lines.set(count_dropped_lines())
            await asyncio.sleep(GAUGE_UPDATE_INTERVAL_S)

    def _update_gauges(self) -> None:
        meters = self.meters
        targets_age_s = self.cluster_state.targets_age_s()
        meters.view_ages.labels('holder').set(
            self.holder_link.last_reply_age_s()
        )
        meters.view_ages.labels('targets').set(targets_age_s)
        meters.rate_limited_targets.set(
            len(self.limit_view.rate_limits_per_s())
        )
        held_bodies = self.frontend.relay.held_bodies
        meters.held_bytes.set(held_bodies.held)
        meters.waiting_bodies.set(held_bodies.waiting_count)
        meters.known_members.set(len(self.holder_link.replicated_view.members))
        meters.is_holder.set(self.holder is not None)
        waiting_count = (
            0 if self.holder is None else len(self.holder.pending_decisions)
        )
        meters.waiting_requests.set(waiting_count)
        for (
            workspace,
            balance,
        ) in self.holder_link.replicated_view.token_balances.items():
            meters.remaining_tokens.labels(workspace).set(balance)
        if self.cluster_state.deployment is not None:
            meters.deployment_version.set(self.cluster_state.deployment.version)


def make_limit_view(node: Node) -> LimitView:
    """Return a node's view of rate limits, connected to its other parts."""
    return LimitView(
        find_incarnation=node.find_incarnation,
        on_notice=node.meters.count_target_notice,
        on_rate_limit=lambda limit_note: (
            node.holder_link.pending_updates.record_rate_limit(limit_note)
        ),
        is_standalone=lambda: not node.holder_link.has_contact(),
    )


def make_lease_handover(node: Node) -> LeaseHandover:
    """Return what moves the lease when only other nodes reach the store."""
    follower = node.cluster_follower.targets_follower
    return LeaseHandover(
        store=node.store_client,
        peers=node.holder_link.peers,
        nonce=node.nonce,
        is_view_overdue=node.cluster_follower.is_view_overdue,
        is_view_fresh=node.cluster_follower.is_view_fresh,
        view_age_s=node.cluster_state.targets_age_s,
        store_version=lambda: follower.version,
        list_nodes=node.candidates.list_others,
        on_store_reached=follower.restart_follow,
        on_lease_notice=node.candidates.apply_notice,
        is_cut_off=lambda: node.frontend.relay.paths.is_cut_off,
    )


def save_rows_again(node: Node, _era: int) -> None:
    """Store the holder's rows again, as the store may have lost them."""
    if node.holder is not None:
        node.holder.suspect_saver.forget_saved()
        if node.holder.stream_saver is not None:
            node.holder.stream_saver.save_again()


def resend_config(node: Node) -> ResendBudgetConfig:
    """Return the resend budget that all nodes have together."""
    bounds = node.cfg.bounds
    return ResendBudgetConfig(
        bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s
    )
