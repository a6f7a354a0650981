"""Tests that crowds of clients leave a router alive and within its bounds."""

import contextlib
import signal

import h2.config
import h2.connection
import pytest
import trio

from foxtailpick.tests import node_crowd_harness as harness

CHAT_PATH = '/v1/chat/completions'
PATCH_PATH = '/v1/config/patches'
CHUNKED = 'Transfer-Encoding: chunked'
# The largest body that a router reads.
BODY_BYTES = 900_000
PIECE = bytes(60_000)
CROWD = 400
CROWD_S = 20.0


@pytest.fixture(autouse=True)
def crowd_lock():
    """Run one test of a crowd at a time."""
    with harness.hold_lock():
        yield


def run_crowd(check, descriptors=harness.DESCRIPTORS):
    """Run a function with a router whose sidecar serves an engine."""

    async def main():
        async with contextlib.AsyncExitStack() as stack:
            platform = await stack.enter_async_context(
                harness.open_platform(descriptors)
            )
            await stack.enter_async_context(platform.open_sidecar())
            router = await stack.enter_async_context(platform.open_router())
            assert await harness.ask(router.port) == 200
            await check(router)

    trio.run(main)


async def check_crowd(router, client, record, count=CROWD):
    """Check the bounds and an ordinary request while a crowd stays."""
    async with harness.open_crowd(client, count):
        router.check_bounds(record)
        assert await harness.ask(router.port) == 200
    router.check_bounds(record)
    assert await harness.ask(router.port) == 200


def make_unfinished_body(path):
    """Yield a chunked body that stops 50 bytes short of the limit."""
    yield harness.format_head(path, CHUNKED)
    left = BODY_BYTES - 50
    while left:
        piece = PIECE[:left]
        yield harness.format_chunk(piece)
        left -= len(piece)


@pytest.mark.parametrize('listener', ['callers', 'operators'])
def test_unfinished_bodies_together_exceed_the_memory(
    listener, record_property
):
    async def check(router):
        port, path = router.port, CHAT_PATH
        if listener == 'operators':
            port, path = router.admin_port, PATCH_PATH

        async def client():
            parts = make_unfinished_body(path)
            return await harness.send_parts(port, parts, CROWD_S)

        await check_crowd(router, client, record_property)

    run_crowd(check)


async def open_streams(port, count, size):
    """Send unfinished bodies on the streams of one HTTP/2 connection."""
    stream = await harness.connect(port)
    conn = h2.connection.H2Connection(h2.config.H2Configuration())
    conn.initiate_connection()
    ids = []
    for _ in range(count):
        ids.append(conn.get_next_available_stream_id())
        conn.send_headers(
            ids[-1],
            [
                (':method', 'POST'),
                (':scheme', 'http'),
                (':authority', harness.LOOPBACK),
                (':path', CHAT_PATH),
                ('authorization', f'Bearer {harness.CREDENTIAL}'),
            ],
        )
    left = dict.fromkeys(ids, size)
    with trio.move_on_after(CROWD_S):
        with contextlib.suppress(trio.BrokenResourceError):
            while any(left.values()):
                for key in ids:
                    window = conn.local_flow_control_window(key)
                    part = min(left[key], window, conn.max_outbound_frame_size)
                    if part:
                        conn.send_data(key, bytes(part))
                        left[key] -= part
                await stream.send_all(conn.data_to_send())
                data = await stream.receive_some(65_536)
                if not data:
                    break
                conn.receive_data(data)
                await stream.send_all(conn.data_to_send())
    return stream


def test_unfinished_bodies_of_http2_streams_exceed_the_memory(
    record_property,
):
    async def check(router):
        async def client():
            with contextlib.suppress(
                trio.BrokenResourceError, h2.exceptions.ProtocolError
            ):
                return await open_streams(router.port, 90, BODY_BYTES - 50)

        await check_crowd(router, client, record_property, 5)

    run_crowd(check)


UNFINISHED = {
    'nothing': b'',
    'head': b'POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n',
    'body': harness.format_head(CHAT_PATH, 'Content-Length: 100') + b'{',
}


@pytest.mark.parametrize('listener', ['callers', 'operators'])
@pytest.mark.parametrize('kind', list(UNFINISHED))
def test_unfinished_requests_take_all_descriptors(
    kind, listener, record_property
):
    async def check(router):
        port = router.port
        if listener == 'operators':
            port = router.admin_port

        async def client():
            return await harness.send_parts(port, [UNFINISHED[kind]], CROWD_S)

        await check_crowd(router, client, record_property)

    run_crowd(check, harness.FEW_DESCRIPTORS)


