"""Tests of the engine stand-in."""

import asyncio
import json
from http import HTTPStatus
from typing import Any

import aiohttp
import pytest

from standins.engine.tokens import expected_text
from tests.harness import Cluster, Node, wait_until

CHAT = '/v1/chat/completions'
PRELOAD = ('--preload=m=1000', '--preload-adapters=ad=m')


def _body(model: str = 'm', **more: Any) -> dict[str, Any]:
    messages = [{'role': 'user', 'content': 'hello'}]
    return {'model': model, 'messages': messages, 'max_tokens': 4} | more


async def _order(
    cluster: Cluster, engine: Node, order_id: str, action: str, **more: Any
) -> int:
    body = {'order_id': order_id, 'action': action} | more
    async with cluster.http.post(f'{engine.url}/orders', json=body) as resp:
        return resp.status


async def _finish(cluster: Cluster, engine: Node, order_id: str) -> str:
    async def is_finished() -> bool:
        report = await cluster.get_json(engine, '/report')
        return bool(report['orders'][order_id]['state'] != 'running')

    await wait_until(is_finished)
    report = await cluster.get_json(engine, '/report')
    return str(report['orders'][order_id]['state'])


async def test_an_answer_holds_the_tokens_of_its_request(
    cluster: Cluster,
) -> None:
    engine = await cluster.start_engine(*PRELOAD)
    async with cluster.http.post(
        engine.url + CHAT, json=_body('ad'), headers={'X-Request-Id': 'r1'}
    ) as resp:
        answer = await resp.json()
    assert resp.headers['X-Request-Id'] == answer['id'] == 'r1'
    message = answer['choices'][0]['message']
    assert message['content'] == expected_text('m', 'ad', 'hello', 4)


async def test_a_resumed_stream_starts_at_the_given_token(
    cluster: Cluster,
) -> None:
    engine = await cluster.start_engine(*PRELOAD)
    async with cluster.http.post(
        engine.url + CHAT,
        json=_body(stream=True),
        headers={'X-Resume-From': '2'},
    ) as resp:
        lines = (await resp.text()).split('\n\n')
    assert lines[-2:] == ['data: [DONE]', '']
    chunks = [json.loads(line.removeprefix('data: ')) for line in lines[:-2]]
    assert [chunk['index'] for chunk in chunks] == [2, 3]
    text = ''.join(chunk['choices'][0]['delta']['content'] for chunk in chunks)
    assert text == expected_text('m', '', 'hello', 4, 2)


async def test_a_closed_connection_cancels(cluster: Cluster) -> None:
    engine = await cluster.start_engine(*PRELOAD)
    async with cluster.http.post(
        engine.url + CHAT,
        json=_body(stream=True, max_tokens=100_000),
        headers={'X-Request-Id': 'r1'},
    ) as resp:
        await resp.content.readline()
        resp.close()

    async def is_cancelled() -> bool:
        stats = await cluster.get_json(engine, '/stats')
        return bool(stats['requests']['r1']['cancelled'])

    await wait_until(is_cancelled)


async def test_a_cancelled_stream_has_no_end_mark(cluster: Cluster) -> None:
    engine = await cluster.start_engine(*PRELOAD)
    async with cluster.http.post(
        engine.url + CHAT,
        json=_body(stream=True, max_tokens=100_000),
        headers={'X-Request-Id': 'r1'},
    ) as resp:
        await resp.content.readline()
        async with cluster.http.delete(f'{engine.url}/requests/r1') as told:
            assert told.status == HTTPStatus.NO_CONTENT
        assert '[DONE]' not in await resp.text()


