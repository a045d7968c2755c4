"""The nodes that may become holder, as one of them sees them."""

import functools
import zlib

import attrs

from mimosaworks.node.election import Election, Lease
from mimosaworks.node.holder_link import HolderLink
from mimosaworks.platform import BootSettings
from mimosaworks.wire import Ack, LeaseNotice, NodeRow

STRONG_SHARE = 0.5  # of the strongest node's power
MBPS_A_CORE = 20.0  # a holder's traffic for the requests of one core


def _rank(least: float, row: NodeRow) -> tuple[bool, float, str]:
    return (row.strength < least, -row.started_s, row.name)


def strength(cfg: BootSettings) -> float:
    """Return the power of a VM in cores, bounded by its link."""
    return min(cfg.cores, cfg.link_mbps / MBPS_A_CORE)


@attrs.define(eq=False)
class Electorate:
    """Tells how eager this node is, and the others of its election."""

    cfg: BootSettings
    link: HolderLink
    election: Election

    def count_members(self) -> int:
        """Return the number of nodes, 0 when it is not known."""
        if self.link.told.members:
            return len(self.link.told.members)
        lease = self.election.lease
        return 0 if lease is None else lease.members

    def eagerness(self) -> int:
        """Return this node's place among the nodes that may hold the lease.

        Strong ones go first; among these the one that started last, which is
        the last to be stopped when all are restarted in turn. A node that
        knows no others, as after a loss of all, draws a place by its name.
        """
        rows = self.link.told.members
        if not rows:
            drawn = zlib.crc32(self.cfg.name.encode())
            return drawn % max(self.count_members(), 1)
        least = STRONG_SHARE * max(row.strength for row in rows.values())
        staying = [row for row in rows.values() if not row.is_stopping]
        ranked = sorted(staying, key=functools.partial(_rank, least))
        names = [row.name for row in ranked]
        own = self.cfg.name
        return names.index(own) if own in names else 0

    def tell_members(self, lease: Lease) -> None:
        """Tell the nodes that were known last of this node's election."""
        notice = LeaseNotice(
            holder=lease.holder,
            address=lease.address,
            nonce=lease.nonce,
            fence=lease.fence,
            version=lease.version,
        )
        for row in self.link.told.members.values():
            if row.name != self.cfg.name:
                self.link.tell(row.peer_address, notice)

    async def on_notice(self, notice: LeaseNotice) -> Ack:
        """Take over the election of another node."""
        lease = Lease(
            holder=notice.holder,
            address=notice.address,
            nonce=notice.nonce,
            fence=notice.fence,
            version=notice.version,
        )
        self.election.believe(lease)
        self.link.meet()
        return Ack(accepted=True)
