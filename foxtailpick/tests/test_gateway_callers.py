"""Tests of callers' connections, their limits and malformed requests."""

import dataclasses

from foxtailpick.gateway import client as client_lib
from foxtailpick.gateway import server
from foxtailpick.tests import gateway_scripts
from foxtailpick.tests import gateway_stage


async def test_work_ends_when_the_caller_leaves():
    async with gateway_stage.open_stage() as stage:
        endpoint = stage.add_endpoint('p1', 'plain', gateway_scripts.hang)
        await stage.until_known('p1')
        conn = await stage.send('/safe/x')
        await stage.until(lambda: endpoint.seen)
        conn.close()
        await stage.until(lambda: endpoint.left)
        assert not stage.gw.attempts


async def test_response_before_the_end_of_a_long_body_is_relayed():
    body = b'x' * 3_000_000

    async def answer_early(exchange):
        await exchange.answer(body=b'early')

    async with gateway_stage.open_stage() as stage:
        endpoint = stage.add_endpoint('p1', 'plain', answer_early)
        await stage.until_known('p1')
        answer = await stage.ask('/unsafe/x', b'POST', body)
        assert answer.status == 200
        assert endpoint.seen[0].body == body


async def test_too_long_body_or_headers_are_rejected():
    limits = {'max_body_bytes': 100, 'max_header_bytes': 4_000}
    cfg = gateway_stage.make_config(limits=limits)
    async with gateway_stage.open_stage(cfg) as stage:
        await stage.until_known()
        answer = await stage.ask('/unsafe/x', b'POST', b'x' * 101)
        long = await stage.ask('/unsafe/x', b'POST', b'', X_Long='y' * 5_000)
    assert (answer.status, long.status) == (413, 431)


async def test_smuggled_request_is_refused():
    async with gateway_stage.open_stage() as stage:
        endpoint = stage.add_endpoint(
            'p1', 'plain', gateway_scripts.answer_plainly
        )
        await stage.until_known('p1')
        conn = await client_lib.ClientConnection.connect(stage.address)
        await conn.send(
            b'POST /unsafe/x HTTP/1.1\r\nHost: chat.example\r\n'
            b'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'0\r\n\r\nGET /safe/x HTTP/1.1\r\n\r\n'
        )
        answer = await gateway_stage.read_answer(conn)
        conn.close()
    assert answer.status == 400
    assert endpoint.seen == []


async def test_keep_alive_connection_serves_several_requests():
    async with gateway_stage.open_stage() as stage:
        stage.add_endpoint('p1', 'plain', gateway_scripts.answer_plainly)
        await stage.until_known('p1')
        conn = await stage.send('/safe/x')
        first = await gateway_stage.read_answer(conn)
        await conn.send(gateway_stage.format_ask('/safe/y'))
        second = await gateway_stage.read_answer(conn)
        conn.close()
    assert (first.status, second.status) == (200, 200)


async def test_idle_connections_are_evicted_for_new_callers():
    """A burst of new callers must not exhaust the file descriptors."""
    async with gateway_stage.open_stage() as stage:
        stage.add_endpoint('p1', 'plain', gateway_scripts.answer_plainly)
        await stage.until_known('p1')
        most = 5
        stage.gw.cfg = dataclasses.replace(
            stage.gw.cfg,
            max_sockets=server.RESERVED_DESCRIPTORS
            + round(most / server.CALLER_DESCRIPTOR_SHARE),
        )
        conns = []
        for number in range(4 * most):
            conn = await stage.send('/safe/x', X_Attempt_Id=f'a{number}')
            answer = await gateway_stage.read_answer(conn)
            assert answer.status == 200
            conns.append(conn)
        # The most recent connections stay usable.
        await conns[-1].send(
            gateway_stage.format_ask('/safe/y', X_Attempt_Id='b')
        )
        again = await gateway_stage.read_answer(conns[-1])
        await stage.until(
            lambda: sum(conn.is_alive() for conn in conns) <= most
        )
        for conn in conns:
            conn.close()
    assert again.status == 200
