"""HTTP/1.1 client connection, one request at a time."""

import collections
import contextlib
import dataclasses
import enum
import errno
import os
import socket
import typing

import httptools
import trio

from foxtailpick.adapters import tcp
from foxtailpick.core.dispatch import model
from foxtailpick.core import types
from foxtailpick.gateway import http1

# The kernel closes a connection whose peer does not acknowledge data for
# this time. It ends attempts whose endpoint stays silent, and connections on
# which no request waits.
USER_TIMEOUT_MS = 5_000
# Limit of data that is neither a body nor the end of a response: a head with
# the interim responses before it, the framing of chunks, trailers.
MAX_OVERHEAD_BYTES = 65_536
MIN_STATUS = 100
_NO_BODY = frozenset((204, 304))


class Framing(enum.Enum):
    """What marks the end of the body of a response."""

    LENGTH = 'length'
    CHUNKS = 'chunks'
    CLOSE = 'close'


@dataclasses.dataclass(slots=True)
class ResponseHead:
    """Status line and headers of a response.

    :param status: its status code.
    :param headers: names in lower case, with their values.
    :param is_reusable: whether the connection can be kept alive.
    :param framing: what marks the end of the body.
    """

    status: int
    headers: list[model.RawHeader]
    is_reusable: bool
    framing: Framing


class AnswerResetError(http1.BrokenConnectionError):
    """The connection was reset, or timed out, within a response."""


class _End(typing.NamedTuple):
    """Marks the end of a response."""


END = _End()
Event = ResponseHead | bytes | _End


