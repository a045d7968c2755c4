"""Starts mimosa-node from a checkout, as the platform runs it."""

import signal

# Its default action would end a process that is still starting. It stays
# pending until the node has a handler.
signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))

# Imports take much longer than the line above.
from mimosaworks.cmdline.node import main  # noqa: E402

if __name__ == '__main__':
    main()
