"""A connection to an HTTP/1.1 server, one request at a time."""

import collections
import contextlib
import dataclasses
import errno
import socket
import typing

import httptools
import trio

from foxtailpick.core.dispatch import model
from foxtailpick.gateway import http1

# A dead peer is noticed by the kernel after this time; our own time limits
# are shorter, so it only ends connections that nobody waits for.
USER_TIMEOUT_MS = 5_000
_NO_BODY = frozenset((204, 304))


@dataclasses.dataclass(slots=True)
class ResponseHead:
    """Status line and headers of a response.

    :param status: its status.
    :param headers: names in lower case, with their values.
    :param is_reusable: whether the connection may serve another exchange.
    :param ends_with_connection: whether the body has no stated end.
    """

    status: int
    headers: list[model.RawHeader]
    is_reusable: bool
    ends_with_connection: bool


class _End(typing.NamedTuple):
    """The end of a response's body."""


END = _End()
Event = ResponseHead | bytes | _End


class ClientConnection:
    """A connection to a server that answers one request at a time.

    :param sock: the connected socket.
    """

    def __init__(self, sock: trio.socket.SocketType) -> None:
        self._sock = sock
        self._parser = httptools.HttpResponseParser(self)
        self._events: collections.deque[Event] = collections.deque()
        self._headers: list[model.RawHeader] = []
        self._until_close = False
        self._is_in_message = False
        self._is_aborted = False
        self.is_clean = True
        self.idle_since_ms = 0.0
        self.keep_alive_ms: float | None = None

    @classmethod
    async def connect(cls, address: model.Address) -> 'ClientConnection':
        """Open a connection.

        :param address: IP number and port.
        :raises OSError: if it cannot be opened.
        """
        sock = trio.socket.socket()
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
            )
            await sock.connect(address)
        except BaseException:
            sock.close()
            raise
        return cls(sock)

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()

    def abort(self) -> None:
        """Let whoever reads see the connection broken.

        Unlike a cancellation, this ends the wait for the peer and nothing
        else that the reading task does.
        """
        self._is_aborted = True
        self.is_clean = False
        with contextlib.suppress(OSError):
            # A connection that the peer has reset needs no shutdown.
            self._sock.shutdown(socket.SHUT_RDWR)

    def is_alive(self) -> bool:
        """Tell whether an idle connection is open and has nothing unread."""
        if not self.is_clean or self._events:
            return False
        try:
            self._sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    async def send(self, data: bytes) -> None:
        """Send bytes.

        :raises http1.BrokenConnectionError: if the peer is gone.
        """
        await http1.send_all(self._sock, data)

    async def next_event(self) -> Event:
        """Return the next part of the response.

        :raises http1.BrokenConnectionError: if it ends early or is no HTTP.
        """
        while not self._events:
            data = await http1.receive(self._sock)
            if not data:
                self._on_eof()
                continue
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserError as exc:
                self.is_clean = False
                if not self._events:
                    raise http1.BrokenConnectionError(
                        errno.EPROTO, f'no HTTP response: {exc}'
                    ) from exc
        return self._events.popleft()

    def has_events(self) -> bool:
        """Tell whether a part of the response is at hand already."""
        return bool(self._events)

    # The names of these methods are httptools'.
    def on_message_begin(self) -> None:
        """Start a response."""
        self._headers = []
        self._is_in_message = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Take in the end of the headers."""
        status = self._parser.get_status_code()
        if status < 200:
            return
        names = {name for name, _ in self._headers}
        self._until_close = (
            b'content-length' not in names
            and b'transfer-encoding' not in names
            and status not in _NO_BODY
        )
        self._events.append(
            ResponseHead(
                status,
                self._headers,
                self._parser.should_keep_alive() and not self._until_close,
                self._until_close,
            )
        )

    def on_body(self, data: bytes) -> None:
        """Take in a part of the body."""
        self._events.append(data)

    def on_message_complete(self) -> None:
        """Take in the end of a response."""
        self._is_in_message = False
        if self._parser.get_status_code() >= 200:
            self._events.append(END)

    def _on_eof(self) -> None:
        self.is_clean = False
        if self._is_aborted:
            raise http1.BrokenConnectionError(errno.ETIMEDOUT, 'silence')
        if self._is_in_message and self._until_close:
            self._is_in_message = False
            self._events.append(END)
            return
        raise http1.BrokenConnectionError(
            errno.ECONNRESET, 'closed by the peer'
        )
