"""Tests of endpoints whose responses do not end until the caller closes."""

import pytest
import trio

from foxtailpick.gateway import exchange as exchange_lib
from foxtailpick.gateway import http1
from foxtailpick.tests import gateway_harness
from foxtailpick.tests import gateway_scripts

BLOCK = b'x' * 65_536
# The stand-in stops here, so that a failing test does not use up the memory.
MAX_SENT_BYTES = 64 * 1_048_576
OK = b'HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Stamp: stamp\r\n'
CHUNKED = OK + b'Transfer-Encoding: chunked\r\n\r\n'
EVENT = b'id: 1\ndata: x\n\n'


class EndlessEndpoint:
    """Sends bytes until its connection is closed.

    :param start: sent once.
    :param rest: sent again and again.
    """

    def __init__(self, start, rest):
        self._start = start
        self._rest = rest
        self.is_closed = False
        self.sent_bytes = 0

    async def serve(self, exchange):
        """Answer one request."""
        await http1.send_all(exchange.sock, self._start)
        try:
            while self.sent_bytes < MAX_SENT_BYTES:
                await http1.send_all(exchange.sock, self._rest)
                self.sent_bytes += len(self._rest)
            await trio.sleep_forever()
        finally:
            self.is_closed = self.sent_bytes < MAX_SENT_BYTES


@pytest.mark.parametrize('path', ['/unsafe/x', '/fixed/x'])
@pytest.mark.parametrize(
    ('start', 'rest'),
    [
        pytest.param(OK + b'X-Long: ', BLOCK, id='header'),
        pytest.param(OK, b'X-More: 1\r\n' * 1_000, id='headers'),
        pytest.param(
            b'', b'HTTP/1.1 103 Early Hints\r\n\r\n' * 1_000, id='interim'
        ),
        pytest.param(CHUNKED + b'1;', BLOCK, id='chunk-extension'),
        pytest.param(CHUNKED + b'0\r\nX-Long: ', BLOCK, id='trailer'),
        pytest.param(OK + b'\r\n', BLOCK, id='body'),
        pytest.param(CHUNKED, http1.format_chunk(BLOCK), id='chunked-body'),
        pytest.param(
            OK.replace(b'a1', b'b7') + b'\r\n', BLOCK, id='foreign-body'
        ),
        pytest.param(
            b'',
            OK.replace(b'a1', b'b7') + b'Content-Length: 1\r\n\r\nx',
            id='foreign-answers',
        ),
    ],
)
async def test_endless_response_is_broken_off(path, start, rest):
    endpoint = EndlessEndpoint(start, rest)
    async with gateway_harness.open_harness() as harness:
        service = 'plain' if path == '/unsafe/x' else 'engine'
        harness.add_endpoint('e1', service, endpoint.serve)
        await harness.until_known('e1')
        try:
            answer = await harness.ask(
                path, b'POST', X_Prefix_Hash=gateway_scripts.PROMPT
            )
            status = answer.status
        except http1.BrokenConnectionError:
            status = 'broken off'
        await harness.until(lambda: endpoint.is_closed)
        assert harness.gw.metrics.counters['defects'] == 0
        assert harness.gw.metrics.counters['attempts_failed'] == 1
    assert status in (502, 'broken off')
    assert endpoint.sent_bytes < 2 * exchange_lib.MAX_RESPONSE_BYTES


async def test_safe_request_is_retried_after_an_endless_response():
    endpoint = EndlessEndpoint(OK + b'X-Long: ', BLOCK)

    async def serve(exchange):
        if exchange.is_for('e1'):
            await endpoint.serve(exchange)
        await exchange.answer(body=b'sound')

    async with gateway_harness.open_harness() as harness:
        for name in ('e1', 'e2'):
            harness.add_endpoint(name, 'plain', serve)
        await harness.until_known('e1', 'e2')
        bodies = {(await harness.ask('/safe/x')).body for _ in range(8)}
    assert bodies == {b'sound'}


async def test_endless_bodies_share_a_limit_of_memory():
    endpoints = [EndlessEndpoint(OK + b'\r\n', BLOCK) for _ in range(30)]
    rest = list(endpoints)
    most = 0

    async def serve(exchange):
        await rest.pop().serve(exchange)

    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('p1', 'plain', serve)
        await harness.until_known('p1')
        async with trio.open_nursery() as nursery:
            for _ in endpoints:
                nursery.start_soon(harness.ask, '/unsafe/x', b'POST')
            while any(not item.is_closed for item in endpoints):
                most = max(most, harness.gw.buffered.used_bytes)
                await trio.sleep(0.002)
        assert harness.gw.buffered.used_bytes == 0
    assert 0 < most <= exchange_lib.MAX_BUFFERED_BYTES
