"""Random runs of idempotency claims against an oracle that counts runs."""

import asyncio
import random
from collections import Counter
from collections.abc import Sequence

import attrs
import pytest

from mimosaworks.errors import (
    ErrorKind,
    RequestError,
    StoreConflictError,
    StoreInDoubtError,
    StoreUnavailableError,
)
from mimosaworks.platform import (
    GroupCommit,
    Row,
    RowAssert,
    RowWrite,
    TableClient,
)
from mimosaworks.relay import ClaimBook
from mimosaworks.relay.claim import Claim, ClaimState, StoredAnswer

SEEDS = range(30)
STEPS = 60
KEYS = ('claims/a', 'claims/b', 'claims/c')
FAULT_SHARE = 0.3

Commit = tuple[Sequence[RowAssert], Sequence[RowWrite]]


@attrs.define
class FaultyTable:
    """A table that refuses, or applies and loses the reply."""

    rng: random.Random
    rows: dict[str, Row] = attrs.field(factory=dict)
    version: int = 0
    delayed: list[Commit] = attrs.field(factory=list)

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        await asyncio.sleep(0)
        self._fail_sometimes()
        return {key: self.rows[key] for key in keys if key in self.rows}

    async def commit(
        self, asserts: Sequence[RowAssert], writes: Sequence[RowWrite]
    ) -> int:
        await asyncio.sleep(0)
        self._fail_sometimes()
        lot = self.rng.random()
        if lot < FAULT_SHARE / 2:
            # Takes effect later, after the client has given up on it.
            self.delayed.append((asserts, writes))
            raise StoreInDoubtError('no answer')
        version = self.apply(asserts, writes)
        if lot < FAULT_SHARE:
            raise StoreInDoubtError('reply lost')
        return version

    def apply(
        self, asserts: Sequence[RowAssert], writes: Sequence[RowWrite]
    ) -> int:
        for need in asserts:
            row = self.rows.get(need.key, Row(need.key, '', 0))
            if need.version != row.version:
                raise StoreConflictError(need.key)
        self.version += 1
        for put in writes:
            if put.content is None:
                self.rows.pop(put.key, None)
            else:
                self.rows[put.key] = Row(put.key, put.content, self.version)
        return self.version

    def land_delayed(self) -> None:
        """Let a write that was in flight take effect now."""
        if self.delayed:
            late = self.delayed.pop(0)
            try:
                self.apply(*late)
            except StoreConflictError:
                return

    def _fail_sometimes(self) -> None:
        if self.rng.random() < FAULT_SHARE / 3:
            raise StoreUnavailableError('outage')


@attrs.define
class World:
    """Routers that claim keys, run requests, and crash."""

    rng: random.Random
    table: FaultyTable
    boots: dict[str, int] = attrs.field(factory=dict)
    runs: Counter[str] = attrs.field(factory=Counter)
    answers: dict[str, bytes] = attrs.field(factory=dict)
    held: list[tuple[str, int, Claim]] = attrs.field(factory=list)

    def book(self, owner: str) -> ClaimBook:
        return ClaimBook(
            _as_client(self.table),
            GroupCommit(_as_client(self.table)),
            owner,
            str(self.boots.setdefault(owner, 0)),
            lambda address, boot: str(self.boots[address]) == boot,
        )

    async def resend(self) -> None:
        """Send a key's request through any router; run it if claimed."""
        owner, key = self.rng.choice(('r1', 'r2', 'r3')), self.rng.choice(KEYS)
        book = self.book(owner)
        wanted = book.new_claim(key, 'mark')
        try:
            claim = await book.claim(wanted, _may_not_wait)
        except RequestError as exc:
            if exc.kind is ErrorKind.STORE_UNAVAILABLE:
                await self._quietly(book.release(wanted))
            return
        if claim.answer is not None:
            assert claim.answer.body == self.answers[key]
            return
        assert claim.state is ClaimState.RUNNING
        self.runs[key] += 1
        self.answers[key] = f'{owner} {self.runs[key]}'.encode()
        self.held.append((owner, self.boots[owner], claim))

    async def settle(self) -> None:
        """Write the answer of a request that ran, if its router lives."""
        if not self.held:
            return
        owner, boot, claim = self.held.pop(0)
        if self.boots[owner] == boot:
            answer = StoredAnswer(200, (), self.answers[claim.key])
            await self._quietly(self.book(owner).settle(claim, answer))

    async def crash(self) -> None:
        """Restart a router: it forgets what it runs."""
        owner = self.rng.choice(list(self.boots) or ['r1'])
        self.boots[owner] = self.boots.get(owner, 0) + 1

    async def late_write(self) -> None:
        """Let a write in flight land."""
        self.table.land_delayed()

    async def _quietly(self, work: object) -> None:
        task = asyncio.ensure_future(work)  # type: ignore[call-overload]
        await asyncio.wait([task], timeout=0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def _may_not_wait() -> bool:
    return False


def _as_client(table: FaultyTable) -> TableClient:
    return table  # type: ignore[return-value]


@pytest.mark.parametrize('seed', SEEDS)
async def test_no_key_is_run_twice_whatever_the_table_and_routers_do(
    seed: int,
) -> None:
    rng = random.Random(seed)  # noqa: S311 - faults are drawn, not keys
    world = World(rng, FaultyTable(rng))
    for _ in range(STEPS):
        step = rng.choice((
            world.resend,
            world.resend,
            world.settle,
            world.crash,
            world.late_write,
        ))
        await step()  # noqa: WPS476 - one step after another
    assert world.runs
    assert max(world.runs.values()) == 1
