"""Failures that operators of similar systems reported."""

import base64
import contextlib
import json
import socket
import struct

import pytest
import trio

from foxtailpick.core.dispatch import event_stream
from foxtailpick.gateway import client as client_lib
from foxtailpick.gateway import daemon
from foxtailpick.gateway import http1
from foxtailpick.gateway import server
from foxtailpick.platform import dialect
from foxtailpick.platform.standins import endpoint_server
from foxtailpick.platform.standins import store_server
from foxtailpick.tests import gateway_harness
from foxtailpick.tests import gateway_scripts

STAMP = b'X-Server-Stamp: stamp\r\n'
# A response that breaks off in its head.
TORN = b'HTTP/1.1 201 Created\r\nX-Attempt-Id: a1\r\nX-Part: '


def make_copy(body, *headers):
    """Return a signed response with some headers, and no id of its own."""
    head = b''.join(header + b'\r\n' for header in headers)
    length = b'Content-Length: %d\r\n\r\n' % len(body)
    return b'HTTP/1.1 200 OK\r\n' + STAMP + head + length + body


def repeat_late(copy):
    """Return a script that sends bytes before its answer to each later one."""
    answered = []

    async def answer(exchange):
        if answered:
            await http1.send_all(exchange.sock, copy)
        answered.append(exchange.received.id)
        await exchange.answer(
            body=exchange.received.id.encode(),
            headers=[(b'Keep-Alive', b'timeout=5')],
        )

    return answer


async def ask_twice(harness, path, method=b'GET'):
    """Return the answers to two requests, one after the other."""
    return [
        await harness.ask(path, method, b'', X_Attempt_Id=name)
        for name in ('a1', 'a2')
    ]


@pytest.mark.parametrize('path', ['/safe/x', '/unsafe/x'])
async def test_copy_without_an_id_on_a_reused_connection_reaches_nobody(path):
    """It can be the answer to any request that the connection had."""
    script = repeat_late(make_copy(b'a1'))
    async with gateway_harness.open_harness() as harness:
        endpoint = harness.add_endpoint('p1', 'plain', script)
        await harness.until_known('p1')
        first, second = await ask_twice(harness, path, b'POST')
    assert first.body == b'a1'
    assert second.body != b'a1'
    assert second.status == 502
    assert [item.id for item in endpoint.received] == ['a1', 'a2']


async def test_response_with_two_ids_reaches_nobody():
    """A copy that breaks off in its head has the rest of the next answer."""
    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('p1', 'plain', repeat_late(TORN))
        await harness.until_known('p1')
        first, second = await ask_twice(harness, '/unsafe/x', b'POST')
    assert first.status == 200
    assert second.status in (502, 504)


@pytest.mark.parametrize('rest', [TORN, b'HTTP', make_copy(b'a1')])
async def test_connection_with_a_part_of_a_copy_is_not_reused(rest):
    """It arrived with the answer before, or while no request waited."""

    async def answer(exchange):
        body = exchange.received.id.encode()
        echo = b'X-Attempt-Id: ' + body
        copy = make_copy(body, echo, b'Keep-Alive: timeout=5')
        await http1.send_all(exchange.sock, copy + rest)

    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('p1', 'plain', answer)
        await harness.until_known('p1')
        answers = await ask_twice(harness, '/unsafe/x', b'POST')
        opened = harness.gw.pool.opened
    assert [item.body for item in answers] == [b'a1', b'a2']
    assert opened == 2


def test_ids_of_a_response_that_differ_match_no_request():
    headers = [(b'x-attempt-id', b'a1'), (b'x-attempt-id', b'a2')]
    assert dialect.decode_response(headers).request not in ('a1', 'a2')
    headers = [(b'x-attempt-id', b'a1'), (b'x-attempt-id', b'a1')]
    assert dialect.decode_response(headers).request == 'a1'


