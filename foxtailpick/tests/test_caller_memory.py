"""Tests of what callers make a gateway keep."""

import dataclasses
import socket

import trio

from foxtailpick.core.dispatch import request_memory
from foxtailpick.gateway import client as client_lib
from foxtailpick.tests import gateway_harness
from foxtailpick.tests import gateway_scripts

MAX_BODY_BYTES = 100_000
LIMITS = {'max_body_bytes': MAX_BODY_BYTES, 'max_header_bytes': 4_000}
LONG_ANSWER = b'x' * 6_000_000


def open_small():
    """Run a gateway in which few long requests have room at once."""
    cfg = gateway_harness.make_config(limits=LIMITS)
    return gateway_harness.open_harness(cfg)


async def add_plain(harness):
    """Add an endpoint, and limit the memory of requests."""
    harness.gw.cfg = dataclasses.replace(harness.gw.cfg, memory_mb=1.0)
    endpoint = harness.add_endpoint(
        'p1', 'plain', gateway_scripts.answer_plainly
    )
    await harness.until_known('p1')
    return endpoint


async def send_unfinished(harness):
    """Send a request that stops short of its end; return the connection."""
    conn = await client_lib.ClientConnection.connect(harness.address)
    data = gateway_harness.format_ask(
        '/unsafe/x', b'POST', b'x' * MAX_BODY_BYTES
    )
    await conn.send(data[:-50])
    return conn


async def test_request_without_room_is_refused_at_once():
    """The refusal comes before the body, and says when to return."""
    async with open_small() as harness:
        endpoint = await add_plain(harness)
        memory = harness.gw.request_memory
        memory.used_bytes = 1_000_000
        head = gateway_harness.format_ask(
            '/unsafe/x', b'POST', b'x' * MAX_BODY_BYTES
        )[:-MAX_BODY_BYTES]
        conn = await client_lib.ClientConnection.connect(harness.address)
        await conn.send(head)
        refused = await gateway_harness.read_answer(conn)
        conn.close()
        memory.used_bytes = 0
        answer = await harness.ask('/unsafe/x', b'POST', b'x' * MAX_BODY_BYTES)
        await harness.until(lambda: memory.used_bytes == 0)
    assert refused.status == 503
    assert b'FTP-222' in refused.body
    assert float(refused.headers[b'retry-after']) > 0
    assert answer.status == 200
    assert len(endpoint.received) == 1


async def test_request_that_stays_short_of_its_end_gives_way():
    """It is told that it was not run, and the other one is served."""
    async with open_small() as harness:
        endpoint = await add_plain(harness)
        memory = harness.gw.request_memory
        conns = [await send_unfinished(harness) for _ in range(2)]
        await harness.until(lambda: memory.used_bytes >= 2 * MAX_BODY_BYTES)
        await trio.sleep(request_memory.STALLED_MS / 1_000 + 0.1)
        answer = await harness.ask('/unsafe/x', b'POST', b'x' * MAX_BODY_BYTES)
        ended = await gateway_harness.read_answer(conns[0])
        for conn in conns:
            conn.close()
        await harness.until(lambda: memory.used_bytes == 0)
        assert not memory.unfinished
    assert (answer.status, ended.status) == (200, 408)
    assert len(endpoint.received) == 1


async def test_pipelined_long_requests_are_not_all_read_ahead():
    """They wait in the socket, and all of them are answered."""
    most = 0
    async with gateway_harness.open_harness() as harness:
        memory = harness.gw.request_memory

        async def answer(exchange):
            nonlocal most
            await trio.sleep(0.05)
            most = max(most, memory.used_bytes)
            await gateway_scripts.answer_plainly(exchange)

        harness.add_endpoint('p1', 'plain', answer)
        await harness.until_known('p1')
        conn = await client_lib.ClientConnection.connect(harness.address)
        data = gateway_harness.format_ask(
            '/unsafe/x', b'POST', b'x' * 1_000_000
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(conn.send, data * 8)
            statuses = [
                (await gateway_harness.read_answer(conn)).status
                for _ in range(8)
            ]
        conn.close()
        await harness.until(lambda: memory.used_bytes == 0)
    assert statuses == [200] * 8
    assert most < 3_200_000


async def test_answer_counts_until_its_caller_has_it():
    """A slow reader holds the memory of the gateway."""

    async def answer(exchange):
        await exchange.answer(body=LONG_ANSWER)

    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('p1', 'plain', answer)
        await harness.until_known('p1')
        total = harness.gw.buffered
        with trio.socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            await sock.connect(harness.address)
            await sock.send(gateway_harness.format_ask('/unsafe/x', b'POST'))
            await harness.until(lambda: total.used_bytes == len(LONG_ANSWER))
            await trio.sleep(0.2)
            assert total.used_bytes == len(LONG_ANSWER)
            size = 0
            while size < len(LONG_ANSWER):
                size += len(await sock.recv(1_000_000))
        await harness.until(lambda: total.used_bytes == 0)


async def test_long_answers_leave_memory_to_short_ones():
    """Those beyond it are no failures of their endpoint."""

    async def answer(exchange):
        is_long = exchange.received.target.endswith(b'long')
        await exchange.answer(body=LONG_ANSWER if is_long else b'short')

    async with gateway_harness.open_harness() as harness:
        harness.gw.cfg = dataclasses.replace(harness.gw.cfg, memory_mb=1.0)
        harness.add_endpoint('p1', 'plain', answer)
        await harness.until_known('p1')
        harness.gw.buffered.used_bytes = 7_000_000
        long = await harness.ask('/unsafe/long', b'POST')
        short = await harness.ask('/unsafe/x', b'POST')
        harness.gw.buffered.used_bytes -= 7_000_000
        again = await harness.ask('/unsafe/long', b'POST')
        assert harness.gw.metrics.counters['endpoint_pauses'] == 0
    assert (long.status, short.status, again.status) == (502, 200, 200)
