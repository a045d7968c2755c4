"""Ends of answers at targets that start again or close idle connections."""

import asyncio
import contextlib
import math
from collections.abc import AsyncGenerator, AsyncIterator, Callable

import attrs
import pytest
from aiohttp import ClientSession

from mimosaworks.clock import now_s
from mimosaworks.node.end_errors import LostTargetError
from mimosaworks.node.end_judge import EndJudge, EndProof, SentRequest
from mimosaworks.node.target_paths import reaches
from mimosaworks.node.witness import IdleLife, Sign, Witness, open_witness
from standins.resets import reset

HEAD = b'HTTP/1.1 200 OK\r\n\r\n'
PLACE = '127.0.0.1'
SLOW_PROBE_S = 0.1


@attrs.define(eq=False)
class Target:
    """A process that answers without framing after the seconds in the path.

    A connection without a request is closed idle_s later, one beyond max_conns
    is reset. on_end is called right before the end of an answer.
    """

    idle_s: float = math.inf
    max_conns: float = math.inf
    on_end: Callable[[], None] | None = None
    port: int = 0
    accepted: int = 0
    conns: list[asyncio.StreamWriter] = attrs.field(factory=list)
    _server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        return f'{PLACE}:{self.port}'

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, PLACE, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self, *, is_newest_first: bool = False) -> None:
        """End as a process does, which closes all of its connections."""
        assert self._server is not None
        self._server.close()
        for writer in self.conns[:: -1 if is_newest_first else 1]:
            writer.close()
        self.conns = []

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted += 1
        self.conns.append(writer)
        if len(self.conns) > self.max_conns:
            reset(writer.transport)
        idle_s = None if math.isinf(self.idle_s) else self.idle_s
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            async with asyncio.timeout(idle_s):
                head = await reader.readuntil(b'\r\n\r\n')
            await self._answer(float(head.split()[1][1:]), writer)
        if writer in self.conns:
            self.conns.remove(writer)
        writer.close()

    async def _answer(
        self, wait_s: float, writer: asyncio.StreamWriter
    ) -> None:
        if wait_s:
            writer.write(HEAD)
            await asyncio.sleep(wait_s)
            writer.write(b'body')
        else:
            writer.write(b'%sbody' % HEAD)
        if self.on_end is not None:
            self.on_end()


@attrs.define(eq=False)
class Asker:
    """Sends requests as a node does."""

    session: ClientSession
    judge: EndJudge = attrs.field(factory=EndJudge)

    async def ask(self, target: Target, wait_s: float) -> EndProof:
        address = target.address
        sent = SentRequest('x', address, 0, now_s() + 9)
        async with self.judge.witnesses.watch(address) as answer:
            answer.note_sending()
            async with self.session.get(f'http://{address}/{wait_s}') as resp:
                answer.read_head(resp)
                assert await resp.read() == b'body'
                return await self.judge.check_end(sent, answer)


@pytest.fixture
async def asker() -> AsyncIterator[Asker]:
    async with ClientSession() as session:
        yield Asker(session)


@contextlib.asynccontextmanager
async def serve(target: Target) -> AsyncGenerator[Target, None]:
    await target.start()
    with contextlib.ExitStack() as stack:
        stack.callback(target.stop)
        yield target


def slow_down_probes(monkeypatch: pytest.MonkeyPatch) -> None:
    async def reach_late(address: str) -> bool | None:
        await asyncio.sleep(SLOW_PROBE_S)
        return await reaches(address)

    monkeypatch.setattr('mimosaworks.node.end_judge.reaches', reach_late)


