"""A node whose loop has long rounds while it closes its last requests."""

import asyncio
import time
from unittest import mock

from mimosaworks.cmdline.node import main
from mimosaworks.node.caller_server import CallerServer

ROUND_S = 0.11
_stop_listening = CallerServer.stop_listening
_tasks: list['asyncio.Task[None]'] = []


async def _hold_up() -> None:
    while True:  # noqa: WPS457 -- ends with the loop
        time.sleep(ROUND_S)  # noqa: ASYNC251 -- what is to be shown
        await asyncio.sleep(0)


async def _stop_slowly(server: CallerServer, accept_until_s: float) -> None:
    _tasks.append(asyncio.create_task(_hold_up()))
    await _stop_listening(server, accept_until_s)


if __name__ == '__main__':
    with mock.patch.object(CallerServer, 'stop_listening', _stop_slowly):
        main()
