"""Tests of the gateway's path, between stand-ins on loopback."""

import dataclasses
import random

import pytest
import trio

from foxtailpick.core.dispatch import patience
from foxtailpick.core.dispatch import placing
from foxtailpick.core import errors
from foxtailpick.gateway import client as client_lib
from foxtailpick.gateway import daemon
from foxtailpick.gateway import decision_log
from foxtailpick.gateway import http1
from foxtailpick.gateway import reply
from foxtailpick.gateway import server
from foxtailpick.gateway import settings
from foxtailpick.platform.standins import endpoint_server
from foxtailpick.tests import gateway_stage

PROMPT = 'ab:500,cd:10'


async def answer_plainly(exchange):
    await exchange.answer(body=b'hello')


async def stream_three(exchange):
    await exchange.begin_stream()
    await exchange.send_events(1, 3)
    await exchange.end_stream()


async def hang(exchange):
    await trio.sleep_forever()


async def cut(exchange):
    raise endpoint_server.CutError


def get_events(first, last):
    return b''.join(
        endpoint_server.format_event(number)
        for number in range(first, last + 1)
    )


async def test_plain_request_reaches_the_expected_endpoint():
    async with gateway_stage.open_stage() as stage:
        endpoint = stage.add_endpoint('p1', 'plain', answer_plainly)
        await stage.until_known('p1')
        answer = await stage.ask(
            '/unsafe/book?x=1', b'POST', b'data', X_Tenant='forged'
        )
    assert (answer.status, answer.body) == (200, b'hello')
    assert answer.headers[b'x-server-stamp'] == b'stamp'
    [seen] = endpoint.seen
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
        endpoint = stage.add_endpoint('p1', 'plain', answer_plainly)
        await stage.until_known('p1')
        answer = await stage.ask(path, X_Key=key)
    assert answer.status == status
    assert endpoint.seen == []


async def test_without_configuration_nothing_is_denied():
    async with gateway_stage.open_stage(cfg={}) as stage:
        answer = await stage.ask('/safe/x')
    assert answer.status == 503
    assert float(answer.headers[b'retry-after']) > 0


async def test_safe_request_is_repeated_after_a_failure():
    async def fail(exchange):
        await exchange.answer(500, b'error')

    async with gateway_stage.open_stage() as stage:
        endpoints = [
            stage.add_endpoint('p1', 'plain', fail),
            stage.add_endpoint('p2', 'plain', fail),
        ]
        await stage.until_known('p1', 'p2')
        answer = await stage.ask('/safe/x')
    assert answer.status == 500
    assert [len(item.seen) for item in endpoints] == [1, 1]


@pytest.mark.parametrize('script', [cut, hang])
async def test_unsafe_request_is_never_repeated_when_it_may_have_run(script):
    route = gateway_stage.make_route(
        'unsafe', '/unsafe/', 'unsafe', timeout_ms=300
    )
    cfg = gateway_stage.make_config(routes=[route])
    async with gateway_stage.open_stage(cfg) as stage:
        endpoints = [
            stage.add_endpoint('p1', 'plain', script),
            stage.add_endpoint('p2', 'plain', script),
        ]
        await stage.until_known('p1', 'p2')
        answer = await stage.ask('/unsafe/x', b'POST', b'data')
    assert answer.status in (502, 504)
    assert sum(len(item.seen) for item in endpoints) == 1


async def test_unsafe_request_that_was_not_run_is_sent_elsewhere():
    async def refuse(exchange):
        await exchange.answer(
            503, b'', [(b'X-Not-Executed', b'1')], is_signed=False
        )

    async with gateway_stage.open_stage() as stage:
        refusing = stage.add_endpoint('p1', 'plain', refuse)
        stage.add_endpoint('p2', 'plain', answer_plainly)
        await stage.until_known('p1', 'p2')
        answers = [
            await stage.ask('/unsafe/x', b'POST', b'd', X_Attempt_Id=f'a{i}')
            for i in range(6)
        ]
    assert {answer.status for answer in answers} == {200}
    assert refusing.seen


