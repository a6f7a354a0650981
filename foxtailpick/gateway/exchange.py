"""Reads complete responses from a client connection."""

import math
import typing

import trio

from foxtailpick.core.dispatch import request_memory
from foxtailpick.core import types
from foxtailpick.gateway import client as client_lib
from foxtailpick.gateway import http1

# Limit of responses that are buffered in memory: those of plain services
# and of the store, whose pages hold 1 MB in base64.
MAX_RESPONSE_BYTES = 8_388_608
# Limit of all responses that are buffered at the same time, well below the
# memory of the smallest machines.
MAX_BUFFERED_BYTES = 67_108_864


# Share of the free memory that they may take.
BUFFERED_SHARE = 0.25
# Size up to which a response may use all of it, and limit of longer ones.
SHORT_BYTES = 65_536
LONG_SHARE = 0.75


class BufferFullError(OSError):
    """There is no memory for a response beside the others."""


class BufferedTotal:
    """Memory used by responses until their callers have them."""

    def __init__(self) -> None:
        self.used_bytes = 0


class BufferedBody(bytearray):
    """A body that counts towards a total until it is no longer in use.

    The context manager ends the use, and the end of the object does.

    :param total: the memory of all responses.
    """

    def __init__(self, total: BufferedTotal) -> None:
        super().__init__()
        self._total = total
        self._counted_bytes = 0

    def add(self, data: bytes) -> None:
        """Append data."""
        self += data
        self._counted_bytes += len(data)
        self._total.used_bytes += len(data)

    def release(self) -> None:
        """Stop counting it."""
        self._total.used_bytes -= self._counted_bytes
        self._counted_bytes = 0

    def __enter__(self) -> 'BufferedBody':
        return self

    def __exit__(self, *exc_info: typing.Any) -> None:
        self.release()

    def __del__(self) -> None:
        """Stop counting it."""
        self.release()


def compute_max_buffered(memory_mb: float) -> float:
    """Return the limit of all responses that are buffered.

    :param memory_mb: memory of the process.
    """
    free = request_memory.compute_free_bytes(memory_mb)
    return min(
        MAX_BUFFERED_BYTES, max(MAX_RESPONSE_BYTES, free * BUFFERED_SHARE)
    )


async def read_response(
    conn: client_lib.ClientConnection,
) -> tuple[int, client_lib.ResponseHead, bytes]:
    """Read a response with its complete body.

    :param conn: a connection on which a request was sent.
    :returns: its status, its head and its body.
    :raises OSError: if it is truncated, malformed or too long.
    """
    head = await read_head(conn)
    body = await read_body(conn)
    conn.is_clean = conn.is_clean and head.is_reusable
    return head.status, head, bytes(body)


async def read_head(
    conn: client_lib.ClientConnection,
) -> client_lib.ResponseHead:
    """Read the status line and the headers of a response.

    :raises OSError: if the connection is closed or the data is malformed.
    """
    return typing.cast(client_lib.ResponseHead, await conn.next_event())


async def read_body(
    conn: client_lib.ClientConnection,
    max_silence_ms: float = math.inf,
    total: BufferedTotal | None = None,
    max_total_bytes: float = MAX_BUFFERED_BYTES,
) -> BufferedBody:
    """Read the body of a response whose head was already read.

    :param conn: the connection.
    :param max_silence_ms: longest time without any data.
    :param total: memory that is shared with other responses, if limited.
    :param max_total_bytes: its limit.
    :raises OSError: if it is truncated, malformed or too long.
    :raises BufferFullError: if there is no memory left.
    :raises trio.TooSlowError: if no data arrives for too long.
    """
    body = BufferedBody(total or BufferedTotal())
    try:
        await _read_into(body, conn, max_silence_ms, total, max_total_bytes)
    except BaseException:
        # A traceback may keep the object.
        body.release()
        body.clear()
        raise
    return body


async def _read_into(
    body: BufferedBody,
    conn: client_lib.ClientConnection,
    max_silence_ms: float,
    total: BufferedTotal | None,
    max_total_bytes: float,
) -> None:
    while True:
        with trio.fail_after(max_silence_ms / types.SECOND_MS):
            event = await conn.next_event()
        if event is client_lib.END:
            return
        if not isinstance(event, bytes):
            raise http1.BrokenConnectionError(
                0, 'expected a body, got a second head'
            )
        size = len(body) + len(event)
        if size > MAX_RESPONSE_BYTES:
            raise http1.BrokenConnectionError(
                0, f'body exceeds {MAX_RESPONSE_BYTES} bytes'
            )
        if total is not None:
            _check_room(total, size, len(event), max_total_bytes)
        body.add(event)


def _check_room(
    total: BufferedTotal, size: int, extra: int, max_total_bytes: float
) -> None:
    limit = max_total_bytes
    if size > SHORT_BYTES:
        limit = max(LONG_SHARE * limit, min(limit, MAX_RESPONSE_BYTES))
    if total.used_bytes + extra > limit:
        raise BufferFullError(
            f'expected room for a body of {size} bytes, got '
            f'{total.used_bytes} bytes of responses whose callers have not '
            f'read them yet'
        )
