"""Tests of refusals of requests at the limits of a gateway's memory."""

import dataclasses


from foxtailpick.gateway import client as client_lib
from foxtailpick.tests import gateway_harness

LONG_ANSWER = b'x' * 6_000_000


async def test_body_far_over_the_limit_is_too_long():
    """It never finds room, so that no retry is promised."""
    async with gateway_harness.open_harness() as harness:
        await harness.until_known()
        conn = await client_lib.ClientConnection.connect(harness.address)
        await conn.send(
            b'POST /unsafe/x HTTP/1.1\r\nHost: h\r\n'
            b'Content-Length: 100000000000\r\n\r\n'
        )
        answer = await gateway_harness.read_answer(conn)
        conn.close()
    assert answer.status == 413
    assert b'retry-after' not in answer.headers


async def test_long_request_whose_answer_finds_no_room_is_answered():
    """The refusal passes through the task that sends the body."""

    async def answer(exchange):
        await exchange.answer(body=LONG_ANSWER)

    async with gateway_harness.open_harness() as harness:
        harness.gw.cfg = dataclasses.replace(harness.gw.cfg, memory_mb=1.0)
        harness.add_endpoint('p1', 'plain', answer)
        await harness.until_known('p1')
        harness.gw.buffered.used_bytes = 7_000_000
        reply = await harness.ask('/unsafe/x', b'POST', b'x' * 72_000)
        defects = harness.gw.metrics.counters['defects']
        harness.gw.buffered.used_bytes -= 7_000_000
    assert (reply.status, defects) == (502, 0)
    assert b'FTP-' in reply.body
