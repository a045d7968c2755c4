"""Commands of mimosactl that show what it believes."""

import attrs
import click

from mimosaworks.cmdline.ctl_output import show
from mimosaworks.cmdline.ctl_settings import PREFIX, CtlSettings
from mimosaworks.settings import sourced_settings


@click.group()
def debug() -> None:
    """Show what mimosactl believes."""


@debug.command('settings')
@click.pass_obj
def show_settings(cfg: CtlSettings) -> None:
    """Show each setting with its source; secrets are masked."""
    found = list(sourced_settings(cfg, PREFIX))
    masked = [attrs.evolve(one, content=one.shown) for one in found]
    content = [attrs.asdict(one) for one in masked]
    show(cfg, content, map(str, masked))
