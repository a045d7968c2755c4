"""The table of ends at nodes of this build beside those of an older one."""

import contextlib
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import TypeAlias

import attrs
import pytest

from standins.agency.world import NODE_MODULE, AgencyWorld, NodeHandle
from standins.processes import ROOT
from tests.older_build import NEW, OLD, needs_older, start_node
from tests.test_end_table import (
    BROKEN,
    NOT_RUN,
    Cell,
    Table,
    fill_table,
    list_cells,
    list_logged,
    open_world,
)
from tests.test_node_processes import until, until_served

pytestmark = [needs_older, pytest.mark.timeout(300)]


@attrs.frozen
class Layout:
    """The builds of the nodes of a cluster, in the order of their starts.

    The first one holds the lease, the last one is asked. is_relayed: that one
    reaches no target.
    """

    builds: tuple[str, ...]
    is_relayed: bool = False

    def __str__(self) -> str:
        *others, asked = self.builds
        way = 'cut off' if self.is_relayed else 'direct'
        return ' '.join((asked, way, 'beside', *others))


Fill: TypeAlias = Callable[[Layout], Awaitable[Table]]


async def start_nodes(world: AgencyWorld, layout: Layout) -> NodeHandle:
    """Start the nodes of a layout; return the one that is asked."""
    *others, asked_build = layout.builds
    for number, build in enumerate(others):
        node = await start_node(world, f'node-{number}', build)
        await until_served(world, node)
    module = 'cut_off_node' if layout.is_relayed else NODE_MODULE
    asked = await start_node(world, 'asked', asked_build, module)
    if layout.is_relayed:
        await until(lambda: bool(asked.events('path_lost')))
    else:
        await until_served(world, asked)
    return asked


@pytest.fixture
async def fill(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    record_property: Callable[[str, object], None],
) -> AsyncIterator[Fill]:
    """A function that fills the table in a cluster of its own."""

    async def fill_layout(layout: Layout) -> Table:
        folder = tmp_path / str(layout)
        folder.mkdir()
        world = await stack.enter_async_context(open_world(folder))
        addresses = [replica.address for replica in world.replicas.values()]
        monkeypatch.setenv('MIMOSA_CUT_OFF_FROM', ','.join(addresses))
        # Older builds may be without the node that is cut off.
        monkeypatch.setenv('PYTHONPATH', str(ROOT / 'tests'))
        table = await fill_table(world, await start_nodes(world, layout))
        record_property(str(layout), table.show())
        counts = Counter(table.found.values())
        record_property(f'{layout}, counts', str(counts))
        assert set(table.found) == set(list_cells())
        assert is_build_kept(world, layout)
        return table

    async with contextlib.AsyncExitStack() as stack:
        yield fill_layout


def is_build_kept(world: AgencyWorld, layout: Layout) -> bool:
    """Return whether each node has the sources of its build.

    And whether the first one held the lease from first to last.
    """
    holders = [node for node in world.nodes if node.events('lease_taken')]
    for node, build in zip(world.nodes, layout.builds, strict=True):
        # Earlier builds do not log it.
        if any(
            ('has_events' in line) is not (build == NEW)
            for line in node.events('call_answered')
        ):
            return False
    return holders == world.nodes[:1]


def list_wrong(table: Table) -> set[Cell]:
    """Return the cells that are not allowed."""
    return {
        cell
        for cell, found in table.found.items()
        if found not in cell.allowed()
    }


# Guards against an answer that is complete for a caller of this build and not
# whole where other nodes are of an older one.
@pytest.mark.parametrize(
    'layout',
    [
        Layout((OLD, OLD, NEW)),
        Layout((OLD, NEW, NEW)),
        Layout((NEW, OLD, NEW)),
        # A relay that was late is left out for a while.
        Layout((NEW, OLD, NEW, NEW), is_relayed=True),
    ],
    ids=str,
)
async def test_complete_answers_are_whole_beside_older_nodes(
    fill: Fill, layout: Layout
) -> None:
    table = await fill(layout)
    wrong = list_wrong(table)
    assert not wrong, f'{table.show()}\n{list_logged(table.world, wrong)}'
    assert table.node.events('call_answered')
    has_relay = bool(table.node.events('call_via_relay'))
    assert has_relay is layout.is_relayed


# Guards against an answer that comes through a node which does not judge its
# end: a request is refused, and not run, where no node is known that does.
@pytest.mark.parametrize(
    'layout',
    [
        Layout((OLD, OLD, NEW), is_relayed=True),
        Layout((OLD, NEW, NEW), is_relayed=True),
    ],
    ids=str,
)
async def test_no_older_node_is_asked_to_relay(
    fill: Fill, layout: Layout
) -> None:
    table = await fill(layout)
    assert set(table.found.values()) == {NOT_RUN}, table.show()
    ran = {
        request_id
        for replica in table.world.replicas.values()
        for request_id in replica.runs
    }
    assert not ran & {cell.name for cell in list_cells()}


# Guards against a relay of this build that ends a part for an older node as if
# it were whole: where nothing ended the answer of the target, it is broken off.
# What is ended and is not whole is the fault of the older node.
async def test_older_nodes_get_no_cut_answer_as_whole_through_a_relay(
    fill: Fill,
) -> None:
    table = await fill(Layout((NEW, NEW, OLD), is_relayed=True))
    complete = {
        cell
        for cell, found in table.found.items()
        if found != BROKEN and not found.isdigit()
    }
    parts = {cell for cell in list_wrong(table) & complete if not cell.is_ended}
    assert not parts, f'{table.show()}\n{list_logged(table.world, parts)}'
    assert table.node.events('call_via_relay')
