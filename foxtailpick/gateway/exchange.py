"""Whole responses over a client connection."""

import typing

from foxtailpick.gateway import client as client_lib
from foxtailpick.gateway import http1

# Answers of plain services and of the store are kept in memory up to this
# size; the store's pages hold a megabyte, in base64.
MAX_WHOLE_BYTES = 8_388_608


async def read_whole(
    conn: client_lib.ClientConnection,
) -> tuple[int, client_lib.ResponseHead, bytes]:
    """Read a response with its whole body.

    :param conn: a connection on which a request was sent.
    :returns: its status, its head and its body.
    :raises OSError: if it does not come whole.
    """
    head = typing.cast(client_lib.ResponseHead, await conn.next_event())
    body = await read_body(conn)
    conn.is_clean = conn.is_clean and head.is_reusable
    return head.status, head, body


async def read_body(conn: client_lib.ClientConnection) -> bytes:
    """Read the rest of a body whose head was read.

    :raises OSError: if it does not come whole.
    """
    parts: list[bytes] = []
    size = 0
    while True:
        event = await conn.next_event()
        if event is client_lib.END:
            return b''.join(parts)
        if not isinstance(event, bytes):
            raise http1.BrokenConnectionError(0, 'two heads in a response')
        size += len(event)
        if size > MAX_WHOLE_BYTES:
            raise http1.BrokenConnectionError(0, 'the body is too long')
        parts.append(event)
