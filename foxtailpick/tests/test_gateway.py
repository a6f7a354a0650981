"""Tests of a gateway's path and life, between stand-ins on loopback."""

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
from foxtailpick.tests import gateway_scripts
from foxtailpick.tests import gateway_stage


async def test_plain_request_reaches_the_expected_endpoint():
    async with gateway_stage.open_stage() as stage:
        endpoint = stage.add_endpoint(
            'p1', 'plain', gateway_scripts.answer_plainly
        )
        await stage.until_known('p1')
        answer = await stage.ask(
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
    # The route's time limit is shorter than the caller's.
    assert 2_500 < int(seen.headers[b'x-deadline-ms']) <= 3_000


@pytest.mark.parametrize(
    ('path', 'key', 'status'),
    [
        ('/unknown/x', gateway_stage.KEY, 404),
        ('/safe/x', None, 401),
        ('/safe/x', 'wrong', 401),
    ],
)
async def test_request_that_is_not_allowed_is_refused(path, key, status):
    async with gateway_stage.open_stage() as stage:
        endpoint = stage.add_endpoint(
            'p1', 'plain', gateway_scripts.answer_plainly
        )
        await stage.until_known('p1')
        answer = await stage.ask(path, X_Key=key)
    assert answer.status == status
    assert endpoint.received == []


async def test_without_configuration_nothing_is_denied():
    async with gateway_stage.open_stage(cfg={}) as stage:
        answer = await stage.ask('/safe/x')
    assert answer.status == 503
    assert float(answer.headers[b'retry-after']) > 0


async def test_stopping_gateway_finishes_streams_and_refuses_long_ones():
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
        gateway_stage.make_route('fixed', '/fixed/', 'streaming'),
        gateway_stage.make_route('quick', '/quick/', 'safe', timeout_ms=300),
    ]
    cfg = gateway_stage.make_config(routes=routes)
    async with gateway_stage.open_stage(cfg, grace_ms=2_500.0) as stage:
        stage.add_endpoint('e1', 'engine', stream_slowly)
        stage.add_endpoint('p1', 'plain', gateway_scripts.answer_plainly)
        await stage.until_known('e1', 'p1')
        conn = await stage.send('/fixed/x', b'POST', **headers)
        await stage.until(lambda: stage.gw.attempts)
        stage.stop.set()
        await stage.until(lambda: stage.gw.is_stopping)
        ready = await client_lib.ClientConnection.connect(stage.ready_address)
        await ready.send(gateway_stage.format_ask('/readyz'))
        assert (await gateway_stage.read_answer(ready)).status == 503
        ready.close()
        long = await stage.ask('/fixed/x', b'POST', **headers)
        assert long.status == 503
        assert b'retry-after' in long.headers
        short = await stage.ask('/quick/x')
        assert short.status == 200
        go_on.set()
        answer = await gateway_stage.read_answer(conn)
        conn.close()
    assert answer.body == gateway_scripts.get_events(1, 2)


async def test_defect_is_answered_and_ends_nothing_else(monkeypatch):
    def fail(*args):
        raise RuntimeError('a defect')

    async with gateway_stage.open_stage() as stage:
        stage.add_endpoint('p1', 'plain', gateway_scripts.answer_plainly)
        await stage.until_known('p1')
        with monkeypatch.context() as patch:
            patch.setattr(placing, 'choose_endpoint', fail)
            assert (await stage.ask('/safe/x')).status == 500
        assert (await stage.ask('/safe/x')).status == 200
        assert stage.gw.metrics.counters['defects'] == 1


def test_settings_that_changed_are_taken_in_and_bad_ones_are_not():
    cfg = settings.GatewaySettings(
        'r', 'north', *[gateway_stage.ANY_PORT] * 5, retry_extra=40.0
    )
    log = decision_log.DecisionLog(lambda: 0.0, len)
    gw = daemon.make_gateway(cfg, None, log, lambda: 0.0, random.Random(1))
    changed = dataclasses.replace(cfg, retry_extra=400.0)
    daemon._reload_settings(gw, lambda: changed)
    for _ in range(1_000):
        gw.budget.deposit('plain')
    assert gw.cfg is changed
    assert gw.budget.get_tokens('plain') > 100

    def fail():
        raise errors.SettingsError(
            errors.ErrorCode.SETTINGS_UNREADABLE, 'expected a file, got none'
        )

    daemon._reload_settings(gw, fail)
    assert gw.cfg is changed


async def test_answer_that_comes_as_the_time_ends_is_sent(monkeypatch):
    """Found on luparetki trouble-1: such an answer closed the connection.

    The endpoint's answer is at hand when the time of the route ends.
    """
    route = gateway_stage.make_route('safe', '/safe/', 'safe', timeout_ms=200)
    cfg = gateway_stage.make_config(routes=[route])
    send_whole = reply.Reply.send_whole

    async def send_late(self, *args):
        # The time ends between the answer's arrival and its sending.
        with trio.CancelScope(shield=True):
            await trio.sleep(0.25)
        await send_whole(self, *args)

    async with gateway_stage.open_stage(cfg) as stage:
        stage.add_endpoint('p1', 'plain', gateway_scripts.answer_plainly)
        await stage.until_known('p1')
        with monkeypatch.context() as patch:
            patch.setattr(reply.Reply, 'send_whole', send_late)
            answer = await stage.ask('/safe/x')
    assert (answer.status, answer.body) == (200, b'hello')