class ClientConnection:
    """A connection to a server, without pipelining.

    :param sock: the connected socket.
    """

    def __init__(self, sock: trio.socket.SocketType) -> None:
        self._sock = sock
        self._parser = httptools.HttpResponseParser(self)
        self._events: collections.deque[Event] = collections.deque()
        self._headers: list[model.RawHeader] = []
        self._framing = Framing.LENGTH
        self._is_in_message = False
        self._is_aborted = False
        self._is_sending = False
        self._send_error: http1.BrokenConnectionError | None = None
        # Received since the last event.
        self._overhead_bytes = 0
        self.is_clean = True
        # Whether responses have the bodies that their heads announce; those
        # to HEAD have none.
        self.has_bodies = True
        self.received_bytes = 0
        self.idle_since_ms = 0.0
        self.keep_alive_ms: float | None = None

    @classmethod
    async def connect(
        cls, address: model.Address, keep_alive_ms: float | None = None
    ) -> 'ClientConnection':
        """Open a connection.

        :param address: IP address and port.
        :param keep_alive_ms: interval of probes by the kernel, which closes
            the connection after the second one without a reply; None for
            no probes.
        :raises OSError: if it cannot be opened.
        """
        sock = trio.socket.socket()
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
            )
            if keep_alive_ms is not None:
                _enable_keep_alive(sock, keep_alive_ms)
            await sock.connect(address)
        except BaseException:
            sock.close()
            raise
        return cls(sock)

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()

    def abort(self) -> None:
        """Make the pending or next read fail as timed out.

        Used to withdraw a request. Unlike cancelling the reading task, this
        interrupts only its wait for the peer.
        """
        self._is_aborted = True
        self.is_clean = False
        with contextlib.suppress(OSError):
            # Shutdown fails on a connection that the peer has reset.
            self._sock.shutdown(socket.SHUT_RDWR)

    def is_alive(self) -> bool:
        """Tell whether an idle connection is open and has no unread data."""
        if not self.is_clean or self._events or self._is_in_message:
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

        :raises http1.BrokenConnectionError: if the connection is closed.
        """
        self._is_sending = True
        try:
            await http1.send_all(self._sock, data)
        except http1.BrokenConnectionError as exc:
            self.is_clean = False
            self._send_error = exc
            raise
        finally:
            self._is_sending = False

    async def next_event(self) -> Event:
        """Return the next part of the response.

        :raises AnswerResetError: if the connection fails within the
            response, whichever call has reported that.
        :raises http1.BrokenConnectionError: if the response is truncated
            or is not HTTP.
        """
        while not self._events:
            data = await self._receive()
            self.received_bytes += len(data)
            if not data:
                await self._on_eof()
                continue
            self._overhead_bytes += len(data)
            try:
                self._parser.feed_data(data)
            except (
                httptools.HttpParserError,
                httptools.HttpParserUpgrade,
            ) as exc:
                self.is_clean = False
                if not self._events:
                    raise http1.BrokenConnectionError(
                        errno.EPROTO,
                        f'invalid HTTP response: {_get_cause(exc)}',
                    ) from exc
            if not self._events and self._overhead_bytes > MAX_OVERHEAD_BYTES:
                self.is_clean = False
                raise http1.BrokenConnectionError(
                    errno.EPROTO,
                    f'expected a head or a body within {MAX_OVERHEAD_BYTES} '
                    f'bytes, got {self._overhead_bytes} of other data',
                )
        self._overhead_bytes = 0
        return self._events.popleft()

    def has_events(self) -> bool:
        """Tell whether a part of the response is already buffered."""
        return bool(self._events)

    # Callbacks of httptools, which defines their names.
    def on_message_begin(self) -> None:
        """Start a response."""
        self._headers = []
        self._is_in_message = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Emit the head of a final response; skip interim (1xx) ones."""
        status = self._parser.get_status_code()
        if status < MIN_STATUS:
            # The parser accepts any three digits.
            raise ValueError(f'invalid status {status:03}')
        if status < 200:
            return
        names = {name for name, _ in self._headers}
        self._framing = Framing.LENGTH
        if b'transfer-encoding' in names:
            self._framing = Framing.CHUNKS
        elif b'content-length' not in names and status not in _NO_BODY:
            self._framing = Framing.CLOSE
        self._events.append(
            ResponseHead(
                status,
                self._headers,
                self.has_bodies
                and self._parser.should_keep_alive()
                and self._framing is not Framing.CLOSE,
                self._framing,
            )
        )
        if not self.has_bodies:
            # The parser takes what comes next for the body.
            self.is_clean = False
            self._events.append(END)

    def on_body(self, data: bytes) -> None:
        """Emit a part of the body."""
        self._events.append(data)

    def on_message_complete(self) -> None:
        """Emit the end of a final response."""
        self._is_in_message = False
        if self._parser.get_status_code() >= 200:
            self._events.append(END)

    async def _receive(self) -> bytes:
        """Receive some bytes; none at the end of the stream."""
        try:
            return await http1.receive(self._sock)
        except http1.BrokenConnectionError as exc:
            self.is_clean = False
            if self._is_in_message and not self._is_aborted:
                raise _make_reset_error(exc) from exc
            raise

    async def _on_eof(self) -> None:
        self.is_clean = False
        if self._is_in_message and self._framing is Framing.CLOSE:
            # A server that has failed doesn't take the rest of the request.
            await tcp.wait_acknowledged(
                self._sock, self._has_failed, lambda: self._is_sending
            )
        if self._is_aborted:
            raise http1.BrokenConnectionError(errno.ETIMEDOUT, 'silence')
        if self._is_in_message and self._has_failed():
            error = self._send_error
            raise _make_reset_error(error) from error
        if self._is_in_message and self._framing is Framing.CLOSE:
            self._is_in_message = False
            self._events.append(END)
            return
        raise http1.BrokenConnectionError(
            errno.ECONNRESET, 'closed by the peer'
        )

    def _has_failed(self) -> bool:
        """Tell whether the connection has failed, rather than been closed.

        The kernel reports a reset to one call only, which may be a send of
        another task. It reports the end of the stream to the others.
        """
        return (
            self._is_aborted
            or self._send_error is not None
            or tcp.is_disconnected(self._sock)
        )


def _get_cause(exc: Exception) -> BaseException:
    """Return what a callback of the parser raised, else the error itself."""
    if isinstance(exc, httptools.HttpParserCallbackError):
        return exc.__context__ or exc
    return exc


def _make_reset_error(exc: OSError | None) -> AnswerResetError:
    code = errno.ECONNRESET if exc is None else exc.errno
    return AnswerResetError(
        code, f'connection failed within the answer: {os.strerror(code)}'
    )


def _enable_keep_alive(
    sock: trio.socket.SocketType, interval_ms: float
) -> None:
    # The kernel takes whole seconds.
    interval_s = max(1, round(interval_ms / types.SECOND_MS))
    timeout_ms = int(2 * interval_s * types.SECOND_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, interval_s),
        (socket.TCP_KEEPINTVL, interval_s),
        (socket.TCP_KEEPCNT, 2),
        # Otherwise the longer timeout of unacknowledged data prevails.
        (socket.TCP_USER_TIMEOUT, timeout_ms),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
