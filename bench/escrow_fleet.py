"""A simulated fleet of token share holders with a made-up clock."""

import heapq
import itertools
import random
from collections.abc import Callable

import attrs

from mimosaworks.entities import Workspace
from mimosaworks.limits import TokenAllocator
from mimosaworks.limits.messenger import BALANCE_REPORT_PERIOD_S
from mimosaworks.limits.workspace_account import TokenRequest
from mimosaworks.wire import TokenAsk, TokenBalances, TokenGrant

ONE_WAY_S = 0.0015
MAX_WAIT_S = 1.0
RATE_TOKENS_PER_S = 1000
BURST_TOKENS = 5000
WORKSPACE = Workspace('w', RATE_TOKENS_PER_S, BURST_TOKENS)
MEAN_COST_TOKENS = 200
COST_SIGMA = 1.0
MAX_COST_TOKENS = 2500
FILL_S = 10.0  # lets the shares fill before requests come
DOWN_S = 5.0  # a crashed member's time to come back; an owner's lease


@attrs.frozen
class Case:
    """One system under one load.

    members share the tokens; transfers tells whether they may move between
    members; via_owner that each request asks the one member over the
    network. crash_every_s is 0 for a run without crashes.
    """

    members: int
    has_transfers: bool
    via_owner: bool
    load: float
    is_spread: bool
    crash_every_s: float = 0


@attrs.define
class Tally:
    """What was counted in a run."""

    requests: int = 0
    refused: int = 0
    transfer_messages: int = 0
    balance_messages: int = 0
    dispatched_tokens: float = 0

    def add(self, other: 'Tally') -> None:
        """Add the counts of another run."""
        self.requests += other.requests
        self.refused += other.refused
        self.transfer_messages += other.transfer_messages
        self.balance_messages += other.balance_messages
        self.dispatched_tokens += other.dispatched_tokens

    def columns(self, duration_s: float) -> str:
        """Return percent refused, messages a request, and tokens/s."""
        columns = (
            100 * self.refused / self.requests,
            self.transfer_messages / self.requests,
            self.balance_messages / self.requests,
            self.dispatched_tokens / duration_s,
        )
        return ' '.join(f'{column:.2f}' for column in columns)


_Event = tuple[float, int, Callable[[], None]]


