"""Ends of answers that are judged by what targets tell of themselves."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator

import attrs
import pytest
from aiohttp.test_utils import TestServer

from mimosaworks.clock import now_s
from mimosaworks.deployment import TargetState
from mimosaworks.node.end_errors import ExpiredAnswerError, LostTargetError
from mimosaworks.node.end_judge import EndJudge, EndProof, SentRequest
from mimosaworks.node.sessions import open_target_session
from mimosaworks.node.target_identity import ENTRY_WAIT_S, TargetIdentities
from mimosaworks.node.witness import Sign
from mimosaworks.node.witnesses import WatchedAnswer
from mimosaworks.platform import EngineCalls, StoreClient
from standins.platform import Store, StoreFaults, json_row, store_app
from tests.dispatch_world import make_entry

NAME = 'engine-1'
BORN = 7
SOON_S = 0.1
# A report is waited for, then an entry.
MAX_S = 1.2


def say(body: str, status: str = '200 OK') -> bytes:
    head = f'HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n'
    return f'{head}{body}'.encode()


NO_REPORT = say('', '404 Not Found')
ENDLESS = b'HTTP/1.1 200 OK\r\n\r\n{"born": 7, "models": ['
SILENT = b''


@attrs.define(eq=False)
class Platform:
    """A store and a target, which answers all requests with the same bytes."""

    judge: EndJudge
    store: Store
    reply: bytes = NO_REPORT
    asked: int = 0
    address: str = ''
    server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    def register(self, born: int) -> None:
        entry = {
            'service': 'engines',
            'address': self.address,
            'zone': 'north',
            'slots': 1,
            'state': 'ready',
            'born': born,
        }
        self.store.commit({'put': [json_row('servers', NAME, entry)]})

    def send(self) -> SentRequest:
        return self.judge.begin(NAME, self.address, BORN, now_s() + 9)

    async def check(self, answer: WatchedAnswer | None = None) -> EndProof:
        return await self.judge.check_end(self.send(), answer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, EOFError):
            while await reader.readuntil(b'\r\n\r\n'):
                self.asked += 1
                writer.write(self.reply)
                while self.reply is ENDLESS:
                    writer.write(b' ' * 50000)
                    await writer.drain()
        writer.close()


@pytest.fixture
async def platform() -> AsyncIterator[Platform]:
    store = Store()
    async with (
        contextlib.AsyncExitStack() as stack,
        TestServer(store_app(store, StoreFaults())) as served,
    ):
        session = await open_target_session(stack, 5, 9000000)
        client = StoreClient(session, str(served.make_url('')).rstrip('/'))
        identities = TargetIdentities(EngineCalls(session).report, client)
        opened = Platform(EndJudge(identities=identities), store)
        await opened.start()
        assert opened.server is not None
        stack.callback(opened.server.close)
        opened.register(BORN)
        yield opened


# Guards against a later process that confirms the end of an answer, as it
# accepts connections, and against whole answers of targets that tell nothing.
@pytest.mark.parametrize(
    ('reply', 'proof'),
    [
        (say('{"born": 7}'), EndProof.REPORT),
        (say('{"born": 8}'), None),
        (say('', '421 Other'), None),
        (say('{"born": 6}'), EndProof.PROBE),
        (say('{"born": "8"}'), EndProof.PROBE),
        (say('{"born": 8'), EndProof.PROBE),
        (say('[' * 99999), EndProof.PROBE),
        (b'none\r\n\r\n', EndProof.PROBE),
        (NO_REPORT, EndProof.PROBE),
        (ENDLESS, EndProof.PROBE),
        (SILENT, EndProof.PROBE),
    ],
)
async def test_a_report_tells_which_process_has_the_address(
    platform: Platform, reply: bytes, proof: EndProof | None
) -> None:
    platform.reply = reply
    async with asyncio.timeout(MAX_S):
        if proof is None:
            with pytest.raises(LostTargetError):
                await platform.check()
        else:
            assert await platform.check() is proof


# Guards against whole answers that are broken off until the entry of their
# target arrives, though it had reported before the send that it started again;
# and against such a report that confirms an answer of the process before.
async def test_a_report_from_before_the_send_shows_who_answers(
    platform: Platform,
) -> None:
    platform.reply = say('{"born": 8}')
    sent_before = platform.send()
    with pytest.raises(LostTargetError):
        await platform.check()
    sent = platform.send()
    assert await platform.judge.check_end(sent) is EndProof.REPORT
    with pytest.raises(LostTargetError):
        await platform.judge.check_end(sent_before)
    for later in (say('{"born": 9}'), say('', '421 Other')):
        platform.reply = later
        with pytest.raises(LostTargetError):
            await platform.judge.check_end(sent)


# Guards against an entry that arrives behind the send and counts as that of a
# later process, though that one had reported before; and against such an entry
# that confirms an answer where the target reports nothing or another process.
@pytest.mark.parametrize(
    ('born', 'is_whole'),
    [(8, True), (7, False), (9, False), (0, False)],
)
async def test_a_late_entry_of_a_process_that_had_reported_is_no_end(
    platform: Platform, born: int, *, is_whole: bool
) -> None:
    platform.reply = say('{"born": 8}')
    with pytest.raises(LostTargetError):
        await platform.check()
    sent = platform.send()
    platform.reply = say(json.dumps({'born': born}))
    entry = attrs.evolve(make_entry(NAME), incarnation=8)
    platform.judge.find_targets = {NAME: entry}.copy
    expected = (
        contextlib.nullcontext() if is_whole else pytest.raises(LostTargetError)
    )
    with expected:
        assert await platform.judge.check_end(sent) is EndProof.REPORT


# Guards against a part that is complete at the end of the notice of its target,
# which had reported that it started again, and whose entry comes later.
async def test_a_late_entry_of_a_process_that_had_reported_has_a_notice(
    platform: Platform,
) -> None:
    platform.reply = say('{"born": 8}')
    with pytest.raises(LostTargetError):
        await platform.check()
    sent = platform.send()
    entry = attrs.evolve(
        make_entry(NAME),
        incarnation=8,
        state=TargetState.DRAINING,
        leaves_at_s=now_s(),
    )
    platform.judge.find_targets = {NAME: entry}.copy
    with pytest.raises(ExpiredAnswerError):
        await platform.judge.check_end(sent)


# Guards against a part that is complete as its target, which has no report, was
# back at once, or closed its listener a bit behind the answer.
@pytest.mark.parametrize('is_back', [True, False])
async def test_what_shows_a_bit_later_is_waited_for(
    platform: Platform, *, is_back: bool
) -> None:
    loop = asyncio.get_running_loop()
    assert platform.server is not None
    if is_back:
        loop.call_later(SOON_S, platform.register, BORN + 1)
    else:
        loop.call_later(SOON_S, platform.server.close)
    with pytest.raises(LostTargetError):
        await platform.check()


# Guards against a store that does not reply and breaks whole answers off.
async def test_an_end_is_judged_without_the_store(platform: Platform) -> None:
    assert platform.judge.identities is not None
    platform.judge.identities.store.base_url = f'http://{platform.address}'
    assert await platform.check() is EndProof.PROBE


@attrs.define(eq=False)
class OpenAnswer(WatchedAnswer):
    """An answer whose idle connection has outlasted it."""

    async def read_sign(self) -> Sign:
        return Sign.OPEN


# Guards against an idle connection to a later process, which was opened while
# the end of the answer had not arrived, and against reports that show nothing.
async def test_an_idle_connection_opened_behind_the_send_needs_a_report(
    platform: Platform,
) -> None:
    answer = OpenAnswer()
    assert await platform.check(answer) is EndProof.WITNESS
    platform.reply = say('{"born": 8}')
    with pytest.raises(LostTargetError):
        await platform.check(answer)
    asked = platform.asked
    answer.is_witness_early = True
    assert await platform.check(answer) is EndProof.WITNESS
    assert platform.asked == asked
    platform.reply = NO_REPORT
    platform.register(BORN + 1)
    answer.is_witness_early = False
    with pytest.raises(LostTargetError):
        await platform.check(answer)


# Guards against a call to the target and to the store for each of many ends,
# and against an end that waits for more than two reads of an entry.
async def test_ends_share_what_is_asked(platform: Platform) -> None:
    begun_s = now_s()
    proofs = await asyncio.gather(*(platform.check() for _ in range(50)))
    assert set(proofs) == {EndProof.PROBE}
    assert platform.asked <= 2
    assert now_s() - begun_s < 3 * ENTRY_WAIT_S
