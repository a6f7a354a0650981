"""Tests of retries and errors when endpoints fail."""

import pytest
import trio

from foxtailpick.gateway import http1
from foxtailpick.platform.standins import endpoint_server
from foxtailpick.tests import gateway_harness
from foxtailpick.tests import gateway_scripts


async def test_safe_request_is_retried_after_a_failure():
    async def fail(exchange):
        await exchange.answer(500, b'error')

    async with gateway_harness.open_harness() as harness:
        endpoints = [
            harness.add_endpoint('p1', 'plain', fail),
            harness.add_endpoint('p2', 'plain', fail),
        ]
        await harness.until_known('p1', 'p2')
        answer = await harness.ask('/safe/x')
    assert answer.status == 500
    assert [len(item.received) for item in endpoints] == [1, 1]


@pytest.mark.parametrize('script', [gateway_scripts.cut, gateway_scripts.hang])
async def test_unsafe_request_is_never_retried_when_it_may_have_run(script):
    route = gateway_harness.make_route(
        'unsafe', '/unsafe/', 'unsafe', timeout_ms=300
    )
    cfg = gateway_harness.make_config(routes=[route])
    async with gateway_harness.open_harness(cfg) as harness:
        endpoints = [
            harness.add_endpoint('p1', 'plain', script),
            harness.add_endpoint('p2', 'plain', script),
        ]
        await harness.until_known('p1', 'p2')
        answer = await harness.ask('/unsafe/x', b'POST', b'data')
    assert answer.status in (502, 504)
    assert sum(len(item.received) for item in endpoints) == 1


async def test_unsafe_request_that_was_not_run_is_retried_elsewhere():
    async def refuse(exchange):
        await exchange.answer(
            503, b'', [(b'X-Not-Executed', b'1')], is_signed=False
        )

    async with gateway_harness.open_harness() as harness:
        refusing = harness.add_endpoint('p1', 'plain', refuse)
        harness.add_endpoint('p2', 'plain', gateway_scripts.answer_plainly)
        await harness.until_known('p1', 'p2')
        answers = [
            await harness.ask('/unsafe/x', b'POST', b'd', X_Attempt_Id=f'a{i}')
            for i in range(6)
        ]
    assert {answer.status for answer in answers} == {200}
    assert refusing.received


async def test_stale_entry_does_not_count_as_an_attempt():
    async def misdirect(exchange):
        await exchange.answer(421, b'', is_signed=False)

    route = gateway_harness.make_route(
        'unsafe', '/unsafe/', 'unsafe', max_attempts=1
    )
    cfg = gateway_harness.make_config(routes=[route])
    async with gateway_harness.open_harness(cfg) as harness:
        stale = harness.add_endpoint('p1', 'plain', misdirect)
        harness.add_endpoint('p2', 'plain', gateway_scripts.answer_plainly)
        await harness.until_known('p1', 'p2')
        answers = [
            await harness.ask('/unsafe/x', b'POST', b'd', X_Attempt_Id=f'a{i}')
            for i in range(8)
        ]
    assert {answer.status for answer in answers} == {200}
    # The endpoint is skipped once it has answered 421.
    assert len(stale.received) == 1


async def test_unsafe_503_that_may_have_run_becomes_502():
    async def run_and_fail(exchange):
        await exchange.answer(503, b'')

    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('p1', 'plain', run_and_fail)
        await harness.until_known('p1')
        answer = await harness.ask('/unsafe/x', b'POST', b'data')
    assert answer.status == 502
    assert b'x-server-stamp' not in answer.headers


async def test_late_response_to_another_request_is_skipped():
    async def answer_twice(exchange):
        if exchange.received.id == 'a1':
            await exchange.answer(body=b'first')
            await exchange.answer(body=b'first again')
        else:
            await exchange.answer(body=b'late', request='a1')
            await exchange.answer(body=b'own')

    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('p1', 'plain', answer_twice)
        await harness.until_known('p1')
        first = await harness.ask('/safe/x')
        second = await harness.ask('/safe/x', X_Attempt_Id='a2')
    assert (first.body, second.body) == (b'first', b'own')


@pytest.mark.parametrize(
    ('headers', 'is_signed'),
    [((), False), (((b'Content-Encoding', b'gzip'),), True)],
)
async def test_unsigned_or_encoded_response_is_an_error(headers, is_signed):
    async def spoil(exchange):
        await exchange.answer(headers=headers, is_signed=is_signed)

    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('p1', 'plain', spoil)
        await harness.until_known('p1')
        answer = await harness.ask('/unsafe/x', b'POST', b'data')
    assert answer.status == 502


async def test_close_delimited_response_is_complete():
    async def unframed(exchange):
        echo = exchange.received.id.encode()
        await http1.send_all(
            exchange.sock,
            b'HTTP/1.1 200 OK\r\nX-Attempt-Id: '
            + echo
            + b'\r\nX-Server-Stamp: s\r\n\r\nall of it',
        )
        raise endpoint_server.AbortConnectionError

    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('p1', 'plain', unframed)
        await harness.until_known('p1')
        answer = await harness.ask('/safe/x')
    assert (answer.status, answer.body) == (200, b'all of it')


async def test_unreachable_endpoint_does_not_count_as_an_attempt():
    async with gateway_harness.open_harness() as harness:
        sock = http1.listen(gateway_harness.ANY_PORT, 1)
        address = sock.getsockname()
        sock.close()
        dead = gateway_harness.make_entry('plain', address)
        harness.store.put('servers/p0', dead)
        harness.add_endpoint('p1', 'plain', gateway_scripts.answer_plainly)
        await harness.until_known('p0', 'p1')
        answers = [
            await harness.ask('/unsafe/x', b'POST', X_Attempt_Id=f'a{number}')
            for number in range(6)
        ]
    assert {answer.status for answer in answers} == {200}


async def test_request_without_a_response_is_retried_elsewhere():
    """A request without a response is retried elsewhere after a timeout."""
    lost = []

    async def lose_one(exchange):
        if not lost:
            lost.append(exchange.received.id)
            await trio.sleep_forever()
        await exchange.answer()

    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('p1', 'plain', lose_one)
        harness.add_endpoint('p2', 'plain', lose_one)
        await harness.until_known('p1', 'p2')
        began_ms = harness.gw.now_ms()
        answer = await harness.ask('/safe/x')
        assert answer.status == 200
        # The target latency of this route is 200 ms.
        assert harness.gw.now_ms() - began_ms < 600


@pytest.mark.parametrize('path', ['/safe/x', '/unsafe/x'])
async def test_long_request_gets_an_error_if_its_endpoint_disconnects(path):
    """A failed endpoint must yield an error response, not none at all.

    A long body is sent by a task of its own. Its nursery wrapped the error
    of the connection in a group that was not caught, and the caller got no
    response, as seen on kandurata-grown.
    """
    body = b'x' * (2 * http1.INLINE_BODY_BYTES)
    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('p1', 'plain', gateway_scripts.cut)
        await harness.until_known('p1')
        answer = await harness.ask(path, b'POST', body)
    assert answer.status == 502
