"""Stand-in for a server that ends a connection while it is sent a request."""

import contextlib
import socket
import struct
import typing

import trio

from foxtailpick.gateway import http1
from foxtailpick.tests import gateway_harness

# Much less than `LONG_BODY`, which therefore is still being sent when the
# answer comes.
RECEIVE_BUFFER_BYTES = 32_768
LONG_BODY = b'x' * 4_100_000
# Less than `BUFFERED_BODY`. Even a client that keeps little unsent has sent
# all of that body when the answer comes, though the server has not got it.
TINY_BUFFER_BYTES = 2_048
BUFFERED_BODY = b'x' * 5_500
# Time in which the sender fills the buffers, and then waits.
FILL_S = 0.1
# Time after which a server that has failed gets more of the request.
ROUND_TRIP_S = 0.05
# Limit of a test whose failure is a wait without end.
LIMIT_S = 20.0
# Longer than one read of a gateway with `limit_reads`.
PART_BYTES = 16_384
READ_BYTES = 4_096

SIGNED = b'HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Stamp: s\r\n'
UNFRAMED = SIGNED + b'\r\n'
CHUNKED = SIGNED + b'Transfer-Encoding: chunked\r\n\r\n'

End = typing.Callable[[socket.socket], None]


def limit_reads(monkeypatch: typing.Any) -> None:
    """Let each read of a gateway return a fraction of `PART_BYTES`.

    A task that reads a part then yields before it sees what follows, and a
    blocked send of the same connection fails first.
    """
    monkeypatch.setattr(http1, 'RECEIVE_BYTES', READ_BYTES)


def reset(sock: socket.socket) -> None:
    """Reset a connection."""
    no_linger = struct.pack('ii', 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
    sock.close()


def close(sock: socket.socket) -> None:
    """Close a connection; the kernel resets it if data is left unread."""
    sock.close()


def close_before_reset(sock: socket.socket) -> None:
    """Close a connection, which is reset a round trip later.

    So ends a server that fails when nothing is left unread: the kernel
    closes the connection, and resets it when more of the request arrives.
    """
    sock.shutdown(socket.SHUT_WR)


def listen(
    receive_bytes: int = RECEIVE_BUFFER_BYTES,
) -> trio.socket.SocketType:
    """Open a listening socket with a small receive buffer.

    :param receive_bytes: size of the buffer; the kernel doubles it.
    """
    sock = trio.socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    sock._sock.bind(gateway_harness.ANY_PORT)
    sock.listen(8)
    return sock


class CuttingServer:
    """Answers each request after its head, and ends the connection.

    :param answer: what it sends.
    :param end: ends the connection.
    :param prepare: awaited after the head of a request.
    """

    def __init__(
        self,
        answer: bytes,
        end: End,
        prepare: typing.Callable[[], typing.Awaitable[None]] | None = None,
    ) -> None:
        self._answer = answer
        self._end = end
        self._prepare = prepare
        self.requests = 0

    async def serve(self, listener: trio.socket.SocketType) -> None:
        """Accept connections until cancelled."""
        async with trio.open_nursery() as nursery:
            with listener:
                while True:
                    sock, _ = await listener.accept()
                    nursery.start_soon(self._serve_one, sock)

    async def _serve_one(self, sock: trio.socket.SocketType) -> None:
        with sock:
            if not await read_head(sock):
                return
            self.requests += 1
            if self._prepare is not None:
                await self._prepare()
            await trio.sleep(FILL_S)
            # Without a pause in between, both have arrived when the peer
            # runs again.
            sock._sock.send(self._answer)
            self._end(sock._sock)
            if sock.fileno() >= 0:
                await trio.sleep(ROUND_TRIP_S)
                reset(sock._sock)


async def read_head(sock: trio.socket.SocketType) -> bytes:
    """Read the head of a request, and nothing after it."""
    head = b''
    while not head.endswith(b'\r\n\r\n'):
        data = await sock.recv(1)
        if not data:
            return b''
        head += data
    return head


@contextlib.asynccontextmanager
async def open_server(
    answer: bytes, end: End, receive_bytes: int = RECEIVE_BUFFER_BYTES
) -> typing.AsyncIterator[tuple[CuttingServer, tuple[str, int]]]:
    """Yield a running server and its address."""
    server = CuttingServer(answer, end)
    listener = listen(receive_bytes)
    address = listener.getsockname()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.serve, listener)
        yield server, address
        nursery.cancel_scope.cancel()


def add_endpoint(
    harness: gateway_harness.Harness,
    endpoint: str,
    service: str,
    server: CuttingServer,
    receive_bytes: int = RECEIVE_BUFFER_BYTES,
) -> None:
    """Start a server and register it in the store of a gateway."""
    listener = listen(receive_bytes)
    entry = gateway_harness.make_entry(service, listener.getsockname())
    harness.nursery.start_soon(server.serve, listener)
    harness.store.put(f'servers/{endpoint}', entry)
