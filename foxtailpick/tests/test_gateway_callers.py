"""Tests of callers' connections, their limits and malformed requests."""

import dataclasses

import trio

from foxtailpick.gateway import client as client_lib
from foxtailpick.gateway import server
from foxtailpick.tests import gateway_harness
from foxtailpick.tests import gateway_scripts


async def test_attempt_is_cancelled_when_the_caller_disconnects():
    async with gateway_harness.open_harness() as harness:
        endpoint = harness.add_endpoint('p1', 'plain', gateway_scripts.hang)
        await harness.until_known('p1')
        conn = await harness.send('/safe/x')
        await harness.until(lambda: endpoint.received)
        conn.close()
        await harness.until(lambda: endpoint.disconnects)
        assert not harness.gw.attempts


async def test_response_before_the_end_of_a_long_body_is_relayed():
    body = b'x' * 3_000_000

    async def answer_early(exchange):
        await exchange.answer(body=b'early')

    async with gateway_harness.open_harness() as harness:
        endpoint = harness.add_endpoint('p1', 'plain', answer_early)
        await harness.until_known('p1')
        answer = await harness.ask('/unsafe/x', b'POST', body)
        assert answer.status == 200
        assert endpoint.received[0].body == body


async def test_too_long_body_or_headers_are_rejected():
    limits = {'max_body_bytes': 100, 'max_header_bytes': 4_000}
    cfg = gateway_harness.make_config(limits=limits)
    async with gateway_harness.open_harness(cfg) as harness:
        await harness.until_known()
        answer = await harness.ask('/unsafe/x', b'POST', b'x' * 101)
        long = await harness.ask('/unsafe/x', b'POST', b'', X_Long='y' * 5_000)
    assert (answer.status, long.status) == (413, 431)


async def test_smuggled_request_is_rejected():
    async with gateway_harness.open_harness() as harness:
        endpoint = harness.add_endpoint(
            'p1', 'plain', gateway_scripts.answer_plainly
        )
        await harness.until_known('p1')
        conn = await client_lib.ClientConnection.connect(harness.address)
        await conn.send(
            b'POST /unsafe/x HTTP/1.1\r\nHost: chat.example\r\n'
            b'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'0\r\n\r\nGET /safe/x HTTP/1.1\r\n\r\n'
        )
        answer = await gateway_harness.read_answer(conn)
        conn.close()
    assert answer.status == 400
    assert endpoint.received == []


async def test_keep_alive_connection_serves_several_requests():
    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('p1', 'plain', gateway_scripts.answer_plainly)
        await harness.until_known('p1')
        conn = await harness.send('/safe/x')
        first = await gateway_harness.read_answer(conn)
        await conn.send(gateway_harness.format_ask('/safe/y'))
        second = await gateway_harness.read_answer(conn)
        conn.close()
    assert (first.status, second.status) == (200, 200)


async def test_idle_connections_are_evicted_for_new_callers():
    """A burst of new callers must not exhaust the file descriptors."""
    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('p1', 'plain', gateway_scripts.answer_plainly)
        await harness.until_known('p1')
        most = 5
        harness.gw.cfg = dataclasses.replace(
            harness.gw.cfg,
            max_sockets=server.RESERVED_DESCRIPTORS
            + round(most / server.CALLER_DESCRIPTOR_SHARE),
        )
        conns = []
        for number in range(4 * most):
            conn = await harness.send('/safe/x', X_Attempt_Id=f'a{number}')
            answer = await gateway_harness.read_answer(conn)
            assert answer.status == 200
            conns.append(conn)
        # The most recent connections stay usable.
        await conns[-1].send(
            gateway_harness.format_ask('/safe/y', X_Attempt_Id='b')
        )
        again = await gateway_harness.read_answer(conns[-1])
        await harness.until(
            lambda: sum(conn.is_alive() for conn in conns) <= most
        )
        for conn in conns:
            conn.close()
    assert again.status == 200


async def test_absurd_number_of_tokens_ends_no_gateway():
    """Each is refused, and others are served beside them."""
    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('e1', 'engine', gateway_scripts.hang)
        harness.add_endpoint('p1', 'plain', gateway_scripts.answer_plainly)
        await harness.until_known('e1', 'p1')
        conns = [
            await harness.send(
                '/movable/x',
                b'POST',
                X_Attempt_Id=f'a{number}',
                X_Token_Count='9' * 308 + ',1',
            )
            for number in range(3)
        ]
        # Some checks of the order of waiting requests.
        for _ in range(5):
            assert (await harness.ask('/safe/x')).status == 200
            await trio.sleep(0.1)
        for conn in conns:
            conn.close()