# Guards against an answer that is taken for whole as its target had started
# again before it was asked; the second one has no time for a witness.
@pytest.mark.parametrize('is_newest_first', [True, False])
async def test_a_later_process_at_the_address_confirms_no_end(
    asker: Asker, monkeypatch: pytest.MonkeyPatch, *, is_newest_first: bool
) -> None:
    slow_down_probes(monkeypatch)
    tasks = []
    async with serve(Target()) as target:

        def end() -> None:
            target.stop(is_newest_first=is_newest_first)
            tasks.append(asyncio.create_task(target.start()))

        for wait_s in (0.1, 0, 1.5):
            target.on_end = end
            with pytest.raises(LostTargetError, match='idle one'):
                await asker.ask(target, wait_s)
            await asyncio.gather(*tasks)
            target.on_end = None
            assert await asker.ask(target, 0.1) is EndProof.WITNESS


# Guards against a whole answer that is broken off as its target was asked late.
async def test_a_witness_confirms_an_end_that_was_read_late(
    asker: Asker,
) -> None:
    asker.judge = EndJudge(earliest_s=lambda: now_s() - 2)
    async with serve(Target()) as target:
        assert await asker.ask(target, 0.1) is EndProof.WITNESS


# Guards against whole answers of targets that close idle connections early or
# that are at their connection limit, which count as ended with their witness.
@pytest.mark.parametrize(
    'facts',
    [{'idle_s': 0.03}, {'idle_s': 0.3}, {'max_conns': 1}],
    ids=['30 ms', '300 ms', 'limit'],
)
async def test_a_target_that_closes_connections_has_not_ended(
    asker: Asker, facts: dict[str, float]
) -> None:
    async with serve(Target(**facts)) as target:
        for wait_s in (0.1, 0.03, 0.02, 0, 0.04, 0.31, 0.5, 0.29, 0.3):
            await asker.ask(target, wait_s)


# Guards against a target that is taken for one that closes idle connections,
# since it did so once.
async def test_what_is_known_of_idle_connections_is_forgotten(
    asker: Asker, monkeypatch: pytest.MonkeyPatch
) -> None:
    slow_down_probes(monkeypatch)
    tasks = []
    async with serve(Target(idle_s=0.05)) as target:
        assert await asker.ask(target, 0.1) is EndProof.PROBE
        target.idle_s = math.inf
        assert await asker.ask(target, 0.2) is EndProof.WITNESS
        target.on_end = lambda: (
            target.stop(),
            tasks.append(asyncio.create_task(target.start())),
        )
        with pytest.raises(LostTargetError):
            await asker.ask(target, 0.05)
        await asyncio.gather(*tasks)


# Guards against a connection for each of many answers, against one that stays
# behind them, and against a caller who leaves and takes the others' along.
async def test_answers_share_a_witness_until_the_last_has_ended(
    asker: Asker,
) -> None:
    answers = 40
    async with serve(Target()) as target:
        before = asyncio.all_tasks()
        asked = [
            asyncio.create_task(asker.ask(target, 0.3)) for _ in range(answers)
        ]
        await asyncio.sleep(0.1)
        asked.pop(0).cancel()
        proofs = await asyncio.gather(*asked)
        assert set(proofs) == {EndProof.WITNESS}
        # The witness, and probes that ends share.
        assert target.accepted <= answers + 1 + answers // 2
        await asyncio.sleep(0.1)
        assert not target.conns
        left = asyncio.all_tasks() - before
        assert not left


# Guards against a witness that is too old, as its target closes those that are
# idle for longer than others are kept.
async def test_a_witness_is_replaced_while_answers_go_on(
    asker: Asker,
) -> None:
    async with serve(Target(idle_s=1.5)) as target:
        assert await asker.ask(target, 2.2) is EndProof.WITNESS


# Guards against a verdict that begins anew with each caller that leaves.
async def test_a_trial_outlasts_the_caller_that_began_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    trials = []

    async def try_again(witness: Witness) -> None:
        trials.append(witness)
        await asyncio.sleep(0.1)

    monkeypatch.setattr(Witness, '_try_again', try_again)
    with open_witness('127.0.0.1:9', IdleLife()) as witness:
        witness.life_s = 0.1
        first = asyncio.create_task(witness.read_sign())
        await asyncio.sleep(0.02)
        first.cancel()
        assert await witness.read_sign() is Sign.ENDED
    assert trials == [witness]
