"""Commands of mimosactl on sheets."""

from collections.abc import Iterator
from typing import BinaryIO

import attrs
import click

from mimosaworks.cmdline.ctl_calls import EXIT_FAILED
from mimosaworks.cmdline.ctl_changes import make_changes, read_config
from mimosaworks.cmdline.ctl_output import show, show_outcome
from mimosaworks.cmdline.ctl_settings import CtlSettings
from mimosaworks.entities import Catalogue, Change
from mimosaworks.sheets import Plan, plan_sheet, read_sheet

_SOURCE = click.argument('source', metavar='FILE', type=click.File('rb'))
_PRUNE = click.option(
    '--prune',
    is_flag=True,
    help="Delete what the sheet lacks of the sheet's kinds.",
)


@click.group()
def sheet() -> None:
    """Check, plan and apply a planner's sheet (CSV)."""


@sheet.command()
@_SOURCE
@_PRUNE
@click.pass_obj
def check(cfg: CtlSettings, source: BinaryIO, prune: bool) -> None:
    """Name every fault of a sheet; change nothing."""
    plan = _plan(source.read(), read_config(cfg), prune)
    _end_if_faulty(cfg, plan)
    lines = [*map(str, plan.warnings), 'no faults']
    show(cfg, _content(plan), lines)


@sheet.command('plan')
@_SOURCE
@_PRUNE
@click.pass_obj
def show_plan(cfg: CtlSettings, source: BinaryIO, prune: bool) -> None:
    """Show what applying a sheet would change; change nothing."""
    plan = _plan(source.read(), read_config(cfg), prune)
    _end_if_faulty(cfg, plan)
    show(cfg, _content(plan), _lines(plan))


@sheet.command()
@_SOURCE
@_PRUNE
@click.pass_obj
def apply(cfg: CtlSettings, source: BinaryIO, prune: bool) -> None:
    """Apply a sheet as one version, or nothing of it."""
    content = source.read()

    def decide(catalogue: Catalogue) -> tuple[Change, ...]:
        plan = _plan(content, catalogue, prune)
        _end_if_faulty(cfg, plan)
        if cfg.output == 'text':
            show(cfg, None, _lines(plan))
        return plan.changes

    show_outcome(cfg, make_changes(cfg, decide))


def _plan(content: bytes, catalogue: Catalogue, prune: bool) -> Plan:
    return plan_sheet(read_sheet(content, catalogue), catalogue, prune)


def _end_if_faulty(cfg: CtlSettings, plan: Plan) -> None:
    if plan.faults:
        lines = [*map(str, plan.faults), f'{len(plan.faults)} faults']
        show(cfg, _content(plan), lines)
        click.get_current_context().exit(EXIT_FAILED)


def _lines(plan: Plan) -> Iterator[str]:
    yield from map(str, plan.warnings)
    yield from map(str, plan.steps)
    yield f'{len(plan.steps)} changes to version {plan.base_version}'


def _content(plan: Plan) -> dict[str, object]:
    return {
        'base_version': plan.base_version,
        'steps': [attrs.asdict(step) for step in plan.steps],
        'faults': [attrs.asdict(fault) for fault in plan.faults],
        'warnings': [attrs.asdict(warning) for warning in plan.warnings],
    }
