"""Random runs of the token allocators of several members.

Members have their own clocks, whose rates differ by up to DRIFT. Messages are
lost, delayed and duplicated; members crash, restart empty, and freeze; the
holder set and the grant change while transfers are in flight.
"""

import copy

import attrs
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from mimosaworks.clock import DRIFT
from mimosaworks.entities import Workspace
from mimosaworks.limits.decisions import TokenCharge
from mimosaworks.limits.token_allocator import TokenAllocator
from mimosaworks.limits.workspace_account import TokenRequest
from mimosaworks.wire import TokenAsk, TokenBalances, TokenGrant

NAMES = ('a', 'b', 'c', 'd')
CLOCK_RATES = (1.0, 1 + DRIFT, 1 + DRIFT / 2, 1.0)
RATES = (50.0, 100.0, 400.0)
BURSTS = (60.0, 100.0, 300.0)
EPSILON = 1e-3

members = st.sampled_from(NAMES)
fractions = st.sampled_from((0.05, 0.2, 0.34, 0.5, 1.0))
indexes = st.integers(0, 1000)
delays = st.sampled_from((0, 0, 0.1, 0.5, 0.985, 0.999, 1.009, 1.012))
rarely = st.sampled_from((False, False, False, True))


@attrs.define
class Member:
    """A process with its clock, and the epoch and version it has applied."""

    name: str
    clock_rate: float
    offset: float
    holder: TokenAllocator | None = None
    epoch: int = 0
    version: int = 0
    frozen: bool = False

    def local_time(self, at: float) -> float:
        return self.offset + at * self.clock_rate


@attrs.define
class Charge:
    """Tokens that a request was charged, less those that were refunded."""

    at: float
    tokens: float
    member: str
    allocator: TokenAllocator
    receipt: TokenCharge


@attrs.frozen
class Sent:
    """A message in the network."""

    source: str
    target: str
    message: TokenAsk | TokenGrant | TokenBalances


@attrs.frozen
class Terms:
    """The grant that applies from a time on."""

    at: float
    rate: float
    burst: float


@attrs.define
class GlobalBucket:
    """The token bucket that all members together must not exceed."""

    events: list[Charge | Terms] = attrs.field(factory=list)

    @property
    def terms(self) -> Terms:
        terms = [event for event in self.events if isinstance(event, Terms)]
        return terms[-1]

    @property
    def charges(self) -> list[Charge]:
        return [event for event in self.events if isinstance(event, Charge)]

    def lowest_and_current_level(self, until: float) -> tuple[float, float]:
        """Return the lowest level up to a time, and the level at that time."""
        terms = self.events[0]
        at = terms.at
        level = terms.burst
        lowest = level
        for event in (*self.events, Terms(until, 0, self.terms.burst)):
            refill = terms.rate * (1 + DRIFT) * (event.at - at)
            level = min(terms.burst, level + refill)
            at = event.at
            if isinstance(event, Terms):
                terms = event
                level = min(terms.burst, level)
            else:
                level -= event.tokens
            lowest = min(lowest, level)
        return lowest, level


