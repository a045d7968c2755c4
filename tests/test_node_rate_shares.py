"""A workspace's rate on both sides of a cut, whoever holds the lease."""

import asyncio
import functools
import json
import random
import types
from typing import Any

import attrs
import pytest

from mimosaworks.deployment import WorkspaceConfig
from mimosaworks.dispatch import EntriesView, Refusal
from mimosaworks.dispatch.workspace_limiter import WorkspaceLimiter
from mimosaworks.errors import PeerError, PeerRefusedError, PeerTimeoutError
from mimosaworks.node.candidates import Candidates
from mimosaworks.node.cluster_state import ClusterState
from mimosaworks.node.conversions import assignment_request_from
from mimosaworks.node.election import Lease
from mimosaworks.node.heartbeat_times import MIN_MEMBER_TIMEOUT_S
from mimosaworks.node.holder import TICK_S
from mimosaworks.node.holder_link import HolderLink
from mimosaworks.node.limit_view import LimitView
from mimosaworks.node.node import Node
from mimosaworks.node.rate_shares import MAX_WITHHELD_S
from mimosaworks.node.standalone_chooser import StandaloneChooser
from mimosaworks.platform import decode_desired
from mimosaworks.wire import (
    Ack,
    CallAsk,
    CallReply,
    LeaseNotice,
    NodeRow,
)
from standins.agency.world import desired
from tests.dispatch_world import make_entry
from tests.jumping_loop import JumpingLoop, loop_now_s, use_loop_time
from tests.test_node_local_choice import make_ask

NODES = 9
RATE = 100.0
BURST = 200.0
COST = 5.0
WINDOW_S = 8.0
ALLOWED = (RATE * WINDOW_S + BURST) * 1.1
TARGET = make_entry('t1', service='ledger', slots=10**6)
DEPLOYMENT = attrs.evolve(
    decode_desired(json.dumps(desired()).encode()),
    workspaces={'small': WorkspaceConfig('small', frozenset(), RATE, BURST)},
)

Tasks = list['asyncio.Task[None]']


@attrs.define(eq=False)
class CutNodes:
    """Nodes, the links that are cut, and what they granted and when."""

    dice: random.Random
    nodes: dict[str, Node] = attrs.field(factory=dict)
    cut: set[tuple[str, str]] = attrs.field(factory=set)
    grants: list[float] = attrs.field(factory=list)
    refusals: list[float] = attrs.field(factory=list)

    def add_node(self, name: str) -> Node:
        """Add a node whose parts are real as far as they decide."""
        made = Node(
            cfg=_settings(name),
            nonce=name,
            cluster_state=ClusterState(deployment=DEPLOYMENT),
            store_client=None,  # type: ignore[arg-type]
            engine_calls=None,  # type: ignore[arg-type]
            meters=types.SimpleNamespace(  # type: ignore[arg-type]
                count_order=None, count_rate_limited_request=None
            ),
        )
        made.limit_view = LimitView()
        made.election = types.SimpleNamespace(  # type: ignore[assignment]
            lease=None,
            has_predecessor=False,
            step_down=None,
            is_lease_verified=lambda: True,
            renewal_pause=types.SimpleNamespace(wake=lambda: None),
            record_renewal=lambda _version: None,
        )
        made.cluster_follower = types.SimpleNamespace(  # type: ignore[assignment]
            entries_view=functools.partial(EntriesView, {}, 0, 0, 6),
            restart_follows=lambda: None,
            is_view_overdue=bool,
            is_view_fresh=lambda _age_s: True,
            targets_follower=types.SimpleNamespace(restart_follow=None),
        )
        made.frontend = types.SimpleNamespace(  # type: ignore[assignment]
            relay=types.SimpleNamespace(
                paths=types.SimpleNamespace(is_cut_off=False)
            )
        )
        made.holder_link = HolderLink(
            peers=CutPeers(self, name),  # type: ignore[arg-type]
            find_lease=lambda: made.election.lease,
            find_local_holder=lambda: made.holder,
            make_node_row=lambda: NodeRow(name, name, name, 'north', False, 1),
            list_running_calls=tuple,
            list_leaving_targets=dict,
            on_reply=lambda _reply: None,
            on_lost=lambda: None,
        )
        made.candidates = Candidates(made.cfg, made.holder_link, made.election)
        self.nodes[name] = made
        return made

    def elect(self, name: str, lease: Lease, voters: set[str]) -> None:
        """Let a node take the lease, and these nodes know of it."""
        known = self.nodes[name].election.lease
        for voter in voters:
            self.nodes[voter].stop_holder()
            self.nodes[voter].election.lease = lease
        self.nodes[name].election.has_predecessor = known is not None
        self.nodes[name].start_holder(lease, known.holder if known else '')

    def cut_off(self, side: set[str], *, one_way: bool) -> None:
        """Cut a side off from the others, both ways or its answers only."""
        for inner in side:
            for outer in self.nodes.keys() - side:
                self.cut.add((outer, inner))
                if not one_way:
                    self.cut.add((inner, outer))

    async def call_for(self, name: str, call_ask: CallAsk) -> bool:
        """Ask the holder, else decide alone; return whether it was granted."""
        node = self.nodes[name]
        link = node.holder_link
        try:
            if node.holder is not None:
                return _admit(node, call_ask)
            return not (await link.request_assignment(call_ask)).kind
        except PeerError:
            return False

    async def run_callers(self, name: str, local: StandaloneChooser) -> None:
        """Send requests all the time, more than the rate at each node."""
        node = self.nodes[name]
        while True:
            await asyncio.sleep(COST / RATE * self.dice.uniform(0.5, 1.5))
            node.cluster_state.targets_read_s = loop_now_s()
            call_ask = make_ask(node=name, cost=COST, call=f'{loop_now_s()}')
            if node.holder_link.has_contact():
                is_granted = await self.call_for(name, call_ask)
                local.reset_token_shares()
            else:
                is_granted = _decide_alone(node, local, call_ask)
            (self.grants if is_granted else self.refusals).append(loop_now_s())


