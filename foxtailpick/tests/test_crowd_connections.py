"""Clients outside the limits: connections, descriptors, time, kept state.

Each test runs a gateway process whose settings name low limits.
"""

import contextlib
import os
import socket

import cbor2
import pytest
import trio

from foxtailpick.core.dispatch import crash_records
from foxtailpick.core.dispatch import stream_origins
from foxtailpick.gateway import http1
from foxtailpick.gateway import peers
from foxtailpick.platform import dialect
from foxtailpick.platform import items
from foxtailpick.tests import crowd_harness

# Of these, the pages reserve 200 for files; sockets and pipes have the rest.
MAX_FDS = 400
RESERVED_FDS = 200
CROWD = 500
# Ordinary callers that keep their connections meanwhile.
KEPT = 40
# Until a connection that should be closed counts as held for good.
LIMIT_S = 20.0
# What the crowd has sent is read in this time; the bounds don't depend on it.
HOLD_S = 2.0
BODY_BYTES = 1_000_000
LONG_BODIES = 150
# A small receive buffer, so that an answer fills the gateway's send buffer.
RECEIVE_BYTES = 2_048
SHORT_ANSWER = b'x' * 200_000
LONG_ANSWER = b'x' * 600_000
LONG_HEADER_LIMITS = {'max_header_bytes': 65_536}
LONG_VALUE_BYTES = 60_000
# Limits of the pages.
MACHINE_MEMORY_BYTES = 300_000_000
STORE_VALUE_BYTES = 1_048_576

PLAIN_HEAD = b'GET /foxtailpick/readyz HTTP/1.1\r\nHost: x\r\n'
PARTS = {
    'nothing': b'',
    'head': crowd_harness.format_head('a1')[:-2],
    'body': crowd_harness.format_head('a1', fields=['Content-Length: 100'])
    + b'\r\n'
    + b'x' * 50,
}


async def count_sockets(gw, peak):
    """Note the largest number of sockets and pipes until cancelled."""
    while True:
        used = 0
        with contextlib.suppress(OSError):
            for entry in os.scandir(f'/proc/{gw.process.pid}/fd'):
                with contextlib.suppress(OSError):
                    kind = os.readlink(entry.path)
                    used += kind.startswith(('socket:', 'pipe:'))
        peak.append(max(used, *peak[-1:], 0))
        await trio.sleep(crowd_harness.SAMPLE_INTERVAL_MS / 1_000)


@contextlib.asynccontextmanager
async def check_sockets(gw):
    """Check that sockets and pipes stay within their part of the limit."""
    peak = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(count_sockets, gw, peak)
        yield
        nursery.cancel_scope.cancel()
    usable = gw.max_fds - RESERVED_FDS
    assert peak[-1] <= usable, f'{peak[-1]} sockets and pipes of {usable}'


async def connect(port, receive_bytes=None):
    """Return a connection, None if it was refused."""
    sock = trio.socket.socket()
    if receive_bytes is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    try:
        await sock.connect((crowd_harness.LOCALHOST, port))
    except OSError:
        sock.close()
        return None
    return sock


@contextlib.asynccontextmanager
async def open_crowd(port, count, data, receive_bytes=None):
    """Open connections that send something and stay open."""
    socks = []
    async with trio.open_nursery() as nursery:
        for number in range(count):
            sock = await connect(port, receive_bytes)
            if sock is None:
                continue
            socks.append(sock)
            part = data(number) if callable(data) else data
            nursery.start_soon(crowd_harness.send_until, sock, [part], 5_000.0)
    try:
        yield socks
    finally:
        for sock in socks:
            sock.close()


async def read_answer(sock):
    """Return the status of an answer on a connection that is kept."""
    answer = b''
    with trio.move_on_after(LIMIT_S), contextlib.suppress(OSError):
        while b'\r\n\r\n' not in answer:
            part = await sock.recv(http1.RECEIVE_BYTES)
            if not part:
                break
            answer += part
    return crowd_harness.parse_status(answer)


async def ask_once(port, head):
    """Return the status of an answer to a request on a new connection."""
    sock = await connect(port)
    if sock is None:
        return 0
    with sock:
        with contextlib.suppress(OSError):
            await sock.send(head + b'\r\n')
        return await read_answer(sock)


async def ask_until_answered(port, head):
    """Return the last status to a caller that comes back when refused."""
    status = 0
    for _ in range(crowd_harness.MAX_ASKS):
        status = await ask_once(port, head)
        if status == 200:
            break
        await trio.sleep(crowd_harness.DEFAULT_RETRY_MS / 1_000)
    return status


@pytest.mark.parametrize('kind', sorted(PARTS))
async def test_more_connections_than_descriptors(tmp_path, kind):
    """None of them is idle, or has ever sent anything."""
    async with crowd_harness.run_gateway(tmp_path, max_fds=MAX_FDS) as gw:
        async with check_sockets(gw):
            async with open_crowd(gw.port, CROWD, PARTS[kind]):
                await trio.sleep(HOLD_S)
                await gw.check_afterwards()


