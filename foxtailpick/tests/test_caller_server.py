"""Tests of requests on callers' connections that the gateway closes."""

import contextlib
import dataclasses
import random

import pytest
import trio

from foxtailpick.core.dispatch import model
from foxtailpick.gateway import client as client_lib
from foxtailpick.gateway import daemon
from foxtailpick.gateway import decision_log
from foxtailpick.gateway import exchange
from foxtailpick.gateway import http1
from foxtailpick.gateway import server
from foxtailpick.gateway import settings
from foxtailpick.tests import gateway_harness


async def echo_target(req, reply):
    await reply.send_response(200, (), req.target)


@contextlib.asynccontextmanager
async def open_callers(handle=echo_target):
    """Serve callers; yield the gateway, the server and its address."""
    gw = daemon.make_gateway(
        settings.GatewaySettings(
            'r', 'north', *[gateway_harness.ANY_PORT] * 5
        ),
        None,
        decision_log.DecisionLog(lambda: 0.0, len),
        lambda: 0.0,
        random.Random(1),
    )
    callers = server.CallerServer(gw)
    sock = http1.listen(gateway_harness.ANY_PORT, 8)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(callers.serve, sock, handle, nursery)
        yield gw, callers, sock.getsockname()
        nursery.cancel_scope.cancel()


def close_idle(gw, callers):
    callers.close_idle(0.0)


def make_room(gw, callers):
    gw.cfg = dataclasses.replace(
        gw.cfg, max_sockets=server.RESERVED_DESCRIPTORS + 1
    )
    callers._evict_idle()


async def open_idle(address, callers):
    """Return a connection on which the gateway waits for a request."""
    conn = await client_lib.ClientConnection.connect(address)
    await conn.send(gateway_harness.format_ask('/first'))
    await gateway_harness.read_answer(conn)
    with trio.fail_after(gateway_harness.LIMIT_S):
        while not callers.is_idle():
            await trio.sleep(0)
    return conn


@pytest.mark.parametrize('close', [close_idle, make_room])
async def test_request_that_is_received_outlives_the_close(close, monkeypatch):
    """An idle connection is closed when its next request was just read."""
    receive = http1.receive
    async with open_callers() as (gw, callers, address):

        async def receive_while_closing(sock):
            data = await receive(sock)
            if b'/second' in data:
                close(gw, callers)
            return data

        with monkeypatch.context() as patch:
            patch.setattr(http1, 'receive', receive_while_closing)
            conn = await open_idle(address, callers)
            await conn.send(gateway_harness.format_ask('/second'))
            answer = await gateway_harness.read_answer(conn)
        conn.close()
    assert answer.body == b'/second'


@pytest.mark.parametrize('close', [close_idle, make_room])
async def test_request_that_has_arrived_outlives_the_close(close):
    """The request arrives after the last poll and before the close."""
    async with open_callers() as (gw, callers, address):
        conn = await open_idle(address, callers)
        # No other task runs between these two steps.
        conn._sock._sock.send(gateway_harness.format_ask('/second'))
        close(gw, callers)
        answer = await gateway_harness.read_answer(conn)
        conn.close()
    assert answer.body == b'/second'


@pytest.mark.parametrize(
    ('rest', 'status'),
    [
        (b'no request\r\n\r\n', 400),
        (gateway_harness.format_ask('/second', X_Long='y' * 5_000), 431),
        (
            gateway_harness.format_ask(
                '/second', Connection='Upgrade', Upgrade='h2c'
            ),
            400,
        ),
        (gateway_harness.format_ask('/second', b'CONNECT'), 400),
    ],
)
async def test_request_before_a_rejected_one_is_answered(rest, status):
    """Both arrive at once; the rejected one is not handled."""
    async with open_callers() as (gw, _, address):
        gw.state.limits = model.Limits(max_header_bytes=4_000)
        conn = await client_lib.ClientConnection.connect(address)
        await conn.send(gateway_harness.format_ask('/first') + rest)
        first = await gateway_harness.read_answer(conn)
        second = await gateway_harness.read_answer(conn)
        conn.close()
    assert (first.status, first.body) == (200, b'/first')
    assert second.status == status


async def test_request_with_the_wish_to_close_is_answered():
    """What follows it belongs to no request."""
    async with open_callers() as (_, _, address):
        conn = await client_lib.ClientConnection.connect(address)
        first = gateway_harness.format_ask('/first', Connection='close')
        await conn.send(first + gateway_harness.format_ask('/second'))
        answer = await gateway_harness.read_answer(conn)
        conn.close()
    assert (answer.status, answer.body) == (200, b'/first')
    assert answer.headers[b'connection'] == b'close'