async def test_answer_to_head_takes_in_no_copy():
    """It has no body, although its head announces one."""

    async def answer(exchange):
        if exchange.received.method != http1.HEAD:
            await gateway_scripts.answer_plainly(exchange)
            return
        echo = b'X-Attempt-Id: ' + exchange.received.id.encode()
        copy = make_copy(b'', echo).replace(b'Length: 0', b'Length: 9')
        await http1.send_all(exchange.sock, copy)
        await trio.sleep(0.1)
        await http1.send_all(exchange.sock, make_copy(b'a1'))

    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('p1', 'plain', answer)
        await harness.until_known('p1')
        data = b''.join(
            gateway_harness.format_ask(path, method, X_Attempt_Id=name)
            for name, path, method in (
                ('b1', '/safe/x', http1.HEAD),
                ('b2', '/none/x', http1.HEAD),
                ('b3', '/safe/x', b'GET'),
            )
        )
        conn = await client_lib.ClientConnection.connect(harness.address)
        await conn.send(data)
        received = b''
        with trio.fail_after(gateway_harness.LIMIT_S):
            while b'hello' not in received:
                received += await http1.receive(conn._sock)
        conn.close()
    first, second, third = received.split(b'HTTP/1.1 ')[1:]
    assert first.startswith(b'200') and first.endswith(b'\r\n\r\n')
    assert second.startswith(b'404') and second.endswith(b'\r\n\r\n')
    assert third.startswith(b'200') and third.endswith(b'hello')


async def test_change_of_protocol_is_an_invalid_response():
    """Nobody asked for it, and the request is repeated elsewhere."""
    upgrade = (
        b'HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n'
        b'Connection: upgrade\r\n\r\nabc'
    )

    async def answer(exchange):
        await http1.send_all(exchange.sock, upgrade)

    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('p1', 'plain', answer)
        await harness.until_known('p1')
        alone = await harness.ask('/safe/x')
        harness.add_endpoint('p2', 'plain', gateway_scripts.answer_plainly)
        await harness.until_known('p1', 'p2')
        answers = [
            await harness.ask('/safe/x', X_Attempt_Id=f'b{number}')
            for number in range(10)
        ]
    assert alone.status == 502
    assert {item.status for item in answers} == {200}


async def test_requests_in_the_accept_queue_are_answered_at_a_stop():
    """They came with the last connections before the listener closes."""
    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('p1', 'plain', gateway_scripts.answer_plainly)
        await harness.until_known('p1')
        gw = harness.gw
        callers = server.CallerServer(gw)
        sock = http1.listen(gateway_harness.ANY_PORT, 64)
        address = sock.getsockname()
        async with trio.open_nursery() as nursery:
            handle = server.make_handler(gw)
            nursery.start_soon(callers.serve, sock, handle, nursery)
            await trio.sleep(0.05)
            # Blocking calls, during which nothing is accepted.
            conns = [socket.create_connection(address) for _ in range(20)]
            for number, conn in enumerate(conns):
                conn.sendall(
                    gateway_harness.format_ask(
                        '/safe/x', X_Attempt_Id=f'a{number}'
                    )
                )
            callers.stop_accepting()
            await daemon._close_callers(gw, callers, gw.now_ms() + 5_000)
            nursery.cancel_scope.cancel()
    statuses = []
    for conn in conns:
        conn.settimeout(1.0)
        with contextlib.suppress(ConnectionError), conn:
            statuses.append(conn.recv(16)[:12])
    assert statuses == [b'HTTP/1.1 200'] * 20


SLOW_CONFIG = gateway_harness.make_config(
    routes=[
        gateway_harness.make_route(
            'movable',
            '/movable/',
            'streaming',
            stream_resumption=True,
            timeout_ms=9_000,
        )
    ]
)
STREAM = {
    'method': b'POST',
    'X_Prefix_Hash': gateway_scripts.PROMPT,
    'X_Deadline_Ms': '9000',
}