class Fleet(RuleBasedStateMachine):
    """All members with shares of one workspace, and the network."""

    def __init__(self) -> None:
        super().__init__()
        self.at = 0
        self.boots = 0
        self.network: list[Sent] = []
        self.sets: list[tuple[str, ...]] = [()]
        self.in_force = 0
        self.grants: list[Workspace | None] = [None]
        self.accepted = 0
        self.bucket = GlobalBucket()
        self.members = {
            name: Member(name, rate, 10.0 * place)
            for place, (name, rate) in enumerate(
                zip(NAMES, CLOCK_RATES, strict=True)
            )
        }

    @initialize(count=st.integers(2, 4), burst=st.sampled_from(BURSTS))
    def start(self, count: int, burst: float) -> None:
        self.sets.append(NAMES[:count])
        for name in NAMES:
            self.start_member(self.members[name])
        self.grants.append(Workspace('w', 100.0, burst))
        self.apply_latest_everywhere()
        self.fill_shares()

    @rule()
    def fill_shares(self) -> None:
        """Let shares grow to their fractions, and then refill."""
        for step_s in (1.1, 6.0):
            self.at += step_s
            for member in self.live_members():
                member.holder.registry.advance_clock(member.local_time(self.at))

    def start_member(self, member: Member) -> None:
        """Start a process, which reads the latest state from the store."""
        self.boots += 1
        member.holder = TokenAllocator(member.name, f'boot{self.boots}')
        member.version = len(self.grants) - 1
        member.epoch = len(self.sets) - 1
        member.frozen = False
        self.apply_state(member)

    def apply_state(self, member: Member) -> None:
        now = member.local_time(self.at)
        grant = self.grants[member.version]
        member.holder.registry.set_grants({'w': grant} if grant else {}, now)
        member.holder.set_holders(member.epoch, self.sets[member.epoch], now)
        self.update_global_bucket()

    def update_global_bucket(self) -> None:
        """Update what is in force at all members that can dispatch."""
        live = [
            member
            for member in self.members.values()
            if member.holder and not member.frozen
        ]
        self.in_force = max(
            self.in_force, min(member.epoch for member in live) if live else 0
        )
        lowest = min((member.version for member in live), default=0)
        self.accepted = max(self.accepted, lowest)
        grants = [grant for grant in self.grants[self.accepted :] if grant]
        if grants:
            rate = max(grant.rate_tokens_per_s for grant in grants)
            burst = max(grant.burst_tokens for grant in grants)
            self.bucket.events.append(Terms(self.at, rate, burst))

    def apply_latest_everywhere(self) -> None:
        """Let all members apply and confirm the latest state."""
        for member in self.live_members():
            member.version = len(self.grants) - 1
            member.epoch = len(self.sets) - 1
            self.apply_state(member)
        for member in self.live_members():
            member.holder.confirm_holders(
                self.in_force, member.local_time(self.at)
            )

    def live_members(self) -> list[Member]:
        return [
            member
            for member in self.members.values()
            if member.holder and not member.frozen
        ]

    def carry_out_decisions(self, member: Member) -> None:
        """Let a member decide; send its transfer requests."""
        decisions = member.holder.decide('w', member.local_time(self.at))
        for served in decisions.served:
            receipt = served.charge
            self.bucket.events.append(
                Charge(
                    self.at,
                    receipt.tokens,
                    member.name,
                    member.holder,
                    receipt,
                )
            )
        for entry in decisions.transfer_requests:
            self.network.append(Sent(member.name, entry.peer, entry.token_ask))

    def deliver(self, sent: Sent) -> None:
        member = self.members[sent.target]
        if not member.holder:
            return
        now = member.local_time(self.at)
        if isinstance(sent.message, TokenAsk):
            reply = member.holder.handle_transfer_request(sent.message, now)
            self.network.append(Sent(sent.target, sent.source, reply))
        elif isinstance(sent.message, TokenGrant):
            member.holder.handle_grant(sent.source, sent.message, now)
            if not member.frozen:
                self.carry_out_decisions(member)
        else:
            member.holder.handle_balances(sent.message, now)

    @rule(step_s=st.sampled_from((0.01, 0.1, 0.3, 0.985, 1.0, 1.015, 4.0)))
    def pass_time(self, step_s: float) -> None:
        self.at += step_s

    @rule(name=members, part=fractions, timeout_s=st.sampled_from((0.5, 9.0)))
    def request(self, name: str, part: float, timeout_s: float) -> None:
        member = self.members[name]
        if member in self.live_members():
            tokens = self.grants[member.version].burst_tokens * part
            deadline = member.local_time(self.at) + timeout_s
            member.holder.enqueue('w', TokenRequest(1, tokens, deadline))
            self.carry_out_decisions(member)

    @rule(name=members, part=fractions, late_s=delays, copies=st.integers(0, 2))
    def request_and_deliver(
        self, name: str, part: float, late_s: float, copies: int
    ) -> None:
        """Request a transfer that is answered late, twice or not at all."""
        grants = self.request_transfers(name, part)
        self.at += late_s
        for grant in grants * copies:
            self.deliver(grant)

    @rule(names=st.lists(st.tuples(members, fractions), max_size=4))
    def request_in_a_row(self, names: list[tuple[str, float]]) -> None:
        """Let several members with full shares dispatch in a row."""
        self.fill_shares()
        for name, part in names:
            self.request_and_deliver(name, part, 0, 1)

    def request_transfers(self, name: str, part: float) -> list[Sent]:
        """Return the peers' grants for a new request."""
        self.network.clear()
        self.request(name, part, 9)
        for message in self.pop_messages():
            self.deliver(message)
        return self.pop_messages()

    def pop_messages(self) -> list[Sent]:
        sent = self.network.copy()
        self.network.clear()
        return sent

    @rule()
    def decide(self) -> None:
        for member in self.live_members():
            self.carry_out_decisions(member)

    @rule(name=members)
    def report(self, name: str) -> None:
        member = self.members[name]
        if member in self.live_members():
            message = member.holder.collect_changed_balances(
                member.local_time(self.at)
            )
            for peer in NAMES if message else ():
                self.network.append(Sent(name, peer, message))

    @precondition(lambda fleet: fleet.network)
    @rule(pick=indexes, is_kept=st.booleans())
    def deliver_one(self, pick: int, is_kept: bool) -> None:
        place = pick % len(self.network)
        sent = self.network[place]
        if not is_kept:
            self.network.pop(place)
        self.deliver(sent)

    @precondition(lambda fleet: fleet.network)
    @rule()
    def deliver_all(self) -> None:
        for _ in range(40):
            if self.network:
                self.deliver(self.network.pop(0))

    @precondition(lambda fleet: fleet.network)
    @rule(pick=indexes)
    def lose_message(self, pick: int) -> None:
        self.network.pop(pick % len(self.network))

    @precondition(lambda fleet: fleet.bucket.charges)
    @rule(pick=indexes, part=fractions)
    def refund(self, pick: int, part: float) -> None:
        charge = self.bucket.charges[pick % len(self.bucket.charges)]
        member = self.members[charge.member]
        # Only tokens that were not refunded before may be refunded.
        if member.holder is charge.allocator and charge.tokens:
            unused = charge.tokens * part
            charge.tokens -= unused
            now = member.local_time(self.at)
            member.holder.refund(charge.receipt, unused, now)

    @rule(name=members, is_down=rarely)
    def crash(self, name: str, is_down: bool) -> None:
        member = self.members[name]
        member.holder = None
        self.update_global_bucket()
        if not is_down:
            self.start_member(member)

    @rule(name=members)
    def restart(self, name: str) -> None:
        member = self.members[name]
        member.holder = None
        self.update_global_bucket()
        self.start_member(member)

    @invariant()
    def no_more_tokens_than_one_bucket_has(self) -> None:
        lowest, level = self.bucket.lowest_and_current_level(self.at)
        assert lowest >= -EPSILON, 'dispatched more than burst + rate x w'
        present = sum(self.usable(member) for member in self.live_members())
        assert present + self.tokens_in_transit() <= level + EPSILON

    def usable(self, member: Member) -> float:
        account = member.holder.registry.accounts.get('w')
        if not account:
            return 0
        # A copy, so that the check does not refill the share.
        share = copy.deepcopy(account.share)
        return share.usable_tokens(
            max(member.local_time(self.at), share.bucket.updated_at)
        )

    def tokens_in_transit(self) -> float:
        grants: dict[str, float] = {}
        for sent in self.network:
            member = self.members[sent.target]
            if member not in self.live_members() or not isinstance(
                sent.message, TokenGrant
            ):
                continue
            account = member.holder.registry.accounts['w']
            # An expired request may still be recorded; its grant is refused.
            until = account.share.requested_until.get(sent.message.transfer, 0)
            if until > member.local_time(self.at):
                tokens = sent.message.tokens
                earlier = grants.get(sent.message.transfer, 0)
                grants[sent.message.transfer] = max(earlier, tokens)
        return sum(grants.values())


