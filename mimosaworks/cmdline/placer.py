"""The mimosa-placer program."""

import asyncio
import signal
from typing import Any

import click
import uvloop
from absl import logging

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
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold(logging.INFO)
    uvloop.run(_main(cfg))


async def _main(cfg: PlacerSettings) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await run_placer(cfg, stop)


if __name__ == '__main__':
    main()
