"""Failures that operators of similar systems reported."""

import pytest

from foxtailpick.gateway import http1
from foxtailpick.platform import dialect
from foxtailpick.tests import gateway_harness

STAMP = b'X-Server-Stamp: stamp\r\n'
# A response that breaks off in its head.
TORN = b'HTTP/1.1 201 Created\r\nX-Attempt-Id: a1\r\nX-Part: '


def make_copy(body, *headers):
    """Return a signed response with some headers, and no id of its own."""
    head = b''.join(header + b'\r\n' for header in headers)
    length = b'Content-Length: %d\r\n\r\n' % len(body)
    return b'HTTP/1.1 200 OK\r\n' + STAMP + head + length + body


def repeat_late(copy):
    """Return a script that sends bytes before its answer to each later one."""
    answered = []

    async def answer(exchange):
        if answered:
            await http1.send_all(exchange.sock, copy)
        answered.append(exchange.received.id)
        await exchange.answer(
            body=exchange.received.id.encode(),
            headers=[(b'Keep-Alive', b'timeout=5')],
        )

    return answer


async def ask_twice(harness, path, method=b'GET'):
    """Return the answers to two requests, one after the other."""
    return [
        await harness.ask(path, method, b'', X_Attempt_Id=name)
        for name in ('a1', 'a2')
    ]


@pytest.mark.parametrize('path', ['/safe/x', '/unsafe/x'])
async def test_copy_without_an_id_on_a_reused_connection_reaches_nobody(path):
    """It can be the answer to any request that the connection had."""
    script = repeat_late(make_copy(b'a1'))
    async with gateway_harness.open_harness() as harness:
        endpoint = harness.add_endpoint('p1', 'plain', script)
        await harness.until_known('p1')
        first, second = await ask_twice(harness, path, b'POST')
    assert first.body == b'a1'
    assert second.body != b'a1'
    assert second.status == 502
    assert [item.id for item in endpoint.received] == ['a1', 'a2']


async def test_response_with_two_ids_reaches_nobody():
    """A copy that breaks off in its head has the rest of the next answer."""
    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('p1', 'plain', repeat_late(TORN))
        await harness.until_known('p1')
        first, second = await ask_twice(harness, '/unsafe/x', b'POST')
    assert first.status == 200
    assert second.status in (502, 504)


@pytest.mark.parametrize('rest', [TORN, b'HTTP', make_copy(b'a1')])
async def test_connection_with_a_part_of_a_copy_is_not_reused(rest):
    """It arrived with the answer before, or while no request waited."""

    async def answer(exchange):
        body = exchange.received.id.encode()
        echo = b'X-Attempt-Id: ' + body
        copy = make_copy(body, echo, b'Keep-Alive: timeout=5')
        await http1.send_all(exchange.sock, copy + rest)

    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('p1', 'plain', answer)
        await harness.until_known('p1')
        answers = await ask_twice(harness, '/unsafe/x', b'POST')
        opened = harness.gw.pool.opened
    assert [item.body for item in answers] == [b'a1', b'a2']
    assert opened == 2


def test_ids_of_a_response_that_differ_match_no_request():
    headers = [(b'x-attempt-id', b'a1'), (b'x-attempt-id', b'a2')]
    assert dialect.decode_response(headers).request not in ('a1', 'a2')
    headers = [(b'x-attempt-id', b'a1'), (b'x-attempt-id', b'a1')]
    assert dialect.decode_response(headers).request == 'a1'
