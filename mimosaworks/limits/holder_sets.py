"""A member's part of every grant, through changes of the holder set."""

from collections.abc import Collection

import attrs

from mimosaworks.limits.escrow import RESERVE_S


@attrs.define
class HolderSets:
    """The parts that a member has under the holder sets it knows of.

    While a set is not known to be in force everywhere, some members may
    still go by an earlier one, so a member has the smallest of its parts
    under all of them. It grows RESERVE_S after it learns that a set is in
    force: by then the transfers of members that left or crashed have ended.
    Parts is the member's part by epoch; due is when an epoch counts as in
    force, by the member's clock in seconds.
    """

    address: str
    epoch: int = 0
    parts: dict[int, float] = attrs.field(factory=dict)
    due: dict[int, float] = attrs.field(factory=dict)

    def learn(self, epoch: int, addresses: Collection[str]) -> bool:
        """Learn the holders of an epoch; return whether it was news."""
        if epoch <= self.epoch:
            return False
        # A member that missed an epoch can't tell what it had under it.
        if epoch > self.epoch + 1 or not self.parts:
            self.parts[epoch - 1] = 0
        is_holder = self.address in addresses
        self.parts[epoch] = 1 / len(addresses) if is_holder else 0
        self.epoch = epoch
        return True

    def confirm(self, epoch: int, now: float) -> None:
        """Learn that an epoch is in force at every holder."""
        if epoch in self.parts:
            self.due.setdefault(epoch, now + RESERVE_S)

    def part(self, now: float) -> float:
        """Return the member's part of each grant, from 0 to 1."""
        passed = [epoch for epoch, due in self.due.items() if due <= now]
        for epoch in passed:
            self.due.pop(epoch)
            self.parts = {
                known: part
                for known, part in self.parts.items()
                if known >= epoch
            }
        return min(self.parts.values(), default=0)
