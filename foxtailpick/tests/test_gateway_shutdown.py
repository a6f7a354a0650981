"""Tests of requests around the graceful shutdown of a gateway."""

import random
import time

import pytest
import trio

from foxtailpick.core import clock
from foxtailpick.gateway import client as client_lib
from foxtailpick.gateway import daemon
from foxtailpick.gateway import decision_log
from foxtailpick.gateway import http1
from foxtailpick.gateway import server
from foxtailpick.gateway import settings
from foxtailpick.tests import gateway_harness
from foxtailpick.tests import gateway_scripts

LONG_MS = 12_000
# From this time after the signal on, a request must not be cut off.
EXCUSED_MS = 3_000.0
GRACE_MS = 8_000.0
# Requests at work in the rest of the grace period may be cut off.
LAST_GRACE_SHARE = 5 / 6


def make_long_config():
    """Return a configuration whose routes allow long requests."""
    routes = [
        gateway_harness.make_route(
            'fixed', '/fixed/', 'streaming', timeout_ms=LONG_MS
        ),
        gateway_harness.make_route(
            'unsafe', '/unsafe/', 'unsafe', timeout_ms=LONG_MS
        ),
    ]
    return gateway_harness.make_config(routes=routes)


async def test_stream_accepted_late_in_a_shutdown_is_not_cut_off():
    """Other streams so far were faster, as endpoints do slow down."""

    async def stream_slowly(exchange):
        await exchange.begin_stream()
        for number in range(1, 8):
            await exchange.send_events(number, number)
            await trio.sleep(0.7)
        await exchange.end_stream()

    headers = {
        'X_Prefix_Hash': gateway_scripts.PROMPT,
        'X_Token_Count': '510,100',
        'X_Deadline_Ms': str(LONG_MS),
    }
    async with gateway_harness.open_harness(
        make_long_config(), grace_ms=5_000.0
    ) as harness:
        harness.add_endpoint('e1', 'engine', stream_slowly)
        await harness.until_known('e1')
        early = await harness.send('/fixed/x', b'POST', **headers)
        await harness.until(lambda: harness.gw.attempts)
        harness.stop.set()
        await trio.sleep((EXCUSED_MS + 50) / 1_000)
        answer = await harness.ask('/fixed/x', b'POST', **headers)
        early.close()
    assert answer.status == 503
    assert b'retry-after' in answer.headers


async def test_request_without_a_response_is_answered_at_the_end():
    async with gateway_harness.open_harness(
        make_long_config(), grace_ms=1_500.0
    ) as harness:
        harness.add_endpoint('p1', 'plain', gateway_scripts.hang)
        await harness.until_known('p1')
        conn = await harness.send(
            '/unsafe/x', b'POST', X_Deadline_Ms=str(LONG_MS)
        )
        await harness.until(lambda: harness.gw.attempts)
        harness.stop.set()
        answer = await gateway_harness.read_answer(conn)
        conn.close()
    # It may have run, so 503 would be wrong.
    assert answer.status == 502
    assert b'FTP-212' in answer.body


async def test_request_that_was_read_outlives_the_close_of_idle_callers(
    monkeypatch, nursery
):
    """Idle connections are closed between reading and handling a request."""
    log = decision_log.DecisionLog(lambda: 0.0, len)
    gw = daemon.make_gateway(
        settings.GatewaySettings(
            'r', 'north', *[gateway_harness.ANY_PORT] * 5
        ),
        None,
        log,
        lambda: 0.0,
        random.Random(1),
    )
    callers = server.CallerServer(gw)
    open_channel = trio.open_memory_channel

    class ClosingChannel:
        """Closes the idle connections before it passes a request on."""

        def __init__(self, channel):
            self._channel = channel

        async def send(self, item):
            callers.close_idle(0.0)
            await self._channel.send(item)

    def open_closing_channel(size):
        send, receive = open_channel(size)
        return ClosingChannel(send), receive

    async def handle(req, reply):
        await reply.send_response(200, (), b'done')

    sock = http1.listen(gateway_harness.ANY_PORT, 8)
    address = sock.getsockname()
    with monkeypatch.context() as patch:
        patch.setattr(trio, 'open_memory_channel', open_closing_channel)
        nursery.start_soon(callers.serve, sock, handle, nursery)
        conn = await client_lib.ClientConnection.connect(address)
        await conn.send(gateway_harness.format_ask('/x'))
        answer = await gateway_harness.read_answer(conn)
    conn.close()
    nursery.cancel_scope.cancel()
    assert answer.body == b'done'


async def test_request_that_is_being_sent_outlives_the_close_of_idle_callers(
    nursery,
):
    log = decision_log.DecisionLog(lambda: 0.0, len)
    gw = daemon.make_gateway(
        settings.GatewaySettings(
            'r', 'north', *[gateway_harness.ANY_PORT] * 5
        ),
        None,
        log,
        lambda: 0.0,
        random.Random(1),
    )
    callers = server.CallerServer(gw)

    async def handle(req, reply):
        await reply.send_response(200, (), req.body)

    sock = http1.listen(gateway_harness.ANY_PORT, 8)
    nursery.start_soon(callers.serve, sock, handle, nursery)
    conn = await client_lib.ClientConnection.connect(sock.getsockname())
    ask = gateway_harness.format_ask('/x', b'POST', b'data')
    await conn.send(ask[:-2])
    await trio.sleep(0.05)
    assert not callers.is_idle()
    callers.close_idle(0.0)
    await conn.send(ask[-2:])
    answer = await gateway_harness.read_answer(conn)
    conn.close()
    nursery.cancel_scope.cancel()
    assert answer.body == b'data'


