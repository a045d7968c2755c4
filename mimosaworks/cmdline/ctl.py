"""Command line of mimosactl."""

from typing import Any

import click

from mimosaworks import __version__
from mimosaworks.cmdline.ctl_debug import debug
from mimosaworks.cmdline.ctl_entities import add_entity_groups
from mimosaworks.cmdline.ctl_keys import key
from mimosaworks.cmdline.ctl_settings import PREFIX, CtlSettings
from mimosaworks.cmdline.ctl_sheets import sheet
from mimosaworks.cmdline.ctl_status import status
from mimosaworks.settings import make_settings, settings_options


@click.group(name='mimosactl', invoke_without_command=True)
@settings_options(CtlSettings, PREFIX)
@click.version_option(__version__)
def main(**given: Any) -> None:
    """Administer a mimosaworks system.

    Exit codes: 0 done and in force, 1 refused or failed, 2 wrong usage or
    settings, 3 stored but not yet in force everywhere.
    """
    ctx = click.get_current_context()
    ctx.obj = make_settings(CtlSettings, PREFIX, **given)
    if ctx.invoked_subcommand is None:
        raise click.UsageError('missing command, see --help')


main.add_command(sheet)
main.add_command(key)
main.add_command(status)
main.add_command(debug)
add_entity_groups(main)


if __name__ == '__main__':
    main()
