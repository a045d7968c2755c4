"""Reads settings from flags and environment variables."""

import os
import types
from collections.abc import Callable, Iterator
from typing import Any, TypeVar

import attrs
import click
from click.core import ParameterSource

from mimosaworks.errors import SettingError
from mimosaworks.settings.conventions import check_conventions
from mimosaworks.settings.option import HELP, MASKED
from mimosaworks.settings.sourced import SourcedSetting

Settings = TypeVar('Settings', bound=attrs.AttrsInstance)

PRINT_FLAG = '--print-settings'
_PRINT_REQUESTED = 'mimosaworks.print_settings'
_SOURCE_NAMES = types.MappingProxyType({
    ParameterSource.COMMANDLINE: 'flag',
    ParameterSource.ENVIRONMENT: 'environment',
    ParameterSource.DEFAULT: 'default',
})


def env_name(prefix: str, field: str) -> str:
    """Return the environment variable of a field: PREFIX_FIELD."""
    return f'{prefix}_{field}'.upper()


def settings_options(
    settings_type: type[Settings], prefix: str
) -> Callable[[Callable[..., Any]], Callable[..., Any]]:
    """Return a decorator that adds a flag for each setting to a command.

    The environment variable of each is PREFIX_NAME; flags go first. The flag
    --print-settings makes make_settings print the settings and end.
    """

    def decorate(command: Callable[..., Any]) -> Callable[..., Any]:
        command = click.option(
            PRINT_FLAG,
            is_flag=True,
            expose_value=False,
            callback=_request_print,
            help='Print each setting with its source, and exit.',
        )(command)
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
        cfg = settings_type(**given)
        check_conventions(cfg)
    except (ValueError, TypeError, SettingError) as exc:
        raise click.UsageError(f'invalid setting: {exc.args[0]}') from exc
    ctx = click.get_current_context(silent=True)
    if ctx is not None and ctx.meta.get(_PRINT_REQUESTED):
        for setting in sourced_settings(cfg, prefix):
            click.echo(str(setting))
        ctx.exit()
    return cfg


def sourced_settings(
    cfg: attrs.AttrsInstance, prefix: str
) -> Iterator[SourcedSetting]:
    """Yield each setting with its source; secrets are masked.

    Must run inside the click command that read the settings, or one below.
    """
    ctx = click.get_current_context().find_root()
    for field in attrs.fields(type(cfg)):
        source = ctx.get_parameter_source(field.name)
        yield SourcedSetting(
            name=field.name.replace('_', '-'),
            env_var=env_name(prefix, field.name),
            content=str(getattr(cfg, field.name)),
            source=_SOURCE_NAMES.get(source, 'default'),  # type: ignore[arg-type]
            is_secret=field.metadata.get(MASKED, False),
        )


def _request_print(
    ctx: click.Context, _: click.Parameter, is_requested: bool
) -> None:
    ctx.meta[_PRINT_REQUESTED] = is_requested


def _click_option(
    field: 'attrs.Attribute[Any]', prefix: str
) -> Callable[..., Any]:
    is_required = field.default is attrs.NOTHING
    flag = field.name.replace('_', '-')
    # To click, a default of None is a value, so that nothing is missing.
    presence: dict[str, Any] = (
        {'required': True}
        if is_required
        else {'default': field.default, 'show_default': True}
    )
    return click.option(
        f'--{flag}',
        **presence,
        type=click.BOOL if field.type is bool else field.type,
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
