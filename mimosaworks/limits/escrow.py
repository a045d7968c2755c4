"""One member's share of a workspace's tokens, with transfers by escrow."""

import attrs

from mimosaworks.clock import DRIFT
from mimosaworks.limits.headroom import HeadroomLog
from mimosaworks.limits.token_bucket import EPSILON_TOKENS, TokenBucket

# The receiver of a transfer must use its tokens within this time, or add them
# to its bucket.
TRANSFER_TIMEOUT_S = 1.0
# The donor reserves the tokens for the same time by its own clock, which may
# differ by DRIFT.
RESERVATION_S = TRANSFER_TIMEOUT_S * (1 + DRIFT)


@attrs.frozen
class _Transfer:
    expires_at: float
    tokens: float


@attrs.define
class TokenShare:
    """A token bucket with the transfers to and from it.

    Implements O'Neil's escrow method: the donor is debited first, and its
    cap is lowered by the transfer until the receiver must have used the
    tokens, added them to its bucket or dropped them. So all buckets and
    transfers of a workspace together never hold more than the sum of the
    caps. A lost message costs tokens and never grants any.

    cap is the share's cap without reservations. requested_until maps
    requested transfers to the time until which their grant counts.
    held_transfers are received tokens that do not fit into the bucket.
    Times are in seconds of the owner's clock.
    """

    bucket: TokenBucket
    cap: float
    headroom_log: HeadroomLog = attrs.field(factory=HeadroomLog)
    outgoing_transfers: dict[str, _Transfer] = attrs.field(factory=dict)
    requested_until: dict[str, float] = attrs.field(factory=dict)
    held_transfers: list[_Transfer] = attrs.field(factory=list)

    def refill(self, now: float) -> None:
        """Refill until now, drop expired transfers, and add held tokens."""
        # The end of each reservation raises the cap, so the bucket is
        # refilled up to each of these times in turn.
        while self.outgoing_transfers:
            oldest_transfer = next(iter(self.outgoing_transfers))
            expires_at = self.outgoing_transfers[oldest_transfer].expires_at
            if expires_at > now:
                break
            self.bucket.refill(expires_at)
            self.headroom_log.record_headroom(self.bucket.headroom)
            self.outgoing_transfers.pop(oldest_transfer)
            self._apply_reservations()
        self.bucket.refill(now)
        self.requested_until = {
            transfer: until
            for transfer, until in self.requested_until.items()
            if until > now
        }
        self.held_transfers = [
            incoming
            for incoming in self.held_transfers
            if incoming.expires_at > now
        ]
        self._deposit_held()
        self.headroom_log.record_headroom(self.bucket.headroom)

    def set_limits(self, rate: float, cap: float, now: float) -> None:
        """Change rate (tokens/s) and cap (tokens) of the share."""
        self.refill(now)
        self.cap = cap
        self.bucket.set_limits(rate, self.bucket.cap)
        self._apply_reservations()
        self.headroom_log.record_headroom(self.bucket.headroom)

    def discard_transfers(self) -> None:
        """Drop requested and held transfers after a change of the terms."""
        self.requested_until.clear()
        self.held_transfers.clear()

    def usable_tokens(self, now: float) -> float:
        """Return the tokens that a request could be charged now."""
        self.refill(now)
        return self.bucket.level + sum(
            incoming.tokens for incoming in self.held_transfers
        )

    def try_acquire(self, tokens: float, now: float) -> int | None:
        """Charge the tokens of a request.

        Returns the headroom period that a refund needs, or None if there
        are not enough tokens.
        """
        if tokens > self.usable_tokens(now) + EPSILON_TOKENS:
            return None
        self.bucket.try_acquire(self._consume_held(tokens))
        return self.headroom_log.start_period()

    def refund(self, period: int, unused: float, now: float) -> float:
        """Refund a request's unused tokens; return how many were added.

        As many are added as the bucket would hold now if they had never been
        charged.
        """
        self.refill(now)
        lowest_headroom = max(0, self.headroom_log.lowest_since(period))
        refunded = self.bucket.add_tokens(min(unused, lowest_headroom))
        self.headroom_log.deduct_since(period, refunded)
        return refunded

    def record_requested_transfer(self, transfer: str, now: float) -> None:
        """Record a transfer that is about to be requested from a peer."""
        self.requested_until[transfer] = now + TRANSFER_TIMEOUT_S

    def grant_transfer(self, transfer: str, tokens: float, now: float) -> float:
        """Debit up to so many tokens for a peer; return how many.

        A transfer that was granted before is granted the same tokens again
        without a second debit.
        """
        self.refill(now)
        earlier_transfer = self.outgoing_transfers.get(transfer)
        if earlier_transfer is not None:
            return earlier_transfer.tokens
        granted_tokens = min(tokens, self.bucket.level)
        if granted_tokens <= 0:
            return 0
        self.bucket.try_acquire(granted_tokens)
        self.outgoing_transfers[transfer] = _Transfer(
            now + RESERVATION_S, granted_tokens
        )
        self._apply_reservations()
        return granted_tokens

    def receive_transfer(
        self, transfer: str, tokens: float, now: float
    ) -> bool:
        """Add or hold granted tokens.

        Returns False, and ignores the grant, if it is late, came twice or was
        requested under earlier terms.
        """
        expires_at = self.requested_until.pop(transfer, now)
        self.refill(now)
        if expires_at <= now:
            return False
        self.held_transfers.append(_Transfer(expires_at, tokens))
        self.held_transfers.sort(key=lambda incoming: incoming.expires_at)
        self._deposit_held()
        return True

    def _apply_reservations(self) -> None:
        reserved_tokens = sum(
            outgoing.tokens for outgoing in self.outgoing_transfers.values()
        )
        cap = max(0, self.cap - reserved_tokens)
        self.bucket.set_limits(self.bucket.rate, cap)

    def _deposit_held(self) -> None:
        self._consume_held(self.bucket.add_tokens(self._held_tokens()))

    def _held_tokens(self) -> float:
        return sum(incoming.tokens for incoming in self.held_transfers)

    def _consume_held(self, missing: float) -> float:
        # Uses up the transfers in the order of their expiry and returns the
        # number of tokens that are still missing.
        while self.held_transfers and missing > 0:
            oldest_incoming = self.held_transfers.pop(0)
            missing -= oldest_incoming.tokens
            if missing < 0:
                self.held_transfers.insert(
                    0, _Transfer(oldest_incoming.expires_at, -missing)
                )
        return max(0, missing)
