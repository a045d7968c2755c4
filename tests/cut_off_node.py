"""A node that connects to no target, so that others relay its requests.

MIMOSA_CUT_OFF_FROM has the addresses to which its requests can't be sent
either, host:port, with commas between them.
"""

import os
import sys
from typing import Any
from unittest import mock

from mimosaworks.cmdline.node import main

PATHS = 'mimosaworks.node.target_paths'
UNREACHED = os.environ.get('MIMOSA_CUT_OFF_FROM', '').split(',')


async def _connects(_: str) -> bool:
    return False


def _refuse(event: str, details: tuple[Any, ...]) -> None:
    if event != 'socket.connect':
        return
    address = ':'.join(map(str, details[1]))
    if address in UNREACHED:
        raise ConnectionRefusedError(f'no path to {address}')


if __name__ == '__main__':
    sys.addaudithook(_refuse)
    with (
        mock.patch(f'{PATHS}.connects', _connects),
        # It looks for a path from the start.
        mock.patch(f'{PATHS}.TargetPaths._needs_probe', return_value=True),
    ):
        main()
