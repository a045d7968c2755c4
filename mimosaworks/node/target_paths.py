"""Whether this node has a path to the targets."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Generator, Mapping, Sequence

import attrs

from mimosaworks.clock import now_s
from mimosaworks.deployment import TargetEntry, TargetState
from mimosaworks.events import Event, log_event

CHECK_INTERVAL_S = 0.1
# A target may be silent for a second or so without a fault, all of them at
# once are not.
MAX_SILENCE_S = 0.5
# Targets to connect to at once; one that answers shows that there is a path.
PROBED_TARGETS = 3
PROBE_TIMEOUT_S = 0.5
SUSPECTED_PAUSE_S = 0.5
SOUND_PAUSE_S = 2.0
CUT_OFF_PAUSE_S = 0.5


async def connects(address: str) -> bool:
    """Return whether a target accepts a connection, which is closed at once."""
    return await reaches(address) is True


async def reaches(address: str) -> bool | None:
    """Return whether a target accepts a connection or refuses it.

    None: it did neither, or this process could not ask.
    """
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(
                host.strip('[]'), int(port)
            )
    except ConnectionRefusedError:
        return False
    except (OSError, TimeoutError):
        return None
    writer.close()
    return True


@attrs.define(eq=False)
class TargetPaths:
    """Finds out whether this node is cut off from all targets.

    One target that can't be reached says nothing about the path. When one
    can't, or when attempts are open and no target sends anything, this node
    connects to some targets, and is cut off if none accepts. While it is cut
    off it goes on trying. list_addresses returns the addresses of the targets
    in service.
    """

    list_addresses: Callable[[], Sequence[str]]
    is_cut_off: bool = False
    _cut_off_s: float = 0
    _open_attempts: int = 0
    _last_bytes_s: float = 0
    _has_failure: bool = False
    _next_probe_s: float = 0

    def record_bytes(self) -> None:
        """Record that a target has sent something."""
        self._last_bytes_s = now_s()

    def record_unreachable(self) -> None:
        """Record that a target could not be reached."""
        self._has_failure = True

    @contextlib.contextmanager
    def track_attempt(self) -> Generator[None, None, None]:
        """Count an attempt over this node's own path as open."""
        if not self._open_attempts:
            self._last_bytes_s = now_s()
        self._open_attempts += 1
        try:
            yield
        finally:
            self._open_attempts -= 1

    async def run_checks(self) -> None:
        """Check the path until cancelled."""
        while True:  # noqa: WPS457 -- ends when the task is cancelled
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._needs_probe():
                await self._probe()

    def _needs_probe(self) -> bool:
        now = now_s()
        if now < self._next_probe_s:
            return False
        is_silent = (
            self._open_attempts > 0 and now - self._last_bytes_s > MAX_SILENCE_S
        )
        return self.is_cut_off or self._has_failure or is_silent

    async def _probe(self) -> None:
        addresses = self.list_addresses()
        probed = random.sample(addresses, min(PROBED_TARGETS, len(addresses)))
        has_failure = self._has_failure
        self._has_failure = False
        answers = await asyncio.gather(*map(connects, probed))
        if probed:
            self._apply_probe(probed, is_reached=any(answers))
        pause_s = SUSPECTED_PAUSE_S if has_failure else SOUND_PAUSE_S
        if self.is_cut_off:
            pause_s = CUT_OFF_PAUSE_S
        self._next_probe_s = now_s() + pause_s

    def _apply_probe(self, probed: Sequence[str], *, is_reached: bool) -> None:
        now = now_s()
        if is_reached and self.is_cut_off:
            log_event(Event.PATH_REGAINED, away_s=now - self._cut_off_s)
        elif not is_reached and not self.is_cut_off:
            self._cut_off_s = now
            log_event(
                Event.PATH_LOST,
                asked=list(probed),
                silent_s=now - self._last_bytes_s,
            )
        self.is_cut_off = not is_reached


def list_ready_addresses(targets: Mapping[str, TargetEntry]) -> list[str]:
    """Return the addresses of the targets in service."""
    return [
        entry.address
        for entry in targets.values()
        if entry.state is TargetState.READY
    ]