async def test_stale_entry_uses_up_no_attempt():
    async def misdirect(exchange):
        await exchange.answer(421, b'', is_signed=False)

    route = gateway_stage.make_route(
        'unsafe', '/unsafe/', 'unsafe', max_attempts=1
    )
    cfg = gateway_stage.make_config(routes=[route])
    async with gateway_stage.open_stage(cfg) as stage:
        stale = stage.add_endpoint('p1', 'plain', misdirect)
        stage.add_endpoint('p2', 'plain', answer_plainly)
        await stage.until_known('p1', 'p2')
        answers = [
            await stage.ask('/unsafe/x', b'POST', b'd', X_Attempt_Id=f'a{i}')
            for i in range(8)
        ]
    assert {answer.status for answer in answers} == {200}
    # It is passed over once it is known to be stale.
    assert len(stale.seen) == 1


async def test_unsafe_503_after_a_run_is_no_promise_to_the_caller():
    async def run_and_fail(exchange):
        await exchange.answer(503, b'')

    async with gateway_stage.open_stage() as stage:
        stage.add_endpoint('p1', 'plain', run_and_fail)
        await stage.until_known('p1')
        answer = await stage.ask('/unsafe/x', b'POST', b'data')
    assert answer.status == 502
    assert b'x-server-stamp' not in answer.headers


async def test_stream_passes_event_by_event():
    async with gateway_stage.open_stage() as stage:
        stage.add_endpoint('e1', 'engine', stream_three)
        await stage.until_known('e1')
        answer = await stage.ask(
            '/fixed/x', b'POST', b'data', X_Prefix_Hash=PROMPT
        )
    assert (answer.status, answer.body) == (200, get_events(1, 3))


async def test_broken_stream_goes_on_at_another_endpoint():
    async def serve(exchange):
        last = exchange.seen.headers.get(b'last-event-id')
        await exchange.begin_stream()
        if last is None:
            await exchange.send_events(1, 2)
            part = endpoint_server.format_event(3)[:7]
            await http1.send_all(exchange.sock, http1.format_chunk(part))
            raise endpoint_server.CutError
        await exchange.send_events(int(last) + 1, 4)
        await exchange.end_stream()

    async with gateway_stage.open_stage() as stage:
        stage.add_endpoint('e1', 'engine', serve)
        stage.add_endpoint('e2', 'engine', serve)
        await stage.until_known('e1', 'e2')
        answer = await stage.ask(
            '/movable/x', b'POST', b'data', X_Prefix_Hash=PROMPT
        )
    assert (answer.status, answer.body) == (200, get_events(1, 4))


async def test_broken_stream_that_may_not_move_does_not_look_complete():
    async def break_off(exchange):
        await exchange.begin_stream()
        await exchange.send_events(1, 2)
        raise endpoint_server.CutError

    async with gateway_stage.open_stage() as stage:
        stage.add_endpoint('e1', 'engine', break_off)
        stage.add_endpoint('e2', 'engine', break_off)
        await stage.until_known('e1', 'e2')
        with pytest.raises(http1.BrokenConnectionError):
            await stage.ask('/fixed/x', b'POST', b'', X_Prefix_Hash=PROMPT)


async def test_late_answer_to_another_request_is_passed_over():
    async def answer_twice(exchange):
        if exchange.seen.id == 'a1':
            await exchange.answer(body=b'first')
            await exchange.answer(body=b'first again')
        else:
            await exchange.answer(body=b'late', request='a1')
            await exchange.answer(body=b'own')

    async with gateway_stage.open_stage() as stage:
        stage.add_endpoint('p1', 'plain', answer_twice)
        await stage.until_known('p1')
        first = await stage.ask('/safe/x')
        second = await stage.ask('/safe/x', X_Attempt_Id='a2')
    assert (first.body, second.body) == (b'first', b'own')


@pytest.mark.parametrize(
    ('headers', 'is_signed'),
    [((), False), (((b'Content-Encoding', b'gzip'),), True)],
)
async def test_answer_that_is_not_the_endpoints_own_is_no_success(
    headers, is_signed
):
    async def spoil(exchange):
        await exchange.answer(headers=headers, is_signed=is_signed)

    async with gateway_stage.open_stage() as stage:
        stage.add_endpoint('p1', 'plain', spoil)
        await stage.until_known('p1')
        answer = await stage.ask('/unsafe/x', b'POST', b'data')
    assert answer.status == 502


