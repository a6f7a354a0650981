"""Tests of relayed streams, their resumption and flow control."""

import pytest
import trio

from foxtailpick.core.dispatch import event_stream
from foxtailpick.core.dispatch import response_timeout
from foxtailpick.gateway import http1
from foxtailpick.platform.standins import endpoint_server
from foxtailpick.tests import gateway_harness
from foxtailpick.tests import gateway_scripts


async def ask_two_engines(serve):
    """Request a resumable stream from two engines with the same script."""
    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('e1', 'engine', serve)
        harness.add_endpoint('e2', 'engine', serve)
        await harness.until_known('e1', 'e2')
        return await harness.ask(
            '/movable/x',
            b'POST',
            b'data',
            X_Prefix_Hash=gateway_scripts.PROMPT,
        )


async def test_stream_is_relayed_completely():
    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('e1', 'engine', gateway_scripts.stream_three)
        await harness.until_known('e1')
        answer = await harness.ask(
            '/fixed/x', b'POST', b'data', X_Prefix_Hash=gateway_scripts.PROMPT
        )
    assert (answer.status, answer.body) == (
        200,
        gateway_scripts.get_events(1, 3),
    )


async def test_broken_stream_resumes_at_another_endpoint():
    async def serve(exchange):
        last = exchange.received.headers.get(b'last-event-id')
        await exchange.begin_stream()
        if last is None:
            await exchange.send_events(1, 2)
            part = endpoint_server.format_event(3)[:7]
            await http1.send_all(exchange.sock, http1.format_chunk(part))
            raise endpoint_server.AbortConnectionError
        await exchange.send_events(int(last) + 1, 4)
        await exchange.end_stream()

    answer = await ask_two_engines(serve)
    assert (answer.status, answer.body) == (
        200,
        gateway_scripts.get_events(1, 4),
    )


async def test_broken_stream_that_is_not_resumable_is_truncated():
    async def break_off(exchange):
        await exchange.begin_stream()
        await exchange.send_events(1, 2)
        raise endpoint_server.AbortConnectionError

    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('e1', 'engine', break_off)
        harness.add_endpoint('e2', 'engine', break_off)
        await harness.until_known('e1', 'e2')
        with pytest.raises(http1.BrokenConnectionError):
            await harness.ask(
                '/fixed/x', b'POST', b'', X_Prefix_Hash=gateway_scripts.PROMPT
            )


async def test_stalled_stream_resumes_at_another_endpoint():
    async def serve(exchange):
        last = exchange.received.headers.get(b'last-event-id')
        await exchange.begin_stream()
        if last is None:
            await exchange.send_events(1, 2)
            await trio.sleep_forever()
        await exchange.send_events(int(last) + 1, 3)
        await exchange.end_stream()

    answer = await ask_two_engines(serve)
    assert answer.body == gateway_scripts.get_events(1, 3)


async def test_slow_caller_does_not_time_out_the_endpoint():
    """A caller that stops reading must not time out the endpoint.

    Such an attempt was aborted while the first bytes were being written
    to the caller, and the response had no head, as seen on luparetki-grown.
    """
    # More data than the socket buffers hold.
    events = 38
    padding = b'x' * 200_000

    def make_event(number):
        return b'id: %d\ndata: %s\n\n' % (number, padding)

    async def serve(exchange):
        last = int(exchange.received.headers.get(b'last-event-id', 0))
        await exchange.begin_stream()
        for number in range(last + 1, events + 1):
            chunk = http1.format_chunk(make_event(number))
            await http1.send_all(exchange.sock, chunk)
        await exchange.end_stream()

    async with gateway_harness.open_harness() as harness:
        endpoints = [
            harness.add_endpoint('e1', 'engine', serve),
            harness.add_endpoint('e2', 'engine', serve),
        ]
        await harness.until_known('e1', 'e2')
        conn = await harness.send(
            '/movable/x',
            b'POST',
            b'data',
            X_Prefix_Hash=gateway_scripts.PROMPT,
        )
        await trio.sleep(response_timeout.EVENT_GAP_TIMEOUT_MS / 1_000 + 0.3)
        answer = await gateway_harness.read_answer(conn)
        conn.close()
    expected = b''.join(make_event(n) for n in range(1, events + 1))
    assert answer.body == expected
    assert sum(len(item.received) for item in endpoints) == 1


async def test_endpoint_receives_the_address_of_a_cached_prompt():
    async with gateway_harness.open_harness() as harness:
        endpoints = {
            name: harness.add_endpoint(
                name, 'engine', gateway_scripts.stream_three
            )
            for name in ('e1', 'e2')
        }
        await harness.until_known('e1', 'e2')
        ask = {
            'X_Prefix_Hash': gateway_scripts.PROMPT,
            'Kv_Fetch': '10.0.0.1:1',
        }
        await harness.ask('/fixed/x', b'POST', **ask)
        [home] = [name for name, item in endpoints.items() if item.received]
        table = harness.gw.state.table
        table.get(home).remote_load = 60
        await harness.ask('/fixed/x', b'POST', X_Attempt_Id='a2', **ask)
        [other] = set(endpoints) - {home}
    first, second = endpoints[home].received[0], endpoints[other].received[0]
    assert b'kv-fetch' not in first.headers
    host, port = table.get(home).entry.address
    assert second.headers[b'kv-fetch'] == f'{host}:{port}'.encode()


