"""An entry node: its parts and the calls between them."""

import asyncio
import math
import time
from collections.abc import Callable

import attrs
from aiohttp import web

from mimosaworks.clock import now_s
from mimosaworks.dispatch import (
    Dispatcher,
    ResendBudgets,
    ResendTerms,
    TargetLimits,
)
from mimosaworks.errors import PeerError, SettingError
from mimosaworks.events import Event, log_event
from mimosaworks.node.beliefs import Beliefs
from mimosaworks.node.caller_server import CallerServer
from mimosaworks.node.election import Election, Lease
from mimosaworks.node.electorate import Electorate, strength
from mimosaworks.node.frontend import Frontend
from mimosaworks.node.holder import Holder
from mimosaworks.node.holder_link import HolderLink
from mimosaworks.node.limit_view import LimitView
from mimosaworks.node.meters import Meters
from mimosaworks.node.order_pace import make_interval, make_pace
from mimosaworks.node.order_runner import OrderRunner
from mimosaworks.node.views import Views
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
    cluster_state: Beliefs
    store_client: StoreClient
    engine_calls: EngineCalls
    meters: Meters
    limit_view: LimitView = attrs.field(init=False)
    cluster_follower: Views = attrs.field(init=False)
    election: Election = attrs.field(init=False)
    candidates: Electorate = attrs.field(init=False)
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
            strength=strength(self.cfg),
            started_s=self.started_s,
        )

    def caller_addresses(self) -> list[str]:
        """Return the addresses that callers may use, this node's first.

        A node that stops leaves itself out if it knows others.
        """
        other_addresses = {
            row.front_address
            for row in self.holder_link.told.members.values()
            if not row.is_stopping and row.name != self.cfg.name
        }
        if self.is_stopping and other_addresses:
            return sorted(other_addresses)
        return [self.cfg.front_address, *sorted(other_addresses)]

    def find_incarnation(self, target: str) -> int:
        """Return a target's known incarnation, 0 if it is unknown."""
        entry = self.cluster_state.targets.get(target)
        if self.holder is None:
            entry = self.holder_link.told.targets.get(target, entry)
        return 0 if entry is None else entry.born

    def accepts_callers(self) -> bool:
        """Return whether the node accepts requests of callers."""
        return (
            self.cluster_state.deployment is not None and not self.is_stopping
        )

    def start_holder(self, lease: Lease, previous_holder: str) -> None:
        """Begin to assign targets for all nodes after acquiring the lease."""
        takeover_s = now_s() if lease.fence > 1 else None
        resend_budgets = ResendBudgets(resend_config(self), takeover_s)
        rate_limits = TargetLimits()
        for target, limit_per_s in self.limit_view.all_per_s().items():
            rate_limits.note(target, limit_per_s, -math.inf, now_s())
        self.holder = Holder(
            beliefs=self.cluster_state,
            dispatcher=Dispatcher(resend_budgets, rate_limits),
            orders=OrderRunner(
                self.engine_calls,
                self.cfg.name,
                lease.fence,
                self.meters.count_order,
                make_pace(rate_limits, self.election.is_sure),
                make_interval(rate_limits),
            ),
            on_fenced=self.election.step_down,
            is_sure=self.election.is_sure,
            view=self.cluster_follower.entries_view,
            on_limited=self.meters.count_rate_limited_request,
            renew_soon=self.election.pause.hurry,
            lease_version=lease.version,
        )
        # The directory needs the known members; each is kept until its
        # heartbeats stop.
        for row in self.holder_link.told.members.values():
            if row.name != previous_holder:
                self.holder.members.note(row, now_s())
        tracker = self.holder.dispatcher.crashes
        self.holder_link.crashes.stored.tell(tracker, now_s())
        self.holder.start()
        self.candidates.tell_members(lease)
        token_balances = self.holder_link.told.levels
        self.holder.dispatcher.limiter.cap_levels(token_balances, now_s())

    def unsaved_rows(self) -> tuple[RowChange, ...]:
        """Return the holder's rows that are not in the store yet."""
        if self.holder is None:
            return ()
        tracker = self.holder.dispatcher.crashes
        return self.holder.saver.unsaved(tracker, self.cfg.row_bytes)

    def record_saved_rows(self, write_started_s: float) -> None:
        """Record that the store has the holder's rows as of write_started_s."""
        if self.holder is not None:
            suspect_saver = self.holder.saver
            suspect_saver.note_saved(write_started_s)
            trial_planner = self.holder.dispatcher.trials
            trial_planner.note_stored(
                suspect_saver.saved_version, suspect_saver.saved_marks
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
            return await self.holder.on_ask(call_ask)
        except PeerError as exc:
            raise web.HTTPConflict(text=str(exc)) from exc

    async def handle_heartbeat(self, beat: Beat) -> BeatReply:
        """Answer a node's heartbeat."""
        if self.holder is None:
            return BeatReply(is_holder=False)
        lease = self.election.lease
        if lease is not None:
            self.holder.lease_version = lease.version
        return await self.holder.on_beat(beat)

    def apply_holder_reply(self, reply: BeatReply) -> None:
        """Apply the lease and deployment versions in a holder's reply."""
        self.election.heard(reply.lease_version)
        self.cluster_follower.on_told(reply)

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
        targets_age_s = now_s() - self.cluster_state.targets_read_s
        meters.view_ages.labels('holder').set(self.holder_link.silent_s())
        meters.view_ages.labels('targets').set(targets_age_s)
        meters.rate_limited_targets.set(len(self.limit_view.all_per_s()))
        meters.known_members.set(len(self.holder_link.told.members))
        meters.is_holder.set(self.holder is not None)
        waiting_count = 0 if self.holder is None else len(self.holder.replies)
        meters.waiting_requests.set(waiting_count)
        for workspace, balance in self.holder_link.told.levels.items():
            meters.remaining_tokens.labels(workspace).set(balance)
        if self.cluster_state.deployment is not None:
            meters.deployment_version.set(self.cluster_state.deployment.version)


def make_limit_view(node: Node) -> LimitView:
    """Return a node's view of rate limits, connected to its other parts."""
    return LimitView(
        find_born=node.find_incarnation,
        on_notice=node.meters.count_target_notice,
        on_news=lambda limit_note: node.holder_link.news.note_limit(limit_note),
        is_alone=lambda: not node.holder_link.is_up(),
    )


def resend_config(node: Node) -> ResendTerms:
    """Return the resend budget that all nodes have together."""
    bounds = node.cfg.bounds
    return ResendTerms(
        bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s
    )
