"""The mimosa-placer program."""

from typing import Any

import click
import uvloop

import mimosaworks
from mimosaworks.placement import PlacerSettings
from mimosaworks.placement.wiring import run_placer
from mimosaworks.settings import make_settings, settings_options

PREFIX = 'MIMOSA_PLACER'


@click.command()
@click.version_option(mimosaworks.__version__, prog_name='mimosa-placer')
@settings_options(PlacerSettings, PREFIX)
def main(**flags: Any) -> None:
    """Decide which models and adapters are loaded on which targets."""
    cfg = make_settings(PlacerSettings, PREFIX, **flags)
    uvloop.run(run_placer(cfg))


if __name__ == '__main__':
    main()
