"""Commands of mimosactl that are the same for several kinds."""

from collections.abc import Sequence

import attrs
import click

from mimosaworks.cmdline.ctl_changes import make_changes, read_config
from mimosaworks.cmdline.ctl_output import show_outcome, show_table
from mimosaworks.cmdline.ctl_settings import CtlSettings
from mimosaworks.entities import Catalogue, Change
from mimosaworks.sheets import (
    SheetFault,
    SheetRow,
    columns_of,
    entity_of_row,
)

KINDS = ('workspace', 'model', 'adapter', 'target', 'route')


def add_entity_groups(main: click.Group) -> None:
    """Add a group of commands for each kind."""
    for kind in KINDS:
        group = click.Group(kind, help=f'List, put and delete {kind}s.')
        group.add_command(_list_command(kind))
        group.add_command(_put_command(kind))
        group.add_command(_delete_command(kind))
        main.add_command(group)


def _list_command(kind: str) -> click.Command:
    @click.command('list', help=f'List all {kind}s.')
    @click.pass_obj
    def list_all(cfg: CtlSettings) -> None:
        entities = getattr(read_config(cfg), kind).values()
        show_table(cfg, [attrs.asdict(entity) for entity in entities])

    return list_all


def _put_command(kind: str) -> click.Command:
    names = ', '.join(columns_of(kind))

    @click.command(
        'put',
        help=f'Create or change a {kind}; what is not given stays as it is. '
        f'Attributes, as NAME=VALUE: {names}.',
    )
    @click.argument('name')
    @click.argument('attributes', nargs=-1, metavar='[ATTRIBUTE=VALUE]...')
    @click.pass_obj
    def put(cfg: CtlSettings, name: str, attributes: Sequence[str]) -> None:
        cells = dict(_cell(kind, text) for text in attributes)
        row = SheetRow(0, kind, name, cells)
        outcome = make_changes(
            cfg, lambda catalogue: [_put_change(row, catalogue)]
        )
        show_outcome(cfg, outcome)

    return put


def _delete_command(kind: str) -> click.Command:
    @click.command('delete', help=f'Delete a {kind}.')
    @click.argument('name')
    @click.pass_obj
    def delete(cfg: CtlSettings, name: str) -> None:
        change = Change(kind, name)
        show_outcome(cfg, make_changes(cfg, lambda _: [change]))

    return delete


def _cell(kind: str, text: str) -> tuple[str, str]:
    heading, mark, cell = text.partition('=')
    if not mark or heading not in columns_of(kind):
        names = ', '.join(columns_of(kind))
        raise click.UsageError(
            f'{text!r} is no attribute of a {kind}: give NAME=VALUE with one '
            f'of {names}'
        )
    return heading, cell


def _put_change(row: SheetRow, catalogue: Catalogue) -> Change:
    faults: list[SheetFault] = []
    entity = entity_of_row(row, catalogue, faults)
    if entity is None:
        raise click.ClickException('\n'.join(map(str, faults)))
    return Change(row.kind, row.name, entity)
