"""An idle connection to a target, which ends together with its process."""

import asyncio
import contextlib
import enum
import math
import socket
from collections.abc import Generator

import attrs

from mimosaworks.clock import now_s

CONNECT_TIMEOUT_S = 0.5
# Idle connections are closed by timers that run a bit late.
LIFE_FACTOR = 1.5
LIFE_MARGIN_S = 0.1


class Sign(enum.Enum):
    """What is known of a target's process when an answer has ended.

    A witness tells it, or the target's report or entry.
    """

    NONE = 'none'
    OPEN = 'open'
    ENDED = 'ended'


@attrs.define(eq=False)
class IdleLife:
    """For how long a target keeps idle connections, as far as it is known.

    used_s is when it last sent an answer without framing, reset_s when it last
    reset an idle connection, as it does at its connection limit.
    """

    used_s: float = attrs.field(factory=now_s)
    reset_s: float = -math.inf
    life_s: float = math.inf

    def explains(self, life_s: float) -> bool:
        """Return whether the target closes connections at such an age."""
        min_s = self.life_s / LIFE_FACTOR - LIFE_MARGIN_S
        return min_s <= life_s <= _max_life_s(self.life_s)

    def note_kept(self, life_s: float) -> None:
        """Note that a connection was kept so long."""
        if life_s > _max_life_s(self.life_s):
            self.life_s = math.inf


@attrs.define(eq=False)
class Witness:
    """An idle connection; life_s is how long it lasted, once it has ended."""

    address: str
    idle_life: IdleLife
    sock: socket.socket
    begun_s: float = attrs.field(factory=now_s)
    life_s: float = math.inf
    is_reset: bool = False
    _trial: 'asyncio.Task[None] | None' = None

    def is_open(self) -> bool:
        """Return whether it is open by all that has arrived."""
        if math.isfinite(self.life_s):
            return False
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            self.is_reset = True
            self.idle_life.reset_s = now_s()
        self.life_s = self.age_s()
        return False

    def age_s(self) -> float:
        """Return the time since it was begun."""
        return now_s() - self.begun_s

    async def connect(self) -> None:
        """Return when the target has accepted it; raises OSError."""
        host, _, port = self.address.rpartition(':')
        place = (host.strip('[]'), int(port))
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await loop.sock_connect(self.sock, place)

    async def lasts(self, wait_s: float) -> bool:
        """Return true if it is open after wait_s, false as soon as it ends."""
        readable = asyncio.Event()
        loop = asyncio.get_running_loop()
        with contextlib.ExitStack() as stack:
            loop.add_reader(self.sock, readable.set)
            stack.callback(loop.remove_reader, self.sock)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(readable.wait(), wait_s)
        return self.is_open()

    async def read_sign(self) -> Sign:
        """Return what it tells; a target at its limit resets connections."""
        if self.is_open():
            return Sign.OPEN
        if self.is_reset:
            return Sign.NONE
        if self._trial is None:
            self._trial = asyncio.create_task(self._try_again())
        # A caller that leaves does not end the trial for the others.
        await asyncio.shield(self._trial)
        is_explained = self.idle_life.explains(self.life_s)
        return Sign.NONE if is_explained else Sign.ENDED

    def learn(self) -> None:
        """Note that the target ended it, and serves on."""
        if not self.is_reset:
            self.idle_life.life_s = self.life_s

    async def _try_again(self) -> None:
        """Find out whether the target closes another one at the same age."""
        if self.idle_life.explains(self.life_s):
            return
        # A target that accepts none has not shown that it closes them.
        with (
            contextlib.suppress(OSError),
            open_witness(self.address, self.idle_life) as other,
        ):
            await other.connect()
            if not await other.lasts(_max_life_s(self.life_s)):
                other.learn()


@contextlib.contextmanager
def open_witness(
    address: str, idle_life: IdleLife
) -> Generator[Witness, None, None]:
    """Open a witness that is not connected yet; raises OSError."""
    is_v6 = address.startswith('[')
    family = socket.AF_INET6 if is_v6 else socket.AF_INET
    with socket.socket(family) as sock:
        sock.setblocking(False)
        witness = Witness(address, idle_life, sock)
        try:
            yield witness
        finally:
            idle_life.note_kept(min(witness.age_s(), witness.life_s))


def _max_life_s(life_s: float) -> float:
    return life_s * LIFE_FACTOR + LIFE_MARGIN_S
