"""The demo: the main job on the embedded stand-ins, ending by itself."""

import pathlib
import tempfile
import time
from collections.abc import Callable
from contextlib import AsyncExitStack

import click

from bench.demo_result import DemoResult
from bench.demo_steps import (
    answer_cold_requests,
    answer_warm_requests,
    apply_sheet,
    call_services,
    refuse_keys,
    report_memory,
    stop_router_under_load,
)
from bench.demo_system import DemoSystem, open_demo_system
from standins.running import run_tool

Say = Callable[[str], None]


async def run_demo(log_dir: pathlib.Path, say: Say) -> DemoResult:
    """Run all steps and return the figures.

    log_dir takes each process's log. Raises DemoError when an answer is not
    what it must be.
    """
    result = DemoResult()
    async with AsyncExitStack() as stack:
        system: DemoSystem = await open_demo_system(stack, log_dir, say)
        await apply_sheet(system, result)
        await answer_cold_requests(system, result)
        await answer_warm_requests(system, result)
        await call_services(system)
        await refuse_keys(system)
        await stop_router_under_load(system, result)
        report_memory(system, result)
    return result


@click.command()
def main() -> None:
    """Show the main job on stand-ins; takes less than a minute."""
    started_s = time.monotonic()
    with tempfile.TemporaryDirectory() as log_dir:
        run_tool(run_demo(pathlib.Path(log_dir), click.echo))
    took_s = time.monotonic() - started_s
    click.echo(f'done in {took_s:.1f} s')


if __name__ == '__main__':
    main()
