"""Tests of refusals of requests at the limits of a gateway's memory."""

import contextlib
import dataclasses

import trio

from foxtailpick.gateway import client as client_lib
from foxtailpick.gateway import http1
from foxtailpick.tests import gateway_harness
from foxtailpick.tests import gateway_scripts
from foxtailpick.tests import test_caller_server

LONG_ANSWER = b'x' * 6_000_000
BODY_BYTES = 2_000_000


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


async def test_close_behind_a_long_pipelined_request_is_noticed():
    """The request at work is cancelled, and the next one is not sent."""
    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('p1', 'plain', gateway_scripts.hang)
        await harness.until_known('p1')
        conn = await client_lib.ClientConnection.connect(harness.address)
        await conn.send(gateway_harness.format_ask('/safe/x'))
        await harness.until(lambda: len(harness.gw.attempts) == 1)
        await conn.send(
            gateway_harness.format_ask('/safe/x', b'POST', b'x' * BODY_BYTES)
        )
        memory = harness.gw.request_memory
        await harness.until(
            lambda: memory.used_bytes > BODY_BYTES and not memory.unfinished
        )
        conn.close()
        with trio.move_on_after(0.5) as scope:
            while harness.gw.attempts:
                await trio.sleep(0.01)
    assert not scope.cancelled_caught


async def test_long_body_on_a_connection_that_closes_is_awaited():
    """It began before the close, and its rest is under way."""
    async with test_caller_server.open_callers() as (_, callers, address):
        conn = await client_lib.ClientConnection.connect(address)
        await trio.sleep(0.05)
        ask = gateway_harness.format_ask('/x', b'POST', b'x' * 72_000)
        # No other task runs between these two steps.
        conn._sock._sock.send(ask[:40_000])
        callers.close_idle(0.0)
        await trio.sleep(0.02)
        with contextlib.suppress(http1.BrokenConnectionError):
            await conn.send(ask[40_000:])
        answer = await gateway_harness.read_answer(conn)
        conn.close()
    assert answer.status == 200