async def test_pipelined_requests_are_answered_while_stopping():
    """Only the last of them is answered with `Connection: close`."""
    arrived = trio.Event()

    async def answer_once_all_arrived(req, reply):
        await arrived.wait()
        await reply.send_response(200, (), req.target)

    async with open_callers(answer_once_all_arrived) as (
        gw,
        callers,
        address,
    ):
        gw.shutdown_deadline_ms = 60_000.0
        conn = await client_lib.ClientConnection.connect(address)
        asks = b''.join(map(gateway_harness.format_ask, ('/1', '/2', '/3')))
        await conn.send(asks[:-2])
        await trio.sleep(0.05)
        # The first response starts while the third request is incomplete.
        arrived.set()
        answers = [await gateway_harness.read_answer(conn) for _ in range(2)]
        await conn.send(asks[-2:])
        answers.append(await gateway_harness.read_answer(conn))
        conn.close()
    assert [answer.body for answer in answers] == [b'/1', b'/2', b'/3']
    assert [b'connection' in answer.headers for answer in answers] == [
        False,
        False,
        True,
    ]


async def test_interim_response_does_not_divide_another_response():
    """A request that expects one arrives during an earlier response."""
    is_read = trio.Event()

    async def answer_in_parts(req, reply):
        if req.body:
            await reply.send_response(200, (), req.body)
            return
        reply.begin(200, ())
        await reply.send_chunk(b'a')
        await is_read.wait()
        await reply.send_chunk(b'b')
        await reply.finish()

    async with open_callers(answer_in_parts) as (_, _, address):
        conn = await client_lib.ClientConnection.connect(address)
        ask = gateway_harness.format_ask('/2', b'POST', b'c', Expect='100')
        await conn.send(gateway_harness.format_ask('/1'))
        with trio.fail_after(gateway_harness.LIMIT_S):
            await exchange.read_head(conn)
            first = await conn.next_event()
            await conn.send(ask[:-1])
            await trio.sleep(0.05)
            is_read.set()
            rest = await exchange.read_body(conn)
        await conn.send(ask[-1:])
        second = await gateway_harness.read_answer(conn)
        conn.close()
    assert (first, rest, second.body) == (b'a', b'b', b'c')


async def test_raised_idle_limit_holds_for_connections_that_wait():
    """A new configuration lets callers be idle for longer."""
    async with open_callers() as (gw, callers, address):
        gw.state.limits = model.Limits(idle_timeout_ms=200.0)
        conn = await client_lib.ClientConnection.connect(address)
        with trio.fail_after(gateway_harness.LIMIT_S):
            while not callers.connections:
                await trio.sleep(0)
        await trio.sleep(0.05)
        gw.state.limits = model.Limits(idle_timeout_ms=60_000.0)
        await trio.sleep(0.4)
        await conn.send(gateway_harness.format_ask('/late'))
        answer = await gateway_harness.read_answer(conn)
        conn.close()
    assert answer.body == b'/late'


async def test_raised_header_limit_holds_for_requests_that_arrive():
    async with open_callers() as (gw, callers, address):
        gw.state.limits = model.Limits(header_timeout_ms=200.0)
        conn = await client_lib.ClientConnection.connect(address)
        ask = gateway_harness.format_ask('/slow')
        await conn.send(ask[:-2])
        with trio.fail_after(gateway_harness.LIMIT_S):
            while callers.is_idle():
                await trio.sleep(0)
        gw.state.limits = model.Limits()
        await trio.sleep(0.4)
        await conn.send(ask[-2:])
        answer = await gateway_harness.read_answer(conn)
        conn.close()
    assert answer.body == b'/slow'


async def test_lowered_idle_limit_does_not_end_a_request_in_parts():
    async with open_callers() as (gw, callers, address):
        conn = await client_lib.ClientConnection.connect(address)
        ask = gateway_harness.format_ask('/slow')
        await conn.send(ask[:-2])
        with trio.fail_after(gateway_harness.LIMIT_S):
            while callers.is_idle():
                await trio.sleep(0)
        gw.state.limits = model.Limits(idle_timeout_ms=1.0)
        await trio.sleep(0.05)
        await conn.send(ask[-2:])
        answer = await gateway_harness.read_answer(conn)
        conn.close()
    assert answer.body == b'/slow'


