"""A member's fraction of every grant while the holder set changes."""

from collections.abc import Collection

import attrs

from mimosaworks.limits.escrow import RESERVATION_S


@attrs.define
class HolderSets:
    """The fractions of a grant that a member has under the known epochs.

    A holder set lists the routers that share the tokens; each new set has
    the next epoch. While a set is not known to be in force everywhere, some
    members may still apply an earlier one, so a member has the smallest of
    its fractions under all of them. The fraction grows RESERVATION_S after
    the member learns that a set is in force: by then the transfers of
    members that left or crashed have ended. fractions has the member's
    fraction by epoch; effective_at is when an epoch counts as in force, in
    seconds of the member's clock.
    """

    address: str
    epoch: int = 0
    fractions: dict[int, float] = attrs.field(factory=dict)
    effective_at: dict[int, float] = attrs.field(factory=dict)

    def add_epoch(self, epoch: int, addresses: Collection[str]) -> bool:
        """Record the holders of an epoch; return False if it is not newer."""
        if epoch <= self.epoch:
            return False
        # The fraction under a missed epoch is unknown and may have been 0.
        if epoch > self.epoch + 1 or not self.fractions:
            self.fractions[epoch - 1] = 0
        is_holder = self.address in addresses
        self.fractions[epoch] = 1 / len(addresses) if is_holder else 0
        self.epoch = epoch
        return True

    def confirm_epoch(self, epoch: int, now: float) -> None:
        """Record that an epoch is in force at every holder."""
        if epoch in self.fractions:
            self.effective_at.setdefault(epoch, now + RESERVATION_S)

    def current_fraction(self, now: float) -> float:
        """Return the member's fraction of each grant, from 0 to 1."""
        effective_epochs = [
            epoch
            for epoch, effective_at in self.effective_at.items()
            if effective_at <= now
        ]
        for epoch in effective_epochs:
            self.effective_at.pop(epoch)
            self.fractions = {
                known_epoch: fraction
                for known_epoch, fraction in self.fractions.items()
                if known_epoch >= epoch
            }
        return min(self.fractions.values(), default=0)
