"""Estimates the peers' balances and plans transfers from them."""

from collections.abc import Iterable, Mapping

import attrs

# No tokens are requested for this time from a peer that did not answer.
UNANSWERED_HOLDOFF_S = 2.0


@attrs.frozen
class GrantTerms:
    """A workspace's grant and the fraction of it that each holder has.

    rate is in tokens/s, burst in tokens, fraction from 0 to 1.
    """

    rate: float
    burst: float
    fraction: float

    def extrapolate_level(self, level: float, age_s: float) -> float:
        """Return the level of a holder's bucket age_s after the given level."""
        cap = self.burst * self.fraction
        refill = self.rate * self.fraction * max(0, age_s)
        return min(cap, level + refill)


@attrs.frozen
class _ReportedBalance:
    tokens: float
    reported_at: float


@attrs.define
class PeerBalances:
    """Estimated balances of the other holders, by peer and workspace.

    The last reported balance is extrapolated by the refill. A peer without
    a report counts as full; its first answer corrects the estimate.
    """

    peers: tuple[str, ...] = ()
    last_reports: dict[tuple[str, str], _ReportedBalance] = attrs.field(
        factory=dict
    )
    unresponsive_until: dict[str, float] = attrs.field(factory=dict)

    def replace_peers(self, peers: Iterable[str]) -> None:
        """Replace the other holders; forget reports of those that left."""
        self.peers = tuple(sorted(peers))
        self.last_reports = {
            key: report
            for key, report in self.last_reports.items()
            if key[0] in self.peers
        }

    def record_balance(
        self, peer: str, workspace: str, tokens: float, now: float
    ) -> None:
        """Record the balance that a peer reported."""
        self.last_reports[peer, workspace] = _ReportedBalance(tokens, now)
        self.unresponsive_until.pop(peer, None)

    def record_missing_reply(self, peer: str, now: float) -> None:
        """Leave a peer out for a while, since it did not answer."""
        self.unresponsive_until[peer] = now + UNANSWERED_HOLDOFF_S

    def deduct_requested(
        self,
        peer: str,
        workspace: str,
        tokens: float,
        terms: GrantTerms,
        now: float,
    ) -> None:
        """Deduct tokens that were requested from a peer."""
        remaining_tokens = (
            self._estimate_balance(peer, workspace, terms, now) - tokens
        )
        self.last_reports[peer, workspace] = _ReportedBalance(
            max(0, remaining_tokens), now
        )

    def estimate_balances(
        self, workspace: str, terms: GrantTerms, now: float
    ) -> dict[str, float]:
        """Return the estimated tokens of all peers that are not in debt."""
        balances = {
            peer: self._estimate_balance(peer, workspace, terms, now)
            for peer in self.peers
            if self.unresponsive_until.get(peer, now) <= now
        }
        return {
            peer: balance for peer, balance in balances.items() if balance >= 0
        }

    def _estimate_balance(
        self, peer: str, workspace: str, terms: GrantTerms, now: float
    ) -> float:
        report = self.last_reports.get((peer, workspace))
        if report is None:
            return terms.extrapolate_level(terms.burst, 0)
        return terms.extrapolate_level(report.tokens, now - report.reported_at)


def split_among_peers(
    first_missing: float, total_missing: float, estimates: Mapping[str, float]
) -> dict[str, float]:
    """Return the tokens to request from each peer, the richest first.

    first_missing is what the first waiting request lacks, total_missing what
    all waiting requests lack. Empty if the peers together have less than
    first_missing.
    """
    if sum(estimates.values()) < first_missing:
        return {}
    transfers: dict[str, float] = {}
    poorest_first = sorted(
        ((balance, peer) for peer, balance in estimates.items() if balance)
    )
    while poorest_first and total_missing > 0:
        balance, peer = poorest_first.pop()
        transfers[peer] = min(total_missing, balance)
        total_missing -= balance
    return transfers