def send_slowly(first, pause_s):
    """Return a script that sends a byte of the next event now and then."""

    async def stream(exchange):
        await exchange.begin_stream()
        await exchange.send_events(1, first)
        for byte in endpoint_server.format_event(first + 1):
            await trio.sleep(pause_s)
            await exchange.send_data(bytes([byte]))
        await exchange.end_stream()

    return stream


async def resume(exchange):
    """Send what is left of three events."""
    last = int(exchange.received.headers.get(b'last-event-id', b'0'))
    await exchange.begin_stream()
    await exchange.send_events(last + 1, 3)
    await exchange.end_stream()


async def test_stream_that_stalls_byte_by_byte_moves_elsewhere():
    """Before the timeout of its route, when it would be broken off."""
    async with gateway_harness.open_harness(SLOW_CONFIG) as harness:
        stalled = harness.add_endpoint(
            'e1', 'engine', send_slowly(2, pause_s=0.5)
        )
        await harness.until_known('e1')
        conn = await harness.send('/movable/x', **STREAM)
        await harness.until(lambda: stalled.received)
        harness.add_endpoint('e2', 'engine', resume)
        answer = await gateway_harness.read_answer(conn)
        conn.close()
    assert answer.body == gateway_scripts.get_events(1, 3)


async def test_slow_but_sound_stream_is_not_cut_off():
    """No other endpoint has the service, and its last event takes 2 s."""
    script = send_slowly(2, pause_s=0.1)
    async with gateway_harness.open_harness(SLOW_CONFIG) as harness:
        endpoint = harness.add_endpoint('e1', 'engine', script)
        await harness.until_known('e1')
        answer = await harness.ask('/movable/x', **STREAM)
    assert answer.status == 200
    assert answer.body == gateway_scripts.get_events(1, 3)
    assert len(endpoint.received) == 1
    assert endpoint.disconnects == 0


@pytest.mark.parametrize('line_end', [b'\n', b'\r\n', b'\r'])
def test_only_whole_events_are_progress(line_end):
    event = b'id: 1' + line_end + b'data: token' + line_end * 2
    boundary = event_stream.EventBoundary()
    ends = [boundary.feed(bytes([byte])) for byte in event * 3]
    found = {index for index, is_end in enumerate(ends, 1) if is_end}
    last = {count * len(event) for count in (1, 2, 3)}
    # A blank line that begins with a carriage return ends with it as well.
    assert found in (last, last | {index - 1 for index in last})


async def test_caller_that_sends_its_headers_byte_by_byte_is_rejected():
    """The operators limit the time of the headers, not of each byte."""
    limits = {'header_timeout_ms': 500}
    cfg = gateway_harness.make_config(limits=limits)
    async with gateway_harness.open_harness(cfg) as harness:
        await harness.until(lambda: harness.gw.state.cfg is not None)
        conn = await client_lib.ClientConnection.connect(harness.address)

        async def send_slowly():
            with contextlib.suppress(http1.BrokenConnectionError):
                for byte in gateway_harness.format_ask('/safe/x'):
                    await conn.send(bytes([byte]))
                    await trio.sleep(0.1)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_slowly)
            answer = await gateway_harness.read_answer(conn)
            nursery.cancel_scope.cancel()
        conn.close()
    assert answer.status == 408


SIGNED = b'HTTP/1.1 200 OK\r\n' + STAMP + b'X-Attempt-Id: a1\r\n'
CHUNKED = SIGNED + b'Transfer-Encoding: chunked\r\n\r\n'
EVENT = endpoint_server.format_event(1)
BROKEN_OFF = {
    'head': SIGNED,
    'body with a length': SIGNED + b'Content-Length: 9\r\n\r\npart',
    'chunk': CHUNKED + b'9\r\npart',
    'after a chunk': CHUNKED + http1.format_chunk(EVENT),
    'last chunk': CHUNKED + http1.format_chunk(EVENT) + b'0\r\n',
}