@attrs.define
class Fleet:
    """Runs the holders' real decisions; times are simulated seconds."""

    case: Case
    rng: random.Random
    choice_rng: random.Random
    at: float = 0
    tally: Tally = attrs.field(factory=Tally)
    holders: dict[str, TokenAllocator] = attrs.field(factory=dict)
    down: set[str] = attrs.field(factory=set)
    wakes: dict[str, float] = attrs.field(factory=dict)
    boots: int = 0
    tickets: int = 0
    events: list[_Event] = attrs.field(factory=list)
    order: 'itertools.count[int]' = attrs.field(factory=itertools.count)

    def run(self, duration_s: float) -> Tally:
        """Run for so long with full shares at the start."""
        names = [f'm{place}' for place in range(self.case.members)]
        for name in names:
            self._boot(name, names)
            self._report(name)
        self.after(FILL_S, self._arrive)
        if self.case.crash_every_s:
            self.after(FILL_S + self.case.crash_every_s, self._crash)
        self._run_until(FILL_S + duration_s)
        return self.tally

    def after(self, delay_s: float, act: Callable[[], None]) -> None:
        """Call act after a delay."""
        event = (self.at + delay_s, next(self.order), act)
        heapq.heappush(self.events, event)

    def _run_until(self, end: float) -> None:
        while self.events[0][0] < end:
            at, _, act = heapq.heappop(self.events)
            self.at = at
            act()

    def _boot(self, name: str, names: list[str]) -> None:
        self.boots += 1
        holder = TokenAllocator(name, f'{self.boots}')
        holder.registry.set_grants({'w': WORKSPACE}, self.at)
        holder.set_holders(1, names, self.at)
        holder.confirm_holders(1, self.at)
        if not self.case.has_transfers:
            holder.balances.replace_peers(())
        self.holders[name] = holder
        self.down.discard(name)

    def _crash(self) -> None:
        names = list(self.holders)
        name = names[0]
        book = self.holders[name].registry
        queue = book.accounts['w'].queue
        self.tally.refused += len(queue)
        queue.clear()
        self.down.add(name)
        self.after(DOWN_S, lambda: self._boot(name, names))
        self.after(self.case.crash_every_s, self._crash)

    def _arrive(self) -> None:
        requests_per_s = self.case.load * RATE_TOKENS_PER_S / MEAN_COST_TOKENS
        self.after(self.rng.expovariate(requests_per_s), self._arrive)
        tokens = self._draw_cost()
        self.tally.requests += 1
        live = [name for name in self.holders if name not in self.down]
        if not live:
            self.tally.refused += 1
            return
        name = self.choice_rng.choice(live) if self.case.is_spread else live[0]
        if self.case.via_owner:
            self.tally.transfer_messages += 2
            self.after(ONE_WAY_S, lambda: self._request(name, tokens))
        else:
            self._request(name, tokens)

    def _draw_cost(self) -> float:
        mean_log = -(COST_SIGMA**2) / 2
        factor = self.rng.lognormvariate(mean_log, COST_SIGMA)
        return min(MAX_COST_TOKENS, MEAN_COST_TOKENS * factor)

    def _request(self, name: str, tokens: float) -> None:
        holder = self.holders[name]
        if holder.predict_wait_s('w', tokens, self.at) > MAX_WAIT_S:
            self.tally.refused += 1
            return
        self.tickets += 1
        deadline = self.at + MAX_WAIT_S
        holder.enqueue('w', TokenRequest(self.tickets, tokens, deadline))
        self._poll(name)

    def _poll(self, name: str) -> None:
        if name in self.down:
            return
        decisions = self.holders[name].decide('w', self.at)
        self.wakes[name] = float('inf')
        self.tally.refused += len(decisions.refused)
        for served in decisions.served:
            self.tally.dispatched_tokens += served.charge.tokens
        for entry in decisions.transfer_requests:
            self._send(name, entry.peer, entry.token_ask)
        if decisions.next_decision_at < float('inf'):
            delay_s = max(0, decisions.next_decision_at - self.at)
            self.wakes[name] = self.at + delay_s
            self.after(delay_s, lambda: self._wake(name))

    def _wake(self, name: str) -> None:
        # A later poll has put the earlier wake off.
        if self.wakes.get(name, 0) <= self.at:
            self.wakes.pop(name, None)
            self._poll(name)

    def _send(
        self,
        source: str,
        target: str,
        message: TokenAsk | TokenGrant | TokenBalances,
    ) -> None:
        if isinstance(message, TokenBalances):
            self.tally.balance_messages += 1
        else:
            self.tally.transfer_messages += 1
        self.after(ONE_WAY_S, lambda: self._deliver(source, target, message))

    def _deliver(
        self,
        source: str,
        target: str,
        message: TokenAsk | TokenGrant | TokenBalances,
    ) -> None:
        holder = self.holders[target]
        if target in self.down:
            self._refuse_connection(source, target, message)
        elif isinstance(message, TokenAsk):
            grant = holder.handle_transfer_request(message, self.at)
            self._send(target, source, grant)
        elif isinstance(message, TokenGrant):
            holder.handle_grant(source, message, self.at)
            self._poll(target)
        else:
            holder.handle_balances(message, self.at)

    def _refuse_connection(
        self,
        source: str,
        target: str,
        message: TokenAsk | TokenGrant | TokenBalances,
    ) -> None:
        if isinstance(message, TokenAsk) and source not in self.down:
            self.holders[source].handle_missing_reply(target, message, self.at)
            self._poll(source)

    def _report(self, name: str) -> None:
        self.after(BALANCE_REPORT_PERIOD_S, lambda: self._report(name))
        if name in self.down:
            return
        holder = self.holders[name]
        news = holder.collect_changed_balances(self.at)
        if news and self.at >= FILL_S:
            for peer in holder.balances.peers:
                self._send(name, peer, news)
