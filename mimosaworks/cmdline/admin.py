"""Command line of mimosa-admin."""

from typing import Any

import click
import uvloop

from mimosaworks import __version__
from mimosaworks.admin.process import run_admin
from mimosaworks.admin.settings import AdminSettings
from mimosaworks.settings import make_settings, settings_options

PREFIX = 'MIMOSA_ADMIN'


@click.command(name='mimosa-admin')
@settings_options(AdminSettings, PREFIX)
@click.version_option(__version__)
def main(**given: Any) -> None:
    """Serve the operators' administration API on one VM."""
    cfg = make_settings(AdminSettings, PREFIX, **given)
    uvloop.run(run_admin(cfg))


if __name__ == '__main__':
    main()