def _settings(name: str) -> Any:
    bounds = types.SimpleNamespace(
        retry_ratio=0.2, retry_slack=50, retry_window_s=10
    )
    return types.SimpleNamespace(
        name=name, row_bytes=10000, bounds=bounds, peer_address=name
    )


def _admit(node: Node, call_ask: CallAsk) -> bool:
    assert node.holder is not None
    asked = assignment_request_from(call_ask, loop_now_s())
    admitted = node.holder.dispatcher.admit(asked, loop_now_s())
    return not isinstance(admitted, Refusal)


def _decide_alone(
    node: Node, local: StandaloneChooser, call_ask: CallAsk
) -> bool:
    local.apply_token_shares(
        DEPLOYMENT,
        node.holder_link.replicated_view.token_balances,
        node.candidates.count_shares() or 100,
        loop_now_s(),
    )
    profile = types.SimpleNamespace(model='', adapter='')
    decided = local.choose_target(
        call_ask,
        profile,  # type: ignore[arg-type]
        {'t1': TARGET},
        loop_now_s(),
    )
    if isinstance(decided, Refusal):
        return False
    node.holder_link.pending_updates.record_charged_tokens(
        call_ask.workspace, call_ask.cost
    )
    return True


@attrs.define(eq=False)
class CutPeers:
    """One node's calls to others, over links that may be cut."""

    world: CutNodes
    name: str

    async def call(
        self, address: str, message: Any, _reply: type, timeout_s: float
    ) -> Any:
        """Answer a call, unless a link is cut."""
        await asyncio.sleep(self.world.dice.uniform(0.001, 0.004))
        peer = self.world.nodes[address]
        if (self.name, address) in self.world.cut:
            await asyncio.sleep(timeout_s)
            raise PeerTimeoutError('cut')
        reply = await _answer(peer, message)
        if (address, self.name) in self.world.cut:
            await asyncio.sleep(timeout_s)
            raise PeerTimeoutError('cut')
        return reply


async def _answer(peer: Node, message: Any) -> Any:
    if isinstance(message, LeaseNotice):
        return Ack(accepted=True)
    if not isinstance(message, CallAsk):
        return await peer.handle_heartbeat(message)
    if peer.holder is None:
        raise PeerRefusedError('not the holder')
    kind = '' if _admit(peer, message) else 'rate_exceeded'
    return CallReply(kind=kind)


async def _start(seed: int) -> tuple[CutNodes, Tasks]:
    world = CutNodes(random.Random(seed))  # noqa: S311 -- replayable
    names = [f'n{number}' for number in range(NODES)]
    for name in names:
        world.add_node(name)
    world.elect('n0', Lease('n0', 'n0', 'n0', 1), set(names))
    tasks: Tasks = []
    for sender, node in world.nodes.items():
        beats = node.holder_link.send_heartbeats()
        callers = world.run_callers(sender, StandaloneChooser())
        tasks.extend(map(asyncio.create_task, (beats, callers)))
    await asyncio.sleep(world.dice.uniform(4, 8))
    return world, tasks


