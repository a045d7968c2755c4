"""Command line of mimosa-node."""

import click
import uvloop

from mimosaworks import __version__
from mimosaworks.errors import SettingError
from mimosaworks.node import run_node
from mimosaworks.platform import read_boot


@click.command(name='mimosa-node')
@click.option(
    '--boot',
    envvar='MIMOSAWORKS_BOOT',
    required=True,
    show_envvar=True,
    help='The settings file that the platform writes.',
)
@click.option(
    '--check',
    is_flag=True,
    help='Check the settings file, print what was read, and exit.',
)
@click.version_option(__version__)
def main(boot: str, *, check: bool) -> None:
    """Serve callers on one entry VM of the platform."""
    try:
        cfg = read_boot(boot)
    except SettingError as exc:
        raise click.UsageError(str(exc)) from exc
    if check:
        click.echo(cfg)
        return
    uvloop.run(run_node(cfg, boot))


if __name__ == '__main__':
    main()
