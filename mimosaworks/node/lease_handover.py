"""Moves the lease to a node that reaches the store when its holder does not."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence

import attrs

from mimosaworks.clock import now_s
from mimosaworks.errors import PeerError, PlatformError, StoreHistoryError
from mimosaworks.events import Event, log_event
from mimosaworks.platform import TARGETS_TABLE, StoreClient
from mimosaworks.wire import (
    LeaseNotice,
    LeaseOffer,
    NodeRow,
    PeerClient,
    StoreProbe,
    StoreProbeReply,
)

CHECK_INTERVAL_S = 0.05
# Some round trips to the store.
PROBE_TIMEOUT_S = 0.4
# A probe, or two calls to the store, and a round trip between nodes.
PROBE_CALL_TIMEOUT_S = 0.6
OFFER_TIMEOUT_S = 1.0
# Nodes that are asked first, and at once when all have been asked.
MIN_PROBED_NODES = 6
FIRST_PROBE_PAUSE_S = 0.25
# A third of the time after which a store that is back counts as stable.
MAX_PROBE_PAUSE_S = 1.0
# Longer than a probe, shorter than the time to detect that a holder is lost and
# to elect another, which may know more.
MAX_STANDSTILL_S = 0.8


def _is_never_cut_off() -> bool:
    return False


@attrs.define(eq=False)
class LeaseHandover:
    """Finds out who reaches the store while the holder's view is overdue.

    A store that refuses some nodes looks to each of them like one that is
    away. The holder and some other nodes read it at the same time: if it
    answers only others, one of them is offered the lease. If it answers none,
    is_store_away holds: no node can have a fresher view. What was found before
    this process stood still is dropped.

    is_view_overdue tells whether the view of the targets should have been read
    again by now, is_view_fresh whether one of this age in seconds may be used
    for decisions, view_age_s its age. store_version returns the store's
    version of the view. list_nodes returns the other nodes, the best
    candidates first. on_store_reached is called when the store answers this
    node after all, on_lease_notice with the lease after an offer; it returns
    whether this node still holds the lease. is_cut_off tells whether this node
    reaches no target; then a node that does is offered the lease as well.
    """

    store: StoreClient
    peers: PeerClient
    nonce: str
    is_view_overdue: Callable[[], bool]
    is_view_fresh: Callable[[float], bool]
    view_age_s: Callable[[], float]
    store_version: Callable[[], int]
    list_nodes: Callable[[], Sequence[NodeRow]]
    on_store_reached: Callable[[], None]
    on_lease_notice: Callable[[LeaseNotice], bool]
    is_cut_off: Callable[[], bool] = _is_never_cut_off
    _was_store_away: bool = False
    _awake_s: float = attrs.field(factory=now_s)
    _probed_count: int = MIN_PROBED_NODES
    _pause_s: float = FIRST_PROBE_PAUSE_S

    @property
    def is_store_away(self) -> bool:
        """Whether the store answered no node that was asked lately."""
        return self._was_store_away and not self._has_stood_still()

    def is_view_usable(self) -> bool:
        """Return whether the holder may decide from its view."""
        return self.is_view_fresh(self.binding_age_s())

    def binding_age_s(self) -> float:
        """Return the view's age, 0 while no node can have a fresher one."""
        return 0 if self.is_store_away else self.view_age_s()

    async def run(self) -> None:
        """Look for a node that reaches the store until cancelled."""
        # A new holder reads the targets first.
        await asyncio.sleep(PROBE_TIMEOUT_S)
        self._awake_s = now_s()
        while True:  # noqa: WPS457 -- ends when the task is cancelled
            if self.is_view_overdue():
                await self._probe_store()
            elif self.is_cut_off():
                await self._offer_lease_to_relays()
            else:
                self._was_store_away = False
                self._probed_count = MIN_PROBED_NODES
                self._pause_s = FIRST_PROBE_PAUSE_S
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._note_awake()

    def _has_stood_still(self) -> bool:
        return now_s() - self._awake_s > MAX_STANDSTILL_S

    def _note_awake(self) -> bool:
        """Return whether this process was awake since the last call.

        Otherwise what was found before is dropped, and soon looked for again.
        """
        is_awake = not self._has_stood_still()
        self._awake_s = now_s()
        if not is_awake:
            self._was_store_away = False
            self._pause_s = FIRST_PROBE_PAUSE_S
        return is_awake

    async def _probe_store(self) -> None:
        nodes = self._choose_nodes()
        version = self.store_version()
        is_reached, *replies = await asyncio.gather(
            reaches_store(self.store, version),
            *(self._probe_from(node, version) for node in nodes),
        )
        reached_nodes = [
            node
            for node, is_reached_there in zip(nodes, replies, strict=True)
            if is_reached_there
        ]
        log_event(
            Event.STORE_PROBED,
            view_age_s=self.view_age_s(),
            asked=len(nodes),
            reached=[node.name for node in reached_nodes],
            is_reached=is_reached,
        )
        # Time limits pass during a standstill, whatever the store would say.
        self._was_store_away = (
            self._note_awake() and not is_reached and not reached_nodes
        )
        if is_reached:
            self.on_store_reached()
        elif reached_nodes:
            await self._offer_lease(reached_nodes)
        await self._pause()

    async def _offer_lease_to_relays(self) -> None:
        """Offer the lease to nodes that reach the targets, for the orders."""
        nodes = [node for node in self.list_nodes() if node.relays]
        await self._offer_lease(nodes)
        await self._pause()

    def _choose_nodes(self) -> Sequence[NodeRow]:
        """Return the nodes to ask: ever more, then some of all.

        The best candidates may all be among those that the store refuses.
        """
        nodes = self.list_nodes()
        if self._probed_count < len(nodes):
            chosen_nodes = nodes[: self._probed_count]
            self._probed_count *= 2
            return chosen_nodes
        if self._probed_count > MIN_PROBED_NODES:
            self._probed_count = MIN_PROBED_NODES
            return nodes
        return random.sample(nodes, min(MIN_PROBED_NODES, len(nodes)))

    async def _probe_from(self, node: NodeRow, version: int) -> bool:
        try:
            reply = await self.peers.call(
                node.peer_address,
                StoreProbe(version),
                StoreProbeReply,
                PROBE_CALL_TIMEOUT_S,
            )
        except PeerError:
            return False  # The next probes ask other nodes, too.
        return reply.is_reached

    async def _offer_lease(self, nodes: Sequence[NodeRow]) -> None:
        for node in nodes:
            try:
                notice = await self.peers.call(  # noqa: WPS476 -- one after another
                    node.peer_address,
                    LeaseOffer(self.nonce),
                    LeaseNotice,
                    OFFER_TIMEOUT_S,
                )
            except PeerError as exc:
                log_event(
                    Event.LEASE_OFFERED,
                    node=node.name,
                    is_taken=False,
                    reason=str(exc),
                )
                continue
            is_taken = notice.nonce != self.nonce and bool(notice.holder)
            log_event(
                Event.LEASE_OFFERED,
                node=node.name,
                is_taken=is_taken,
                reason='',
            )
            if not self.on_lease_notice(notice):
                return

    async def _pause(self) -> None:
        # Offers of the lease take longer than a standstill.
        self._awake_s = now_s()
        pause_end_s = self._awake_s + self._pause_s
        while now_s() < pause_end_s:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if not self._note_awake():
                return
        self._pause_s = min(self._pause_s * 2, MAX_PROBE_PAUSE_S)


async def reaches_store(store: StoreClient, version: int) -> bool:
    """Return whether the store answers a read of the targets in time.

    version is the store's of the last one.
    """
    read: Awaitable[object] = (
        store.follow(TARGETS_TABLE, version, 0)
        if version
        else store.read(TARGETS_TABLE)
    )
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            await read
    except StoreHistoryError:
        return True
    except (PlatformError, TimeoutError):
        return False  # The holder logs which nodes reach the store.
    return True


async def answer_probe(
    store: StoreClient, probe: StoreProbe
) -> StoreProbeReply:
    """Answer a holder that asks whether the store can be reached here."""
    return StoreProbeReply(await reaches_store(store, probe.after))
