"""Tests of the fault proxy and the plain service behind it."""

import asyncio
import socket
from collections.abc import Iterator
from http import HTTPStatus

import aiohttp
import pytest

from standins.addresses import reserve_address
from standins.faultproxy.proxy import Proxy
from standins.serving import split_address
from tests.harness import Cluster, Node, wait_until


async def _links(cluster: Cluster) -> tuple[Node, Node]:
    service = await cluster.start_service()
    return service, await cluster.start_proxy(service.address)


@pytest.fixture
def own_proxy() -> Iterator[Proxy]:
    """A proxy in this process, without an upstream."""
    proxy = Proxy(
        split_address(reserve_address()), split_address(reserve_address())
    )
    yield proxy
    proxy.close()


async def _accepts(proxy: Proxy) -> bool:
    try:
        _, writer = await asyncio.open_connection(*proxy.address)
    except ConnectionRefusedError:
        return False
    writer.close()
    await writer.wait_closed()
    return True


async def _call(cluster: Cluster, proxy: Node, request_id: str) -> int:
    headers = {'X-Request-Id': request_id, 'Connection': 'close'}
    async with cluster.http.post(
        f'{proxy.url}/plots', data=b'x', headers=headers
    ) as resp:
        await resp.read()
        return resp.status


async def _runs(cluster: Cluster, service: Node) -> list[str]:
    counts = await cluster.get_json(service, '/counts')
    return list(counts['requests'])


async def test_bytes_pass_without_faults(cluster: Cluster) -> None:
    service, proxy = await _links(cluster)
    assert await _call(cluster, proxy, 'r1') == HTTPStatus.OK
    assert await _runs(cluster, service) == ['r1']


async def test_a_cut_refuses_until_it_is_lifted(cluster: Cluster) -> None:
    service, proxy = await _links(cluster)
    await cluster.control(proxy, cut=True)
    with pytest.raises(aiohttp.ClientConnectorError):
        await _call(cluster, proxy, 'r1')
    await cluster.control(proxy, cut=False)
    assert await _call(cluster, proxy, 'r2') == HTTPStatus.OK
    assert await _runs(cluster, service) == ['r2']


# Guards against a soak that ends with "address already in use": two faults of
# one proxy that end at once.
async def test_openings_at_once_listen_once(own_proxy: Proxy) -> None:
    await asyncio.gather(own_proxy.open(), own_proxy.open())
    assert await _accepts(own_proxy)
    own_proxy.close()
    assert not await _accepts(own_proxy)


# Guards against a cut that an opening, begun before it, undoes.
async def test_a_closing_during_an_opening_stays(own_proxy: Proxy) -> None:
    opening = asyncio.create_task(own_proxy.open())
    await asyncio.sleep(0)
    own_proxy.close()
    await opening
    assert not await _accepts(own_proxy)


async def test_a_dropped_reply_closes_after_the_run(cluster: Cluster) -> None:
    service, proxy = await _links(cluster)
    await cluster.control(proxy, drop_replies=1)
    with pytest.raises(aiohttp.ClientError):
        await _call(cluster, proxy, 'r1')
    assert await _call(cluster, proxy, 'r2') == HTTPStatus.OK
    assert await _runs(cluster, service) == ['r1', 'r2']


async def test_bytes_lost_towards_the_service_do_not_run(
    cluster: Cluster,
) -> None:
    service, proxy = await _links(cluster)
    await cluster.control(proxy, drop_to_upstream=True)
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.3):
            await _call(cluster, proxy, 'r1')
    assert await _runs(cluster, service) == []


async def test_a_frozen_link_goes_on_where_it_was(cluster: Cluster) -> None:
    service, proxy = await _links(cluster)
    await cluster.control(proxy, freeze=True)
    call = asyncio.create_task(_call(cluster, proxy, 'r1'))
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.3):
            await asyncio.shield(call)
    assert await _runs(cluster, service) == []
    await cluster.control(proxy, freeze=False)
    assert await call == HTTPStatus.OK


async def test_a_killed_process_is_gone_and_a_paused_one_goes_on(
    cluster: Cluster,
) -> None:
    service, proxy = await _links(cluster)
    service.process.pause()
    call = asyncio.create_task(_call(cluster, proxy, 'r1'))
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.3):
            await asyncio.shield(call)
    service.process.resume()
    assert await call == HTTPStatus.OK
    await service.process.kill()

    async def is_refused() -> bool:
        try:
            await _call(cluster, proxy, 'r2')
        except aiohttp.ClientError:
            return True
        return False

    await wait_until(is_refused)


# Guards against bytes that are taken for received, though their client had
# closed its socket and the proxy had not learned of it yet.
@pytest.mark.parametrize(
    ('is_closed', 'expected'), [(False, [b'head']), (True, [])]
)
async def test_bytes_have_passed_when_an_open_client_has_them(
    own_proxy: Proxy, is_closed: bool, expected: list[bytes]
) -> None:
    passed: list[bytes] = []
    own_proxy.on_passed = passed.append
    with socket.create_server(own_proxy.upstream) as listener:
        listener.setblocking(False)
        await own_proxy.open()
        client = socket.create_connection(own_proxy.address)
        loop = asyncio.get_running_loop()
        upstream, _ = await loop.sock_accept(listener)

        async def is_linked() -> bool:
            return bool(own_proxy.links)

        await wait_until(is_linked)
        upstream.sendall(b'head')
        if is_closed:
            client.close()
        await asyncio.sleep(0.1)
        assert passed == expected
        client.close()
        upstream.close()
