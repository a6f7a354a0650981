"""Tests of the adapters' answers whose connection is reset.

The library of the adapters passes over a failed send and reads on.
"""

import functools
import json

import httpcore
import pytest
import trio
from websockets.trio import server as ws_server

from foxtailpick.adapters import base
from foxtailpick.adapters import engine as engine_adapter
from foxtailpick.adapters import etcd
from foxtailpick.adapters import http_connections
from foxtailpick.adapters import membership as membership_adapter
from foxtailpick.adapters import service as service_adapter
from foxtailpick import cli
from foxtailpick.core import codec
from foxtailpick.core import errors
from foxtailpick.core import messages
from foxtailpick.core import verdict
from foxtailpick.node import links
from foxtailpick.platform import store as platform_store
from foxtailpick.tests import cutting_server

# An answer to any JSON call, as far as it got.
PART = json.dumps(
    {
        'header': {'revision': '7'},
        'succeeded': True,
        'kvs': [],
        'cancelled': True,
        'running': 0,
        'cached_tokens': 0,
        'age_ms': 0,
        'events': [],
        'members': [],
        'items': [],
        'revision': 7,
        'current_rev': 7,
        'key': 'k',
        'value': '',
        'lease': 0,
        'ID': '7',
        'result': {'TTL': '7'},
    }
).encode()
TOKEN = b'data: {"choices": [{"delta": {"content": "a"}}]}\n\n'
TIMEOUT_MS = 1_000.0
# More than the peer of a link reads ahead.
LONG_FRAMES = 40
LONG_MESSAGE = messages.ChunkOffer(
    0, cutting_server.LONG_BODY[: messages.MAX_FRAME_BYTES // 2]
)

ENDS = pytest.mark.parametrize(
    'end', [cutting_server.reset, cutting_server.close]
)


def make_text():
    """Return a text that is as long as the body of a long request."""
    return cutting_server.LONG_BODY.decode()


async def call_service(url):
    async with service_adapter.HttpService.from_url(url) as adapter:
        return await adapter.call('POST', '/', cutting_server.LONG_BODY, {})


async def stream_engine(url):
    chat = (base.ChatMessage('user', make_text()),)
    call = base.ChatCall('r1', 'malli', chat, 5)
    async with engine_adapter.HttpEngine.from_url(url) as adapter:
        async with adapter.stream_chat(call) as chunks:
            return [chunk async for chunk in chunks]


async def cancel_at_engine(url):
    async with engine_adapter.HttpEngine.from_url(url) as adapter:
        return await adapter.cancel(make_text())


async def order_engine(url):
    order = base.Order(base.OrderKind.LOAD_MODEL, make_text(), 1)
    async with engine_adapter.HttpEngine.from_url(url) as adapter:
        return await adapter.send_order(order)


async def read_load(url):
    async with engine_adapter.HttpEngine.from_url(url) as adapter:
        return await adapter.read_load()


async def read_cache_events(url):
    async with engine_adapter.HttpEngine.from_url(url) as adapter:
        return await adapter.read_cache_events(0)


async def list_members(url):
    adapter = membership_adapter.HttpMembershipList.from_url(url)
    async with adapter:
        return await adapter.list_members()


async def get_from_etcd(url):
    async with etcd.EtcdKeyValue((url,), 5_000.0) as store:
        return await store.get(make_text())


async def list_in_etcd(url):
    async with etcd.EtcdKeyValue((url,), 5_000.0) as store:
        return await store.get_prefix(make_text())


async def write_to_etcd(url):
    put = base.Put('k', cutting_server.LONG_BODY)
    async with etcd.EtcdKeyValue((url,), 5_000.0) as store:
        return await store.transact([], [put])


async def renew_in_etcd(url):
    async with etcd.EtcdKeyValue((url,), 5_000.0) as store:
        return await store.renew_lease(make_text())


async def watch_etcd(url):
    async with etcd.EtcdKeyValue((url,), 5_000.0) as store:
        async with store.watch(make_text(), 7) as changes:
            return [change async for change in changes]


async def read_platform_store(url):
    host, _, port = url.removeprefix('http://').partition(':')
    with platform_store.PlatformStore((host, int(port))) as store:
        return await store.get('k')


async def write_to_platform_store(url):
    host, _, port = url.removeprefix('http://').partition(':')
    put = base.Put('k', cutting_server.LONG_BODY)
    with platform_store.PlatformStore((host, int(port))) as store:
        return await store.transact([], [put])


PLATFORM_CALLS = (read_platform_store, write_to_platform_store)


async def call(
    function, answer, end, receive_bytes=cutting_server.RECEIVE_BUFFER_BYTES
):
    """Call a server that cuts; return the error, and the requests it got."""
    began = http_connections.COUNTERS.answers_reset
    async with cutting_server.open_server(answer, end, receive_bytes) as (
        server,
        address,
    ):
        with pytest.raises(errors.FoxtailError) as caught:
            await function(f'http://{address[0]}:{address[1]}')
    if function not in PLATFORM_CALLS:
        assert http_connections.COUNTERS.answers_reset == began + 1
    return caught.value, server.requests


@ENDS
@pytest.mark.parametrize(
    'function',
    [
        call_service,
        cancel_at_engine,
        order_engine,
        write_to_etcd,
        renew_in_etcd,
        write_to_platform_store,
    ],
)
async def test_part_of_an_answer_is_taken_for_whole(function, end):
    answer = cutting_server.UNFRAMED + PART
    exc, requests = await call(function, answer, end)
    assert exc.verdict is verdict.Verdict.MAY_HAVE_RUN
    assert requests == 1


@ENDS
@pytest.mark.parametrize('function', [get_from_etcd, list_in_etcd, watch_etcd])
async def test_part_of_what_is_read_is_taken_for_whole(function, end):
    answer = cutting_server.UNFRAMED + PART
    _, requests = await call(function, answer, end)
    assert requests == 1


@pytest.mark.parametrize(
    'function',
    [
        call_service,
        cancel_at_engine,
        order_engine,
        write_to_etcd,
        renew_in_etcd,
        get_from_etcd,
        list_in_etcd,
        watch_etcd,
        write_to_platform_store,
    ],
)
async def test_close_before_a_reset_ends_an_answer_as_whole(
    function, monkeypatch
):
    """The whole request has been sent, but the server has not got it."""
    monkeypatch.setattr(
        cutting_server, 'LONG_BODY', cutting_server.BUFFERED_BODY
    )
    answer = cutting_server.UNFRAMED + PART
    _, requests = await call(
        function,
        answer,
        cutting_server.close_before_reset,
        cutting_server.TINY_BUFFER_BYTES,
    )
    assert requests == 1


@pytest.mark.parametrize(
    'function',
    [read_load, read_cache_events, list_members, read_platform_store],
)
async def test_part_of_an_answer_to_a_short_call_is_taken_for_whole(function):
    answer = cutting_server.UNFRAMED + PART
    _, requests = await call(function, answer, cutting_server.reset)
    assert requests == 1


@ENDS
async def test_part_of_an_engine_stream_is_taken_for_whole(end):
    answer = cutting_server.UNFRAMED + TOKEN
    exc, _ = await call(stream_engine, answer, end)
    assert exc.verdict is verdict.Verdict.MAY_HAVE_RUN


@ENDS
async def test_part_of_an_error_of_an_engine_says_that_it_has_not_run(end):
    answer = cutting_server.UNFRAMED.replace(b'200', b'503') + PART
    exc, _ = await call(stream_engine, answer, end)
    assert exc.verdict is verdict.Verdict.MAY_HAVE_RUN


@ENDS
async def test_part_of_the_reply_to_a_patch_is_printed(end, tmp_path, capsys):
    file = tmp_path / 'patch.ini'
    file.write_bytes(cutting_server.LONG_BODY)
    answer = cutting_server.UNFRAMED + PART
    async with cutting_server.open_server(answer, end) as (_, address):
        patch = functools.partial(
            cli.patch,
            file,
            base=1,
            author='a',
            reason='r',
            id='p1',
            url=f'http://{address[0]}:{address[1]}',
        )
        with pytest.raises(httpcore.ReadError):
            await trio.to_thread.run_sync(patch)
    assert capsys.readouterr().out == 'patch id p1\n'


@pytest.mark.parametrize('is_framed', [True, False])
async def test_sound_answer_to_a_long_call_is_not_served(is_framed):
    """The server ends an answer without a length by a close in order."""
    head = cutting_server.UNFRAMED
    if is_framed:
        length = b'Content-Length: %d\r\n\r\n' % len(PART)
        head = cutting_server.SIGNED + length

    async def serve(listener):
        sock, _ = await listener.accept()
        with sock:
            left = len(cutting_server.LONG_BODY)
            await cutting_server.read_head(sock)
            while left:
                left -= len(await sock.recv(65_536))
            await sock.send(head + PART)
            if is_framed:
                cutting_server.reset(sock._sock)

    async with trio.open_nursery() as nursery:
        listener = cutting_server.listen()
        host, port = listener.getsockname()
        nursery.start_soon(serve, listener)
        answer = await call_service(f'http://{host}:{port}')
        listener.close()
    assert (answer.status, answer.body) == (200, PART)


async def test_answer_that_ends_by_close_is_not_served():
    """The server takes the rest of the request after its answer."""

    async def serve(listener):
        sock, _ = await listener.accept()
        with sock:
            await cutting_server.read_head(sock)
            await sock.send(cutting_server.UNFRAMED + PART)
            sock.shutdown(trio.socket.SHUT_WR)
            await trio.sleep(cutting_server.ROUND_TRIP_S)
            while await sock.recv(65_536):
                pass

    began = http_connections.COUNTERS.answers_reset
    async with trio.open_nursery() as nursery:
        listener = cutting_server.listen()
        host, port = listener.getsockname()
        nursery.start_soon(serve, listener)
        answer = await call_service(f'http://{host}:{port}')
        listener.close()
    assert (answer.status, answer.body) == (200, PART)
    assert http_connections.COUNTERS.answers_reset == began


async def test_server_that_takes_no_more_is_waited_for_without_end():
    """It has closed, but neither takes the request nor resets."""

    async def serve(listener):
        sock, _ = await listener.accept()
        with sock:
            await cutting_server.read_head(sock)
            await sock.send(cutting_server.UNFRAMED + PART)
            sock.shutdown(trio.socket.SHUT_WR)
            await trio.sleep_forever()

    key = cutting_server.BUFFERED_BODY.decode()
    async with trio.open_nursery() as nursery:
        listener = cutting_server.listen(cutting_server.TINY_BUFFER_BYTES)
        host, port = listener.getsockname()
        nursery.start_soon(serve, listener)
        store = etcd.EtcdKeyValue((f'http://{host}:{port}',), TIMEOUT_MS)
        with trio.fail_after(cutting_server.LIMIT_S):
            async with store:
                with pytest.raises(errors.FoxtailError) as caught:
                    await store.transact([], [base.Put(key, b'')])
        nursery.cancel_scope.cancel()
    assert caught.value.verdict is verdict.Verdict.MAY_HAVE_RUN


@ENDS
async def test_part_of_a_frame_reaches_a_router(end):
    """A send of the link fails, and its reader has got a part of a frame."""
    hello = messages.Hello(messages.PROTOCOL_VERSION, 's1', 'i1')
    probe = messages.Frame(0, messages.Probe(7))
    received = []

    async def serve(conn):
        await conn.recv()
        await conn.send(codec.encode_frame(messages.Frame(0, hello)))
        await trio.sleep(cutting_server.FILL_S)
        frame = codec.encode_frame(probe)
        sock = conn.stream.socket._sock
        # The first frame is whole, the second one isn't.
        sock.send(bytes([0x82, len(frame)]) + frame)
        sock.send(bytes([0x82, len(frame)]) + frame[:-1])
        end(sock)

    async with trio.open_nursery() as nursery:
        listener = trio.SocketListener(cutting_server.listen())
        port = listener.socket.getsockname()[1]
        nursery.start_soon(
            functools.partial(ws_server.serve, serve, listeners=[listener])
        )
        pool = links.LinkPool(
            hello, 1, lambda: 0, lambda _, frame: received.append(frame)
        )
        async with pool:
            link = await pool.acquire(f'127.0.0.1:{port}')
            with link.subscribe('a1') as inbox:
                for _ in range(LONG_FRAMES):
                    link.send_soon(LONG_MESSAGE)
                with pytest.raises(trio.EndOfChannel):
                    await inbox.receive()
        nursery.cancel_scope.cancel()
    # The whole frame may have been dropped with the link.
    assert [frame.message for frame in received[:1]] == [hello]
    assert received[1:] in ([], [probe])
