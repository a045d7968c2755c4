"""The parts of an entry node and how they call each other."""

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
    """The parts of an entry node, once they are wired."""

    cfg: BootSettings
    nonce: str
    cluster_state: Beliefs
    store: StoreClient
    engine_calls: EngineCalls
    meters: Meters
    limit_view: LimitView = attrs.field(init=False)
    views: Views = attrs.field(init=False)
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
        """Whether the node was told to stop."""
        return self.stop_deadline_s is not None

    def stop_remaining_s(self) -> float | None:
        """Return the seconds that a node that stops has left."""
        return (
            None
            if self.stop_deadline_s is None
            else self.stop_deadline_s - now_s()
        )

    def node_row(self) -> NodeRow:
        """Return what this node says of itself."""
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
        """Return the addresses that callers may use, this node's first."""
        other_addresses = {
            row.front_address
            for row in self.holder_link.told.members.values()
            if not row.is_stopping and row.name != self.cfg.name
        }
        if self.is_stopping and other_addresses:
            return sorted(other_addresses)
        return [self.cfg.front_address, *sorted(other_addresses)]

    def find_incarnation(self, target: str) -> int:
        """Return the birth of a target as it is known, 0 if it is not."""
        entry = self.cluster_state.targets.get(target)
        if self.holder is None:
            entry = self.holder_link.told.targets.get(target, entry)
        return 0 if entry is None else entry.born

    def is_ready(self) -> bool:
        """Tell whether callers may come."""
        return (
            self.cluster_state.deployment is not None and not self.is_stopping
        )

    def start_holder(self, lease: Lease, previous_holder: str) -> None:
        """Begin to decide for all nodes, after the previous holder."""
        takeover_s = now_s() if lease.fence > 1 else None
        budgets = ResendBudgets(resend_terms(self), takeover_s)
        limits = TargetLimits()
        for target, per_s in self.limit_view.all_per_s().items():
            limits.note(target, per_s, -math.inf, now_s())
        self.holder = Holder(
            beliefs=self.cluster_state,
            dispatcher=Dispatcher(budgets, limits),
            orders=OrderRunner(
                self.engine_calls,
                self.cfg.name,
                lease.fence,
                self.meters.count_order,
                make_pace(limits, self.election.is_sure),
                make_interval(limits),
            ),
            on_fenced=self.election.step_down,
            is_sure=self.election.is_sure,
            view=self.views.entries_view,
            on_limited=self.meters.count_rate_limited_request,
            renew_soon=self.election.pause.hurry,
            lease_version=lease.version,
        )
        # They are kept until they fall silent; the directory needs them.
        for row in self.holder_link.told.members.values():
            if row.name != previous_holder:
                self.holder.members.note(row, now_s())
        crash_book = self.holder.dispatcher.crashes
        self.holder_link.crashes.stored.tell(crash_book, now_s())
        self.holder.start()
        self.candidates.tell_members(lease)
        token_balances = self.holder_link.told.levels
        self.holder.dispatcher.limiter.cap_levels(token_balances, now_s())

    def unsaved_rows(self) -> tuple[RowChange, ...]:
        """Return the holder's rows that are not in the store."""
        if self.holder is None:
            return ()
        crash_book = self.holder.dispatcher.crashes
        return self.holder.saver.unsaved(crash_book, self.cfg.row_bytes)

    def record_saved_rows(self, write_started_s: float) -> None:
        """Note that the store has the holder's rows of a time."""
        if self.holder is not None:
            saver = self.holder.saver
            saver.note_saved(write_started_s)
            trials = self.holder.dispatcher.trials
            trials.note_stored(saver.saved_version, saver.saved_marks)

    def stop_holder(self) -> None:
        """Stop deciding."""
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
        """Answer a node's beat."""
        if self.holder is None:
            return BeatReply(is_holder=False)
        lease = self.election.lease
        if lease is not None:
            self.holder.lease_version = lease.version
        return await self.holder.on_beat(beat)

    def apply_holder_reply(self, reply: BeatReply) -> None:
        """Take over what the holder tells besides the members and targets."""
        self.election.heard(reply.lease_version)
        self.views.on_told(reply)

    def reload_settings(self, boot_path: str) -> None:
        """Read the settings file again; addresses stay until a restart."""
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
        """Keep the gauges of what this node believes.

        dropped gives the number of log lines that were left out.
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
    """Return the limits that a node knows, wired to its other parts."""
    return LimitView(
        find_born=node.find_incarnation,
        on_notice=node.meters.count_target_notice,
        on_news=lambda note: node.holder_link.news.note_limit(note),
        is_alone=lambda: not node.holder_link.is_up(),
    )


def resend_terms(node: Node) -> ResendTerms:
    """Return the bound on resends of all nodes together."""
    bounds = node.cfg.bounds
    return ResendTerms(
        bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s
    )
