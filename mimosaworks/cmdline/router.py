"""Command line of mimosa-router."""

import gc
from typing import Any

import click
import uvloop

from mimosaworks import __version__
from mimosaworks.router import RouterSettings, run_router
from mimosaworks.settings import make_settings, settings_options

PREFIX = 'MIMOSA_ROUTER'


@click.command(name='mimosa-router')
@settings_options(RouterSettings, PREFIX)
@click.version_option(__version__)
def main(**given: Any) -> None:
    """Serve callers on one entry VM."""
    cfg = make_settings(RouterSettings, PREFIX, **given)
    uvloop.run(run_router(cfg))
    # Spares the collections at exit, which take a busy VM too long.
    gc.freeze()


if __name__ == '__main__':
    main()
