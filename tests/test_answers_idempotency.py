"""Proofs that a request with an Idempotency-Key runs at most once."""

import asyncio
import types
from http import HTTPStatus

from tests.harness import wait_until
from tests.harness_entry import PLOTS, Answer, Entry

KEY = types.MappingProxyType({'Idempotency-Key': 'pickup-17'})
REPLAYED = 'Idempotency-Replayed'


async def test_a_resend_through_another_router_gets_the_first_answer(
    entry: Entry,
) -> None:
    await entry.add_service('s1')
    await entry.open()
    other = await entry.add_router()
    first = await entry.call(PLOTS, b'x', headers=KEY)
    again = await entry.call(PLOTS, b'x', headers=KEY, router=other)
    assert first.status == again.status == HTTPStatus.OK
    assert first.body == again.body
    assert REPLAYED in again.headers
    changed = await entry.call(PLOTS, b'y', headers=KEY, router=other)
    assert changed.status == HTTPStatus.UNPROCESSABLE_ENTITY
    assert changed.run == 'not-run'
    assert len(entry.runs()) == 1


async def _running_call(entry: Entry, sleep_s: str) -> 'asyncio.Task[Answer]':
    """Return a call with the key that has begun to run."""
    headers = {**KEY, 'X-Sleep-S': sleep_s}
    call = asyncio.create_task(entry.call(PLOTS, b'x', headers=headers))

    async def is_running() -> bool:
        return bool(entry.runs())

    await wait_until(is_running)
    return call


# Guards against a 409 "is running" for a request that its caller has the
# answer to: the answer leaves before the table keeps it.
async def test_a_resend_waits_until_the_answer_is_kept(entry: Entry) -> None:
    await entry.add_service('s1')
    await entry.open()
    other = await entry.add_router()
    call = await _running_call(entry, '0.3')
    await entry.cluster.control(entry.cluster.platform, slow_s=0.3)
    first = await call
    # What the router asked before is still held back.
    await entry.cluster.control(entry.cluster.platform, slow_s=0)
    again = await entry.call(PLOTS, b'x', headers=KEY, router=other)
    assert first.status == again.status == HTTPStatus.OK
    assert REPLAYED in again.headers
    assert len(entry.runs()) == 1


# Guards against a resend that waits for a long request beyond its deadline,
# and an answer that waits for a table that is away.
async def test_a_long_request_holds_up_no_resend_and_needs_no_table(
    entry: Entry,
) -> None:
    await entry.add_service('s1')
    await entry.open()
    call = await _running_call(entry, '1.2')
    headers = {**KEY, 'Mimosa-Deadline-S': '0.8'}
    async with asyncio.timeout(0.8):
        again = await entry.call(PLOTS, b'x', headers=headers)
    assert again.fields()['error']['code'] == 'idempotency_in_progress'
    assert again.run == 'may-have-run'
    await entry.cluster.control(entry.cluster.platform, outage=True)
    assert (await call).status == HTTPStatus.OK


async def test_resends_at_the_same_time_run_once(entry: Entry) -> None:
    await entry.add_service('s1')
    await entry.open()
    other = await entry.add_router()
    headers = {**KEY, 'X-Sleep-S': '0.2'}
    answers = await asyncio.gather(
        *(
            entry.call(PLOTS, b'x', headers=headers, router=router)
            for router in (entry.router, other) * 5
        )
    )
    assert len(entry.runs()) == 1
    answered = [answer for answer in answers if answer.status == HTTPStatus.OK]
    refused = [answer for answer in answers if answer not in answered]
    assert answered
    assert {answer.fields()['error']['code'] for answer in refused} <= {
        'idempotency_in_progress'
    }


async def test_a_lost_reply_of_the_table_does_not_run_it_twice(
    entry: Entry,
) -> None:
    await entry.add_service('s1')
    await entry.open()
    await entry.cluster.control(entry.cluster.platform, drop_replies=2)
    first = await entry.call(PLOTS, b'x', headers=KEY)
    again = await entry.call(PLOTS, b'x', headers=KEY)
    assert first.status == again.status == HTTPStatus.OK
    assert len(entry.runs()) == 1


async def test_an_outage_of_the_table_is_a_true_not_run(entry: Entry) -> None:
    await entry.add_service('s1')
    await entry.open()
    await entry.cluster.control(entry.cluster.platform, outage=True)
    refused = await entry.call(PLOTS, b'x', headers=KEY)
    assert refused.run == 'not-run'
    assert refused.fields()['error']['code'] == 'store_unavailable'
    assert not entry.runs()
    await entry.cluster.control(entry.cluster.platform, outage=False)

    async def is_answered() -> bool:
        answer = await entry.call(PLOTS, b'x', headers=KEY)
        return answer.status == HTTPStatus.OK

    await wait_until(is_answered)
    assert len(entry.runs()) == 1


async def test_a_lost_answer_is_told_to_the_resend(entry: Entry) -> None:
    await entry.add_service('s1')
    await entry.open()
    await entry.fault('s1', drop_replies=1)
    lost = await entry.call(PLOTS, b'x', headers=KEY)
    again = await entry.call(PLOTS, b'x', headers=KEY)
    assert lost.run == again.run == 'may-have-run'
    assert again.fields()['error']['code'] == 'idempotency_in_doubt'
    assert len(entry.runs()) == 1


async def test_a_resend_after_its_router_was_killed_does_not_run_it_again(
    entry: Entry,
) -> None:
    await entry.add_service('s1')
    await entry.open()
    other = await entry.add_router()
    call = await _running_call(entry, '1')
    await entry.router.process.kill()
    await asyncio.wait([call])
    assert call.exception() is not None
    again = await entry.call(PLOTS, b'x', headers=KEY, router=other)
    assert again.status == HTTPStatus.CONFLICT
    assert again.run == 'may-have-run'
    assert len(entry.runs()) == 1
