"""The command line of mimosa-node."""

from pathlib import Path

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


def test_the_settings_file_may_come_from_the_environment(
    tmp_path: Path,
) -> None:
    shown = CliRunner().invoke(
        main, ['--check'], env={'MIMOSAWORKS_BOOT': write_boot(tmp_path)}
    )
    assert shown.exit_code == 0
