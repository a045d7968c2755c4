"""Where streams began, as a holder keeps it and stores it."""

import asyncio
import contextlib
import json
import types
from collections.abc import AsyncGenerator, Sequence
from typing import Any

import attrs
import pytest

from mimosaworks.deployment import RetryPolicy, ServiceRoute, ServiceShare
from mimosaworks.errors import RequestError, StoreInDoubtError
from mimosaworks.node.stored_streams import StreamSaver
from mimosaworks.node.stream_origins import MAX_ORIGINS, StreamOrigins
from mimosaworks.node.stream_versions import trace_resumed_stream
from mimosaworks.platform import (
    RowChange,
    RowName,
    RowNeed,
    RowsAnswer,
    StoredRow,
)
from mimosaworks.wire import StreamNote, StreamReply
from tests.test_node_processes import until

LASTING_S = 30.0
ROW_BYTES = 65536


def make_note(request_id: str = 'begun', **fields: Any) -> StreamNote:
    note = StreamNote(request_id, 'engines', 'v1', LASTING_S)
    return attrs.evolve(note, **fields)


@attrs.define(eq=False)
class FakeStore:
    """Rows in memory; fails_writes of the next writes get no answer."""

    rows: dict[RowName, bytes] = attrs.field(factory=dict)
    fails_writes: int = 0
    written: list[RowName] = attrs.field(factory=list)

    async def read(self, table: str, part: str) -> RowsAnswer:
        rows = tuple(
            StoredRow(name, 1, content)
            for name, content in self.rows.items()
            if (name.table, name.part) == (table, part)
        )
        return RowsAnswer(rows, 1, 1)

    async def commit(
        self, needs: Sequence[RowNeed], changes: Sequence[RowChange]
    ) -> int:
        assert not needs
        for change in changes:
            if change.content is None:
                self.rows.pop(change.name)
            else:
                self.rows[change.name] = change.content
                self.written.append(change.name)
        if self.fails_writes:
            self.fails_writes -= 1
            raise StoreInDoubtError('no answer')
        return 1


@contextlib.asynccontextmanager
async def open_saver(
    store: Any, fence: int = 1, row_bytes: int = ROW_BYTES
) -> AsyncGenerator[StreamSaver, None]:
    saver = StreamSaver(store, fence, row_bytes, elected_s=0)
    task = asyncio.create_task(saver.run())
    await until(lambda: saver.is_loaded)
    yield saver
    task.cancel()


def stored_ids(store: FakeStore) -> set[str]:
    return {
        fields[0]
        for content in store.rows.values()
        for fields in json.loads(content)
    }


# Guards against streams that the next holder does not know, and rows that stay
# for good once no caller can resume their streams.
async def test_the_next_holder_reads_and_removes_what_the_last_one_stored() -> (
    None
):
    store = FakeStore()
    async with open_saver(store) as saver:
        saver.record_notes([make_note('short', left_s=0.1), make_note('begun')])
        await until(lambda: stored_ids(store) == {'short', 'begun'})
        saver.record_notes([make_note('passing', left_s=0.1)])
        await until(lambda: 'passing' in stored_ids(store))
    async with open_saver(store, fence=2) as successor:
        found = await successor.find_stream('begun')
        assert found == StreamReply('engines', 'v1')
        await asyncio.sleep(0.2)
        assert await successor.find_stream('short') == StreamReply()
        successor.record_notes([make_note('next')])
        await until(lambda: 'passing' not in stored_ids(store))
        assert stored_ids(store) >= {'begun', 'next'}


# Guards against origins that are lost when the store does not answer a write,
# and against a second row for the same ones.
async def test_a_write_without_an_answer_is_made_again_under_its_name() -> None:
    store = FakeStore(fails_writes=1)
    async with open_saver(store) as saver:
        saver.record_notes([make_note('begun')])
        await until(lambda: len(store.written) == 2)
        assert len(store.rows) == 1
        saver.record_notes([make_note('next')])
        await until(lambda: stored_ids(store) == {'begun', 'next'})