def repeat_part(part, count):
    """Yield a part many times, joined to pieces of about 64 KB."""
    each = max(65_536 // len(part), 1)
    for _ in range(count // each):
        yield part * each


ENDLESS = {
    'header': lambda: [
        b'GET / HTTP/1.1\r\nX-Long: ',
        *repeat_part(b'a' * 60_000, 400),
    ],
    'headers': lambda: [
        b'GET / HTTP/1.1\r\n',
        *repeat_part(b'X-A: b\r\n', 1_000_000),
    ],
    'target': lambda: [b'GET /', *repeat_part(b'a' * 60_000, 400)],
    'empty-lines': lambda: repeat_part(b'\r\n', 4_000_000),
    'small-chunks': lambda: [
        harness.format_head(CHAT_PATH, CHUNKED),
        *repeat_part(harness.format_chunk(b'{'), 200_000),
    ],
    'chunk-extension': lambda: [
        harness.format_head(CHAT_PATH, CHUNKED),
        b'1;',
        *repeat_part(b'a' * 60_000, 400),
    ],
    'long-body': lambda: [
        harness.format_head(CHAT_PATH, CHUNKED),
        *(harness.format_chunk(PIECE) for _ in range(400)),
    ],
    'announced-body': lambda: [
        harness.format_head(CHAT_PATH, 'Content-Length: 100000000000'),
        *(PIECE for _ in range(400)),
    ],
    'body-of-no-route': lambda: [
        harness.format_head('/none', CHUNKED),
        *(harness.format_chunk(PIECE) for _ in range(400)),
    ],
    'upgrade': lambda: [
        b'GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\n'
        b'Upgrade: websocket\r\nSec-WebSocket-Version: 13\r\n'
        b'Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n',
        harness.format_frame_head(100_000_000_000),
        *(PIECE for _ in range(400)),
    ],
    'pings': lambda: [
        b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n',
        b'\0\0\0\x04\0\0\0\0\0',
        *repeat_part(b'\0\0\x08\x06\0\0\0\0\0' + bytes(8), 400_000),
    ],
    'continuations': lambda: [
        b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n',
        b'\0\0\0\x04\0\0\0\0\0',
        b'\0\0\x01\x01\0\0\0\0\x01\x82',
        *repeat_part(b'\0\0\0\x09\0\0\0\0\x01', 1_000_000),
    ],
}


@pytest.mark.parametrize('kind', list(ENDLESS))
def test_bytes_without_end_exceed_the_memory(kind, record_property):
    async def check(router):
        async def client():
            return await harness.send_parts(router.port, ENDLESS[kind](), 10.0)

        await check_crowd(router, client, record_property, 40)

    run_crowd(check)


def format_http2(path, method='POST', data=b''):
    """Return an HTTP/2 connection with one request that has no credential."""
    conn = h2.connection.H2Connection(
        h2.config.H2Configuration(validate_outbound_headers=False)
    )
    conn.initiate_connection()
    headers = {
        ':method': method,
        ':scheme': 'http',
        ':authority': harness.LOOPBACK,
        ':path': path,
    }
    conn.send_headers(1, list(headers.items()))
    head = conn.data_to_send()
    if data:
        conn.send_data(1, data)
    return head, conn.data_to_send()


def format_upgrade(*more):
    """Return a request to change the protocol."""
    lines = ['GET / HTTP/1.1', 'Host: a', 'Connection: Upgrade', *more]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


MALFORMED = {
    'data-after-the-answer': format_http2(CHAT_PATH, data=b'{}'),
    'path': format_http2('/\xff\xfe'),
    'method': format_http2(CHAT_PATH, 'P\xff'),
    'no-settings': [format_upgrade('Upgrade: h2c')],
    'settings': [format_upgrade('Upgrade: h2c', 'HTTP2-Settings: AAMAAABkA')],
    'no-handshake': [format_upgrade('Upgrade: websocket'), bytes(100)],
    'handshake': [
        format_upgrade(
            'Upgrade: websocket',
            'Sec-WebSocket-Version: 13',
            'Sec-WebSocket-Key: a',
        ),
        bytes(100),
    ],
    'length': [format_upgrade('Content-Length: -1')],
    'nothing': [bytes(100)],
}


@pytest.mark.parametrize('kind', list(MALFORMED))
@pytest.mark.parametrize('listener', ['callers', 'operators'])
def test_malformed_request_ends_the_process(listener, kind, record_property):
    async def check(router):
        port = router.port
        if listener == 'operators':
            port = router.admin_port

        async def client():
            stream = None
            for part in MALFORMED[kind]:
                with contextlib.suppress(trio.BrokenResourceError):
                    stream = stream or await harness.connect(port)
                    await stream.send_all(part)
                # The answer comes before the next part.
                await trio.sleep(1.0)
            return stream

        await check_crowd(router, client, record_property, 2)

    run_crowd(check)


@pytest.mark.parametrize('kind', ['small-chunks', 'pieces'])
def test_refused_bodies_keep_their_connections(kind, record_property):
    """The clients leave as soon as they have sent a body and no credential."""
    head = f'POST {CHAT_PATH} HTTP/1.1\r\nHost: a\r\n{CHUNKED}\r\n\r\n'
    body = {
        'small-chunks': harness.format_chunk(b'{') * 1_000,
        'pieces': harness.format_chunk(PIECE) * 14,
    }[kind]

    async def check(router):
        async def client():
            parts = [head.encode(), body]
            stream = await harness.send_parts(router.port, parts, 5.0)
            if stream is not None:
                await trio.aclose_forcefully(stream)

        for _ in range(40):
            async with harness.open_crowd(client, 10):
                pass
        router.check_bounds(record_property)
        assert await harness.ask(router.port) == 200
        assert router.count_descriptors() < harness.FEW_DESCRIPTORS / 2

    run_crowd(check, harness.FEW_DESCRIPTORS)


@pytest.mark.parametrize('listener', ['callers', 'operators'])
def test_client_that_does_not_read_keeps_the_process(listener):
    async def check(router):
        port = router.port
        if listener == 'operators':
            port = router.admin_port
        parts = [b'GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n' * 100] * 1_000

        async def client():
            return await harness.send_parts(port, parts, 5.0)

        async with harness.open_crowd(client, 4):
            router.process.send_signal(signal.SIGTERM)
            with trio.move_on_after(harness.STOP_TIMEOUT_S):
                while router.process.poll() is None:
                    await trio.sleep(0.1)
            assert router.process.poll() == 0, 'the process does not end'

    run_crowd(check)
