"""Runs mimosactl as an operator would."""

import asyncio
import json
import os
import sys
from typing import Any

import attrs

from standins.cluster import OPERATOR_TOKEN
from standins.processes import ROOT


@attrs.frozen
class ControlResult:
    """Exit code and output of one call of mimosactl."""

    exit_code: int
    text: str
    errors: str

    @property
    def fields(self) -> Any:
        """The output read as JSON."""
        return json.loads(self.text)


async def run_mimosactl(admin_url: str, *words: str) -> ControlResult:
    """Run mimosactl with these words and return what it printed."""
    environment = {
        **os.environ,
        'MIMOSACTL_ADMIN_URL': admin_url,
        'MIMOSACTL_OPERATOR_TOKEN': OPERATOR_TOKEN,
    }
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'mimosaworks.cmdline.ctl',
        *words,
        cwd=ROOT,
        env=environment,
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    output, errors = await child.communicate()
    return ControlResult(
        child.returncode or 0, output.decode(), errors.decode()
    )
