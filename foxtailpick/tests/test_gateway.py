"""Tests of request handling, reload and shutdown, on loopback."""

import dataclasses
import random

import pytest
import trio

from foxtailpick.core.dispatch import placing
from foxtailpick.core import errors
from foxtailpick.gateway import client as client_lib
from foxtailpick.gateway import daemon
from foxtailpick.gateway import decision_log
from foxtailpick.gateway import reply
from foxtailpick.gateway import settings
from foxtailpick.tests import gateway_harness
from foxtailpick.tests import gateway_scripts


async def test_plain_request_reaches_the_expected_endpoint():
    async with gateway_harness.open_harness() as harness:
        endpoint = harness.add_endpoint(
            'p1', 'plain', gateway_scripts.answer_plainly
        )
        await harness.until_known('p1')
        answer = await harness.ask(
            '/unsafe/book?x=1', b'POST', b'data', X_Tenant='forged'
        )
    assert (answer.status, answer.body) == (200, b'hello')
    assert answer.headers[b'x-server-stamp'] == b'stamp'
    [seen] = endpoint.received
    assert (seen.method, seen.target) == (b'POST', b'/unsafe/book?x=1')
    assert seen.body == b'data'
    assert seen.headers[b'x-expect-instance'] == b'p1'
    assert seen.headers[b'x-tenant'] == b'guides'
    assert b'x-key' not in seen.headers
    # The route's timeout is shorter than the caller's.
    assert 2_500 < int(seen.headers[b'x-deadline-ms']) <= 3_000


@pytest.mark.parametrize(
    ('path', 'key', 'status'),
    [
        ('/unknown/x', gateway_harness.KEY, 404),
        ('/safe/x', None, 401),
        ('/safe/x', 'wrong', 401),
    ],
)
async def test_unrouted_or_unauthorized_request_is_rejected(path, key, status):
    async with gateway_harness.open_harness() as harness:
        endpoint = harness.add_endpoint(
            'p1', 'plain', gateway_scripts.answer_plainly
        )
        await harness.until_known('p1')
        answer = await harness.ask(path, X_Key=key)
    assert answer.status == status
    assert endpoint.received == []


async def test_request_before_the_first_configuration_may_be_retried():
    async with gateway_harness.open_harness(cfg={}) as harness:
        answer = await harness.ask('/safe/x')
    assert answer.status == 503
    assert float(answer.headers[b'retry-after']) > 0


async def test_shutdown_finishes_streams_and_refuses_long_requests():
    go_on = trio.Event()

    async def stream_slowly(exchange):
        await exchange.begin_stream()
        await exchange.send_events(1, 1)
        await go_on.wait()
        await exchange.send_events(2, 2)
        await exchange.end_stream()

    headers = {
        'X_Prefix_Hash': gateway_scripts.PROMPT,
        'X_Token_Count': '510,400',
    }
    routes = [
        gateway_harness.make_route('fixed', '/fixed/', 'streaming'),
        gateway_harness.make_route('quick', '/quick/', 'safe', timeout_ms=300),
    ]
    cfg = gateway_harness.make_config(routes=routes)
    async with gateway_harness.open_harness(cfg, grace_ms=2_500.0) as harness:
        harness.add_endpoint('e1', 'engine', stream_slowly)
        harness.add_endpoint('p1', 'plain', gateway_scripts.answer_plainly)
        await harness.until_known('e1', 'p1')
        conn = await harness.send('/fixed/x', b'POST', **headers)
        await harness.until(lambda: harness.gw.attempts)
        harness.stop.set()
        await harness.until(lambda: harness.gw.is_stopping)
        ready = await client_lib.ClientConnection.connect(
            harness.ready_address
        )
        await ready.send(gateway_harness.format_ask('/readyz'))
        assert (await gateway_harness.read_answer(ready)).status == 503
        ready.close()
        long = await harness.ask('/fixed/x', b'POST', **headers)
        assert long.status == 503
        assert b'retry-after' in long.headers
        short = await harness.ask('/quick/x')
        assert short.status == 200
        go_on.set()
        answer = await gateway_harness.read_answer(conn)
        conn.close()
    assert answer.body == gateway_scripts.get_events(1, 2)


async def test_internal_error_affects_only_its_own_request(monkeypatch):
    def fail(*args):
        raise RuntimeError('a defect')

    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('p1', 'plain', gateway_scripts.answer_plainly)
        await harness.until_known('p1')
        with monkeypatch.context() as patch:
            patch.setattr(placing, 'choose_endpoint', fail)
            assert (await harness.ask('/safe/x')).status == 500
        assert (await harness.ask('/safe/x')).status == 200
        assert harness.gw.metrics.counters['defects'] == 1


