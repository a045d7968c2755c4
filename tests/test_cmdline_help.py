"""Tests of the command lines' words and of their settings."""

import types

import click
import pytest
from click.testing import CliRunner
from syrupy.assertion import SnapshotAssertion

from mimosaworks import __version__
from mimosaworks.cmdline import admin, ctl, placer, router
from mimosaworks.settings import env_name

MAINS = types.MappingProxyType({
    'mimosa-router': router.main,
    'mimosa-placer': placer.main,
    'mimosa-admin': admin.main,
    'mimosactl': ctl.main,
})
DAEMONS = tuple(name for name in MAINS if name.startswith('mimosa-'))
ADDRESSES = (
    '--http-address=h:1',
    '--peer-address=h:2',
    '--platform-url=http://h:3',
    '--data-centre=qc',
)
WIDTH = 80
EXIT_USAGE = 2


def run(name: str, *words: str, **env: str) -> tuple[int, str]:
    """Return the exit code and the output of a program."""
    runner = CliRunner(env=env)
    result = runner.invoke(
        MAINS[name], words, prog_name=name, terminal_width=WIDTH
    )
    return result.exit_code, result.output


def given_to(name: str) -> tuple[str, ...]:
    """Return words that lack nothing."""
    if name == 'mimosactl':
        return ('status',)
    token = ('--operator-token=x',) if name == 'mimosa-admin' else ()
    return (*ADDRESSES, *token)


def groups_of(group: click.Group) -> list[str]:
    return [
        name
        for name, command in group.commands.items()
        if isinstance(command, click.Group)
    ]


@pytest.mark.parametrize('name', MAINS)
def test_help_of_each_program_stays_as_it_is(
    name: str, snapshot: SnapshotAssertion
) -> None:
    assert run(name, '--help') == (0, snapshot)


@pytest.mark.parametrize('group', groups_of(ctl.main))
def test_help_of_each_group_of_mimosactl_stays_as_it_is(
    group: str, snapshot: SnapshotAssertion
) -> None:
    assert run('mimosactl', group, '--help') == (0, snapshot)


@pytest.mark.parametrize('name', MAINS)
def test_each_program_tells_its_version(name: str) -> None:
    code, output = run(name, '--version')
    assert code == 0
    assert __version__ in output


@pytest.mark.parametrize('name', DAEMONS)
def test_each_daemon_names_a_missing_setting(name: str) -> None:
    code, output = run(name)
    assert code == EXIT_USAGE
    assert "Missing option '--" in output


@pytest.mark.parametrize('name', DAEMONS)
@pytest.mark.parametrize('flag', ['--peer-address', '--platform-url'])
def test_each_daemon_names_an_ill_typed_address(name: str, flag: str) -> None:
    words = [*given_to(name), f'{flag}=nonsense']
    code, output = run(name, *words)
    assert code == EXIT_USAGE
    assert flag in output


@pytest.mark.parametrize('name', MAINS)
def test_each_program_names_an_unknown_variable(name: str) -> None:
    variable = env_name(name.replace('-', '_'), 'colour')
    code, output = run(name, *given_to(name), **{variable: 'red'})
    assert code == EXIT_USAGE
    assert variable in output


def test_debug_settings_masks_the_token() -> None:
    env = {'MIMOSACTL_OPERATOR_TOKEN': 'hidden'}
    code, output = run('mimosactl', 'debug', 'settings', **env)
    assert code == 0
    assert '--operator-token=******** (environment' in output
    assert 'hidden' not in output
