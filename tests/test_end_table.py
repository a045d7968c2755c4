"""All ends of answers that targets write themselves, at real nodes."""

import asyncio
import contextlib
import itertools
import types
from collections import Counter
from collections.abc import AsyncGenerator, AsyncIterator, Iterable, Sequence
from pathlib import Path
from typing import Any

import aiohttp
import attrs
import pytest

from standins.agency.event_text import event_text
from standins.agency.raw_answer import CHUNKED, RawAnswer, in_chunks
from standins.agency.replica import EVENTS, PLAIN
from standins.agency.world import (
    MODELS,
    AgencyWorld,
    NodeHandle,
    desired,
    open_agency,
)
from tests.test_node_processes import until, until_served

EVERY = tuple(event_text(number) for number in range(1, EVENTS + 1))
AFTER = 2  # what a stream has given before it is resumed
CUT = 5
MORE_BYTES = 9
AT_ONCE = 8
BROKEN = 'broken'
NOT_RUN = '503'
WHOLE = 'whole'
CLOSED, RESET = 'closed', 'reset'
NONE, CHUNKS, LENGTH, LONG = 'none', 'chunks', 'length', 'too long a length'
OPEN_CHUNKS = 'chunks without the last'
BEFORE, INSIDE, BEHIND_ONE, BEHIND_LAST = (
    'before the first',
    'inside one',
    'behind one',
    'behind the last',
)
FIRST, OURS, CALLERS = 'first', 'ours', "caller's"
STREAM = 'Content-Type: text/event-stream'
PLAIN_TYPE = 'Content-Type: text/plain'
# The target may be sent the request again, or what it has not given yet.
REPEATED = frozenset(('/draft/x', '/look/x'))
STREAMS = frozenset(('/draft/x', '/chat/x'))
RUNS = types.MappingProxyType({
    '/draft/x': (FIRST, OURS, CALLERS),
    '/chat/x': (FIRST,),
    '/look/x': (FIRST,),
    '/post/x': (FIRST,),
})


@attrs.frozen
class Cell:
    """One answer: where it ends, and how.

    run is the request's first run, or the one with which the node or the
    caller resumes a stream. ends_target: the target ends right before it.
    """

    path: str
    framing: str
    end: str
    place: str
    run: str
    ends_target: bool

    @property
    def name(self) -> str:
        """A name of the request."""
        return ', '.join(map(str, attrs.astuple(self))).replace('/', '')

    @property
    def is_stream(self) -> bool:
        """Whether the answer is made of events."""
        return self.path in STREAMS

    @property
    def is_ended(self) -> bool:
        """Whether the framing, or else the connection, ends the answer."""
        if self.framing == NONE:
            return self.end == CLOSED and not self.ends_target
        return self.framing in {CHUNKS, LENGTH}

    @property
    def pieces(self) -> Sequence[bytes]:
        """What a whole run gives."""
        if not self.is_stream:
            return (PLAIN,)
        return EVERY if self.run == FIRST else EVERY[AFTER:]

    @property
    def sent(self) -> bytes:
        """What the run gives up to its end."""
        first = self.pieces[0]
        return {
            BEFORE: b'',
            INSIDE: first[:-CUT],
            BEHIND_ONE: first,
            BEHIND_LAST: b''.join(self.pieces),
        }[self.place]

    @property
    def begun(self) -> bytes:
        """What the caller of the request has before the run."""
        return b''.join(EVERY[:AFTER]) if self.run == OURS else b''

    def make_raw(self) -> RawAnswer:
        """Return the answer that the target writes."""
        pieces: tuple[bytes, ...] = (self.sent,) if self.sent else ()
        content_type = STREAM if self.is_stream else PLAIN_TYPE
        fields: tuple[str, ...] = (content_type,)
        if self.framing in {CHUNKS, OPEN_CHUNKS}:
            last = (b'',) if self.framing == CHUNKS else ()
            pieces = in_chunks(*pieces, *last)
            fields = (*fields, CHUNKED)
        elif self.framing != NONE:
            more = MORE_BYTES if self.framing == LONG else 0
            length = len(self.sent) + more
            fields = (*fields, f'Content-Length: {length}')
        return RawAnswer(
            pieces, (*fields, 'Connection: close'), self.end == RESET
        )

    def allowed(self) -> frozenset[str]:
        """Return what the caller may get.

        What is complete is whole, unless nothing shows that more belongs to
        it; what another target can go on with is not broken off.
        """
        if self.is_ended and self.place == BEHIND_LAST:
            return frozenset((WHOLE,))
        if self.is_ended and self._looks_whole():
            return frozenset((self.describe(self.begun + self.sent),))
        is_last_run = self.run == OURS
        if self.path in REPEATED and not is_last_run and not self._is_given():
            return frozenset((WHOLE,))
        return frozenset((WHOLE, BROKEN))

    def describe(self, body: bytes) -> str:
        """Return what a complete body has."""
        if body == self.begun + b''.join(self.pieces):
            return WHOLE
        if not body:
            return 'nothing, complete'
        if PLAIN.startswith(body):
            return 'part, complete'
        first = AFTER if self.run == CALLERS else 0
        for events in range(EVENTS - first):
            if body == b''.join(EVERY[first : first + events]):
                return f'{events}, complete'
        return f'WRONG: {body!r}'

    def _looks_whole(self) -> bool:
        """Return whether a run that was ended may be a whole one."""
        if not self.is_stream:
            return True
        if self.place == BEFORE:
            return self.framing != NONE and self.run != OURS
        return self.place == BEHIND_ONE

    def _is_given(self) -> bool:
        """Return whether no other target has any event to give."""
        return self.is_stream and self.place == BEHIND_LAST