async def test_request_that_arrives_as_the_gateway_ends_is_answered(
    monkeypatch,
):
    """Its connection was idle when the gateway found nothing to wait for."""
    monkeypatch.setattr(daemon, 'BALANCER_REMOVAL_MS', 0.0)
    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('p1', 'plain', gateway_scripts.answer_plainly)
        await harness.until_known('p1')
        conn = await harness.send('/safe/x')
        await gateway_harness.read_answer(conn)
        stop_accepting = server.CallerServer.stop_accepting

        def send_and_stop(self):
            conn._sock._sock.send(gateway_harness.format_ask('/safe/y'))
            stop_accepting(self)

        with monkeypatch.context() as patch:
            patch.setattr(server.CallerServer, 'stop_accepting', send_and_stop)
            harness.stop.set()
            answer = await gateway_harness.read_answer(conn)
        conn.close()
    assert answer.status in (200, 503)
    assert answer.headers[b'connection'] == b'close'


def make_draining_gateway(held_up_ms):
    """Return a gateway with a busy caller, and when it cuts requests off.

    :param held_up_ms: how long it did not run before the signal is handled.
    """
    now_ms = clock.Clock.from_trio().now
    gw = daemon.make_gateway(
        settings.GatewaySettings(
            'r',
            'north',
            *[gateway_harness.ANY_PORT] * 5,
            grace_ms=GRACE_MS,
        ),
        None,
        decision_log.DecisionLog(now_ms, len),
        now_ms,
        random.Random(1),
    )
    gw.loop_checks.record(now_ms() - held_up_ms)
    callers = server.CallerServer(gw)
    caller = server.Caller(None, gw.now_ms)
    caller.open_requests = 1
    callers._callers.add(caller)
    cut_ms = []

    class Scope:
        def cancel(self):
            cut_ms.append(now_ms())

    gw.request_scopes.add(Scope())
    return gw, callers, cut_ms


async def test_drain_does_not_outlast_its_deadline(autojump_clock):
    """The rest of the grace period is for the last answers."""
    gw, callers, cut_ms = make_draining_gateway(held_up_ms=0.0)
    began_ms = gw.now_ms()
    await daemon._drain(gw, callers)
    assert cut_ms[0] - began_ms <= GRACE_MS - daemon.EXIT_MARGIN_MS + 1.0


@pytest.mark.parametrize('held_up_ms', [200.0, 500.0, 900.0])
async def test_drain_ends_in_time_after_a_delayed_signal(
    autojump_clock, held_up_ms
):
    """The platform counts from when it sent the signal."""
    gw, callers, cut_ms = make_draining_gateway(held_up_ms)
    sent_ms = gw.now_ms() - held_up_ms
    await daemon._drain(gw, callers)
    assert cut_ms[0] - sent_ms <= GRACE_MS - daemon.EXIT_MARGIN_MS + 1.0


@pytest.mark.parametrize('held_up_ms', [0.0, 900.0, 3_000.0, 20_000.0])
async def test_requests_are_not_cut_off_early_after_a_delay(
    autojump_clock, held_up_ms
):
    """The signal may have come at the end of the delay."""
    gw, callers, cut_ms = make_draining_gateway(held_up_ms)
    began_ms = gw.now_ms()
    await daemon._drain(gw, callers)
    assert cut_ms[0] - began_ms >= GRACE_MS * LAST_GRACE_SHARE


async def test_stream_sent_late_after_a_delayed_signal_is_not_cut_off():
    """The gateway does not run while the signal comes."""

    async def stream_slowly(exchange):
        await exchange.begin_stream()
        for number in range(1, 8):
            await exchange.send_events(number, number)
            await trio.sleep(0.7)
        await exchange.end_stream()

    headers = {
        'X_Prefix_Hash': gateway_scripts.PROMPT,
        'X_Token_Count': '510,100',
        'X_Deadline_Ms': str(LONG_MS),
    }
    async with gateway_harness.open_harness(
        make_long_config(), grace_ms=5_000.0
    ) as harness:
        harness.add_endpoint('e1', 'engine', stream_slowly)
        await harness.until_known('e1')
        early = await harness.send('/fixed/x', b'POST', **headers)
        await harness.until(lambda: harness.gw.attempts)
        harness.stop.set()
        sent_s = trio.current_time()
        time.sleep(0.9)
        await trio.sleep_until(sent_s + (EXCUSED_MS + 50) / 1_000)
        answer = await harness.ask('/fixed/x', b'POST', **headers)
        early.close()
    assert answer.status == 503
    assert b'retry-after' in answer.headers
