"""The steps of the demo, in order."""

import asyncio
import time
from http import HTTPStatus

import psutil

from bench.caller import Caller, Reply
from bench.control import ControlResult, run_mimosactl
from bench.demo_error import require
from bench.demo_result import DemoResult
from bench.demo_sheet import (
    ADAPTER,
    MODEL,
    WORKSPACE,
    make_broken_sheet,
    make_sheet,
)
from bench.demo_system import DemoSystem
from standins.engine.tokens import expected_text
from standins.node import Node

MAX_TOKENS = 40
LONG_TOKENS = 150
STREAMS = 12
BYTES_PER_MB = 1000000


async def apply_sheet(system: DemoSystem, result: DemoResult) -> None:
    """Check, plan and apply the planner's sheet, then make a key."""
    broken = system.log_dir / 'broken.csv'
    broken.write_text(make_broken_sheet())
    faults = await _mimosactl(system, 'sheet', 'check', str(broken))
    require(faults.exit_code == 1, 'a broken sheet was taken')
    system.say(f'sheet check of a broken sheet:\n{faults.text}{faults.errors}')
    sheet = system.log_dir / 'camp.csv'
    sheet.write_text(make_sheet(_urls(system.engines), _urls(system.services)))
    plan = await _mimosactl(system, 'sheet', 'plan', str(sheet))
    require(plan.exit_code == 0, plan.errors)
    system.say(f'sheet plan:\n{plan.text}')
    started_s = time.monotonic()
    applied = await _mimosactl(system, 'sheet', 'apply', str(sheet))
    result.accepted_s = time.monotonic() - started_s
    require(applied.exit_code == 0, applied.text + applied.errors)
    system.say(f'sheet apply: in force after {result.accepted_s:.2f} s')
    system.caller = Caller(system.cluster.http, await _add_key(system, 'desk'))


async def answer_cold_requests(system: DemoSystem, result: DemoResult) -> None:
    """Ask all routers at once for a model that no engine holds."""
    entries = await system.cluster.get_json(system.routers[0], '/v1/entries')
    addresses = [entry['address'] for entry in entries['entries']]
    require(len(addresses) == len(system.routers), f'entries: {entries}')
    system.say(f'entries: {addresses}')
    first_bytes = await asyncio.gather(
        *(
            _ask(system, f'http://{address}', MODEL, address)
            for address in addresses
        )
    )
    result.cold_first_token_s = max(first_bytes)
    stats = await system.cluster.get_json(system.cluster.platform, '/stats')
    result.loads = stats['loads']
    require(result.loads == 1, f'{result.loads} loads for one replica')
    cold_s = result.cold_first_token_s
    system.say('all routers were asked at once for a cold model: one load')
    system.say(f'first token of the cold model after {cold_s:.2f} s')


async def answer_warm_requests(system: DemoSystem, result: DemoResult) -> None:
    """Ask for the loaded model, then for an adapter beside it."""
    warm_s = await _ask(system, system.routers[0].url, MODEL, 'warm')
    result.warm_first_token_s = warm_s
    adapter_s = await _ask(system, system.routers[1].url, ADAPTER, 'adapted')
    system.say(f'first token of the warm model after {warm_s:.3f} s')
    system.say(f'first token of a cold adapter after {adapter_s:.3f} s')


async def call_services(system: DemoSystem) -> None:
    """Call the plain service with a key, resend it, and use an open route."""
    url = system.routers[0].url
    headers = {'Idempotency-Key': 'plot-17'}
    first = await system.caller.post(
        f'{url}/plots/17', data=b'family 4', headers=headers
    )
    other_url = system.routers[1].url
    again = await system.caller.post(
        f'{other_url}/plots/17', data=b'family 4', headers=headers
    )
    require(first.status == HTTPStatus.OK, str(first))
    require(first.body == again.body, 'a resend got another answer')
    system.say('service call answered; its resend by another router replayed')
    public = await Caller(system.cluster.http).post(f'{url}/notices/today')
    require(public.status == HTTPStatus.OK, str(public))
    system.say('open route answered without a key')


