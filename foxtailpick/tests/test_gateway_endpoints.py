"""Tests of what a gateway does when endpoints fail."""

import pytest
import trio

from foxtailpick.gateway import http1
from foxtailpick.platform.standins import endpoint_server
from foxtailpick.tests import gateway_scripts
from foxtailpick.tests import gateway_stage


async def test_safe_request_is_repeated_after_a_failure():
    async def fail(exchange):
        await exchange.answer(500, b'error')

    async with gateway_stage.open_stage() as stage:
        endpoints = [
            stage.add_endpoint('p1', 'plain', fail),
            stage.add_endpoint('p2', 'plain', fail),
        ]
        await stage.until_known('p1', 'p2')
        answer = await stage.ask('/safe/x')
    assert answer.status == 500
    assert [len(item.received) for item in endpoints] == [1, 1]


@pytest.mark.parametrize('script', [gateway_scripts.cut, gateway_scripts.hang])
async def test_unsafe_request_is_never_repeated_when_it_may_have_run(script):
    route = gateway_stage.make_route(
        'unsafe', '/unsafe/', 'unsafe', timeout_ms=300
    )
    cfg = gateway_stage.make_config(routes=[route])
    async with gateway_stage.open_stage(cfg) as stage:
        endpoints = [
            stage.add_endpoint('p1', 'plain', script),
            stage.add_endpoint('p2', 'plain', script),
        ]
        await stage.until_known('p1', 'p2')
        answer = await stage.ask('/unsafe/x', b'POST', b'data')
    assert answer.status in (502, 504)
    assert sum(len(item.received) for item in endpoints) == 1


async def test_unsafe_request_that_was_not_run_is_sent_elsewhere():
    async def refuse(exchange):
        await exchange.answer(
            503, b'', [(b'X-Not-Executed', b'1')], is_signed=False
        )

    async with gateway_stage.open_stage() as stage:
        refusing = stage.add_endpoint('p1', 'plain', refuse)
        stage.add_endpoint('p2', 'plain', gateway_scripts.answer_plainly)
        await stage.until_known('p1', 'p2')
        answers = [
            await stage.ask('/unsafe/x', b'POST', b'd', X_Attempt_Id=f'a{i}')
            for i in range(6)
        ]
    assert {answer.status for answer in answers} == {200}
    assert refusing.received


async def test_stale_entry_uses_up_no_attempt():
    async def misdirect(exchange):
        await exchange.answer(421, b'', is_signed=False)

    route = gateway_stage.make_route(
        'unsafe', '/unsafe/', 'unsafe', max_attempts=1
    )
    cfg = gateway_stage.make_config(routes=[route])
    async with gateway_stage.open_stage(cfg) as stage:
        stale = stage.add_endpoint('p1', 'plain', misdirect)
        stage.add_endpoint('p2', 'plain', gateway_scripts.answer_plainly)
        await stage.until_known('p1', 'p2')
        answers = [
            await stage.ask('/unsafe/x', b'POST', b'd', X_Attempt_Id=f'a{i}')
            for i in range(8)
        ]
    assert {answer.status for answer in answers} == {200}
    # It is passed over once it is known to be stale.
    assert len(stale.received) == 1


async def test_unsafe_503_after_a_run_is_no_promise_to_the_caller():
    async def run_and_fail(exchange):
        await exchange.answer(503, b'')

    async with gateway_stage.open_stage() as stage:
        stage.add_endpoint('p1', 'plain', run_and_fail)
        await stage.until_known('p1')
        answer = await stage.ask('/unsafe/x', b'POST', b'data')
    assert answer.status == 502
    assert b'x-server-stamp' not in answer.headers


async def test_late_answer_to_another_request_is_passed_over():
    async def answer_twice(exchange):
        if exchange.received.id == 'a1':
            await exchange.answer(body=b'first')
            await exchange.answer(body=b'first again')
        else:
            await exchange.answer(body=b'late', request='a1')
            await exchange.answer(body=b'own')

    async with gateway_stage.open_stage() as stage:
        stage.add_endpoint('p1', 'plain', answer_twice)
        await stage.until_known('p1')
        first = await stage.ask('/safe/x')
        second = await stage.ask('/safe/x', X_Attempt_Id='a2')
    assert (first.body, second.body) == (b'first', b'own')


@pytest.mark.parametrize(
    ('headers', 'is_signed'),
    [((), False), (((b'Content-Encoding', b'gzip'),), True)],
)
async def test_answer_that_is_not_the_endpoints_own_is_no_success(
    headers, is_signed
):
    async def spoil(exchange):
        await exchange.answer(headers=headers, is_signed=is_signed)

    async with gateway_stage.open_stage() as stage:
        stage.add_endpoint('p1', 'plain', spoil)
        await stage.until_known('p1')
        answer = await stage.ask('/unsafe/x', b'POST', b'data')
    assert answer.status == 502


async def test_answer_that_ends_with_its_connection_is_whole():
    async def unframed(exchange):
        echo = exchange.received.id.encode()
        await http1.send_all(
            exchange.sock,
            b'HTTP/1.1 200 OK\r\nX-Attempt-Id: '
            + echo
            + b'\r\nX-Server-Stamp: s\r\n\r\nall of it',
        )
        raise endpoint_server.AbortConnectionError

    async with gateway_stage.open_stage() as stage:
        stage.add_endpoint('p1', 'plain', unframed)
        await stage.until_known('p1')
        answer = await stage.ask('/safe/x')
    assert (answer.status, answer.body) == (200, b'all of it')


async def test_endpoint_that_cannot_be_reached_costs_no_attempt():
    async with gateway_stage.open_stage() as stage:
        sock = http1.listen(gateway_stage.ANY_PORT, 1)
        address = sock.getsockname()
        sock.close()
        dead = gateway_stage.make_entry('plain', address)
        stage.store.put('servers/p0', dead)
        stage.add_endpoint('p1', 'plain', gateway_scripts.answer_plainly)
        await stage.until_known('p0', 'p1')
        answers = [
            await stage.ask('/unsafe/x', b'POST', X_Attempt_Id=f'a{number}')
            for number in range(6)
        ]
    assert {answer.status for answer in answers} == {200}


async def test_request_whose_answer_is_lost_moves_on():
    """One request hears nothing while its endpoint serves others."""
    lost = []

    async def lose_one(exchange):
        if not lost:
            lost.append(exchange.received.id)
            await trio.sleep_forever()
        await exchange.answer()

    async with gateway_stage.open_stage() as stage:
        stage.add_endpoint('p1', 'plain', lose_one)
        stage.add_endpoint('p2', 'plain', lose_one)
        await stage.until_known('p1', 'p2')
        began_ms = stage.gw.now_ms()
        answer = await stage.ask('/safe/x')
        assert answer.status == 200
        # The caller of this route is told to expect 200 ms.
        assert stage.gw.now_ms() - began_ms < 600


@pytest.mark.parametrize('path', ['/safe/x', '/unsafe/x'])
async def test_long_request_whose_endpoint_breaks_off_is_answered(path):
    """Found on kandurata-grown: such requests got no answer at all."""
    body = b'x' * (2 * http1.INLINE_BODY_BYTES)
    async with gateway_stage.open_stage() as stage:
        stage.add_endpoint('p1', 'plain', gateway_scripts.cut)
        await stage.until_known('p1')
        answer = await stage.ask(path, b'POST', body)
    assert answer.status == 502