def break_off(data, is_reset):
    """Return a script that sends some bytes and closes the connection."""

    async def answer(exchange):
        await http1.send_all(exchange.sock, data)
        if is_reset:
            # What was sent before still arrives.
            await trio.sleep(0.05)
            linger = struct.pack('ii', 1, 0)
            exchange.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger
            )
        raise endpoint_server.AbortConnectionError

    return answer


async def ask_for_whole(harness, path):
    """Return the status of an answer, None if it is not whole."""
    method = b'GET' if path.startswith('/safe') else b'POST'
    try:
        return (await harness.ask(path, method)).status
    except http1.BrokenConnectionError:
        return None


@pytest.mark.parametrize('is_reset', [False, True])
@pytest.mark.parametrize('part', sorted(BROKEN_OFF))
@pytest.mark.parametrize('path', ['/safe/x', '/unsafe/x', '/fixed/x'])
async def test_answer_that_breaks_off_is_no_complete_success(
    path, part, is_reset
):
    script = break_off(BROKEN_OFF[part], is_reset)
    service = 'engine' if path == '/fixed/x' else 'plain'
    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('e1', service, script)
        await harness.until_known('e1')
        status = await ask_for_whole(harness, path)
    assert status in (None, 502)


@pytest.mark.parametrize('path', ['/unsafe/x', '/fixed/x'])
async def test_reset_is_no_end_of_an_answer_without_a_length(path):
    script = break_off(SIGNED + b'\r\n' + EVENT, is_reset=True)
    service = 'engine' if path == '/fixed/x' else 'plain'
    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('e1', service, script)
        await harness.until_known('e1')
        status = await ask_for_whole(harness, path)
    assert status in (None, 502)


async def remove_entry(harness, entry):
    harness.store.remove('servers/e1')
    await harness.until(lambda: harness.gw.state.table.get('e1') is None)


async def list_as_draining(harness, entry):
    harness.store.put('servers/e1', {**entry, 'state': 'draining'})
    table = harness.gw.state.table
    await harness.until(lambda: table.get('e1').entry.is_draining)


async def lapse_in_an_outage(harness, entry):
    harness.store.expire_without_history('servers/e1')
    await trio.sleep(0.2)


async def fall_silent(harness, entry):
    with harness.endpoint.silence():
        await trio.sleep(2.5)


async def evacuate(harness, entry):
    harness.store.put('op/evacuate/north', {})
    await trio.sleep(0.3)


@pytest.mark.parametrize(
    'change',
    [
        remove_entry,
        list_as_draining,
        lapse_in_an_outage,
        fall_silent,
        evacuate,
    ],
)
@pytest.mark.parametrize('path', ['/unsafe/x', '/fixed/x'])
async def test_work_of_a_machine_that_does_not_report_is_left_to_it(
    path, change
):
    """It is neither started again elsewhere nor given up."""
    is_stream = path == '/fixed/x'
    service = 'engine' if is_stream else 'plain'
    go_on = trio.Event()

    async def work(exchange):
        if not is_stream:
            await go_on.wait()
            await exchange.answer(body=b'whole')
            return
        await exchange.begin_stream()
        await exchange.send_events(1, 1)
        await go_on.wait()
        await exchange.send_events(2, 3)
        await exchange.end_stream()

    cfg = gateway_harness.make_config(
        routes=[
            gateway_harness.make_route(
                'unsafe', '/unsafe/', 'unsafe', timeout_ms=9_000
            ),
            gateway_harness.make_route(
                'fixed', '/fixed/', 'streaming', timeout_ms=9_000
            ),
        ]
    )
    async with gateway_harness.open_harness(cfg) as harness:
        endpoint = harness.add_endpoint('e1', service, work)
        await harness.until_known('e1')
        harness.endpoint = endpoint
        item = harness.store.items['servers/e1']
        entry = json.loads(base64.b64decode(item['value']))
        conn = await harness.send(path, b'POST', X_Deadline_Ms='9000')
        await harness.until(lambda: endpoint.received)
        other = harness.add_endpoint('e2', service, work)
        await harness.until_known('e2')
        await change(harness, entry)
        go_on.set()
        answer = await gateway_harness.read_answer(conn)
        conn.close()
    whole = gateway_scripts.get_events(1, 3) if is_stream else b'whole'
    assert (answer.status, answer.body) == (200, whole)
    assert len(endpoint.received) == 1
    assert not other.received