async def test_lower_priority_numbers_run_first(cluster: Cluster) -> None:
    engine = await cluster.start_engine(*PRELOAD, '--max-batch=1')
    done: list[str] = []

    async def ask(priority: str, tokens: int) -> None:
        async with cluster.http.post(
            engine.url + CHAT,
            json=_body(max_tokens=tokens),
            headers={'X-Priority': priority, 'X-Request-Id': f'r{priority}'},
        ) as resp:
            await resp.read()
        done.append(priority)

    async def ask_next(
        priority: str, running: int, tokens: int = 60
    ) -> asyncio.Task[None]:
        task = asyncio.create_task(ask(priority, tokens))

        async def is_waiting() -> bool:
            report = await cluster.get_json(engine, '/report')
            return bool(report['models']['m']['running'] == running)

        await wait_until(is_waiting)
        return task

    # The first one runs until both others wait behind it.
    first = await ask_next('0', 1, tokens=100_000)
    second = await ask_next('9', 2)
    third = await ask_next('1', 3)
    async with cluster.http.delete(f'{engine.url}/requests/r0') as told:
        assert told.status == HTTPStatus.NO_CONTENT
    await asyncio.gather(first, second, third)
    assert done == ['0', '1', '9']


async def test_orders_load_and_unload_within_memory(cluster: Cluster) -> None:
    engine = await cluster.start_engine('--memory-bytes=1000')
    load = {'checkpoint': 'c', 'size_bytes': 600}
    accepted = HTTPStatus.ACCEPTED
    status = await _order(cluster, engine, 'o1', 'load', model='m', **load)
    assert status == accepted
    status = await _order(cluster, engine, 'o1', 'load', model='m', **load)
    assert status == accepted
    assert await _finish(cluster, engine, 'o1') == 'done'
    status = await _order(cluster, engine, 'o2', 'load', model='n', **load)
    assert status == HTTPStatus.INSUFFICIENT_STORAGE
    await _order(cluster, engine, 'o3', 'load_adapter', model='m', adapter='a')
    assert await _finish(cluster, engine, 'o3') == 'done'
    await _order(cluster, engine, 'o4', 'unload', model='m')
    assert await _finish(cluster, engine, 'o4') == 'done'
    report = await cluster.get_json(engine, '/report')
    assert (report['used_bytes'], report['models']) == (0, {})
    stats = await cluster.get_json(engine, '/stats')
    assert (stats['peak_bytes'], stats['overcommits']) == (600, 1)
    assert [what for _, what, _ in stats['history']] == [
        'reserved',
        'ready',
        'freed',
    ]


@pytest.mark.parametrize(
    ('checks', 'status'),
    [('true', HTTPStatus.CONFLICT), ('false', HTTPStatus.ACCEPTED)],
)
async def test_an_old_fencing_number_is_refused_where_checked(
    cluster: Cluster, checks: str, status: HTTPStatus
) -> None:
    engine = await cluster.start_engine(f'--checks-fence={checks}')
    await _order(cluster, engine, 'o1', 'set_role', role='x', fence=5)
    answer = await _order(cluster, engine, 'o2', 'set_role', role='y', fence=4)
    assert answer == status


async def test_a_marked_request_ends_the_process(cluster: Cluster) -> None:
    engine = await cluster.start_engine(*PRELOAD)
    body = _body(messages=[{'role': 'user', 'content': 'CRASH-ME'}])
    with pytest.raises(aiohttp.ClientError):
        await cluster.http.post(engine.url + CHAT, json=body)
    assert await engine.process.wait() == 70


async def test_a_model_that_is_not_loaded_is_404(cluster: Cluster) -> None:
    engine = await cluster.start_engine()
    async with cluster.http.post(engine.url + CHAT, json=_body()) as resp:
        answer = await resp.json()
    assert resp.status == HTTPStatus.NOT_FOUND
    assert answer['error']['code'] == 'model_not_loaded'
    stats = await cluster.get_json(engine, '/stats')
    assert not stats['requests']


async def test_a_version_order_replaces_the_checkpoint(
    cluster: Cluster,
) -> None:
    engine = await cluster.start_engine(*PRELOAD)
    status = await _order(
        cluster, engine, 'o1', 'set_version', model='m', checkpoint='c-2'
    )
    assert status == HTTPStatus.ACCEPTED
    assert await _finish(cluster, engine, 'o1') == 'done'
    report = await cluster.get_json(engine, '/report')
    assert report['models']['m']['checkpoint'] == 'c-2'
    await _order(cluster, engine, 'o2', 'set_version', model='absent')
    assert await _finish(cluster, engine, 'o2') == 'failed'
