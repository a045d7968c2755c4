"""Starts child processes and stops them again."""

import asyncio
import itertools
import sys
from contextlib import AsyncExitStack
from pathlib import Path

import attrs

from standins.process import Process
from standins.serving import split_address

ROOT = Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 30.0
POLL_S = 0.02


@attrs.define
class ProcessRunner:
    """Starts children on an exit stack, which kills them in reverse order.

    Whoever needs a graceful end calls stop or terminate before.

    Each child writes its output to a file in log_dir.
    """

    stack: AsyncExitStack
    log_dir: Path
    started: list[Process] = attrs.Factory(list)
    _numbers: 'itertools.count[int]' = attrs.Factory(itertools.count)

    async def start(
        self,
        name: str,
        module: str,
        address: str,
        *flags: str,
        folder: Path = ROOT,
    ) -> Process:
        """Start a module and return once it listens at HOST:PORT.

        folder is the checkout with its sources.
        Raises RuntimeError with the child's log if it ends instead.
        """
        number = next(self._numbers)
        log = self.log_dir / f'{number}-{name}.log'
        with log.open('wb') as output:
            child = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                module,
                *flags,
                cwd=folder,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=asyncio.subprocess.STDOUT,
            )
        process = Process(name, log, child)
        self.started.append(process)
        self.stack.push_async_callback(process.kill)
        async with asyncio.timeout(START_TIMEOUT_S):
            await _wait_until_listening(process, address)
        return process


async def _wait_until_listening(process: Process, address: str) -> None:
    host, port = split_address(address)
    while process.is_running():
        try:
            _, writer = await asyncio.open_connection(host, port)
        except OSError:
            await asyncio.sleep(POLL_S)
            continue
        writer.close()
        return
    raise RuntimeError(f'{process.name} ended:\n{process.read_log()}')
