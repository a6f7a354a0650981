"""Tests of answers whose connection is reset while a request is sent.

The requests are longer than the buffers between a gateway and its endpoint,
so that a send fails, too. `limit_reads` lets it fail before the reader sees
the end of the stream, each time.
"""

from loguru import logger
import pytest
import trio

from foxtailpick.gateway import http1
from foxtailpick.tests import cutting_server
from foxtailpick.tests import gateway_harness
from foxtailpick.tests import gateway_scripts

REPEATS = 10
PART = b'p' * cutting_server.PART_BYTES
EVENTS = 300
STREAM = gateway_scripts.get_events(1, EVENTS)
LENGTH = cutting_server.SIGNED + b'Content-Length: 99999\r\n\r\n'

ENDS = pytest.mark.parametrize(
    'end', [cutting_server.reset, cutting_server.close]
)


@pytest.fixture(autouse=True)
def limit_reads(monkeypatch):
    cutting_server.limit_reads(monkeypatch)


@pytest.fixture
def log_lines():
    lines = []
    sink = logger.add(lines.append, format='{message}')
    yield lines
    logger.remove(sink)


def make_server(answer, end, **kwargs):
    return cutting_server.CuttingServer(answer, end, **kwargs)


async def ask(
    path,
    service,
    server,
    body=cutting_server.LONG_BODY,
    receive_bytes=cutting_server.RECEIVE_BUFFER_BYTES,
):
    """Ask a gateway with one endpoint; return the outcome and its metrics."""
    async with gateway_harness.open_harness() as harness:
        cutting_server.add_endpoint(
            harness, 'p1', service, server, receive_bytes
        )
        await harness.until_known('p1')
        try:
            answer = await harness.ask(
                path, b'POST', body, X_Prefix_Hash=gateway_scripts.PROMPT
            )
            outcome = answer.status
        except http1.BrokenConnectionError:
            outcome = 'broken off'
        return outcome, harness.gw.metrics.counters


@ENDS
@pytest.mark.parametrize(
    'start',
    [cutting_server.UNFRAMED, cutting_server.CHUNKED, LENGTH],
    ids=['unframed', 'chunked', 'length'],
)
async def test_part_of_a_booking_reaches_the_caller_as_whole(
    end, start, log_lines
):
    data = PART
    if start is cutting_server.CHUNKED:
        data = http1.format_chunk(PART)
    outcomes = []
    for _ in range(REPEATS):
        server = make_server(start + data, end)
        outcome, counters = await ask('/unsafe/x', 'plain', server)
        outcomes.append((outcome, server.requests, counters['answers_reset']))
        assert counters['defects'] == 0
    # It may have run, so it is neither sent again nor refused.
    assert outcomes == [(502, 1, 1)] * REPEATS
    failed = [line for line in log_lines if '"attempt-failed"' in line]
    assert len(failed) == REPEATS
    assert all('connection failed within the answer' in i for i in failed)


@ENDS
@pytest.mark.parametrize('status', [400, 500, 503])
async def test_part_of_an_error_reaches_the_caller_as_whole(end, status):
    head = cutting_server.UNFRAMED.replace(b'200', b'%d' % status)
    server = make_server(head + PART, end)
    outcome, counters = await ask('/unsafe/x', 'plain', server)
    assert (outcome, server.requests) == (502, 1)
    assert counters['answers_reset'] == 1


@ENDS
@pytest.mark.parametrize('is_chunked', [False, True])
async def test_part_of_a_stream_reaches_the_caller_as_whole(end, is_chunked):
    answer = cutting_server.UNFRAMED + STREAM
    if is_chunked:
        answer = cutting_server.CHUNKED + http1.format_chunk(STREAM)
    outcomes = []
    for _ in range(REPEATS):
        server = make_server(answer, end)
        outcome, counters = await ask('/fixed/x', 'engine', server)
        outcomes.append((outcome, server.requests, counters['answers_reset']))
        assert counters['defects'] == 0
    assert outcomes == [('broken off', 1, 1)] * REPEATS


@pytest.mark.parametrize(
    ('body', 'receive_bytes'),
    [
        (cutting_server.LONG_BODY, cutting_server.RECEIVE_BUFFER_BYTES),
        (cutting_server.BUFFERED_BODY, cutting_server.TINY_BUFFER_BYTES),
    ],
    ids=['being-sent', 'sent'],
)
@pytest.mark.parametrize(
    ('path', 'service', 'part', 'expected'),
    [
        ('/unsafe/x', 'plain', PART, 502),
        ('/fixed/x', 'engine', STREAM, 'broken off'),
    ],
    ids=['booking', 'stream'],
)
async def test_close_before_a_reset_ends_an_answer_as_whole(
    path, service, part, expected, body, receive_bytes
):
    outcomes = []
    for _ in range(REPEATS):
        server = make_server(
            cutting_server.UNFRAMED + part, cutting_server.close_before_reset
        )
        outcome, counters = await ask(
            path, service, server, body, receive_bytes
        )
        outcomes.append((outcome, server.requests, counters['answers_reset']))
        assert counters['defects'] == 0
    assert outcomes == [(expected, 1, 1)] * REPEATS