@pytest.mark.parametrize(
    'answer', [SHORT_ANSWER, LONG_ANSWER], ids=['short', 'long']
)
async def test_more_slow_readers_than_descriptors(tmp_path, answer):
    """Their requests are complete, and they read nothing of the answers."""

    async def respond(exchange):
        is_slow = exchange.received.target.endswith(b'/slow')
        exchange.received.body = b''
        await exchange.answer(body=answer if is_slow else b'body')

    def make_request(number):
        return (
            crowd_harness.format_head(
                f's{number}', 'slow', ['Content-Length: 4']
            )
            + b'\r\nbody'
        )

    async with crowd_harness.run_gateway(
        tmp_path, max_fds=MAX_FDS, script=respond
    ) as gw:
        async with check_sockets(gw):
            async with open_crowd(gw.port, CROWD, make_request, RECEIVE_BYTES):
                await gw.check_afterwards()


@pytest.mark.parametrize('listener', ['readiness', 'metrics'])
@pytest.mark.parametrize('kind', ['nothing', 'head', 'body'])
async def test_crowd_at_another_listener_takes_nothing_from_callers(
    tmp_path, listener, kind
):
    """Connections of callers stay open, and every listener answers."""
    data = {
        'nothing': b'',
        'head': PLAIN_HEAD[:-2],
        'body': PLAIN_HEAD + b'Content-Length: 100\r\n\r\nx',
    }[kind]
    booking = crowd_harness.format_head('k', fields=['Content-Length: 0'])
    async with crowd_harness.run_gateway(tmp_path, max_fds=MAX_FDS) as gw:
        ports = {
            'readiness': gw.readiness_port,
            'metrics': gw.metrics_port,
        }
        async with (
            check_sockets(gw),
            open_crowd(gw.port, KEPT, booking + b'\r\n') as kept,
        ):
            before = [await read_answer(sock) for sock in kept]
            async with open_crowd(ports[listener], CROWD, data):
                await gw.check_afterwards()
                for sock in kept:
                    with contextlib.suppress(OSError):
                        await sock.send(booking + b'\r\n')
                after = [await read_answer(sock) for sock in kept]
                others = [
                    await ask_until_answered(port, PLAIN_HEAD)
                    for port in ports.values()
                ]
    assert before == [200] * KEPT
    assert after == [200] * KEPT
    assert others == [200, 200]


