"""Starts mimosa-node from a checkout, as the platform runs it."""

from mimosaworks.cmdline.node import main

if __name__ == '__main__':
    main()
