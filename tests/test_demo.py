"""The demo as a test: every answer is checked byte for byte."""

import re
from pathlib import Path

from bench.demo import run_demo


async def test_the_demo_answers_all_it_must_and_ends(tmp_path: Path) -> None:
    said: list[str] = []
    result = await run_demo(tmp_path, said.append)
    assert result.loads == 1
    assert result.streams_under_stop > 0
    assert result.streams_whole == result.streams_under_stop
    text = '\n'.join(said)
    assert re.search('row 2, column rate_tokens_per_s', text)
    assert re.search('row 3, column model', text)
    assert 'plenty' not in _logs(tmp_path)


def _logs(log_dir: Path) -> str:
    return ''.join(path.read_text() for path in log_dir.glob('*.log'))