async def leave(exchange):
    """Answer, and announce the departure that the store doesn't list yet."""
    await exchange.answer(headers=[(b'Server-Leaving', b'1')])


async def test_restarted_gateway_is_told_what_it_had_read_of_a_departure():
    """It was the only one that the endpoint had told."""

    def is_leaving(harness):
        return harness.gw.state.table.get('p1').announced.is_leaving

    async with gateway_harness.open_harness(name='router-2') as other:
        leaving = other.add_endpoint('p1', 'plain', leave)
        await other.until_known('p1')
        async with gateway_harness.open_harness(
            name='router-1', store=other.store
        ) as first:
            await first.until_known('p1')
            assert (await first.ask('/safe/x')).status == 200
            await other.until(lambda: is_leaving(other))
        async with gateway_harness.open_harness(
            name='router-1', store=other.store
        ) as again:
            await again.until_known('p1')
            await again.until(lambda: is_leaving(again))
    assert len(leaving.received) == 1


async def test_departure_outlives_a_restart_of_all_gateways():
    """The store lists the endpoint as ready for seconds after it."""
    store = store_server.PlatformStoreStandIn()
    store.put('op/config', gateway_harness.make_config())
    async with trio.open_nursery() as nursery:
        leaving, _ = (
            gateway_harness.start_endpoint(
                nursery, store, name, 'plain', script
            )
            for name, script in (
                ('p1', leave),
                ('p2', gateway_scripts.answer_plainly),
            )
        )
        for process in 'abc':
            async with gateway_harness.open_harness(store=store) as harness:
                await harness.until_known('p1', 'p2')
                for number in range(12):
                    request = f'{process}{number}'
                    await harness.ask('/safe/x', X_Attempt_Id=request)
        nursery.cancel_scope.cancel()
    assert len(leaving.received) == 1


async def test_restarted_gateway_uses_nothing_that_was_withdrawn():
    """Neither a key nor a server, also while the store does not answer."""
    tenants = [{'name': 'guides', 'api_keys': ['key-2']}]
    async with gateway_harness.open_harness(name='router-2') as other:
        gone = other.add_endpoint(
            'p1', 'plain', gateway_scripts.answer_plainly
        )
        left = other.add_endpoint(
            'p2', 'plain', gateway_scripts.answer_plainly
        )
        await other.until_known('p1', 'p2')
        async with gateway_harness.open_harness(
            name='router-1', store=other.store
        ) as first:
            await first.until_known('p1', 'p2')
            assert (await first.ask('/safe/x')).status == 200
        other.store.put(
            'op/config', gateway_harness.make_config(2, tenants=tenants)
        )
        other.store.remove('servers/p1')
        received = len(gone.received)
        other.store.refuse_with = 503
        async with gateway_harness.open_harness(
            name='router-1', store=other.store
        ) as again:
            early = await again.ask('/safe/x', X_Deadline_Ms='500')
            other.store.refuse_with = None
            await again.until_known('p2')
            answers = [
                await again.ask(
                    '/safe/x', X_Attempt_Id=f'{key}-{number}', X_Key=key
                )
                for key in (gateway_harness.KEY, 'key-2')
                for number in range(10)
            ]
    assert early.status == 503
    assert [item.status for item in answers] == [401] * 10 + [200] * 10
    assert len(gone.received) == received
    assert len(left.received) >= 10
