"""The command line of mimosa-node."""

import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from mimosaworks.cmdline.node import main
from tests.test_platform_decoding import write_boot


def test_check_prints_what_was_read(tmp_path: Path) -> None:
    shown = CliRunner().invoke(
        main, ['--boot', write_boot(tmp_path), '--check']
    )
    assert shown.exit_code == 0
    assert "name='front-1'" in shown.output


def test_a_bad_settings_file_ends_with_its_name_and_code_2(
    tmp_path: Path,
) -> None:
    path = write_boot(tmp_path, listen={})
    shown = CliRunner().invoke(main, ['--boot', path])
    assert shown.exit_code == 2
    assert path in shown.output.replace('\n', '')
    assert 'front must be a text' in shown.output


@pytest.mark.parametrize(
    ('limits', 'options', 'reason'),
    [
        ({'memory-mb': 0}, [], 'memory-mb must be above 0'),
        ({'memory-mb': '300'}, [], 'memory-mb must be a whole number'),
        ({'memory-mb': 300}, ['--all-bodies-mb', '0'], '--all-bodies-mb'),
        ({'memory-mb': 300}, ['--all-bodies-mb', '260'], '--all-bodies-mb'),
    ],
)
def test_bad_bounds_on_memory_are_named(
    tmp_path: Path, limits: dict[str, Any], options: list[str], reason: str
) -> None:
    path = write_boot(tmp_path, limits=limits)
    shown = CliRunner().invoke(main, ['--boot', path, *options])
    assert shown.exit_code == 2
    assert reason in shown.output


def test_the_settings_file_may_come_from_the_environment(
    tmp_path: Path,
) -> None:
    shown = CliRunner().invoke(
        main, ['--check'], env={'MIMOSAWORKS_BOOT': write_boot(tmp_path)}
    )
    assert shown.exit_code == 0


# Guards against a process that SIGHUP ends while it imports its modules.
def test_settings_that_change_during_a_start_do_not_end_the_process(
    tmp_path: Path,
) -> None:
    # Stands in for the rest of the program, and takes as long to import.
    program = tmp_path / 'mimosaworks' / 'cmdline' / 'node.py'
    program.parent.mkdir(parents=True)
    for folder in (program.parent, program.parent.parent):
        (folder / '__init__.py').touch()
    program.write_text(
        'import signal, sys, time\n'
        "print('imports', flush=True)\n"
        'time.sleep(0.2)\n'
        "main = lambda: print('pending', signal.sigpending())\n"
    )
    copy = tmp_path / 'mimosa_node.py'
    copy.write_bytes(Path('mimosa_node.py').read_bytes())
    with subprocess.Popen(
        [sys.executable, copy], stdout=subprocess.PIPE, text=True
    ) as child:
        assert child.stdout is not None
        assert child.stdout.readline() == 'imports\n'
        child.send_signal(signal.SIGHUP)
        assert 'SIGHUP' in child.stdout.read()
    assert child.returncode == 0