def list_cells() -> list[Cell]:
    """Return the cells of all routes."""
    every = itertools.product(
        RUNS,
        (NONE, OPEN_CHUNKS, CHUNKS, LENGTH, LONG),
        (CLOSED, RESET),
        (BEFORE, INSIDE, BEHIND_ONE, BEHIND_LAST),
        (FIRST, OURS, CALLERS),
        (False, True),
    )
    return [
        cell
        for cell in itertools.starmap(Cell, every)
        if cell.run in RUNS[cell.path]
        and (cell.is_stream or cell.place != BEHIND_ONE)
    ]


@attrs.define(eq=False)
class Table:
    """Fills the cells at one node.

    Each model has two targets of its own, so that those which end are not
    asked for other cells.
    """

    world: AgencyWorld
    node: NodeHandle
    found: dict[Cell, str] = attrs.field(factory=dict)
    _asked: dict[str, Cell] = attrs.field(factory=dict)
    _ending: dict[Cell, str] = attrs.field(factory=dict)
    _runs: Counter[str] = attrs.field(factory=Counter)

    def write(
        self, target: str, request_id: str, pieces: Sequence[bytes]
    ) -> RawAnswer | None:
        """Return the answer of a target to a request."""
        cell = self._asked.get(request_id)
        if cell is None:
            return None
        self._runs[request_id] += 1
        number = self._runs[request_id]
        if cell.run == OURS:
            if number == 1:
                return RawAnswer((cell.begun,), (STREAM,), is_reset=True)
            number -= 1
        if number > 1:
            return None
        raw = cell.make_raw()
        if not cell.ends_target:
            return raw
        self._ending[cell] = target
        return attrs.evolve(raw, on_end=self._end_target)

    async def fill(self, cells: Iterable[Cell], model: str) -> None:
        """Ask for some cells one after another."""
        for cell in cells:
            self._asked[cell.name] = cell
            self.found[cell] = await self._ask(cell, model)
            if cell.ends_target and self.found[cell] != NOT_RUN:
                await self._start_target(self._ending.pop(cell))

    def show(self) -> str:
        """Return the cells as lines, those that are not allowed first."""
        lines = []
        for cell, found in self.found.items():
            verdict = 'ok' if found in cell.allowed() else 'NOT ALLOWED'
            lines.append(f'{verdict}\t{cell.name}\t{found}')
        return '\n'.join(sorted(lines))

    def _end_target(self, target: str) -> None:
        self.world.proxies[target].refuse()

    async def _start_target(self, target: str) -> None:
        await until(lambda: not self.world.replicas[target].running)
        await self.world.proxies[target].open()

    async def _ask(self, cell: Cell, model: str) -> str:
        path, fields = cell.path, {}
        if cell.is_stream:
            path = path.replace('x', f'{model}/x')
            fields = {'X_Model': model, 'X_Token_Counts': '1000,20'}
        if cell.run == CALLERS:
            begun = self.world.request(
                self.node, path, f'begun, {cell.name}', **fields
            )
            async with begun as resp:
                await resp.read()
            fields['Resumes'] = f'begun, {cell.name}'
            fields['Last_Event_Id'] = f'{AFTER}'
        try:
            async with self.world.request(
                self.node, path, cell.name, cell.name.encode(), **fields
            ) as resp:
                body = bytes(await resp.read())
                if resp.status == 200:
                    return cell.describe(body)
                return BROKEN if resp.status == 502 else f'{resp.status}'
        except aiohttp.ClientError:
            return BROKEN


