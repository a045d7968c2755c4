"""The nodes that may hold the lease, as one of them knows them."""

import functools
import random
import zlib

import attrs

from mimosaworks.errors import PeerError
from mimosaworks.events import Event, log_event
from mimosaworks.node.election import Election, Lease
from mimosaworks.node.heartbeat_times import HEARTBEAT_TIMEOUT_S
from mimosaworks.node.holder_link import HolderLink
from mimosaworks.platform import BootSettings
from mimosaworks.wire import Ack, LeaseAsk, LeaseNotice, LeaseOffer, NodeRow

# The least share of the strongest node's power that counts as strong.
STRONG_NODE_SHARE = 0.5
# A holder's network traffic for the requests of one core.
HOLDER_MBPS_PER_CORE = 20.0
NO_LEASE = Lease('', '', '', fence=0)


def _candidate_sort_key(
    min_strength: float, row: NodeRow
) -> tuple[bool, bool, float, str]:
    # A node that reaches no target can send no order.
    is_weak = row.strength < min_strength
    return (not row.relays, is_weak, -row.started_s, row.name)


def compute_strength(cfg: BootSettings) -> float:
    """Return the power of a VM in cores, bounded by its network link."""
    return min(cfg.cores, cfg.link_mbps / HOLDER_MBPS_PER_CORE)


@attrs.define(eq=False)
class Candidates:
    """The candidates for the lease, as one node of them knows them."""

    cfg: BootSettings
    link: HolderLink
    election: Election

    def count_members(self) -> int:
        """Return the number of nodes, 0 when it is not known."""
        if self.link.replicated_view.members:
            return len(self.link.replicated_view.members)
        lease = self.election.lease
        return 0 if lease is None else lease.members

    def count_shares(self) -> int:
        """Return how many nodes share the rates, 0 when it is not known.

        Those that the holder no longer hears are among them.
        """
        sharing_nodes = self.link.replicated_view.sharing_nodes()
        return len(sharing_nodes) or self.count_members()

    def candidate_rank(self) -> int:
        """Return this node's place among the candidates, 0 for the first.

        Strong nodes go first, among these the one that started last: it is
        the last to be stopped when all are restarted in turn. A node that
        knows no others, as after a loss of all, gets a place by a hash of its
        name.
        """
        rows = self.link.replicated_view.members
        if not rows:
            name_hash = zlib.crc32(self.cfg.name.encode())
            return name_hash % max(self.count_members(), 1)
        names = [row.name for row in self._ranked_candidates()]
        own_name = self.cfg.name
        return names.index(own_name) if own_name in names else 0

    def list_others(self) -> list[NodeRow]:
        """Return the other candidates, the best first."""
        return [
            row
            for row in self._ranked_candidates()
            if row.name != self.cfg.name
        ]

    def notify_members(self, lease: Lease) -> None:
        """Send this node's election to the nodes that were known last."""
        notice = _notice_of(lease)
        for row in self.link.replicated_view.members.values():
            if row.name != self.cfg.name:
                self.link.send_notice(row.peer_address, notice)

    async def handle_lease_notice(self, notice: LeaseNotice) -> Ack:
        """Apply another node's election, and send a heartbeat to that node."""
        self.apply_notice(notice)
        return Ack(accepted=True)

    async def handle_lease_ask(self, _ask: LeaseAsk) -> LeaseNotice:
        """Return the lease as this node knows it."""
        return _notice_of(self.election.lease or NO_LEASE)

    async def ask_other_node(self) -> None:
        """Ask a random node for the lease, and apply a newer one.

        A node that the store refuses has no other way to find a holder whose
        notice it missed.
        """
        others = self.list_others()
        if not others:
            return
        address = random.choice(others).peer_address
        try:
            notice = await self.link.peers.call(
                address, LeaseAsk(), LeaseNotice, HEARTBEAT_TIMEOUT_S
            )
        except PeerError as exc:
            log_event(
                Event.DEPENDENCY_LOST,
                dependency=f'node:{address}',
                reason=str(exc),
                age_s=0,
            )
            return
        if notice.holder:
            self.apply_notice(notice)

    async def handle_lease_offer(self, offer: LeaseOffer) -> LeaseNotice:
        """Take the lease of a holder that does not reach the store.

        Returns the lease as this node knows it then.
        """
        await self.election.accept_offer(offer.nonce)
        return _notice_of(self.election.lease or NO_LEASE)

    def apply_notice(self, notice: LeaseNotice) -> bool:
        """Apply another node's election; return whether this node holds on."""
        lease = Lease(
            holder=notice.holder,
            address=notice.address,
            nonce=notice.nonce,
            fence=notice.fence,
            version=notice.version,
        )
        self.election.apply_lease_notice(lease)
        self.link.schedule_heartbeat()
        return self.election.is_holder

    def _ranked_candidates(self) -> list[NodeRow]:
        """Return the nodes that do not stop, the best candidates first."""
        rows = self.link.replicated_view.members.values()
        min_strength = STRONG_NODE_SHARE * max(
            (row.strength for row in rows), default=0
        )
        return sorted(
            (row for row in rows if not row.is_stopping),
            key=functools.partial(_candidate_sort_key, min_strength),
        )


def _notice_of(lease: Lease) -> LeaseNotice:
    return LeaseNotice(
        holder=lease.holder,
        address=lease.address,
        nonce=lease.nonce,
        fence=lease.fence,
        version=lease.version,
    )
