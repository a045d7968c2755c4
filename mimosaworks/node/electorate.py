"""The nodes that may become holder, as one of them sees them."""

import attrs

from mimosaworks.node.election import Election, Lease
from mimosaworks.node.holder_link import HolderLink
from mimosaworks.platform import BootSettings
from mimosaworks.wire import Ack, LeaseNotice

MBPS_A_CORE = 20.0  # a holder's traffic for the requests of one core


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
        """Return this node's place among the nodes, the strongest first."""
        own = (strength(self.cfg), self.cfg.name)
        stronger = [
            row
            for row in self.link.told.members.values()
            if (row.strength, row.name) > own
        ]
        return len(stronger)

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