def split_engines(state: dict[str, Any]) -> dict[str, Any]:
    """Return a desired state with a service and two routes for each model.

    Else nodes would load the models of some cells at the targets of others.
    """
    engines, ledger = state['services']
    *streams, post, look = state['routes']
    services = [
        {
            **engines,
            'name': model['name'],
            'engine': {**engines['engine'], 'models': [model]},
        }
        for model in engines['engine']['models']
    ]
    routes = [
        {
            **route,
            'name': f'{route["name"]}-{model}',
            'prefix': f'{route["prefix"]}{model}/',
            'service': model,
        }
        for model in MODELS
        for route in streams
    ]
    return {
        **state,
        'services': [*services, ledger],
        'routes': [*routes, post, look],
    }


@contextlib.asynccontextmanager
async def open_world(folder: Path) -> AsyncGenerator[AgencyWorld, None]:
    """Open a platform with two targets for each model, and two plain ones."""
    async with open_agency(folder) as opened:
        opened.bounds['budget-slack'] = 5000
        state = split_engines(desired(2))
        opened.configure(state)
        for name in ('a', 'b'):
            await opened.add_replica(f'ledger-{name}', service='ledger')
            for model in MODELS:
                await opened.add_replica(
                    f'{model}-{name}', service=model, models={model: set()}
                )
        yield opened


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[AgencyWorld]:
    async with open_world(tmp_path) as opened:
        yield opened


async def fill_table(world: AgencyWorld, node: NodeHandle) -> Table:
    """Ask for all cells at a node."""
    table = Table(world, node)
    for replica in world.replicas.values():
        replica.writer = table.write
    cells = list_cells()
    ending = [cell for cell in cells if cell.ends_target]
    lanes = [cell for cell in ending if cell.is_stream]
    await asyncio.gather(
        table.fill((cell for cell in ending if not cell.is_stream), MODELS[0]),
        *(
            table.fill(lanes[number :: len(MODELS)], model)
            for number, model in enumerate(MODELS)
        ),
    )
    staying = [cell for cell in cells if not cell.ends_target]
    await asyncio.gather(
        *(
            table.fill(staying[number::AT_ONCE], MODELS[number % len(MODELS)])
            for number in range(AT_ONCE)
        )
    )
    return table


def list_logged(
    world: AgencyWorld, cells: Iterable[Cell]
) -> list[dict[str, Any]]:
    """Return what the nodes logged of the requests of some cells."""
    names = {cell.name for cell in cells}
    return [
        line
        for node in world.nodes
        for line in node.lines()
        if line.get('request_id') in names
    ]


# Guards against an answer that is complete for its caller and not whole, and
# against a whole one that is broken off, wherever it ends and however.
@pytest.mark.parametrize('is_relayed', [False, True], ids=['direct', 'relayed'])
async def test_complete_answers_are_whole_whatever_ends_them(
    world: AgencyWorld, *, is_relayed: bool
) -> None:
    for number in range(2):
        asked = await world.add_node(f'node-{number}')
    if is_relayed:
        asked = await world.add_node('cut-off', module='tests.cut_off_node')
    for node in world.nodes:
        await until_served(world, node)
    if is_relayed:
        await until(lambda: bool(asked.events('path_lost')))
    table = await fill_table(world, asked)
    assert set(table.found) == set(list_cells())
    wrong = [
        cell
        for cell, found in table.found.items()
        if found not in cell.allowed()
    ]
    assert not wrong, f'{table.show()}\n{list_logged(world, wrong)}'
    assert bool(asked.events('call_via_relay')) is is_relayed