async def refuse_keys(system: DemoSystem) -> None:
    """Show that wrong and withdrawn keys are refused."""
    url = system.routers[0].url
    stranger = Caller(system.cluster.http, 'no-such-key')
    wrong = await stranger.chat(url, MODEL, 'x', 1)
    require(wrong.status == HTTPStatus.UNAUTHORIZED, str(wrong))
    guest = Caller(system.cluster.http, await _add_key(system, 'guest'))
    admitted = await guest.chat(url, MODEL, 'x', 1)
    require(admitted.status == HTTPStatus.OK, str(admitted))
    withdrawn = await _mimosactl(system, 'key', 'withdraw', 'guest')
    require(withdrawn.exit_code == 0, withdrawn.errors)
    refused = await asyncio.gather(
        *(guest.chat(router.url, MODEL, 'x', 1) for router in system.routers)
    )
    statuses = {reply.status for reply in refused}
    require(statuses == {HTTPStatus.UNAUTHORIZED}, str(statuses))
    system.say('a wrong key and a withdrawn key were refused by all routers')


async def stop_router_under_load(
    system: DemoSystem, result: DemoResult
) -> None:
    """Stop a router while it streams; every stream must end whole."""
    leaving = system.routers[-1]
    prompts = [f'stop {rank}' for rank in range(STREAMS)]
    streams = [
        asyncio.create_task(
            system.caller.chat(leaving.url, MODEL, prompt, LONG_TOKENS)
        )
        for prompt in prompts
    ]
    await asyncio.sleep(0.5)
    leaving.process.terminate()
    replies = await asyncio.gather(*streams)
    for prompt, reply in zip(prompts, replies, strict=True):
        _require_text(reply, '', prompt, LONG_TOKENS)
    exit_code = await leaving.process.wait()
    require(exit_code == 0, f'the router ended with {exit_code}')
    result.streams_under_stop = STREAMS
    result.streams_whole = len(replies)
    system.say(
        f'graceful stop of a router: {len(replies)} of {STREAMS} streams whole'
    )


def report_memory(system: DemoSystem, result: DemoResult) -> None:
    """Note the resident set of one process of each program."""
    programs = {
        'router': system.routers[0],
        'placer': system.placers[0],
        'admin': system.admins[0],
    }
    result.resident_mb = {
        name: psutil.Process(node.process.pid).memory_info().rss / BYTES_PER_MB
        for name, node in programs.items()
    }
    sizes = ', '.join(
        f'{name} {size:.0f} MB' for name, size in result.resident_mb.items()
    )
    system.say(f'resident set: {sizes}')


async def _mimosactl(system: DemoSystem, *words: str) -> ControlResult:
    return await run_mimosactl(system.admins[0].url, *words)


async def _add_key(system: DemoSystem, name: str) -> str:
    added = await _mimosactl(
        system,
        '--output=json',
        'key',
        'add',
        name,
        f'--workspace={WORKSPACE}',
    )
    require(added.exit_code == 0, added.text + added.errors)
    return str(added.fields['secret'])


async def _ask(
    system: DemoSystem, router_url: str, name: str, prompt: str
) -> float:
    """Return the time to the first byte of a whole and right answer, in s."""
    reply = await system.caller.chat(router_url, name, prompt, MAX_TOKENS)
    _require_text(reply, ADAPTER if name == ADAPTER else '', prompt)
    return reply.first_byte_s


def _urls(nodes: dict[str, Node]) -> dict[str, str]:
    return {name: node.url for name, node in nodes.items()}


def _require_text(
    reply: Reply, adapter: str, prompt: str, count: int = MAX_TOKENS
) -> None:
    require(reply.status == HTTPStatus.OK, str(reply))
    expected = expected_text(MODEL, adapter, prompt, count)
    require(reply.streamed_text() == expected, f'wrong answer to {prompt}')
