"""Command line of mimosa-admin."""

from typing import Any

import click
import uvloop

from mimosaworks import __version__
from mimosaworks.admin.process import run_admin
from mimosaworks.admin.settings import AdminSettings
from mimosaworks.errors import MimosaError
from mimosaworks.settings import make_settings, settings_options

PREFIX = 'MIMOSA_ADMIN'


@click.command(name='mimosa-admin')
@settings_options(AdminSettings, PREFIX)
@click.version_option(__version__)
def main(**given: Any) -> None:
    """Serve the operators' administration API on one VM."""
    cfg = make_settings(AdminSettings, PREFIX, **given)
    try:
        uvloop.run(run_admin(cfg))
    except (MimosaError, OSError) as exc:
        # OSError: an address is in use or not one of this VM.
        raise click.ClickException(str(exc)) from exc


if __name__ == '__main__':
    main()
