"""Answers of the store that are cut."""

import pytest

from mimosaworks.body_ends import BodyEndConnector
from mimosaworks.errors import StoreUnavailableError
from mimosaworks.platform import StoreClient
from tests.test_body_ends import EndingServer, open_session

OK = b'HTTP/1.1 200 OK\r\n'
CUT_HEADS = (
    OK,
    b'HTTP/1.0 200 OK\r\n',
    b'%sContent-Length: 20\r\n' % OK,
    b'%sTransfer-Encoding: chunked\r\n' % OK,
)


async def get_object(sent: bytes) -> bytes | None:
    server = EndingServer(sent, 0)
    async with open_session(server, BodyEndConnector) as session:
        store = StoreClient(session, server.url.rstrip('/'))
        return await store.get_object('snapshot', timeout_s=1)


# Guards against a part of a snapshot that is taken for the whole.
@pytest.mark.parametrize('head', CUT_HEADS)
@pytest.mark.parametrize('body', [b'', b'6\r\n[{"a":\r\n'])
async def test_an_object_that_may_be_cut_is_not_read(
    head: bytes, body: bytes
) -> None:
    with pytest.raises(StoreUnavailableError):
        await get_object(b'%s\r\n%s' % (head, body))


# Guards against a whole object that is not read.
@pytest.mark.parametrize(
    'answer',
    [
        b'Content-Length: 2\r\n\r\n[]',
        b'Transfer-Encoding: chunked\r\n\r\n2\r\n[]\r\n0\r\n\r\n',
    ],
)
async def test_a_whole_object_is_read(answer: bytes) -> None:
    assert await get_object(b'%s%s' % (OK, answer)) == b'[]'
