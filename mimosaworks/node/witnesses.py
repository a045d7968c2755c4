"""Watches answers whose end does not show that they are whole."""

import asyncio
import contextlib
import fcntl
import math
import sys
import termios
from asyncio.trsock import TransportSocket
from collections.abc import AsyncGenerator, Callable

import attrs
from aiohttp import ClientResponse

from mimosaworks.clock import now_s
from mimosaworks.connection_state import is_established
from mimosaworks.node.witness import IdleLife, Sign, Witness, open_witness

# A process that exits closes its connections one by one.
CLOSING_S = 0.02
# What a process that has ended sent before arrives within these checks.
DRAIN_CHECKS = 10
# An answer that goes on for so many of them was not closed with the witness.
OUTLASTING_CHECKS = 2
REOPEN_S = 0.1
# Targets keep idle connections for some seconds.
REFRESH_S = 1.0
# Time in which a target is expected to send another answer without framing.
RECENT_S = 30.0
MAX_ADDRESSES = 1000
_INT_BYTES = 4


@attrs.define(eq=False)
class WatchedAnswer:
    """An answer, and a witness that the process which answers has accepted.

    The witness was begun before the request was sent, was open while the answer
    went on, or replaced such a witness while that was open. is_witness_early is
    set in the first case: an end that has not arrived can't mislead then.
    outlasted_checks tells for how long the answer went on behind the witness.
    """

    sent_s: float = math.inf
    on_head: Callable[[], None] = attrs.field(default=lambda: None)
    witness: Witness | None = None
    has_open_end: bool = False
    is_witness_early: bool = False
    outlasted_checks: int = 0
    _sock: TransportSocket | None = None

    def note_sending(self) -> None:
        """Note that the request is sent from now on."""
        self.sent_s = now_s()

    def read_head(self, resp: ClientResponse) -> None:
        """Note that only its connection ends the answer, and watch it."""
        conn = resp.connection
        transport = None if conn is None else conn.transport
        if transport is not None:
            self._sock = transport.get_extra_info('socket')
        self.has_open_end = True
        self.on_head()

    def offer(self, witness: Witness) -> None:
        """Take a witness if it is that of the same process."""
        is_before = witness.begun_s <= self.sent_s
        if self.witness is None and (is_before or self.goes_on()):
            self.witness = witness
            self.is_witness_early = is_before

    def goes_on(self) -> bool:
        """Return whether the target has closed nothing that arrived by now."""
        return is_established(self._sock)

    def waits(self) -> bool:
        """Return whether more is to come, and all that arrived was read."""
        if not self.has_open_end:
            return True
        return self.goes_on() and not self._count_unread()

    def note_outlasted(self, witness: Witness) -> None:
        """Note that the answer goes on behind the end of a witness."""
        if self.has_open_end and self.witness is witness:
            self.outlasted_checks += 1

    def has_lost_witness(self) -> bool:
        """Return whether the target has closed the witness."""
        witness = self.witness
        if witness is None or witness.is_open():
            return False
        return not witness.is_reset

    def has_outlasted_witness(self) -> bool:
        """Return whether the target closed the witness some time before."""
        return self.outlasted_checks >= OUTLASTING_CHECKS

    async def read_sign(self) -> Sign:
        """Return what the witness tells, right after the end."""
        if self.witness is None:
            return Sign.NONE
        return await self.witness.read_sign()

    def _count_unread(self) -> int:
        """Return how many bytes have arrived that were not read."""
        if self._sock is None:
            return 0
        packed = fcntl.ioctl(
            self._sock.fileno(), termios.FIONREAD, bytes(_INT_BYTES)
        )
        return int.from_bytes(packed, sys.byteorder)


