"""One child process."""

import asyncio
import signal
from pathlib import Path

import attrs

STOP_TIMEOUT_S = 2.0


@attrs.frozen
class Process:
    """A running child with its log file."""

    name: str
    log: Path
    child: asyncio.subprocess.Process

    @property
    def pid(self) -> int:
        """The child's process id."""
        return self.child.pid

    def is_running(self) -> bool:
        """Return whether the child has not ended."""
        return self.child.returncode is None

    def pause(self) -> None:
        """Stop the child with SIGSTOP."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused child go on."""
        self._signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask the child to stop with SIGTERM."""
        self._signal(signal.SIGTERM)

    async def kill(self) -> None:
        """End the child with SIGKILL and wait until it is gone."""
        self._signal(signal.SIGKILL)
        await self.child.wait()

    async def wait(self) -> int:
        """Return the exit code once the child has ended."""
        return await self.child.wait()

    async def stop(self, grace_s: float = STOP_TIMEOUT_S) -> bool:
        """End the child: SIGTERM, then SIGKILL after grace_s.

        Returns whether it ended before that.
        """
        self.resume()
        self.terminate()
        try:
            await asyncio.wait_for(self.child.wait(), grace_s)
        except TimeoutError:
            await self.kill()
            return False
        return True

    def read_log(self) -> str:
        """Return all that the child has written so far."""
        return self.log.read_text(errors='replace')

    def _signal(self, number: signal.Signals) -> None:
        if self.is_running():
            self.child.send_signal(number)