@pytest.mark.parametrize(
    'lowered', [{'max_body_bytes': 5}, {'max_header_bytes': 20}]
)
async def test_limits_do_not_change_during_a_request(lowered):
    """One that the limits allowed when it began is not rejected."""

    async def echo_body(req, reply):
        await reply.send_response(200, (), req.body)

    async with open_callers(echo_body) as (gw, callers, address):
        conn = await client_lib.ClientConnection.connect(address)
        ask = (
            b'POST /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
            b'4\r\ndata\r\n4\r\nmore\r\n0\r\n\r\n'
        )
        for part in (ask[:30], ask[30:-22], ask[-22:]):
            await conn.send(part)
            with trio.fail_after(gateway_harness.LIMIT_S):
                while callers.is_idle():
                    await trio.sleep(0)
            await trio.sleep(0.02)
            gw.state.limits = model.Limits(**lowered)
        answer = await gateway_harness.read_answer(conn)
        await conn.send(ask)
        next_answer = await gateway_harness.read_answer(conn)
        conn.close()
    assert (answer.status, answer.body) == (200, b'datamore')
    assert next_answer.status in (413, 431)


async def test_internal_error_ends_only_its_own_connection():
    """An exception in the task of a connection would end the process."""

    async def handle(req, reply):
        if req.target == b'/bad':
            raise KeyError('defect')
        await reply.send_response(200, (), req.target)

    async with open_callers(handle) as (gw, _, address):
        other = await client_lib.ClientConnection.connect(address)
        conn = await client_lib.ClientConnection.connect(address)
        await conn.send(gateway_harness.format_ask('/bad'))
        with pytest.raises(http1.BrokenConnectionError):
            await gateway_harness.read_answer(conn)
        await other.send(gateway_harness.format_ask('/good'))
        answer = await gateway_harness.read_answer(other)
        conn.close()
        other.close()
        assert gw.metrics.counters['defects'] == 1
    assert answer.body == b'/good'


async def test_disconnect_is_noticed_after_a_rejected_request():
    """The request before it is still in flight."""
    is_cancelled = trio.Event()

    async def hang(req, reply):
        try:
            await trio.sleep_forever()
        finally:
            is_cancelled.set()

    async with open_callers(hang) as (_, callers, address):
        conn = await client_lib.ClientConnection.connect(address)
        await conn.send(gateway_harness.format_ask('/1') + b'no request\r\n')
        await trio.sleep(0.05)
        conn.close()
        with trio.fail_after(2.0):
            await is_cancelled.wait()


async def test_rejection_of_a_long_body_reaches_a_caller_that_still_sends():
    """Closing a socket with unread bytes would discard the response."""
    body = b'x' * 8_000_000
    async with open_callers() as (gw, _, address):
        gw.state.limits = model.Limits(max_body_bytes=100)
        conn = await client_lib.ClientConnection.connect(address)
        with trio.fail_after(gateway_harness.LIMIT_S):
            await conn.send(gateway_harness.format_ask('/x', b'POST', body))
        answer = await gateway_harness.read_answer(conn)
        conn.close()
    assert answer.status == 413


async def test_trailers_are_no_headers():
    """They would replace headers that were sent before the body."""

    async def echo_id(req, reply):
        await reply.send_response(200, (), dict(req.headers)[b'x-attempt-id'])

    async with open_callers(echo_id) as (_, _, address):
        conn = await client_lib.ClientConnection.connect(address)
        await conn.send(
            b'POST /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
            b'4\r\ndata\r\n0\r\nX-Attempt-Id: 2\r\n\r\n'
        )
        answer = await gateway_harness.read_answer(conn)
        conn.close()
    assert answer.body == b'1'


async def test_lowered_limit_of_descriptors_closes_no_busy_connection():
    goes_on = trio.Event()

    async def wait(req, reply):
        await goes_on.wait()
        await reply.send_response(200, (), req.target)

    async with open_callers(wait) as (gw, callers, address):
        conns = []
        for number in range(3):
            conn = await client_lib.ClientConnection.connect(address)
            await conn.send(gateway_harness.format_ask(f'/{number}'))
            conns.append(conn)
        with trio.fail_after(gateway_harness.LIMIT_S):
            while sum(caller.is_busy for caller in callers._callers) < 3:
                await trio.sleep(0)
            gw.cfg = dataclasses.replace(gw.cfg, max_sockets=1)
            conns.append(await client_lib.ClientConnection.connect(address))
            while callers.connections < 4:
                await trio.sleep(0)
        goes_on.set()
        answers = [
            (await gateway_harness.read_answer(conn)).body
            for conn in conns[:3]
        ]
        for conn in conns:
            conn.close()
    assert answers == [b'/0', b'/1', b'/2']


async def test_idle_time_after_a_response_is_limited():
    """The wait for the next request began while one was in flight."""
    async with open_callers() as (gw, _, address):
        gw.state.limits = model.Limits(idle_timeout_ms=200.0)
        conn = await client_lib.ClientConnection.connect(address)
        for target in ('/a', '/b'):
            await conn.send(gateway_harness.format_ask(target))
            await gateway_harness.read_answer(conn)
        with trio.fail_after(gateway_harness.LIMIT_S):
            with pytest.raises(http1.BrokenConnectionError):
                await conn.next_event()
        conn.close()
