"""A node that connects to no target, so that others relay its requests."""

from unittest import mock

from mimosaworks.cmdline.node import main

PATHS = 'mimosaworks.node.target_paths'


async def _connects(_: str) -> bool:
    return False


if __name__ == '__main__':
    with (
        mock.patch(f'{PATHS}.connects', _connects),
        # It looks for a path from the start.
        mock.patch(f'{PATHS}.TargetPaths._needs_probe', return_value=True),
    ):
        main()
