"""What a node and the holder conclude from targets that a node can't reach."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncGenerator
from typing import Any

import attrs

from mimosaworks.clock import now_s
from mimosaworks.errors import PeerError
from mimosaworks.node.candidates import Candidates
from mimosaworks.node.lease_handover import LeaseHandover
from mimosaworks.node.replicated_view import ReplicatedView
from mimosaworks.node.target_paths import TargetPaths
from mimosaworks.wire import LeaseNotice, LeaseOffer, NodeRow
from tests.test_node_electorate import Link, Place
from tests.test_node_processes import until

# No program listens there.
CLOSED = ('127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3')


@contextlib.asynccontextmanager
async def checked_paths(
    addresses: list[str],
) -> AsyncGenerator[TargetPaths, None]:
    paths = TargetPaths(lambda: addresses)
    task = asyncio.create_task(paths.run_checks())
    yield paths
    task.cancel()


@contextlib.contextmanager
def listening_target() -> Any:
    """A target that accepts connections and stays silent."""
    with socket.create_server(('127.0.0.1', 0)) as server:
        host, port = server.getsockname()
        yield f'{host}:{port}'


# Guards against a node that finds out anew with each request that it reaches no
# target, and against one that does not notice the end of the partition.
async def test_a_node_without_a_path_knows_it_until_a_target_accepts() -> None:
    async with checked_paths(list(CLOSED)) as paths:
        paths.record_unreachable()
        await until(lambda: paths.is_cut_off)
        with listening_target() as address:
            paths.list_addresses = lambda: [address]
            await until(lambda: not paths.is_cut_off)


# Guards against a node that takes itself for cut off because of one target.
async def test_a_crashed_target_does_not_cut_a_node_off() -> None:
    with listening_target() as address:
        async with checked_paths([CLOSED[0], address]) as paths:
            paths.record_unreachable()
            await asyncio.sleep(0.4)
            assert not paths.is_cut_off


# Guards against connections that hang, on which no failure is seen for long.
async def test_silence_of_all_targets_is_checked() -> None:
    async with checked_paths(list(CLOSED)) as paths:
        with paths.track_attempt():
            await until(lambda: paths.is_cut_off)


# Guards against checks, which cost the targets connections, while bytes come,
# and while nothing is asked.
async def test_targets_that_send_are_not_checked() -> None:
    async with checked_paths(list(CLOSED)) as paths:
        await asyncio.sleep(0.8)
        assert not paths.is_cut_off
        with paths.track_attempt():
            for _ in range(20):
                await asyncio.sleep(0.05)
                paths.record_bytes()
        assert not paths.is_cut_off


def make_row(name: str, *, relays: bool, started_s: float = 0) -> NodeRow:
    return NodeRow(name, 'f', name, 'north', started_s=started_s, relays=relays)


# Guards against a node without a path that is the first to take the lease.
def test_a_node_that_reaches_targets_goes_first_in_an_election() -> None:
    rows = (
        make_row('cut', relays=False, started_s=9),
        make_row('sound', relays=True, started_s=1),
    )
    told = ReplicatedView(members={row.name: row for row in rows})
    ranks = {
        row.name: Candidates(
            Place(row.name),  # type: ignore[arg-type]
            Link(told),  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
        ).candidate_rank()
        for row in rows
    }
    assert ranks == {'sound': 0, 'cut': 1}


def _is_true(*_: object) -> bool:
    return True


def _is_false(*_: object) -> bool:
    return False


@attrs.define(eq=False)
class OfferedPeers:
    """Peers that take the lease; offers are the addresses that got one."""

    offers: list[str] = attrs.field(factory=list)

    async def call(
        self, address: str, message: object, _reply: type, _timeout_s: float
    ) -> LeaseNotice:
        if not isinstance(message, LeaseOffer):
            raise PeerError(address)
        self.offers.append(address)
        return LeaseNotice(address, address, 'other', 2, 2)


# Guards against orders that nobody can send: the holder has no path.
async def test_a_holder_without_a_path_offers_the_lease_to_one_with_it() -> (
    None
):
    rows = (make_row('cut', relays=False), make_row('sound', relays=True))
    peers = OfferedPeers()
    is_cut_off = False
    handover = LeaseHandover(
        store=None,  # type: ignore[arg-type]
        peers=peers,  # type: ignore[arg-type]
        nonce='own',
        is_view_overdue=_is_false,
        is_view_fresh=_is_true,
        view_age_s=float,
        store_version=int,
        list_nodes=lambda: rows,
        on_store_reached=list,
        on_lease_notice=_is_false,
        is_cut_off=lambda: is_cut_off,
    )
    task = asyncio.create_task(handover.run())
    await asyncio.sleep(0.6)
    assert not peers.offers
    is_cut_off = True
    started_s = now_s()
    await until(lambda: bool(peers.offers))
    task.cancel()
    assert set(peers.offers) == {'sound'}
    assert now_s() < started_s + 1