class ChangingFleet(Fleet):
    """A fleet whose holder set and grant change."""

    @rule(name=members, is_frozen=rarely)
    def freeze(self, name: str, is_frozen: bool) -> None:
        if is_frozen:
            self.members[name].frozen = True
        self.update_global_bucket()

    @rule(name=members)
    def thaw(self, name: str) -> None:
        member = self.members[name]
        if member.holder and member.frozen:
            # A member may act again only after it has applied the accepted
            # state.
            member.version = max(member.version, self.accepted)
            member.epoch = max(member.epoch, self.in_force)
            self.apply_state(member)
            member.frozen = False

    @rule(names=st.sets(members, min_size=1))
    def change_holders(self, names: set[str]) -> None:
        self.sets.append(tuple(sorted(names)))

    @rule(rate=st.sampled_from(RATES), burst=st.sampled_from(BURSTS))
    def change_grant(self, rate: float, burst: float) -> None:
        self.grants.append(Workspace('w', rate, burst))
        self.update_global_bucket()

    @rule(name=members)
    def apply_latest(self, name: str) -> None:
        member = self.members[name]
        if member in self.live_members():
            member.version = len(self.grants) - 1
            member.epoch = len(self.sets) - 1
            self.apply_state(member)

    @rule(name=members)
    def apply_next(self, name: str) -> None:
        member = self.members[name]
        if member in self.live_members():
            member.version = min(member.version + 1, len(self.grants) - 1)
            member.epoch = min(member.epoch + 1, len(self.sets) - 1)
            self.apply_state(member)

    @rule(name=members)
    def confirm(self, name: str) -> None:
        member = self.members[name]
        if member in self.live_members():
            now = member.local_time(self.at)
            member.holder.confirm_holders(self.in_force, now)

    @rule()
    def apply_everywhere(self) -> None:
        self.apply_latest_everywhere()

    @rule(
        name=members,
        part=fractions,
        change=st.sampled_from(('holders', 'grant', 'restart', 'frozen')),
        names=st.sets(members, min_size=1),
        late_s=delays,
    )
    def exchange_through_change(
        self,
        name: str,
        part: float,
        change: str,
        names: set[str],
        late_s: float,
    ) -> None:
        """Make a change while a transfer is in flight."""
        self.apply_latest_everywhere()
        self.fill_shares()
        if change == 'frozen':
            self.freeze(min(names), is_frozen=True)
            self.change_holders({*names, name})
            self.apply_latest_everywhere()
            self.fill_shares()
        grants = self.request_transfers(name, part)
        if change == 'holders':
            self.change_holders(names)
            self.apply_latest_everywhere()
        elif change == 'grant':
            self.change_grant(RATES[0], BURSTS[0])
            self.apply_latest_everywhere()
        elif change == 'restart' and grants:
            self.restart(grants[0].source)
            self.apply_latest_everywhere()
        self.at += late_s
        for grant in grants:
            self.deliver(grant)


RUNS = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=150,
    stateful_step_count=40,
    suppress_health_check=list(HealthCheck),
    # Shrinking a failed run of this length takes minutes.
    phases=(Phase.explicit, Phase.generate),
)
TestFleet = Fleet.TestCase
TestFleet.settings = RUNS
TestChangingFleet = ChangingFleet.TestCase
TestChangingFleet.settings = RUNS
