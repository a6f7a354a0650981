"""Clients outside the limits, and the bytes that they make a gateway keep.

Each test checks that the process lives, that its memory and descriptors stay
within its settings, and that an ordinary request is answered.
"""

import functools

import trio

from foxtailpick.gateway import http1
from foxtailpick.tests import crowd_harness

MAX_BODY_BYTES = crowd_harness.LIMITS['max_body_bytes']
MAX_HEADER_BYTES = crowd_harness.LIMITS['max_header_bytes']
PART_BYTES = 65_536
SEND_MS = 8_000.0
ANSWER_MS = 12_000.0
# Statuses that promise that a request has not run and never will.
PROMISES = (408, 421, 429, 503)
CHUNKED = 'Transfer-Encoding: chunked'
LONG_ANSWER_BYTES = 4_194_304
CLOSE_MS = 20_000.0


def format_chunks(chunk_bytes, total_bytes):
    """Return chunks that hold some bytes together."""
    chunk = http1.format_chunk(b'x' * chunk_bytes)
    return chunk * (total_bytes // chunk_bytes)


async def stay(gw, data, receive_bytes=None):
    """Send some bytes and stay until the test ends."""
    with await gw.connect(receive_bytes) as sock:
        await crowd_harness.send_until(sock, [data], SEND_MS)
        await trio.sleep_forever()


async def check_with(gw, crowd):
    """Check a gateway while the clients of a crowd stay connected.

    :param gw: the gateway.
    :param crowd: functions that send all that a client sends, and stay.
    """
    async with trio.open_nursery() as nursery:
        for client in crowd:
            nursery.start_soon(client)
        await wait_until_read(gw)
        await gw.check_afterwards()
        nursery.cancel_scope.cancel()
    await gw.check_afterwards()


async def wait_until_read(gw):
    """Wait until the memory of a gateway has stopped to grow."""
    last_mb, calm = 0.0, 0
    with trio.move_on_after(SEND_MS / 1_000):
        while calm < 10:
            await trio.sleep(0.1)
            calm = calm + 1 if gw.peaks.memory_mb == last_mb else 0
            last_mb = gw.peaks.memory_mb


async def test_header_value_without_end_fills_the_memory(tmp_path):
    """The bytes of an unfinished header were not counted."""
    head = crowd_harness.format_head('endless') + b'X-Endless: '

    async def send(gw):
        with await gw.connect() as sock:
            parts = [head, *([b'v' * PART_BYTES] * 100)]
            await crowd_harness.send_until(sock, parts, SEND_MS)
            await trio.sleep_forever()

    async with crowd_harness.run_gateway(tmp_path) as gw:
        await check_with(gw, [functools.partial(send, gw)] * 30)


async def test_header_name_without_end_fills_the_memory(tmp_path):
    """The bytes of an unfinished header were not counted."""
    head = crowd_harness.format_head('endless')

    async def send(gw):
        with await gw.connect() as sock:
            parts = [head, *([b'n' * PART_BYTES] * 100)]
            await crowd_harness.send_until(sock, parts, SEND_MS)
            await trio.sleep_forever()

    async with crowd_harness.run_gateway(tmp_path) as gw:
        await check_with(gw, [functools.partial(send, gw)] * 30)


async def test_many_short_headers_fill_the_memory(tmp_path):
    """A header costs many times its bytes, and none were counted together."""
    fields = ['nn: vv'] * (MAX_HEADER_BYTES // 8 - 100)
    head = crowd_harness.format_head(
        'headers', fields=[*fields, 'Content-Length: 100']
    )
    async with crowd_harness.run_gateway(tmp_path) as gw:
        client = functools.partial(stay, gw, head + b'\r\n' + b'x' * 50)
        await check_with(gw, [client] * 400)


async def test_empty_lines_without_end_are_read_without_end(tmp_path):
    """Lines before a request were bounded in neither bytes nor time."""
    closed = []

    async def send(gw):
        with await gw.connect() as sock:
            try:
                for _ in range(512):
                    await crowd_harness.send_all(sock, b'\r\n' * 32_768)
            except OSError:
                closed.append(sock)

    async with crowd_harness.run_gateway(tmp_path) as gw:
        async with trio.open_nursery() as nursery:
            for _ in range(20):
                nursery.start_soon(send, gw)
        await gw.check_afterwards()
        assert len(closed) == 20


async def test_empty_lines_keep_an_idle_connection_open(tmp_path):
    """An empty line now and then started the idle timeout anew."""

    async def trickle(sock):
        with trio.move_on_after(CLOSE_MS / 1_000):
            while True:
                await trio.sleep(0.2)
                try:
                    await sock.send(b'\r\n')
                except OSError:
                    return

    limits = {'idle_timeout_ms': 1_000}
    async with crowd_harness.run_gateway(tmp_path, limits=limits) as gw:
        ended = []
        async with trio.open_nursery() as nursery:
            for _ in range(5):
                sock = await gw.connect()
                nursery.start_soon(trickle, sock)
                ended.append(sock)
        await gw.check_afterwards()
        for sock in ended:
            assert await crowd_harness.is_closed(sock)
            sock.close()


async def test_unfinished_bodies_in_large_chunks_fill_the_memory(tmp_path):
    """Nothing bounded what the bodies of all callers hold together."""
    data = crowd_harness.format_head('large', fields=[CHUNKED]) + b'\r\n'
    data += format_chunks(PART_BYTES, MAX_BODY_BYTES - PART_BYTES)
    data += http1.format_chunk(b'x' * (PART_BYTES - 50))
    async with crowd_harness.run_gateway(tmp_path) as gw:
        await check_with(gw, [functools.partial(stay, gw, data)] * 150)


async def test_unfinished_bodies_in_tiny_chunks_fill_the_memory(tmp_path):
    """Each chunk was kept as an object that costs many times its bytes."""
    data = crowd_harness.format_head('tiny', fields=[CHUNKED]) + b'\r\n'
    data += format_chunks(2, 600_000)
    async with crowd_harness.run_gateway(tmp_path) as gw:
        await check_with(gw, [functools.partial(stay, gw, data)] * 12)


async def test_bodies_announced_far_over_the_limit(tmp_path):
    """A body whose length is announced is refused before it is read."""
    fields = ['Content-Length: 100000000000']
    data = crowd_harness.format_head('huge', fields=fields) + b'\r\n'
    data += b'x' * (4 * MAX_BODY_BYTES)
    async with crowd_harness.run_gateway(tmp_path) as gw:
        await check_with(gw, [functools.partial(stay, gw, data)] * 40)


async def test_bodies_sent_on_after_a_refusal_fill_the_memory(tmp_path):
    """What was read of a body was kept after its refusal."""
    data = crowd_harness.format_head('over', fields=[CHUNKED]) + b'\r\n'
    data += format_chunks(PART_BYTES, 4 * MAX_BODY_BYTES)
    async with crowd_harness.run_gateway(tmp_path) as gw:
        await check_with(gw, [functools.partial(stay, gw, data)] * 120)


async def test_long_bodies_within_the_limit_fill_the_memory(tmp_path):
    """Requests inside the limits were kept in up to three copies."""
    ran, statuses = set(), {}
    body = b'x' * MAX_BODY_BYTES

    async def answer(exchange):
        ran.add(exchange.received.id)
        await trio.sleep(0.1)
        await crowd_harness.answer_shortly(exchange)

    async def send(gw, name):
        data = crowd_harness.format_booking(name, body)
        with await gw.connect() as sock:
            async with trio.open_nursery() as nursery:
                # A refusal may come before the end of the request.
                nursery.start_soon(
                    crowd_harness.send_until, sock, [data], ANSWER_MS
                )
                answer = await crowd_harness.hold_open(sock, ANSWER_MS)
                nursery.cancel_scope.cancel()
            statuses[name] = crowd_harness.parse_status(answer)

    async with crowd_harness.run_gateway(tmp_path, script=answer) as gw:
        async with trio.open_nursery() as nursery:
            for number in range(150):
                nursery.start_soon(send, gw, f'long-{number}')
        await gw.check_afterwards()
        check_promises(ran, statuses)
        # In calm, a single request inside the limits is served.
        await send(gw, 'single')
        assert statuses['single'] == 200


async def test_pipelined_long_bodies_fill_the_memory(tmp_path):
    """Requests that were read ahead were kept whole, whatever their size."""

    async def answer(exchange):
        await trio.sleep(0.3)
        await crowd_harness.answer_shortly(exchange)

    data = b''.join(
        crowd_harness.format_head(
            f'pipelined-{number}', fields=[f'Content-Length: {MAX_BODY_BYTES}']
        )
        + b'\r\n'
        + b'x' * MAX_BODY_BYTES
        for number in range(10)
    )
    async with crowd_harness.run_gateway(tmp_path, script=answer) as gw:
        await check_with(gw, [functools.partial(stay, gw, data)] * 20)


async def test_slow_readers_of_long_answers_fill_the_memory(tmp_path):
    """An answer was not counted while it waited for its caller."""
    answer = b'x' * LONG_ANSWER_BYTES

    async def serve(exchange):
        exchange.received.body = b''
        if exchange.received.target.endswith(b'/long'):
            await exchange.answer(body=answer)
        else:
            await exchange.answer()

    async with crowd_harness.run_gateway(tmp_path, script=serve) as gw:
        crowd = [
            functools.partial(
                stay,
                gw,
                crowd_harness.format_head(f'slow-{number}', 'long')
                + b'Content-Length: 0\r\n\r\n',
                4_096,
            )
            for number in range(40)
        ]
        await check_with(gw, crowd)


async def test_several_kinds_at_once_fill_the_memory(tmp_path):
    """A bound on each kind does not bound their sum."""
    endless = crowd_harness.format_head('endless') + b'X-Endless: '
    endless += b'v' * (2 * MAX_BODY_BYTES)
    chunked = crowd_harness.format_head('chunked', fields=[CHUNKED]) + b'\r\n'
    large = chunked + format_chunks(PART_BYTES, MAX_BODY_BYTES - PART_BYTES)
    tiny = chunked + format_chunks(2, 200_000)
    over = chunked + format_chunks(PART_BYTES, 2 * MAX_BODY_BYTES)
    fields = ['nn: vv'] * (MAX_HEADER_BYTES // 8 - 100)
    short = crowd_harness.format_head(
        'headers', fields=[*fields, 'Content-Length: 100']
    )
    lines = b'\r\n' * MAX_BODY_BYTES
    kinds = (
        (endless, 15),
        (large, 60),
        (tiny, 8),
        (over, 30),
        (short + b'\r\n' + b'x' * 50, 100),
        (lines, 10),
    )
    async with crowd_harness.run_gateway(tmp_path) as gw:
        crowd = [
            functools.partial(stay, gw, data)
            for data, count in kinds
            for _ in range(count)
        ]
        await check_with(gw, crowd)


def check_promises(ran, statuses):
    """Check that no request ran whose status promises that it did not."""
    broken = [
        name
        for name, status in statuses.items()
        if status in PROMISES and name in ran
    ]
    assert not broken