async def test_answer_that_ends_with_its_connection_is_whole():
    async def unframed(exchange):
        echo = exchange.seen.id.encode()
        await http1.send_all(
            exchange.sock,
            b'HTTP/1.1 200 OK\r\nX-Attempt-Id: '
            + echo
            + b'\r\nX-Server-Stamp: s\r\n\r\nall of it',
        )
        raise endpoint_server.CutError

    async with gateway_stage.open_stage() as stage:
        stage.add_endpoint('p1', 'plain', unframed)
        await stage.until_known('p1')
        answer = await stage.ask('/safe/x')
    assert (answer.status, answer.body) == (200, b'all of it')


async def test_work_ends_when_the_caller_leaves():
    async with gateway_stage.open_stage() as stage:
        endpoint = stage.add_endpoint('p1', 'plain', hang)
        await stage.until_known('p1')
        conn = await stage.send('/safe/x')
        await stage.until(lambda: endpoint.seen)
        conn.close()
        await stage.until(lambda: endpoint.left)
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
        assert endpoint.seen[0].body == body


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
        endpoint = stage.add_endpoint('p1', 'plain', answer_plainly)
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


async def test_kept_connection_serves_request_after_request():
    async with gateway_stage.open_stage() as stage:
        stage.add_endpoint('p1', 'plain', answer_plainly)
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
        stage.add_endpoint('p1', 'plain', answer_plainly)
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


async def test_endpoint_that_cannot_be_reached_costs_no_attempt():
    async with gateway_stage.open_stage() as stage:
        sock = http1.listen(gateway_stage.ANY_PORT, 1)
        address = sock.getsockname()
        sock.close()
        dead = gateway_stage.make_entry('plain', address)
        stage.store.put('servers/p0', dead)
        stage.add_endpoint('p1', 'plain', answer_plainly)
        await stage.until_known('p0', 'p1')
        answers = [
            await stage.ask('/unsafe/x', b'POST', X_Attempt_Id=f'a{number}')
            for number in range(6)
        ]
    assert {answer.status for answer in answers} == {200}


async def test_stopping_gateway_finishes_streams_and_refuses_long_ones():
    go_on = trio.Event()

    async def stream_slowly(exchange):
        await exchange.begin_stream()
        await exchange.send_events(1, 1)
        await go_on.wait()
        await exchange.send_events(2, 2)
        await exchange.end_stream()

    headers = {'X_Prefix_Hash': PROMPT, 'X_Token_Count': '510,400'}
    routes = [
        gateway_stage.make_route('fixed', '/fixed/', 'streaming'),
        gateway_stage.make_route('quick', '/quick/', 'safe', timeout_ms=300),
    ]
    cfg = gateway_stage.make_config(routes=routes)
    async with gateway_stage.open_stage(cfg, grace_ms=2_500.0) as stage:
        stage.add_endpoint('e1', 'engine', stream_slowly)
        stage.add_endpoint('p1', 'plain', answer_plainly)
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
    assert answer.body == get_events(1, 2)


async def test_request_whose_answer_is_lost_moves_on():
    """One request hears nothing while its endpoint serves others."""
    lost = []

    async def lose_one(exchange):
        if not lost:
            lost.append(exchange.seen.id)
            await trio.sleep_forever()
        await exchange.answer()

    async with gateway_stage.open_stage() as stage:
        stage.add_endpoint('p1', 'plain', lose_one)
        stage.add_endpoint('p2', 'plain', lose_one)
        await stage.until_known('p1', 'p2')
        began_ms = stage.gw.now_ms()
        answer = await stage.ask('/safe/x')
        assert answer.status == 200
        # The caller of this route is told to expect 200 ms.
        assert stage.gw.now_ms() - began_ms < 600


async def test_stream_that_stops_in_the_middle_goes_on_elsewhere():
    async def serve(exchange):
        last = exchange.seen.headers.get(b'last-event-id')
        await exchange.begin_stream()
        if last is None:
            await exchange.send_events(1, 2)
            await trio.sleep_forever()
        await exchange.send_events(int(last) + 1, 3)
        await exchange.end_stream()

    async with gateway_stage.open_stage() as stage:
        stage.add_endpoint('e1', 'engine', serve)
        stage.add_endpoint('e2', 'engine', serve)
        await stage.until_known('e1', 'e2')
        answer = await stage.ask(
            '/movable/x', b'POST', b'data', X_Prefix_Hash=PROMPT
        )
    assert answer.body == get_events(1, 3)


