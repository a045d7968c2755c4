"""Command line of mimosa-bench."""

import click

from bench.chaos_command import chaos
from bench.escrow import escrow
from bench.run_command import run
from bench.slopes import slopes
from bench.soak_command import soak
from mimosaworks import __version__


@click.group()
@click.version_option(__version__)
def main() -> None:
    """Measure the system on stand-ins; loads this machine only."""


main.add_command(chaos)
main.add_command(escrow)
main.add_command(run)
main.add_command(slopes)
main.add_command(soak)

if __name__ == '__main__':
    main()
