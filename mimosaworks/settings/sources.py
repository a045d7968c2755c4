"""Reads settings from flags and environment variables."""

import os
from collections.abc import Callable
from typing import Any, TypeVar

import attrs
import click

from mimosaworks.errors import SettingError
from mimosaworks.settings.option import HELP

Settings = TypeVar('Settings', bound=attrs.AttrsInstance)


def env_name(prefix: str, field: str) -> str:
    """Return the environment variable of a field: PREFIX_FIELD."""
    return f'{prefix}_{field}'.upper()


def settings_options(
    settings_type: type[Settings], prefix: str
) -> Callable[[Callable[..., Any]], Callable[..., Any]]:
    """Return a decorator that adds a flag for each setting to a command.

    The environment variable of each is PREFIX_NAME; flags go first.
    """

    def decorate(command: Callable[..., Any]) -> Callable[..., Any]:
        for field in reversed(attrs.fields(settings_type)):
            command = _click_option(field, prefix)(command)
        return command

    return decorate


def make_settings(
    settings_type: type[Settings], prefix: str, **given: Any
) -> Settings:
    """Return checked settings; an error names the setting.

    Raises click.UsageError (exit code 2) for a value that is not valid and
    for an environment variable with the prefix that is no setting.
    """
    _refuse_unknown_variables(settings_type, prefix)
    try:
        return settings_type(**given)
    except (ValueError, TypeError, SettingError) as exc:
        raise click.UsageError(f'invalid setting: {exc}') from exc


def _click_option(
    field: 'attrs.Attribute[Any]', prefix: str
) -> Callable[..., Any]:
    is_required = field.default is attrs.NOTHING
    flag = field.name.replace('_', '-')
    return click.option(
        f'--{flag}',
        type=click.BOOL if field.type is bool else field.type,
        required=is_required,
        default=None if is_required else field.default,
        show_default=not is_required,
        envvar=env_name(prefix, field.name),
        show_envvar=True,
        help=field.metadata.get(HELP, ''),
    )


def _refuse_unknown_variables(
    settings_type: type[attrs.AttrsInstance], prefix: str
) -> None:
    known = {
        env_name(prefix, field.name) for field in attrs.fields(settings_type)
    }
    for name in os.environ:
        if name.startswith(f'{prefix}_') and name not in known:
            raise click.UsageError(f'unknown setting {name} in environment')
