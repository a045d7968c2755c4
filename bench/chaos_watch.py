"""Watches what the targets have run while processes come and go."""

import asyncio
import contextlib
import json
from collections import Counter
from pathlib import Path
from typing import Any

import aiohttp
import attrs

from mimosaworks.clock import now_s
from mimosaworks.errors import PlatformError
from mimosaworks.members import member_from_json
from mimosaworks.members.member import MEMBERS_PREFIX
from mimosaworks.members.member_id import MemberId
from mimosaworks.platform import TableClient, platform_clients
from standins.cluster import Cluster
from standins.node import Node

POLL_S = 0.05
TABLE_EVERY_S = 0.3
STATS_TIMEOUT_S = 2.0
INTENTS_PREFIX = 'shards/main/intents/'
Loaded = tuple[str, str]
Reading = tuple[float, float, set[Loaded]]


@attrs.frozen
class SeenRun:
    """A run that a journal showed; at_s is not earlier than the run."""

    at_s: float
    target: str
    request_id: str


@attrs.define
class ChaosWatch:
    """Reads journals, counts and the members' rows; for the oracle.

    records holds what targets told of each request id; boots holds the
    engines' memory statistics with the time of each reading; versions are
    (process, version) as read in order; intents the (target, model)
    that had an intent, with the times before and after the reading.
    """

    cluster: Cluster
    journals: Path
    runs: list[SeenRun] = attrs.Factory(list)
    records: dict[str, dict[str, Any]] = attrs.Factory(dict)
    boots: list[tuple[str, float, Any]] = attrs.Factory(list)
    versions: list[tuple[MemberId, int]] = attrs.Factory(list)
    intents: list[Reading] = attrs.Factory(list)
    missed: Counter[str] = attrs.Factory(Counter)
    _read: Counter[str] = attrs.Factory(Counter)

    def journal(self, target: str) -> str:
        """Return the flag that gives a target its journal."""
        path = self.journals / target
        path.touch()
        return f'--journal={path}'

    async def follow_runs(self) -> None:
        """Read the journals until cancelled."""
        while True:
            self.read_runs()
            await asyncio.sleep(POLL_S)

    def read_runs(self) -> None:
        """Take over the whole lines that journals have got."""
        for path in sorted(self.journals.iterdir()):
            name = path.name
            content = path.read_bytes()[self._read[name] :]
            whole = content[: content.rfind(b'\n') + 1]
            self._read[name] += len(whole)
            at_s = now_s()
            self.runs.extend(
                SeenRun(at_s, name, line.decode())
                for line in whole.splitlines()
            )

    async def follow_table(self) -> None:
        """Read members and intents in the table until cancelled."""
        url = self.cluster.platform.url
        table = platform_clients(self.cluster.http, url).table
        while True:
            with contextlib.suppress(PlatformError):
                await self._read_table(table)
            await asyncio.sleep(TABLE_EVERY_S)

    async def read_target(self, name: str, node: Node) -> None:
        """Take over what a target knows of its requests."""
        path = '/counts' if name.startswith('service') else '/stats'
        try:
            async with asyncio.timeout(STATS_TIMEOUT_S):
                told = await self.cluster.get_json(node, path)
        except (TimeoutError, aiohttp.ClientError):
            self.missed[name] += 1
            return
        for request_id, record in told['requests'].items():
            self.records[request_id] = record
        if path == '/stats':
            self.boots.append((name, now_s(), told))

    def call_of(self, request_id: str) -> str:
        """Return the name of the call that a request id stands for."""
        record = self.records.get(request_id, {'headers': {}})
        return str(record['headers'].get('X-Chaos-Id', ''))

    def resumed_at(self, request_id: str) -> int:
        """Return the token at which the latest run of a request began."""
        record = self.records.get(request_id, {'headers': {}})
        return int(record['headers'].get('X-Resume-From', 0))

    def seen_text(self) -> str:
        """Return all that targets saw, as text."""
        return json.dumps(self.records)

    async def _read_table(self, table: TableClient) -> None:
        asked_s = now_s()
        rows = await table.read([], [MEMBERS_PREFIX, INTENTS_PREFIX])
        told_s = now_s()
        held: set[Loaded] = set()
        for key, row in rows.items():
            if key.startswith(INTENTS_PREFIX):
                intent = json.loads(row.content)
                held.add((intent['target'], intent['model']))
            else:
                member = member_from_json(row.content)
                self.versions.append((member.id, member.applied_version))
        self.intents.append((asked_s, told_s, held))
