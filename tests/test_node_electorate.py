"""Which nodes take the lease first."""

from typing import Any

import attrs

from mimosaworks.node.candidates import Candidates
from mimosaworks.node.election import PREFERRED_CANDIDATES, Lease
from mimosaworks.node.replicated_view import ReplicatedView
from mimosaworks.wire import NodeRow

MANY = 195


@attrs.frozen
class Place:
    """The settings of a node that an election looks at."""

    name: str


@attrs.frozen
class Row:
    """What a node knows of the lease row."""

    lease: Lease


@attrs.frozen
class Link:
    """What a node was told."""

    replicated_view: ReplicatedView


def row(name: str, strength: float, started_s: float, **facts: Any) -> NodeRow:
    return NodeRow(
        name=name,
        front_address='',
        peer_address='',
        data_centre='north',
        strength=strength,
        started_s=started_s,
        **facts,
    )


def places(*rows: NodeRow) -> dict[str, int]:
    """Return the place of each node that stays."""
    told = ReplicatedView(members={one.name: one for one in rows})
    return {
        one.name: Candidates(Place(one.name), Link(told), None).candidate_rank()  # type: ignore[arg-type]
        for one in rows
        if not one.is_stopping
    }


def order(*rows: NodeRow) -> list[str]:
    """Return the names of the nodes by how eager each of them is."""
    found = places(*rows)
    return sorted(found, key=found.__getitem__)


# In a restart of all nodes in turn the lease went from one that was to stop
# soon to the next: four holders in ten seconds.
def test_the_node_that_was_restarted_last_goes_first() -> None:
    rows = (row('a', 1, 10), row('b', 1, 90), row('c', 1, 50))
    assert order(*rows) == ['b', 'c', 'a']


def test_a_weak_node_goes_after_all_strong_ones() -> None:
    rows = (row('weak', 0.5, 99), row('a', 2, 10), row('b', 1.5, 20))
    assert order(*rows) == ['b', 'a', 'weak']


def test_a_node_that_stops_keeps_nobody_waiting() -> None:
    rows = (row('a', 1, 10), row('b', 1, 90, is_stopping=True))
    assert order(*rows) == ['a']
    assert places(*rows) == {'a': 0}


# After a loss of all VMs each of 195 nodes read the lease row seven times a
# second until one of them held it.
def test_few_of_many_nodes_that_know_no_others_are_eager() -> None:
    lease = Lease('gone', '', 'nonce', 1, members=MANY)
    drawn = [
        Candidates(
            Place(f'front-{number}'),  # type: ignore[arg-type]
            Link(ReplicatedView()),  # type: ignore[arg-type]
            Row(lease),  # type: ignore[arg-type]
        ).candidate_rank()
        for number in range(MANY)
    ]
    eager = sum(place < PREFERRED_CANDIDATES for place in drawn)
    assert 1 <= eager <= 3 * PREFERRED_CANDIDATES