async def _play_cuts(seed: int) -> CutNodes:
    """Cut holders off in turn, each with some nodes; the others elect one."""
    world, tasks = await _start(seed)
    dice = world.dice
    names = sorted(world.nodes)
    holder = 'n0'
    for fence in (2, 3, 4):
        others = [name for name in names if name != holder]
        side = {holder, *dice.sample(others, dice.randrange(4))}
        world.cut_off(side, one_way=dice.choice((False, False, True)))
        await asyncio.sleep(dice.uniform(1.5, 2.5))
        rest = set(names) - side
        new_holder = dice.choice(sorted(rest))
        lease = Lease(new_holder, new_holder, new_holder, fence)
        world.elect(new_holder, lease, rest)
        # The stale holder learns it from a target, or after the cut.
        await asyncio.sleep(dice.choice((0.1, 4.0)))
        if dice.choice((True, False)):
            world.nodes[holder].stop_holder()
        await asyncio.sleep(dice.uniform(0, 10))
        world.cut.clear()
        for name in side:
            world.nodes[name].stop_holder()
            world.nodes[name].election.lease = lease
        holder = new_holder
        await asyncio.sleep(dice.choice((0.5, 9.0)))
    await _stop(world, tasks)
    return world


async def _stop(world: CutNodes, tasks: Tasks) -> None:
    for node in world.nodes.values():
        node.stop_holder()
    for task in tasks:
        task.cancel()
    ends = await asyncio.gather(*tasks, return_exceptions=True)
    assert all(isinstance(end, asyncio.CancelledError) for end in ends), ends


def _most_in_window(grants: list[float]) -> float:
    most = 0
    first = 0
    for number, granted_s in enumerate(grants):
        while grants[first] < granted_s - WINDOW_S:
            first += 1
        most = max(most, number + 1 - first)
    return most * COST


# Guards against two sides of a cut that each grant a workspace's whole rate: a
# holder that was cut off, or nodes that it alone heard, beside the next holder.
@pytest.mark.parametrize('seed', range(8))
def test_both_sides_of_a_cut_grant_one_rate_together(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    use_loop_time(monkeypatch)
    with asyncio.Runner(loop_factory=JumpingLoop) as runner:
        world = runner.run(_play_cuts(seed))
    assert _most_in_window(world.grants) <= ALLOWED


async def _play_change() -> tuple[CutNodes, float]:
    """Let the holder stop and another one follow; no node is cut off."""
    world, tasks = await _start(0)
    await asyncio.sleep(1)
    world.nodes['n0'].stop_holder()
    await asyncio.sleep(1)
    changed_s = loop_now_s()
    lease = Lease('n1', 'n1', 'n1', 2)
    world.elect('n1', lease, set(world.nodes))
    await asyncio.sleep(2 * TICK_S + 8)
    await _stop(world, tasks)
    return world, changed_s


# Guards against shares that stay withheld though all nodes are heard.
def test_a_change_of_holder_leaves_the_whole_rate(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    use_loop_time(monkeypatch)
    with asyncio.Runner(loop_factory=JumpingLoop) as runner:
        world, changed_s = runner.run(_play_change())
    granted = [one for one in world.grants if one > changed_s]
    assert len(granted) * COST > 0.95 * RATE * WINDOW_S
    assert _most_in_window(world.grants) <= ALLOWED


async def _play_gone_node() -> frozenset[str]:
    """Let a node go and the holder change twice; return who is silent then."""
    world, tasks = await _start(0)
    for task in tasks[-2:]:
        task.cancel()
    names = sorted(world.nodes)
    rest = set(names[:-1])
    for fence, name in enumerate(('n1', 'n2'), 2):
        await asyncio.sleep(MAX_WITHHELD_S * 2 / 3)
        world.elect(name, Lease(name, name, name, fence), rest)
    await asyncio.sleep(MIN_MEMBER_TIMEOUT_S)
    holder = world.nodes['n2'].holder
    assert holder is not None
    silent_nodes = holder.members.shares.silent_nodes()
    await _stop(world, tasks)
    return silent_nodes


# Guards against a change of holder that withholds the share of a node that is
# gone for as long again.
def test_a_gone_nodes_share_is_granted_in_time_whoever_is_the_holder(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    use_loop_time(monkeypatch)
    with asyncio.Runner(loop_factory=JumpingLoop) as runner:
        assert not runner.run(_play_gone_node())


# Guards against a debt of tokens that grows as it passes to another node.
def test_a_debt_is_told_as_it_is_beside_withheld_shares() -> None:
    limiter = WorkspaceLimiter()
    limiter.apply_workspaces(DEPLOYMENT.workspaces, 0)
    limiter.charge([('small', BURST + COST)])
    limiter.withhold_shares({'n1', 'n2'}, 4, 0)
    assert limiter.current_balances(0) == {'small': -COST}
