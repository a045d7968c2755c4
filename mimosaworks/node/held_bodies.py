"""Room for the bodies of requests that a node holds at once."""

import asyncio
import contextlib
import itertools
from collections import deque
from collections.abc import Callable, Generator
from enum import StrEnum, unique

import attrs
from aiohttp import web

from mimosaworks.connection_state import is_established
from mimosaworks.errors import ErrorKind, RequestError
from mimosaworks.node.attempt_error import CallerDisconnectedError

# Bodies up to this size are read even where larger ones wait for room.
SMALL_BYTES = 65536
# The part of all room that larger ones leave to these.
SMALL_SHARE = 0.25
# Of a request that waits, what was received before its body is read.
WAITING_BYTES = 393216
WAITING_SHARE = 1 / 3
# A body without a length is copied as it grows.
GROWTH_COST = 2
NO_ROOM_RETRY_S = 0.5
# Nothing is read from a caller that waits, so its connection is asked.
CALLER_POLL_S = 0.1

CallerCheck = Callable[[], bool]


@unique
class RoomResult(StrEnum):
    """What became of a body that found no room at once."""

    WAITED = 'waited'
    OVERDUE = 'overdue'
    REFUSED = 'refused'


def _ignore_result(_: RoomResult) -> None:
    """Count nothing."""


def _always_there() -> bool:
    """Return true: the caller can't leave."""
    return True


@attrs.define(eq=False)
class HeldBodies:
    """The bytes of requests that a process holds, and those that wait for room.

    all_bytes bounds those of all requests. Large bodies get room in the order
    in which they came. on_result is called for each one that found no room at
    once.
    """

    all_bytes: int
    on_result: Callable[[RoomResult], None] = _ignore_result
    held: int = 0
    _waiting: deque['_Turn'] = attrs.field(factory=deque)

    @contextlib.contextmanager
    def hold(self) -> Generator['BodyHold', None, None]:
        """Return the part of one request, which is let go in the end."""
        part = BodyHold(self)
        try:
            yield part
        finally:
            part.keep(0)

    def has_room(self, size: int, more: int) -> bool:
        """Return whether a body of size bytes may hold so many more."""
        share = 1 if size <= SMALL_BYTES else 1 - SMALL_SHARE
        return self.held + more <= self.all_bytes * share

    @property
    def waiting_count(self) -> int:
        """The number of large bodies that wait for room."""
        return len(self._waiting)

    async def wait_for_room(
        self, part: 'BodyHold', size: int, is_caller_there: CallerCheck
    ) -> None:
        """Return when a part holds so many bytes; may be cancelled.

        Raises RequestError if too many wait, or if there is never room, and
        CallerDisconnectedError when its caller has left.
        """
        waiting_bytes = (len(self._waiting) + 1) * WAITING_BYTES
        most = self.all_bytes * (1 - SMALL_SHARE)
        if size > most or waiting_bytes > self.all_bytes * WAITING_SHARE:
            raise self.refuse(size, RoomResult.REFUSED)
        turn = _Turn(part, size, asyncio.get_running_loop().create_future())
        self._waiting.append(turn)
        with contextlib.ExitStack() as stack:
            stack.callback(self._leave, turn)
            self.give_room()
            while not turn.has_come.done():
                if not is_caller_there():
                    raise CallerDisconnectedError('left while its body waited')
                await asyncio.wait((turn.has_come,), timeout=CALLER_POLL_S)

    def refuse(self, size: int, room_result: RoomResult) -> RequestError:
        """Count a body that is refused; return the refusal."""
        self.on_result(room_result)
        return RequestError(
            ErrorKind.QUEUE_FULL,
            f'this node has no room for {size} bytes of a body '
            f'({room_result}): {self.held} of {self.all_bytes} are held, '
            f'{self.waiting_count} bodies wait',
            retry_after_s=NO_ROOM_RETRY_S,
        )

    def give_room(self) -> None:
        """Let those that wait hold their bytes as far as there is room."""
        while self._waiting:
            turn = self._waiting[0]
            if not self.has_room(turn.size, turn.size):
                return
            self._waiting.popleft()
            self.held += turn.size
            turn.part.size += turn.size
            if not turn.has_come.done():
                turn.has_come.set_result(None)

    def _leave(self, turn: '_Turn') -> None:
        if turn in self._waiting:
            self._waiting.remove(turn)
            self.give_room()


@attrs.define(eq=False)
class BodyHold:
    """What is held of one request, in bytes."""

    bodies: HeldBodies
    size: int = 0

    async def reserve(
        self,
        size: int,
        wait_s: float,
        is_caller_there: CallerCheck = _always_there,
    ) -> None:
        """Hold a body of this many bytes, when there is room for all of it.

        Raises RequestError, at once or after wait_s seconds, and
        CallerDisconnectedError when its caller leaves while it waits.
        """
        has_turn = not self.bodies.waiting_count
        if size <= SMALL_BYTES or has_turn and self.bodies.has_room(size, size):
            self.grow(self.size + size)
            return
        try:
            async with asyncio.timeout(wait_s):
                await self.bodies.wait_for_room(self, size, is_caller_there)
        except TimeoutError as exc:
            raise self.bodies.refuse(size, RoomResult.OVERDUE) from exc
        self.bodies.on_result(RoomResult.WAITED)

    def grow(self, size: int) -> None:
        """Hold this many bytes from now on; raises RequestError if full."""
        if not self.bodies.has_room(size, size - self.size):
            raise self.bodies.refuse(size, RoomResult.REFUSED)
        self.keep(size)

    def keep(self, size: int) -> None:
        """Hold this many bytes from now on, which must not be more."""
        self.bodies.held += size - self.size
        self.size = size
        self.bodies.give_room()


@attrs.frozen(eq=False)
class _Turn:
    """A body that waits for room."""

    part: BodyHold
    size: int
    has_come: 'asyncio.Future[None]'


async def read_request_body(
    req: web.BaseRequest, max_bytes: int, hold: BodyHold, wait_s: float
) -> bytes | bytearray:
    """Return a request's body; the hold accounts for it and for the head.

    Its length, if it names one, is reserved before it is read, in wait_s
    seconds at most; another one is refused when there is no more room.
    Raises RequestError for these and above max_bytes, and
    CallerDisconnectedError.
    """
    head_bytes = sum(map(len, itertools.chain(*req.raw_headers)))
    hold.grow(head_bytes + len(req.raw_path))
    if not req.body_exists:
        return b''
    size = req.content_length
    if size is not None:
        _check_size(size, max_bytes)
        await hold.reserve(size, wait_s, lambda: _is_caller_there(req))
    body = bytearray()
    async for chunk in req.content.iter_any():
        _check_size(len(body) + len(chunk), max_bytes)
        if size is None:
            hold.grow(hold.size + GROWTH_COST * len(chunk))
        body += chunk
    if size is None:
        hold.keep(hold.size - (GROWTH_COST - 1) * len(body))
    return body


def _is_caller_there(req: web.BaseRequest) -> bool:
    transport = req.transport
    return transport is not None and is_established(
        transport.get_extra_info('socket')
    )


def _check_size(size: int, max_bytes: int) -> None:
    if size > max_bytes:
        raise RequestError(
            ErrorKind.BODY_TOO_LARGE,
            f'the body has more than {max_bytes} bytes',
        )
