"""Reads complete responses from a client connection."""

import math
import typing

import trio

from foxtailpick.core import types
from foxtailpick.gateway import client as client_lib
from foxtailpick.gateway import http1

# Limit of responses that are buffered in memory: those of plain services
# and of the store, whose pages hold 1 MB in base64.
MAX_RESPONSE_BYTES = 8_388_608
# Limit of all responses that are buffered at the same time, well below the
# memory of the smallest machines.
MAX_BUFFERED_BYTES = 67_108_864


class BufferedTotal:
    """Memory used by responses that are being read."""

    def __init__(self) -> None:
        self.used_bytes = 0


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
    return head.status, head, body


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
) -> bytes:
    """Read the body of a response whose head was already read.

    :param conn: the connection.
    :param max_silence_ms: longest time without any data.
    :param total: memory that is shared with other responses, if limited.
    :raises OSError: if it is truncated, malformed or too long.
    :raises trio.TooSlowError: if no data arrives for too long.
    """
    total = total or BufferedTotal()
    parts: list[bytes] = []
    size = 0
    try:
        while True:
            with trio.fail_after(max_silence_ms / types.SECOND_MS):
                event = await conn.next_event()
            if event is client_lib.END:
                return b''.join(parts)
            if not isinstance(event, bytes):
                raise http1.BrokenConnectionError(
                    0, 'expected a body, got a second head'
                )
            if size + len(event) > MAX_RESPONSE_BYTES:
                raise http1.BrokenConnectionError(
                    0, f'body exceeds {MAX_RESPONSE_BYTES} bytes'
                )
            if total.used_bytes + len(event) > MAX_BUFFERED_BYTES:
                raise http1.BrokenConnectionError(
                    0,
                    f'body exceeds the {MAX_BUFFERED_BYTES} bytes of all '
                    f'responses that are being read',
                )
            size += len(event)
            total.used_bytes += len(event)
            parts.append(event)
    finally:
        total.used_bytes -= size
