"""Tests of callers' connections to a gateway."""

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
        await stage.until(lambda: endpoint.received)
        conn.close()
        await stage.until(lambda: endpoint.disconnects)
        assert not stage.gw.attempts


async def test_long_body_may_be_answered_early():
    body = b'x' * 3_000_000

    async def answer_early(exchange):
        await exchange.answer(body=b'early')

    async with gateway_stage.open_stage() as stage:
        endpoint = stage.add_endpoint('p1', 'plain', answer_early)
        await stage.until_known('p1')
        answer = await stage.ask('/unsafe/x', b'POST', body)
        assert answer.status == 200
        assert endpoint.received[0].body == body


async def test_too_long_body_is_refused():
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
    assert endpoint.received == []


async def test_kept_connection_serves_request_after_request():
    async with gateway_stage.open_stage() as stage:
        stage.add_endpoint('p1', 'plain', gateway_scripts.answer_plainly)
        await stage.until_known('p1')
        conn = await stage.send('/safe/x')
        first = await gateway_stage.read_answer(conn)
        await conn.send(gateway_stage.format_ask('/safe/y'))
        second = await gateway_stage.read_answer(conn)
        conn.close()
    assert (first.status, second.status) == (200, 200)


async def test_idle_callers_make_room_for_new_ones():
    """Replays a crowd of callers: descriptors run out."""
    async with gateway_stage.open_stage() as stage:
        stage.add_endpoint('p1', 'plain', gateway_scripts.answer_plainly)
        await stage.until_known('p1')
        most = 5
        stage.gw.cfg = dataclasses.replace(
            stage.gw.cfg,
            max_sockets=server.FILES_RESERVED
            + round(most / server.CALLERS_SHARE),
        )
        conns = []
        for number in range(4 * most):
            conn = await stage.send('/safe/x', X_Attempt_Id=f'a{number}')
            answer = await gateway_stage.read_answer(conn)
            assert answer.status == 200
            conns.append(conn)
        # The last ones may go on with their connections.
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
