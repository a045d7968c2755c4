"""Prints results of mimosactl as text or JSON."""

import json
import types
from collections.abc import Iterable, Mapping, Sequence

import attrs
import click

from mimosaworks.admin.outcome import Outcome
from mimosaworks.cmdline.ctl_calls import EXIT_PENDING
from mimosaworks.cmdline.ctl_settings import CtlSettings

COLUMN_GAP = '  '
NOTHING_MORE: Mapping[str, object] = types.MappingProxyType({})


def show(cfg: CtlSettings, content: object, lines: Iterable[str]) -> None:
    """Print the content as JSON or the lines as text, as is set."""
    if cfg.output == 'json':
        click.echo(json.dumps(content, default=str))
        return
    for line in lines:
        click.echo(line)


def show_table(
    cfg: CtlSettings, records: Sequence[Mapping[str, object]]
) -> None:
    """Print records with the same members, one a line below headings."""
    show(cfg, list(records), _table_lines(records))


def show_outcome(
    cfg: CtlSettings,
    outcome: Outcome,
    more: Mapping[str, object] = NOTHING_MORE,
) -> None:
    """Print what became of a change; end with code 3 if it is pending.

    more is printed with it: its values as lines of their own, in text.
    """
    content = {**more, **attrs.asdict(outcome), 'state': outcome.state}
    lines = [
        *map(str, more.values()),
        *(f'warning: {warning}' for warning in outcome.warnings),
        f'version {outcome.version} is {outcome.state}',
    ]
    show(cfg, content, lines)
    if not outcome.is_in_force:
        click.get_current_context().exit(EXIT_PENDING)


def _table_lines(records: Sequence[Mapping[str, object]]) -> Iterable[str]:
    if not records:
        return
    headings = list(records[0])
    texts = [list(map(str, record.values())) for record in records]
    rows = [headings, *texts]
    columns = zip(*rows, strict=True)
    widths = [max(map(len, column)) for column in columns]
    for row in rows:
        padded = map(str.ljust, row, widths)
        yield COLUMN_GAP.join(padded).rstrip()
