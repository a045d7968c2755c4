"""What a member believes of its peers' balances, and whom it asks."""

from collections.abc import Iterable, Mapping

import attrs

HOLDOFF_S = 2.0  # a peer that did not answer is not asked again for so long


@attrs.frozen
class Terms:
    """A workspace's grant and the part of it that each holder has.

    rate is in tokens/s, burst in tokens, part from 0 to 1.
    """

    rate: float
    burst: float
    part: float

    def extrapolate(self, level: float, age_s: float) -> float:
        """Return the level that a holder's bucket refills to after age_s."""
        cap = self.burst * self.part
        refill = self.rate * self.part * max(0, age_s)
        return min(cap, level + refill)


@attrs.frozen
class _Heard:
    level: float
    at: float


@attrs.define
class PeerBalances:
    """Balances by peer and workspace, extrapolated by the refill.

    A peer that was never heard of is taken as full: asking it corrects this.
    """

    peers: tuple[str, ...] = ()
    heard: dict[tuple[str, str], _Heard] = attrs.field(factory=dict)
    silent_until: dict[str, float] = attrs.field(factory=dict)

    def replace_peers(self, peers: Iterable[str]) -> None:
        """Take over the other holders; forget those that left."""
        self.peers = tuple(sorted(peers))
        self.heard = {
            pair: heard
            for pair, heard in self.heard.items()
            if pair[0] in self.peers
        }

    def hear(self, peer: str, workspace: str, level: float, now: float) -> None:
        """Record a peer's own statement of its balance."""
        self.heard[peer, workspace] = _Heard(level, now)
        self.silent_until.pop(peer, None)

    def hear_silence(self, peer: str, now: float) -> None:
        """Record that a peer did not answer."""
        self.silent_until[peer] = now + HOLDOFF_S

    def spend(
        self, peer: str, workspace: str, tokens: float, terms: Terms, now: float
    ) -> None:
        """Deduct tokens that a peer was asked for."""
        level = self._estimate(peer, workspace, terms, now) - tokens
        self.heard[peer, workspace] = _Heard(max(0, level), now)

    def estimates(
        self, workspace: str, terms: Terms, now: float
    ) -> dict[str, float]:
        """Return the peers that are not in debt, with their tokens."""
        levels = {
            peer: self._estimate(peer, workspace, terms, now)
            for peer in self.peers
            if self.silent_until.get(peer, now) <= now
        }
        return {peer: level for peer, level in levels.items() if level >= 0}

    def _estimate(
        self, peer: str, workspace: str, terms: Terms, now: float
    ) -> float:
        heard = self.heard.get((peer, workspace))
        if heard is None:
            return terms.extrapolate(terms.burst, 0)
        return terms.extrapolate(heard.level, now - heard.at)


def plan_asks(
    missing: float, wanted: float, estimates: Mapping[str, float]
) -> dict[str, float]:
    """Return how much to ask of which peers, the richest first.

    missing is what the first waiting request lacks, wanted what all lack.
    Nothing is asked if the peers together do not have what is missing.
    """
    if sum(estimates.values()) < missing:
        return {}
    asks: dict[str, float] = {}
    richest = sorted(
        ((level, peer) for peer, level in estimates.items() if level)
    )
    while richest and wanted > 0:
        level, peer = richest.pop()
        asks[peer] = min(wanted, level)
        wanted -= level
    return asks