async def test_reload_applies_valid_settings_and_ignores_invalid_ones():
    cfg = settings.GatewaySettings(
        'r', 'north', *[gateway_harness.ANY_PORT] * 5, retry_extra=40.0
    )
    log = decision_log.DecisionLog(lambda: 0.0, len)
    gw = daemon.make_gateway(cfg, None, log, lambda: 0.0, random.Random(1))
    changed = dataclasses.replace(cfg, retry_extra=400.0)
    await daemon._reload_settings(gw, lambda: changed)
    for _ in range(1_000):
        gw.budget.deposit('plain')
    assert gw.cfg is changed
    assert gw.budget.get_tokens('plain') > 100

    def fail():
        raise errors.SettingsError(
            errors.ErrorCode.SETTINGS_UNREADABLE, 'expected a file, got none'
        )

    await daemon._reload_settings(gw, fail)
    assert gw.cfg is changed


async def test_response_at_the_deadline_is_sent(monkeypatch):
    """A response that arrives just before the deadline reaches the caller.

    The deadline of the route passes between the arrival of the endpoint's
    response and its sending; the connection was then closed instead, as
    seen on luparetki trouble-1.
    """
    route = gateway_harness.make_route(
        'safe', '/safe/', 'safe', timeout_ms=200
    )
    cfg = gateway_harness.make_config(routes=[route])
    send_response = reply.Reply.send_response

    async def send_late(self, *args):
        # The deadline passes while the response is ready to be sent.
        with trio.CancelScope(shield=True):
            await trio.sleep(0.25)
        await send_response(self, *args)

    async with gateway_harness.open_harness(cfg) as harness:
        harness.add_endpoint('p1', 'plain', gateway_scripts.answer_plainly)
        await harness.until_known('p1')
        with monkeypatch.context() as patch:
            patch.setattr(reply.Reply, 'send_response', send_late)
            answer = await harness.ask('/safe/x')
    assert (answer.status, answer.body) == (200, b'hello')


@pytest.mark.parametrize('is_sent', [False, True])
async def test_deadline_error_says_whether_the_request_may_have_run(is_sent):
    """A request that was never sent is not reported as possibly run."""
    route = gateway_harness.make_route(
        'safe', '/safe/', 'safe', timeout_ms=150, target_latency_ms=9_000
    )
    cfg = gateway_harness.make_config(
        routes=[route],
        services=[{'name': 'plain', 'warmup_per_s': 0.001}],
    )
    cold_ms = 0 if is_sent else 60_000
    async with gateway_harness.open_harness(cfg) as harness:
        harness.add_endpoint(
            'p1', 'plain', gateway_scripts.hang, warmup_left_ms=cold_ms
        )
        await harness.until_known('p1')
        if not is_sent:
            share = harness.gw.state.table.get('p1').warmup_share
            share.slots = 0.0
            share.updated_ms = harness.gw.now_ms()
        answer = await harness.ask('/safe/x')
    assert answer.status == 504
    assert (b'may have run' in answer.body) is is_sent
    assert (b'was not run' in answer.body) is not is_sent


async def test_request_waits_for_the_first_configuration(monkeypatch):
    """All gateways lose power, and reading the configuration takes a second.

    In incident inc-af1f of levant-moodboard-grown 459 requests were refused
    meanwhile, and callers who repeat once were not served at all.
    """
    async with gateway_harness.open_harness({}) as harness:
        harness.add_endpoint('p1', 'plain', gateway_scripts.answer_plainly)
        conn = await harness.send('/safe/x')
        await trio.sleep(0.1)
        harness.store.put('op/config', gateway_harness.make_config())
        answer = await gateway_harness.read_answer(conn)
        conn.close()
    assert (answer.status, answer.body) == (200, b'hello')


@pytest.mark.parametrize(
    ('age_ms', 'deadline_ms', 'longest_ms'),
    [(60_000.0, 5_000, 100), (0.0, 250, 200)],
)
async def test_request_is_refused_if_no_configuration_is_expected(
    age_ms, deadline_ms, longest_ms
):
    """The store is away, or the caller's time is short."""
    async with gateway_harness.open_harness({}) as harness:
        await harness.until(lambda: harness.gw.started_ms)
        harness.gw.started_ms -= age_ms
        began_ms = harness.gw.now_ms()
        answer = await harness.ask('/safe/x', X_Deadline_Ms=str(deadline_ms))
        took_ms = harness.gw.now_ms() - began_ms
    assert answer.status == 503
    assert float(answer.headers[b'retry-after']) > 0
    assert took_ms < longest_ms