@ENDS
async def test_stream_is_not_resumed_after_a_reset(end):
    async def resume(exchange):
        last = exchange.received.headers.get(b'last-event-id', b'0')
        await exchange.begin_stream()
        await exchange.send_events(int(last) + 1, EVENTS + 2)
        await exchange.end_stream()

    async with gateway_harness.open_harness() as harness:

        async def add_second():
            harness.add_endpoint('e2', 'engine', resume)
            await harness.until_known('e2')

        server = make_server(
            cutting_server.UNFRAMED + STREAM, end, prepare=add_second
        )
        cutting_server.add_endpoint(harness, 'e1', 'engine', server)
        await harness.until_known('e1')
        answer = await harness.ask(
            '/movable/x',
            b'POST',
            cutting_server.LONG_BODY,
            X_Prefix_Hash=gateway_scripts.PROMPT,
        )
    expected = gateway_scripts.get_events(1, EVENTS + 2)
    assert (answer.status, answer.body) == (200, expected)
    assert server.requests == 1


@ENDS
async def test_safe_request_is_not_sent_again_after_a_reset(end):
    async with gateway_harness.open_harness() as harness:

        async def add_second():
            harness.add_endpoint('p2', 'plain', gateway_scripts.answer_plainly)
            await harness.until_known('p2')

        server = make_server(
            cutting_server.UNFRAMED + PART, end, prepare=add_second
        )
        cutting_server.add_endpoint(harness, 'p1', 'plain', server)
        await harness.until_known('p1')
        answer = await harness.ask(
            '/safe/x', b'POST', cutting_server.LONG_BODY
        )
    assert (answer.status, answer.body) == (200, b'hello')
    assert server.requests == 1


@pytest.mark.parametrize('is_read', [True, False])
async def test_answer_that_ends_by_close_is_not_served(is_read):
    """The server reads the rest of the request before or after it answers."""

    async def serve(listener):
        sock, _ = await listener.accept()
        with sock:
            await cutting_server.read_head(sock)
            left = len(cutting_server.LONG_BODY) if is_read else 0
            while left:
                left -= len(await sock.recv(65_536))
            await http1.send_all(sock, cutting_server.UNFRAMED + PART)
            sock.shutdown(trio.socket.SHUT_WR)
            while await sock.recv(65_536):
                pass

    async with gateway_harness.open_harness() as harness:
        listener = cutting_server.listen()
        harness.nursery.start_soon(serve, listener)
        entry = gateway_harness.make_entry('plain', listener.getsockname())
        harness.store.put('servers/p1', entry)
        await harness.until_known('p1')
        answer = await harness.ask(
            '/unsafe/x', b'POST', cutting_server.LONG_BODY
        )
        assert harness.gw.metrics.counters['answers_reset'] == 0
    assert (answer.status, answer.body) == (200, PART)


async def test_request_that_is_not_taken_has_a_whole_answer():
    """The server has closed, but neither takes the request nor resets."""

    async def serve(listener):
        sock, _ = await listener.accept()
        with sock:
            await cutting_server.read_head(sock)
            await http1.send_all(sock, cutting_server.UNFRAMED + PART)
            sock.shutdown(trio.socket.SHUT_WR)
            await trio.sleep_forever()

    async with gateway_harness.open_harness() as harness:
        listener = cutting_server.listen()
        harness.nursery.start_soon(serve, listener)
        entry = gateway_harness.make_entry('plain', listener.getsockname())
        harness.store.put('servers/p1', entry)
        await harness.until_known('p1')
        answer = await harness.ask(
            '/unsafe/x', b'POST', cutting_server.LONG_BODY
        )
        assert harness.gw.metrics.counters['defects'] == 0
    assert answer.status in (502, 504)


@ENDS
async def test_framed_answer_before_a_reset_is_not_served(end):
    length = b'Content-Length: %d\r\n\r\n' % len(PART)
    server = make_server(cutting_server.SIGNED + length + PART, end)
    outcome, counters = await ask('/unsafe/x', 'plain', server)
    assert (outcome, server.requests) == (200, 1)
    assert counters['attempts_failed'] == 0