async def test_caller_that_reads_slowly_gets_an_answer_that_can_be_read():
    """A pause of the caller is no silence of the endpoint.

    Found on luparetki-grown: an attempt was ended while its first bytes
    were on their way to the caller, and the answer had no head.
    """
    # More than the sockets on the way hold.
    events = 38
    padding = b'x' * 200_000

    def make_event(number):
        return b'id: %d\ndata: %s\n\n' % (number, padding)

    async def serve(exchange):
        last = int(exchange.seen.headers.get(b'last-event-id', 0))
        await exchange.begin_stream()
        for number in range(last + 1, events + 1):
            chunk = http1.format_chunk(make_event(number))
            await http1.send_all(exchange.sock, chunk)
        await exchange.end_stream()

    async with gateway_stage.open_stage() as stage:
        endpoints = [
            stage.add_endpoint('e1', 'engine', serve),
            stage.add_endpoint('e2', 'engine', serve),
        ]
        await stage.until_known('e1', 'e2')
        conn = await stage.send(
            '/movable/x', b'POST', b'data', X_Prefix_Hash=PROMPT
        )
        await trio.sleep(patience.GAP_MS / 1_000 + 0.3)
        answer = await gateway_stage.read_answer(conn)
        conn.close()
    expected = b''.join(make_event(n) for n in range(1, events + 1))
    assert answer.body == expected
    assert sum(len(item.seen) for item in endpoints) == 1


@pytest.mark.parametrize('path', ['/safe/x', '/unsafe/x'])
async def test_long_request_whose_endpoint_breaks_off_is_answered(path):
    """Found on kandurata-grown: such requests got no answer at all."""
    body = b'x' * (2 * http1.INLINE_BODY_BYTES)
    async with gateway_stage.open_stage() as stage:
        stage.add_endpoint('p1', 'plain', cut)
        await stage.until_known('p1')
        answer = await stage.ask(path, b'POST', body)
    assert answer.status == 502


async def test_defect_is_answered_and_ends_nothing_else(monkeypatch):
    def fail(*args):
        raise RuntimeError('a defect')

    async with gateway_stage.open_stage() as stage:
        stage.add_endpoint('p1', 'plain', answer_plainly)
        await stage.until_known('p1')
        with monkeypatch.context() as patch:
            patch.setattr(placing, 'choose_endpoint', fail)
            assert (await stage.ask('/safe/x')).status == 500
        assert (await stage.ask('/safe/x')).status == 200
        assert stage.gw.metrics.counters['defects'] == 1


async def test_endpoint_is_told_where_to_fetch_a_prompt_from():
    async with gateway_stage.open_stage() as stage:
        endpoints = {
            name: stage.add_endpoint(name, 'engine', stream_three)
            for name in ('e1', 'e2')
        }
        await stage.until_known('e1', 'e2')
        ask = {'X_Prefix_Hash': PROMPT, 'Kv_Fetch': '10.0.0.1:1'}
        await stage.ask('/fixed/x', b'POST', **ask)
        [home] = [name for name, item in endpoints.items() if item.seen]
        table = stage.gw.state.table
        table.get(home).others = 60
        await stage.ask('/fixed/x', b'POST', X_Attempt_Id='a2', **ask)
        [other] = set(endpoints) - {home}
    first, second = endpoints[home].seen[0], endpoints[other].seen[0]
    assert b'kv-fetch' not in first.headers
    host, port = table.get(home).entry.address
    assert second.headers[b'kv-fetch'] == f'{host}:{port}'.encode()


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
        stage.add_endpoint('p1', 'plain', answer_plainly)
        await stage.until_known('p1')
        with monkeypatch.context() as patch:
            patch.setattr(reply.Reply, 'send_whole', send_late)
            answer = await stage.ask('/safe/x')
    assert (answer.status, answer.body) == (200, b'hello')