async def test_overlong_event_fails_its_endpoint(monkeypatch):
    """An event without an end is the endpoint's fault, not an own defect."""
    monkeypatch.setattr(event_stream, 'MAX_EVENT_BYTES', 100)

    async def serve(exchange):
        await exchange.begin_stream()
        if exchange.is_for('e1'):
            long_event = http1.format_chunk(b'x' * 200)
            await http1.send_all(exchange.sock, long_event)
            await trio.sleep_forever()
        await exchange.send_events(1, 2)
        await exchange.end_stream()

    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('e1', 'engine', serve)
        harness.add_endpoint('e2', 'engine', serve)
        await harness.until_known('e1', 'e2')
        answers = [
            await harness.ask('/movable/x', b'POST', b'data', X_Prefix_Hash=p)
            for p in ('ab:500,cd:10', 'ef:500,cd:10', '12:500,cd:10')
        ]
        assert harness.gw.metrics.counters['attempts_failed'] > 0
        assert harness.gw.metrics.counters['defects'] == 0
    assert {answer.body for answer in answers} == {
        gateway_scripts.get_events(1, 2)
    }


def make_close_delimited(*sent):
    """Return a script that closes its connection after some stream data."""

    async def serve(exchange):
        await exchange.begin_stream(is_chunked=False)
        for data in sent:
            await exchange.send_data(data)
        await exchange.end_stream()

    return serve


async def ask_fixed(script):
    """Request a stream that may not be resumed from one endpoint."""
    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('e1', 'engine', script)
        await harness.until_known('e1')
        return await harness.ask(
            '/fixed/x', b'POST', b'', X_Prefix_Hash=gateway_scripts.PROMPT
        )


async def check_is_broken_off(script):
    """Check that a stream that may not be resumed is seen as truncated."""
    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('e1', 'engine', script)
        await harness.until_known('e1')
        with pytest.raises(http1.BrokenConnectionError):
            await harness.ask(
                '/fixed/x', b'POST', b'', X_Prefix_Hash=gateway_scripts.PROMPT
            )


async def test_stream_that_ends_with_its_connection_is_complete():
    events = gateway_scripts.get_events(1, 3)
    answer = await ask_fixed(make_close_delimited(events[:50], events[50:]))
    assert (answer.status, answer.body) == (200, events)


async def test_stream_cut_within_an_event_by_a_close_is_not_complete():
    """An endpoint that crashes may close its connections in order."""
    events = gateway_scripts.get_events(1, 2)
    await check_is_broken_off(make_close_delimited(events, b'id: 3\ndata: to'))


async def test_chunked_stream_that_ends_within_an_event_is_not_complete():
    async def serve(exchange):
        await exchange.begin_stream()
        await exchange.send_events(1, 2)
        await exchange.send_data(b'id: 3\n')
        await exchange.end_stream()

    await check_is_broken_off(serve)


async def test_close_before_the_first_event_is_not_a_complete_stream():
    answer = await ask_fixed(make_close_delimited())
    assert answer.status == 502


async def test_close_before_the_first_event_resumes_elsewhere():
    async def serve(exchange):
        await exchange.begin_stream(is_chunked=False)
        if is_cut:
            await exchange.send_events(1, 4)
        is_cut.append(True)
        await exchange.end_stream()

    is_cut = []
    answer = await ask_two_engines(serve)
    assert answer.body == gateway_scripts.get_events(1, 4)


@pytest.mark.parametrize(
    ('data', 'is_within'),
    [
        (b'', False),
        (b'id: 1\ndata: x\n\n', False),
        (b'id: 1\r\ndata: x\r\n\r\n', False),
        (b'data: x\r\r', False),
        (b'id: 1\ndata: x\n', True),
        (b'id: 1\ndata: x\n\nid: 2', True),
        (b'id: 1\r\ndata: x\r\n', True),
    ],
)
def test_boundary_of_events_is_found_byte_by_byte(data, is_within):
    boundary = event_stream.EventBoundary()
    for byte in data:
        boundary.feed(bytes((byte,)))
    assert boundary.is_within_event is is_within
    assert boundary.is_empty is (not data)


@pytest.mark.parametrize('size', [1, 3, 7, 14, 100])
def test_length_of_events_is_limited_however_they_are_cut(monkeypatch, size):
    monkeypatch.setattr(event_stream, 'MAX_EVENT_BYTES', 20)
    events = b'\ndata: 12345\n' * 50
    boundary = event_stream.EventBoundary()
    for start in range(0, len(events), size):
        boundary.feed(events[start : start + size])
    with pytest.raises(ValueError, match='end of an event'):
        boundary.feed(b'x' * 21)
