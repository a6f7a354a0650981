"""Bounds the number of connections that clients keep open.

All listeners of a process share one limit, as they share its descriptors.
"""

import contextlib
import math
import resource
import typing

import trio

from foxtailpick.core import clock as clock_lib
from foxtailpick.core import settings

# For the store, the membership list, the endpoint and files.
OTHER_DESCRIPTORS = 64


def bound_connections(
    max_connections: int, max_descriptors: float, reserved: int
) -> int:
    """Return how many connections clients may keep open.

    :param max_connections: the limit of the settings.
    :param max_descriptors: the limit of the process.
    :param reserved: descriptors for links and the rest of the process; at
        most half of them.
    """
    left = max(max_descriptors - reserved, max_descriptors / 2)
    return int(min(max_connections, left))


def read_max_descriptors() -> float:
    """Return the limit of open descriptors of this process."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return math.inf if soft == resource.RLIM_INFINITY else soft


class ClientStream(trio.abc.HalfCloseableStream):
    """A connection of a client.

    :param stream: the connection.
    :param limit: the limit that it counts in.
    :param budget: accounts for what it receives, None for no account.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        limit: 'ConnectionLimit',
        budget: 'ReceiveBudget | None' = None,
    ) -> None:
        self._stream = stream
        self._limit = limit
        self._budget = budget
        self._clock = clock_lib.Clock.from_trio()
        self._opened_ms = self._clock.now()
        self._open_requests = 0
        self._reading_requests = 0
        self._blocked_since_ms: float | None = None

    @property
    def socket(self) -> trio.socket.SocketType:
        """The socket."""
        return self._stream.socket

    @property
    def waiting_since_ms(self) -> float | None:
        """Since when the process waits for the client, None if it works."""
        if self._blocked_since_ms is not None:
            return self._blocked_since_ms
        if self._open_requests > self._reading_requests:
            return None
        return self._opened_ms

    @contextlib.contextmanager
    def open_request(self) -> typing.Iterator[None]:
        """Count a request as work of the process."""
        if not self._open_requests:
            self._opened_ms = self._clock.now()
        self._open_requests += 1
        try:
            yield
        finally:
            self._open_requests -= 1
            self._opened_ms = self._clock.now()

    @contextlib.contextmanager
    def read_request(self) -> typing.Iterator[None]:
        """Count an open request as one whose client has to send more."""
        self._reading_requests += 1
        try:
            yield
        finally:
            self._reading_requests -= 1

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive bytes of the client."""
        data = await self._stream.receive_some(max_bytes)
        if self._budget is not None:
            self._budget.add(self, len(data))
        return data

    def release(self, size: int) -> None:
        """Account for received bytes that have been read.

        :param size: number of bytes.
        """
        if self._budget is not None:
            self._budget.release(self, size)

    async def send_all(self, data: bytes) -> None:
        """Send bytes to the client."""
        self._blocked_since_ms = self._clock.now()
        try:
            await self._stream.send_all(data)
        finally:
            self._blocked_since_ms = None

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until the client may take more bytes."""
        await self._stream.wait_send_all_might_not_block()

    async def send_eof(self) -> None:
        """End what is sent to the client."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Close the connection."""
        self.close()
        await trio.lowlevel.checkpoint()

    def close(self) -> None:
        """Close the connection; its tasks see a closed stream."""
        self._limit.remove(self)
        if self._budget is not None:
            self._budget.remove(self)
        self._stream.socket.close()


class ConnectionLimit:
    """The open connections of a process's clients.

    :param max_connections: the most connections.
    """

    def __init__(self, max_connections: float = math.inf) -> None:
        self._max_connections = max_connections
        self._connections: dict[ClientStream, None] = {}

    @classmethod
    def from_settings(cls, cfg: settings.LimitSettings) -> 'ConnectionLimit':
        """Create the limit of a process.

        :param cfg: its limits.
        """
        return cls(
            bound_connections(
                cfg.max_connections,
                read_max_descriptors(),
                cfg.max_links + OTHER_DESCRIPTORS,
            )
        )

    def add(
        self,
        stream: trio.SocketStream,
        budget: 'ReceiveBudget | None' = None,
    ) -> ClientStream | None:
        """Add a connection; another one may be closed to make room.

        :param stream: the new connection, closed if there is no room.
        :param budget: accounts for what it receives, None for no account.
        """
        conn = ClientStream(stream, self, budget)
        self._connections[conn] = None
        if len(self._connections) > self._max_connections:
            closed = choose_to_close(self._connections) or conn
            closed.close()
            if closed is conn:
                return None
        return conn

    def remove(self, conn: ClientStream) -> None:
        """Remove a connection that is closed."""
        self._connections.pop(conn, None)


class ReceiveBudget:
    """The bytes received on all connections that are not read yet.

    :param limit_bytes: the most bytes.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.held_bytes = 0
        self._limit_bytes = limit_bytes
        self._held_by_conn: dict[ClientStream, int] = {}

    def add(self, conn: ClientStream, size: int) -> None:
        """Account for received bytes.

        If there is no room, the connection that holds most is closed.

        :param conn: the connection.
        :param size: number of bytes.
        """
        held = self._held_by_conn
        held[conn] = held.get(conn, 0) + size
        self.held_bytes += size
        while self.held_bytes > self._limit_bytes:
            max(held, key=held.get).close()

    def release(self, conn: ClientStream, size: int) -> None:
        """Account for bytes that have been read.

        :param conn: the connection.
        :param size: number of bytes.
        """
        held = self._held_by_conn.get(conn, 0)
        released = min(size, held)
        self.held_bytes -= released
        if released < held:
            self._held_by_conn[conn] = held - released
        else:
            self._held_by_conn.pop(conn, None)

    def remove(self, conn: ClientStream) -> None:
        """Forget a connection that is closed."""
        self.held_bytes -= self._held_by_conn.pop(conn, 0)


def choose_to_close(
    conns: typing.Iterable[ClientStream],
) -> ClientStream | None:
    """Choose the connection that is closed to make room for a new one.

    It is the one whose client has kept the process waiting for longest, so
    that clients that open many and send little don't displace a caller that
    sends its request at once.

    :param conns: the open connections, in the order of their opening.
    :returns: None if the process owes an answer on all of them.
    """
    waiting = [conn for conn in conns if conn.waiting_since_ms is not None]
    return min(waiting, key=lambda conn: conn.waiting_since_ms, default=None)


class ClientListener(trio.abc.Listener):
    """Accepts connections of clients within a limit.

    :param listener: the listening socket.
    :param limit: the limit.
    :param budget: accounts for what they receive, None for no account.
    """

    def __init__(
        self,
        listener: trio.SocketListener,
        limit: ConnectionLimit,
        budget: ReceiveBudget | None = None,
    ) -> None:
        self._listener = listener
        self._limit = limit
        self._budget = budget

    @property
    def socket(self) -> trio.socket.SocketType:
        """The listening socket."""
        return self._listener.socket

    async def accept(self) -> ClientStream:
        """Accept a connection."""
        while True:
            stream = await self._listener.accept()
            conn = self._limit.add(stream, self._budget)
            if conn is not None:
                return conn

    async def aclose(self) -> None:
        """Stop listening."""
        await self._listener.aclose()
