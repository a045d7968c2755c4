"""Command line of mimosa-node."""

import gc

import click
import uvloop

from mimosaworks import __version__
from mimosaworks.bounded_answers import (
    ALL_HELD_MB,
    ANSWER_MB,
    HELD_KB,
    KB,
    MB,
    AnswerBounds,
)
from mimosaworks.errors import SettingError
from mimosaworks.node import run_node, share_memory
from mimosaworks.platform import read_boot

_SIZE = click.IntRange(min=1)


@click.command(name='mimosa-node')
@click.option(
    '--boot',
    envvar='MIMOSAWORKS_BOOT',
    required=True,
    show_envvar=True,
    help='The settings file that the platform writes.',
)
@click.option(
    '--check',
    is_flag=True,
    help='Check the settings file, print what was read, and exit.',
)
@click.option(
    '--answer-mb',
    type=_SIZE,
    default=ANSWER_MB,
    show_default=True,
    help='The most megabytes that an answer of a target may have.',
)
@click.option(
    '--held-kb',
    type=_SIZE,
    default=HELD_KB,
    show_default=True,
    help='The most kilobytes of an answer that are held in memory.',
)
@click.option(
    '--all-held-mb',
    type=_SIZE,
    default=ALL_HELD_MB,
    show_default=True,
    help='The most megabytes of all answers that are held in memory.',
)
@click.option(
    '--all-bodies-mb',
    type=_SIZE,
    show_default='a quarter of limits.memory-mb of the settings file',
    help='The most megabytes of all requests that are held in memory.',
)
@click.version_option(__version__)
def main(
    boot: str, *, check: bool, all_bodies_mb: int | None, **sizes: int
) -> None:
    """Serve callers on one entry VM of the platform."""
    answers = AnswerBounds(
        sizes['answer_mb'] * MB,
        sizes['held_kb'] * KB,
        sizes['all_held_mb'] * MB,
    )
    try:
        cfg = read_boot(boot)
        bounds = share_memory(cfg.memory_mb, answers, all_bodies_mb)
    except SettingError as exc:
        raise click.UsageError(str(exc)) from exc
    if check:
        click.echo(cfg)
        click.echo(bounds)
        return
    uvloop.run(run_node(cfg, boot, bounds))
    # Spares the collections at exit, which take a busy VM too long.
    gc.freeze()


if __name__ == '__main__':
    main()
