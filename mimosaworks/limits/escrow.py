"""One member's share of a workspace's tokens."""

import attrs

from mimosaworks.clock import DRIFT
from mimosaworks.limits.bucket import EPSILON_TOKENS, Bucket
from mimosaworks.limits.headroom import HeadroomLog

TRANSFER_S = 1.0  # a taker's time to use or bank a transfer
RESERVE_S = TRANSFER_S * (1 + DRIFT)  # a donor's count of the same time


@attrs.frozen
class _Transfer:
    expires_at: float
    tokens: float


@attrs.define
class Share:
    """A bucket with the transfers to and from it, after O'Neil's escrow.

    The donor debits first and lowers its cap by the transfer until the taker
    must have used, banked or dropped it. So all buckets and transfers of a
    workspace together never hold more than the sum of the caps. A lost
    message costs tokens and never grants any. Times are seconds of the
    owner's clock.
    """

    bucket: Bucket
    cap: float
    log: HeadroomLog = attrs.field(factory=HeadroomLog)
    given: dict[str, _Transfer] = attrs.field(factory=dict)
    asked: dict[str, float] = attrs.field(factory=dict)
    held: list[_Transfer] = attrs.field(factory=list)

    def advance(self, now: float) -> None:
        """Refill until now, end what has expired, and bank what fits."""
        # A reservation's end raises the cap, so the refill goes in steps.
        while self.given:
            oldest = next(iter(self.given))
            expires_at = self.given[oldest].expires_at
            if expires_at > now:
                break
            self.bucket.advance(expires_at)
            self.log.record(self.bucket.room)
            self.given.pop(oldest)
            self._limit()
        self.bucket.advance(now)
        self.asked = {
            transfer: until
            for transfer, until in self.asked.items()
            if until > now
        }
        self.held = [got for got in self.held if got.expires_at > now]
        self._bank()
        self.log.record(self.bucket.room)

    def set_terms(self, rate: float, cap: float, now: float) -> None:
        """Change rate (tokens/s) and cap (tokens) of the share."""
        self.advance(now)
        self.cap = cap
        self.bucket.set_terms(rate, self.bucket.cap)
        self._limit()
        self.log.record(self.bucket.room)

    def void_transfers(self) -> None:
        """Drop what was asked for or got under terms that have ended."""
        self.asked.clear()
        self.held.clear()

    def usable(self, now: float) -> float:
        """Return the tokens that a request could take now."""
        self.advance(now)
        return self.bucket.level + sum(got.tokens for got in self.held)

    def take(self, tokens: float, now: float) -> int | None:
        """Take tokens for a request.

        Returns a serial for put_back, or None if there are not enough.
        """
        if tokens > self.usable(now) + EPSILON_TOKENS:
            return None
        self.bucket.take(self._take_held(tokens))
        return self.log.next_serial()

    def put_back(self, serial: int, unused: float, now: float) -> float:
        """Return a request's unused tokens; give how many were kept.

        Kept are as many as the bucket would hold now had it always had them.
        """
        self.advance(now)
        lowest = max(0, self.log.lowest(serial))
        kept = self.bucket.put(min(unused, lowest))
        self.log.fill(serial, kept)
        return kept

    def ask(self, transfer: str, now: float) -> None:
        """Record a transfer that is about to be asked for."""
        self.asked[transfer] = now + TRANSFER_S

    def give(self, transfer: str, tokens: float, now: float) -> float:
        """Give up to so many tokens; return how many to grant.

        A transfer that was given already is answered with the same grant.
        """
        self.advance(now)
        earlier = self.given.get(transfer)
        if earlier is not None:
            return earlier.tokens
        granted = min(tokens, self.bucket.level)
        if granted <= 0:
            return 0
        self.bucket.take(granted)
        self.given[transfer] = _Transfer(now + RESERVE_S, granted)
        self._limit()
        return granted

    def receive(self, transfer: str, tokens: float, now: float) -> bool:
        """Bank or hold a grant; return False if late, doubled or void."""
        expires_at = self.asked.pop(transfer, now)
        self.advance(now)
        if expires_at <= now:
            return False
        self.held.append(_Transfer(expires_at, tokens))
        self.held.sort(key=lambda got: got.expires_at)
        self._bank()
        return True

    def _limit(self) -> None:
        reserved = sum(sent.tokens for sent in self.given.values())
        cap = max(0, self.cap - reserved)
        self.bucket.set_terms(self.bucket.rate, cap)

    def _bank(self) -> None:
        self._take_held(self.bucket.put(self._held_tokens()))

    def _held_tokens(self) -> float:
        return sum(got.tokens for got in self.held)

    def _take_held(self, tokens: float) -> float:
        # Returns what is still missing; earliest expiry goes first.
        while self.held and tokens > 0:
            got = self.held.pop(0)
            tokens -= got.tokens
            if tokens < 0:
                self.held.insert(0, _Transfer(got.expires_at, -tokens))
        return max(0, tokens)
