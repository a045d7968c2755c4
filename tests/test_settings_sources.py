"""Tests of settings in flags and environment variables."""

import types
from typing import Any

import attrs
import click
import pytest
from click.testing import CliRunner, Result

from mimosaworks.settings import (
    make_settings,
    option,
    settings_options,
)

PREFIX = 'TRIAL'
USAGE_EXIT_CODE = 2


@attrs.frozen
class Trial:
    """One setting of each type."""

    listen_address: str = option('Where.')
    token: str = option('Secret.', is_secret=True)
    platform_url: str = option('Base.', default='http://h:1')
    statsd_address: str = option('Off.', default='')
    wait_s: float = option('Seconds.', default=1.5)
    tries: int = option('Count.', default=3)
    is_open: bool = option('Flag.', default=False)


@click.command()
@settings_options(Trial, PREFIX)
def trial(**given: Any) -> None:
    click.echo(repr(make_settings(Trial, PREFIX, **given)))


GOOD = types.MappingProxyType({
    'listen_address': '127.0.0.1:80',
    'token': 'abc',
})
BAD = (
    ('listen_address', 'localhost'),
    ('listen_address', 'h:99999'),
    ('platform_url', 'ftp://h'),
    ('statsd_address', 'here'),
    ('wait_s', 'soon'),
    ('wait_s', 'nan'),
    ('tries', '1.5'),
    ('is_open', 'perhaps'),
)


def flag_of(name: str) -> str:
    word = name.replace('_', '-')
    return f'--{word}'


def run_with_flags(settings: dict[str, str], *more: str) -> Result:
    pairs = (
        (f'--{name.replace("_", "-")}', text) for name, text in settings.items()
    )
    flags = [word for pair in pairs for word in pair]
    return CliRunner().invoke(trial, [*flags, *more])


def run_with_environment(settings: dict[str, str], *more: str) -> Result:
    env = {f'{PREFIX}_{name}'.upper(): text for name, text in settings.items()}
    return CliRunner().invoke(trial, more, env=env)


RUNS = pytest.mark.parametrize('run', [run_with_flags, run_with_environment])


@RUNS
def test_settings_are_read_with_their_types(run: Any) -> None:
    given = {**GOOD, 'wait_s': '2', 'tries': '4', 'is_open': 'yes'}
    result = run(given)
    assert 'wait_s=2.0, tries=4, is_open=True' in result.output


@RUNS
@pytest.mark.parametrize(('name', 'text'), BAD)
def test_ill_typed_setting_is_named_and_ends_with_code_2(
    run: Any, name: str, text: str
) -> None:
    result = run({**GOOD, name: text})
    assert result.exit_code == USAGE_EXIT_CODE
    assert flag_of(name) in result.output


@RUNS
@pytest.mark.parametrize('name', GOOD)
def test_missing_setting_is_named_and_ends_with_code_2(
    run: Any, name: str
) -> None:
    rest = {one: text for one, text in GOOD.items() if one != name}
    result = run(rest)
    assert result.exit_code == USAGE_EXIT_CODE
    assert flag_of(name) in result.output


@RUNS
def test_unknown_setting_is_named_and_ends_with_code_2(run: Any) -> None:
    result = run({**GOOD, 'colour': 'red'})
    assert result.exit_code == USAGE_EXIT_CODE
    assert 'colour' in result.output.lower()


def test_flag_goes_before_environment() -> None:
    result = CliRunner().invoke(
        trial,
        ['--listen-address', 'flag:1'],
        env={'TRIAL_LISTEN_ADDRESS': 'env:2', 'TRIAL_TOKEN': 't'},
    )
    assert "listen_address='flag:1'" in result.output


def test_print_settings_shows_sources_and_masks_secrets() -> None:
    result = CliRunner().invoke(
        trial,
        ['--listen-address', 'h:1', '--print-settings'],
        env={'TRIAL_TOKEN': 'hidden'},
    )
    lines = result.output.splitlines()
    assert result.exit_code == 0
    assert lines[0] == '--listen-address=h:1 (flag, TRIAL_LISTEN_ADDRESS)'
    assert lines[1] == '--token=******** (environment, TRIAL_TOKEN)'
    assert lines[4] == '--wait-s=1.5 (default, TRIAL_WAIT_S)'
    assert 'hidden' not in result.output