@pytest.mark.parametrize('listener', ['readiness', 'metrics'])
@pytest.mark.parametrize('kind', ['heads', 'bodies'])
async def test_long_requests_at_another_listener(tmp_path, listener, kind):
    """They stop just short of their end, and stay open."""
    line = b'X-Long: ' + b'x' * 990 + b'\r\n'
    data = {
        'heads': PLAIN_HEAD + line * (BODY_BYTES // len(line)),
        'bodies': PLAIN_HEAD
        + b'Content-Length: %d\r\n\r\n' % (BODY_BYTES + 1)
        + b'x' * BODY_BYTES,
    }[kind]
    limits = {'max_header_bytes': 1_048_576}
    async with crowd_harness.run_gateway(tmp_path, limits=limits) as gw:
        port = gw.readiness_port
        if listener == 'metrics':
            port = gw.metrics_port
        async with open_crowd(port, LONG_BODIES, data):
            await trio.sleep(HOLD_S)
            await gw.check_afterwards()
            assert await ask_until_answered(port, PLAIN_HEAD) == 200


async def test_body_that_trickles_holds_its_place_for_a_bounded_time(
    tmp_path,
):
    """The bytes go on long after the longest timeout of a route."""
    head = crowd_harness.format_head('t', fields=['Content-Length: 100000'])
    ended = []

    async def trickle(sock):
        with contextlib.suppress(OSError):
            while True:
                await sock.send(b'x')
                await trio.sleep(0.05)

    async def read_to_end(sock):
        await crowd_harness.hold_open(sock, 2 * LIMIT_S * 1_000)
        ended.append(sock)

    async with crowd_harness.run_gateway(tmp_path) as gw:
        async with open_crowd(gw.port, 20, head + b'\r\n') as socks:
            with trio.move_on_after(LIMIT_S):
                async with trio.open_nursery() as nursery:
                    for sock in socks:
                        nursery.start_soon(trickle, sock)
                        nursery.start_soon(read_to_end, sock)
                    while len(ended) < len(socks):
                        await trio.sleep(0.05)
                    nursery.cancel_scope.cancel()
            await gw.check_afterwards()
    assert len(ended) == len(socks)


async def test_requests_without_an_id_leave_no_connections_open(tmp_path):
    """An endpoint has no more than the connections that it accepts."""
    most = 8
    seen = {}
    peaks = {}

    def is_open(sock):
        if sock.fileno() < 0:
            return False
        try:
            return bool(
                sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            )
        except BlockingIOError:
            return True
        except OSError:
            return False

    async def count_connections(exchange):
        address = exchange.sock.getsockname()
        socks = seen.setdefault(address, set())
        socks.add(exchange.sock)
        seen[address] = {sock for sock in socks if is_open(sock)}
        peaks[address] = max(peaks.get(address, 0), len(seen[address]))
        exchange.received.body = b''
        await trio.sleep(0.002)
        await exchange.answer()

    booking = crowd_harness.format_head(None, fields=['Content-Length: 2'])
    async with crowd_harness.run_gateway(
        tmp_path, script=count_connections, max_connections=most
    ) as gw:
        async with open_crowd(gw.port, 30, (booking + b'\r\nok') * 60) as all_:
            async with trio.open_nursery() as nursery:
                for sock in all_:
                    nursery.start_soon(crowd_harness.hold_open, sock, 5_000.0)
            await gw.check_afterwards()
    assert max(peaks.values()) <= most, peaks


async def send_in_turn(gw, make_request, count):
    """Send requests over a few connections, and read their answers."""

    async def send_some(numbers):
        for number in numbers:
            sock = await connect(gw.port)
            if sock is None:
                continue
            with sock, contextlib.suppress(OSError):
                await crowd_harness.send_until(
                    sock, [make_request(number)], 5_000.0
                )
                await read_answer(sock)

    async with trio.open_nursery() as nursery:
        for first in range(8):
            nursery.start_soon(send_some, range(first, count, 8))


def make_long(number):
    """Return a long value that no other request has."""
    return f'{number:08d}'.ljust(LONG_VALUE_BYTES, 'x')


async def test_long_prompt_parts_are_not_kept_whole(tmp_path):
    def make_request(number):
        fields = [
            'Content-Length: 2',
            f'X-Prefix-Hash: {make_long(number)}:10,b:2',
        ]
        head = crowd_harness.format_head(f'p{number}', fields=fields)
        return head + b'\r\nok'

    async with crowd_harness.run_gateway(
        tmp_path, limits=LONG_HEADER_LIMITS
    ) as gw:
        await send_in_turn(gw, make_request, 2_000)
        await gw.check_afterwards()


async def test_other_long_values_are_not_kept(tmp_path):
    names = ['X-Attempt-Id', 'X-Key', 'Last-Event-Id', 'Host', 'Resumes']

    def make_request(number):
        name = names[number % len(names)]
        field = f'{name}: {make_long(number)}'
        fields = ['Content-Length: 2']
        if name != 'Host':
            fields.append(field)
        head = crowd_harness.format_head(None, fields=fields)
        if name == 'Host':
            usual = f'Host: {crowd_harness.HOST}'
            head = head.replace(usual.encode(), field.encode())
        return head + b'\r\nok'

    async with crowd_harness.run_gateway(
        tmp_path, limits=LONG_HEADER_LIMITS
    ) as gw:
        await send_in_turn(gw, make_request, 2_000)
        await gw.check_afterwards()


@pytest.mark.parametrize('kind', ['long-names', 'many-names'])
async def test_datagrams_of_unknown_senders_are_not_kept(tmp_path, kind):
    """They have the form of a router's report."""

    def make_datagram(number):
        if kind == 'long-names':
            return cbor2.dumps([2, make_long(number), 1, {}, {}])
        counts = {make_long(number): 1}
        return cbor2.dumps([2, f'router-{number}', 1, counts, {}])

    async with crowd_harness.run_gateway(tmp_path) as gw:
        with trio.socket.socket(type=socket.SOCK_DGRAM) as sock:
            # The second of the internal ports, before that of the metrics.
            address = (crowd_harness.LOCALHOST, gw.metrics_port - 1)
            for number in range(4_000):
                with contextlib.suppress(OSError):
                    await sock.sendto(make_datagram(number), address)
                await trio.sleep(0.002)
        await gw.check_afterwards()


def test_report_on_long_prompt_parts_fits_a_datagram():
    records = crash_records.CrashRecords()
    for number in range(100):
        value = f'{make_long(number)}:10,b:2'.encode()
        meta = dialect.decode_request([(b'x-prefix-hash', value)])
        records.record_end(
            [part.id for part in meta.parts[:-1]], 'e1', 1_000.0, 1_000.0
        )
    report = records.make_report(1_000.0)
    data = cbor2.dumps([5, 'router-1', 1, report])
    assert len(data) <= peers.MAX_DATAGRAM_BYTES


def record_long_streams(count):
    """Return the origins of streams whose attempts have long ids."""
    streams = stream_origins.StreamOrigins()
    origin = stream_origins.Origin('engine', 'v1')
    for number in range(count):
        streams.record(make_long(number), origin, 60_000.0, 0.0)
    return streams


def test_long_ids_of_streams_fit_the_memory():
    count = 100
    streams = record_long_streams(count)
    begun = streams.take_unwritten({'engine'}, count)
    kept = sum(map(len, begun['engine']['v1']))
    assert kept / count * stream_origins.MAX_STREAMS < MACHINE_MEMORY_BYTES
    assert streams.find(make_long(0)) is not None
    assert streams.find(make_long(count)) is None


def test_long_ids_of_streams_fit_an_item_of_the_store():
    most = stream_origins.MAX_PART_STREAMS
    begun = record_long_streams(most).take_unwritten({'engine'}, most)
    put = items.LAYOUT.encode_begun('router-1', '1', begun, 1)
    assert len(put.value) <= STORE_VALUE_BYTES
