"""Cost of frames and links of a node: size, processor time, memory."""

import contextlib
import time
import tracemalloc
import typing

from loguru import logger
import trio
from websockets.trio import server

from foxtailpick.adapters import wire
from foxtailpick.bench import costs
from foxtailpick.bench import tables
from foxtailpick.core import codec
from foxtailpick.core import errors
from foxtailpick.core import messages
from foxtailpick.core import types
from foxtailpick.node import links

LINKS = (16, 32, 64, 128)
TOKENS_PER_FRAME = (1, 4, 16, 64)
CALLS = 2_000
TOKEN_TEXT = ' spruce'

HELLO = messages.Hello(messages.PROTOCOL_VERSION, 'node-1234', 'i' * 16)


def measure() -> list[tables.Table]:
    """Measure frames by number of tokens, and pools by number of links."""
    logger.disable('foxtailpick')
    try:
        return [
            _measure_frames(),
            _measure_control_frames(),
            trio.run(_measure_links),
        ]
    finally:
        logger.enable('foxtailpick')


def _measure_frames() -> tables.Table:
    table = tables.Table(
        'A frame of chunks, processor time',
        ('tokens', 'B', 'encode µs', 'decode µs', 'both, µs a token'),
    )
    for tokens in TOKENS_PER_FRAME:
        data, encode_us, decode_us = _measure_frame(_make_chunks(tokens))
        both_us = (encode_us + decode_us) / tokens
        table.add_row(tokens, len(data), encode_us, decode_us, both_us)
    return table


def _make_chunks(tokens: int) -> messages.Chunks:
    return messages.Chunks(
        attempt='router-1234/incarnation-123456/12345678',
        sequence=123,
        texts=(TOKEN_TEXT,) * tokens,
        checks=(1 << 63,) * tokens,
        load=12_345.5,
    )


def _measure_frame(message: messages.Message) -> tuple[bytes, float, float]:
    frame = messages.Frame(12_345, message)
    data = codec.encode_frame(frame)
    return (
        data,
        costs.time_us(lambda _: codec.encode_frame(frame), CALLS),
        costs.time_us(lambda _: codec.decode_frame(data), CALLS),
    )


def _measure_control_frames() -> tables.Table:
    table = tables.Table(
        'Frames that belong to no request',
        ('frame', 'B', 'encode µs', 'decode µs'),
    )
    for message in (
        HELLO,
        messages.Probe(12_345),
        messages.ProbeReply(12_345),
        messages.StateNotice(types.EndpointState.READY, 12_345.5),
    ):
        data, encode_us, decode_us = _measure_frame(message)
        name = type(message).__name__
        table.add_row(name, len(data), encode_us, decode_us)
    return table


async def _measure_links() -> tables.Table:
    table = tables.Table(
        'Links of a pool over loopback, idle, both ends in one process',
        ('links', 'KB a link, both ends', 'open a link ms, both ends'),
    )
    for count in LINKS:
        table.add_row(count, *await _measure_pool(count))
    return table


async def _measure_pool(count: int) -> tuple[float, float]:
    async with trio.open_nursery() as nursery:
        listeners = [await _open_listener() for _ in range(count)]
        addresses = [_read_address(listener) for listener in listeners]
        await nursery.start(_serve_links, listeners)
        tracemalloc.start()
        async with _make_pool(count) as pool:
            for address in addresses:
                await pool.acquire(address)
            each_kb = costs.read_traced_kb() / count
        tracemalloc.stop()
        start_s = time.process_time()
        async with _make_pool(count) as pool:
            for address in addresses:
                await pool.acquire(address)
            elapsed_ms = (time.process_time() - start_s) * 1_000
        nursery.cancel_scope.cancel()
    return each_kb, elapsed_ms / count


def _make_pool(count: int) -> links.LinkPool:
    return links.LinkPool(HELLO, count, lambda: 1, lambda *_: None)


async def _open_listener() -> trio.SocketListener:
    opened = await trio.open_tcp_listeners(0, host='127.0.0.1')
    return opened[0]


def _read_address(listener: trio.SocketListener) -> str:
    host, port = listener.socket.getsockname()
    return f'{host}:{port}'


async def _serve_links(
    listeners: list[trio.SocketListener],
    task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
) -> None:
    await server.serve(
        _answer_hello,
        None,
        listeners=listeners,
        task_status=task_status,
        **wire.CONNECTION_OPTIONS,
    )


async def _answer_hello(conn: typing.Any) -> None:
    stream = wire.FrameStream(conn, wire.TrafficMeter())
    with contextlib.suppress(errors.LinkError):
        await stream.receive()
        await stream.send(messages.Frame(1, HELLO))
        await stream.receive()