# Guards against rows above the size that the store allows.
async def test_many_streams_are_stored_in_several_rows() -> None:
    store = FakeStore()
    async with open_saver(store, row_bytes=4000) as saver:
        prefix = 'r' * 150
        names = {f'{prefix}{number}' for number in range(40)}
        saver.record_notes(map(make_note, names))
        await until(lambda: stored_ids(store) == names)
    assert max(map(len, store.rows.values())) <= 4000


# Guards against a holder that fails at a row that it can't read.
@pytest.mark.parametrize(
    'content',
    [b'', b'7', b'{"a": 1}', b'[["a"]]', b'[[1, 2, 3, "x"]]', b'\xff'],
)
async def test_rows_that_cannot_be_decoded_are_ignored(content: bytes) -> None:
    store = FakeStore()
    store.rows[RowName('mimosaworks-streams', 'odd', 'streams')] = content
    async with open_saver(store) as saver:
        assert await saver.find_stream('begun') == StreamReply()
        saver.record_notes([make_note()])
        assert await saver.find_stream('begun') == StreamReply('engines', 'v1')


# Guards against a take-up that is refused while the heartbeat with the stream's
# beginning is under way.
async def test_a_report_under_way_is_waited_for() -> None:
    async with open_saver(FakeStore()) as saver:
        asked = asyncio.create_task(saver.find_stream('begun'))
        await asyncio.sleep(0.03)
        saver.record_notes([make_note()])
        assert await asked == StreamReply('engines', 'v1')


# Guards against one of two different reports that is taken for the truth.
def test_contradicting_origins_leave_a_stream_unknown() -> None:
    origins = StreamOrigins()
    assert origins.add(make_note())
    assert not origins.add(make_note())
    assert origins.find('begun') is not None
    assert not origins.add(make_note(software_version='v1.1'))
    assert origins.find('begun') is None
    assert not origins.make_notes()


@pytest.mark.parametrize(
    'fields',
    [
        {'request_id': ''},
        {'service': ''},
        {'software_version': ''},
        {'request_id': 'x' * 201},
        {'left_s': -1.0},
    ],
)
def test_unusable_origins_are_not_kept(fields: dict[str, Any]) -> None:
    origins = StreamOrigins()
    note = make_note(**fields)
    origins.add(note)
    assert origins.find(note.request_id) is None


def test_the_oldest_origins_are_forgotten_first() -> None:
    origins = StreamOrigins()
    for number in range(MAX_ORIGINS + 1):
        origins.add(make_note(f'r{number}'))
    assert origins.find('r0') is None
    assert origins.find('r1') is not None


# Guards against a stream that another service of its route resumes.
@pytest.mark.parametrize(
    ('weights', 'service'),
    [
        ({'engines': 10, 'others': 90}, 'engines'),
        ({'engines': 0, 'others': 90}, None),
        ({'others': 100}, None),
        ({'engines': 0}, 'engines'),
    ],
)
async def test_a_stream_is_resumed_by_the_service_that_began_it(
    weights: dict[str, float], service: str | None
) -> None:
    route = ServiceRoute(
        name='draft',
        host='h',
        prefix='/',
        retry_policy=RetryPolicy.STREAM,
        timeout_s=4,
        latency_target_s=1,
        priority=0,
        shares=tuple(ServiceShare(*share) for share in weights.items()),
        is_resumable=True,
    )
    call: Any = types.SimpleNamespace(
        resumes='begun', request_id='x', route=route, service='others'
    )
    link: Any = types.SimpleNamespace(stream_origins=StreamOrigins())
    link.stream_origins.add(make_note())
    if service is None:
        with pytest.raises(RequestError, match='does not lead to'):
            await trace_resumed_stream(call, link)
        return
    await trace_resumed_stream(call, link)
    assert (call.service, call.stream_version) == (service, 'v1')
