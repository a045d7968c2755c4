"""Messages between this build and an older one."""

import asyncio
import json
import os
import sys
from pathlib import Path
from typing import Any

import attrs
import pytest

from standins.processes import ROOT
from tests import older_messages
from tests.older_build import OLDER, needs_older

pytestmark = needs_older
SCRIPT = str(ROOT / 'tests' / 'older_messages.py')
# What an older build does not know of this one's messages.
ADDED = frozenset(('judges_ends', 'leaves_in_ms', 'silent'))


async def run_older(what: str, made: dict[str, str]) -> dict[str, Any]:
    """Make or read messages with the sources of the older build."""
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        SCRIPT,
        what,
        env={**os.environ, 'PYTHONPATH': OLDER},
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    out, _ = await child.communicate(json.dumps(made).encode())
    source, shown = json.loads(out)
    assert Path(source).is_relative_to(Path(OLDER).resolve())
    return dict(shown)


def without_added(fields: Any) -> Any:
    """Return fields without those that an older build does not know."""
    if isinstance(fields, dict):
        return {
            name: without_added(content)
            for name, content in fields.items()
            if name not in ADDED
        }
    if isinstance(fields, list):
        return list(map(without_added, fields))
    return fields


def as_json(fields: Any) -> Any:
    """Return fields as they are after a passage as JSON."""
    return json.loads(json.dumps(fields))


def full_messages() -> dict[str, Any]:
    """Return the fields of messages with a value in each."""
    return {
        kind.__name__: attrs.asdict(older_messages.fill(kind))
        for kind in older_messages.list_types()
    }


# Guards against a field of a message that an older node reads as another one,
# or that keeps it from reading the message.
async def test_an_older_build_reads_all_but_the_added_fields() -> None:
    read = await run_older('read', older_messages.make())
    expected = as_json(full_messages())
    assert set(read) == set(expected)
    for name, fields in read.items():
        assert without_added(fields) == without_added(expected[name]), name


# Guards against a message of an older node that this one can't read, or takes
# an added field of for one that is set.
async def test_this_build_reads_an_older_build_s_messages() -> None:
    read = as_json(older_messages.read(await run_older('make', {})))
    expected = as_json(full_messages())
    assert set(read) == set(expected)
    for name, fields in read.items():
        assert without_added(fields) == without_added(expected[name]), name
    rows = [*read['BeatReply']['members'], read['Beat']['row']]
    assert not any(row['judges_ends'] for row in rows)
    assert not any(row['leaves_in_ms'] for row in read['BeatReply']['targets'])
    assert not read['BeatReply']['silent']


# Guards against values at the ends of the added fields' ranges that keep an
# older node from reading a reply.
@pytest.mark.parametrize('leaves_in_ms', [0, 1, 3600000, 2**32 - 1])
async def test_an_older_build_reads_any_notice(leaves_in_ms: int) -> None:
    full = older_messages.fill(older_messages.wire.BeatReply)
    rows = [
        attrs.evolve(row, leaves_in_ms=leaves_in_ms) for row in full.targets
    ]
    reply = attrs.evolve(full, targets=tuple(rows), silent=('a',) * 1000)
    packed = older_messages.pack(reply)
    read = await run_older('read', {'BeatReply': packed})
    expected = without_added(as_json(attrs.asdict(reply)))
    assert without_added(read['BeatReply']) == expected
