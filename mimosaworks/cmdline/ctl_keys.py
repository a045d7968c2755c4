"""Commands of mimosactl on callers' keys."""

import secrets

import click

from mimosaworks.cmdline.ctl_changes import make_changes, read_config
from mimosaworks.cmdline.ctl_output import show_outcome, show_table
from mimosaworks.cmdline.ctl_settings import CtlSettings
from mimosaworks.entities import (
    Catalogue,
    Change,
    Key,
    digest_key,
    put_change,
)

KEY_PREFIX = 'mw-'
SECRET_BYTES = 32


@click.group()
def key() -> None:
    """Grant, withdraw and list callers' keys."""


@key.command()
@click.argument('name')
@click.option('--workspace', required=True, help='Whom the key stands for.')
@click.pass_obj
def add(cfg: CtlSettings, name: str, workspace: str) -> None:
    """Add a key and print its secret, this once.

    The secret is made here; only its SHA-256 digest is sent and stored.
    """
    secret = KEY_PREFIX + secrets.token_urlsafe(SECRET_BYTES)

    def decide(catalogue: Catalogue) -> list[Change]:
        if name in catalogue.key:
            raise click.ClickException(
                f'there is a key {name!r} already: withdraw it first'
            )
        entity = Key(name, digest_key(secret), workspace)
        return [put_change(entity)]

    outcome = make_changes(cfg, decide)
    show_outcome(cfg, outcome, {'secret': secret})


@key.command()
@click.argument('name')
@click.pass_obj
def withdraw(cfg: CtlSettings, name: str) -> None:
    """Withdraw a key; once in force, no VM admits a request with it."""

    def decide(catalogue: Catalogue) -> list[Change]:
        if name not in catalogue.key:
            raise click.ClickException(f'there is no key {name!r}')
        return [Change('key', name)]

    show_outcome(cfg, make_changes(cfg, decide))


@key.command('list')
@click.pass_obj
def list_keys(cfg: CtlSettings) -> None:
    """List keys with their workspaces."""
    keys = read_config(cfg).key.values()
    records = [{'name': one.name, 'workspace': one.workspace} for one in keys]
    show_table(cfg, records)