@attrs.define(eq=False)
class TargetWatch:
    """Keeps a witness of a target open for the answers that are watched."""

    address: str
    idle_life: IdleLife
    answers: set[WatchedAnswer] = attrs.field(factory=set)
    task: 'asyncio.Task[None] | None' = None
    _witness: Witness | None = None
    _stack: contextlib.ExitStack = attrs.field(factory=contextlib.ExitStack)

    async def run(self) -> None:
        """Open a witness, and others behind it, until cancelled."""
        with contextlib.ExitStack() as stack:
            stack.callback(self._close)
            while True:  # noqa: WPS457 -- ends when the task is cancelled
                # Where none can be opened, ends are judged without one.
                with contextlib.suppress(OSError):
                    await self._renew()
                await self._wait()

    def offer_to(self, answer: WatchedAnswer) -> None:
        """Offer the witness that is open, if there is one."""
        if self._witness is not None and self._witness.is_open():
            answer.offer(self._witness)

    async def _renew(self) -> None:
        """Open a witness, in place of the one before; raises OSError."""
        with contextlib.ExitStack() as stack:
            witness = stack.enter_context(
                open_witness(self.address, self.idle_life)
            )
            await witness.connect()
            earlier = self._witness
            if earlier is not None and not earlier.is_open():
                return
            for answer in self.answers:
                # Both were open at once: they are of the same process.
                if answer.witness is not None and answer.witness is earlier:
                    answer.witness = witness
                answer.offer(witness)
            self._close()
            self._stack = stack.pop_all()
            self._witness = witness

    async def _wait(self) -> None:
        """Return when another witness is to be opened."""
        if self._witness is None:
            await asyncio.sleep(REOPEN_S)
        elif not await self._witness.lasts(REFRESH_S):
            await self._withdraw(self._witness)
            self._close()

    async def _withdraw(self, witness: Witness) -> None:
        """Take a witness that has ended from the answers that outlast it."""
        waiting = set(self.answers)
        for _ in range(DRAIN_CHECKS):
            await asyncio.sleep(CLOSING_S)  # noqa: WPS476 -- one after another
            waiting = {answer for answer in waiting if answer.waits()}
            for answer in waiting:
                answer.note_outlasted(witness)
        for answer in waiting:
            if answer.witness is witness:
                answer.witness = None
                answer.outlasted_checks = 0
                if answer.has_open_end:
                    witness.learn()

    def _close(self) -> None:
        self._witness = None
        self._stack.close()


@attrs.define(eq=False)
class Witnesses:
    """The witnesses of a node, one for each target that sends such answers.

    A process that starts again at the same address can't be told by accepting
    connections; those to the one before don't outlast it.
    """

    _watches: dict[str, TargetWatch] = attrs.field(factory=dict)
    _idle_lives: dict[str, IdleLife] = attrs.field(factory=dict)

    @contextlib.asynccontextmanager
    async def watch(self, address: str) -> AsyncGenerator[WatchedAnswer, None]:
        """Watch the answer to a request that is not sent yet.

        The witness is opened at once if the target has sent such answers
        lately, otherwise when WatchedAnswer.read_head is called; so that of a
        target at its connection limit does not take the request's place.
        """
        answer = WatchedAnswer()
        with contextlib.ExitStack() as stack:

            def on_head() -> None:
                self._find_idle_life(address).used_s = now_s()
                self._join(address, answer, stack)

            answer.on_head = on_head
            if self._is_expected(address):
                self._join(address, answer, stack)
                # Its first packet leaves before those of the request.
                await asyncio.sleep(0)
            yield answer

    def _join(
        self, address: str, answer: WatchedAnswer, stack: contextlib.ExitStack
    ) -> None:
        watch = self._watches.get(address)
        if watch is None:
            watch = TargetWatch(address, self._find_idle_life(address))
            watch.task = asyncio.create_task(watch.run())
            self._watches[address] = watch
        if answer not in watch.answers:
            watch.answers.add(answer)
            stack.callback(self._leave, watch, answer)
        watch.offer_to(answer)

    def _leave(self, watch: TargetWatch, answer: WatchedAnswer) -> None:
        watch.answers.discard(answer)
        if not watch.answers and watch.task is not None:
            watch.task.cancel()
            self._watches.pop(watch.address)

    def _is_expected(self, address: str) -> bool:
        """Return whether a target may send an answer without framing."""
        idle_life = self._idle_lives.get(address)
        if idle_life is None:
            return False
        since_s = now_s() - RECENT_S
        return idle_life.reset_s < since_s < idle_life.used_s

    def _find_idle_life(self, address: str) -> IdleLife:
        idle_life = self._idle_lives.setdefault(address, IdleLife())
        if len(self._idle_lives) > MAX_ADDRESSES:
            self._idle_lives.pop(next(iter(self._idle_lives)))
        return idle_life
