"""HTTP/1.1 over trio sockets: a client connection and a request reader.

The parsing is httptools'; bodies pass as bytes. hypercorn and httpcore
cost seven times as much processor time per relayed event here.
"""

import collections
import contextlib
import dataclasses
import errno
import socket
import typing

import httptools
import trio

from foxtailpick.core.dispatch import model

RECEIVE_BYTES = 65_536
# A dead peer is noticed by the kernel after this time; our own time limits
# are shorter, so it only ends connections that nobody waits for.
USER_TIMEOUT_MS = 5_000
# Bodies up to this size fit the smallest socket buffers; longer ones are
# sent while the response is awaited, since a peer may answer early.
INLINE_BODY_BYTES = 16_384

REASONS = {
    200: b'OK',
    400: b'Bad Request',
    401: b'Unauthorized',
    404: b'Not Found',
    408: b'Request Timeout',
    413: b'Content Too Large',
    421: b'Misdirected Request',
    429: b'Too Many Requests',
    431: b'Request Header Fields Too Large',
    500: b'Internal Server Error',
    502: b'Bad Gateway',
    503: b'Service Unavailable',
    504: b'Gateway Timeout',
}
_NO_BODY = frozenset((204, 304))


class BrokenConnectionError(OSError):
    """The peer closed or reset the connection, or sent no HTTP."""


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

        :raises BrokenConnectionError: if the peer is gone.
        """
        await send_all(self._sock, data)

    async def next_event(self) -> Event:
        """Return the next part of the response.

        :raises BrokenConnectionError: if it ends early or is no HTTP.
        """
        while not self._events:
            data = await receive(self._sock)
            if not data:
                self._on_eof()
                continue
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserError as exc:
                self.is_clean = False
                if not self._events:
                    raise BrokenConnectionError(
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
            raise BrokenConnectionError(errno.ETIMEDOUT, 'silence')
        if self._is_in_message and self._until_close:
            self._is_in_message = False
            self._events.append(END)
            return
        raise BrokenConnectionError(errno.ECONNRESET, 'closed by the peer')


@dataclasses.dataclass(slots=True)
class Request:
    """A request of a caller, with its whole body.

    :param method: its method.
    :param target: path and query as sent.
    :param headers: names in lower case, with their values.
    :param body: its body.
    :param received_ms: when its first byte came.
    :param keeps_alive: whether the caller may send more on the connection.
    """

    method: bytes
    target: bytes
    headers: list[model.RawHeader]
    body: bytes
    received_ms: float
    keeps_alive: bool

    def get_host(self) -> str:
        """Return the host that it names, empty if none."""
        for name, value in self.headers:
            if name == b'host':
                return value.decode('latin-1')
        return ''


class RequestRejected(Exception):
    """A request that breaks a limit or is no HTTP.

    :param status: the status to answer with.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class RequestReader:
    """Parses the requests of one connection.

    :param limits: function that returns the limits in force.
    """

    def __init__(self, limits: typing.Callable[[], model.Limits]) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._limits = limits
        self._ready: collections.deque[Request] = collections.deque()
        self._headers: list[model.RawHeader] = []
        self._target = b''
        self._body: list[bytes] = []
        self._header_bytes = 0
        self._body_bytes = 0
        self._began_ms = 0.0
        self.is_in_request = False
        self.is_in_headers = False
        self.wants_continue = False

    def feed(self, data: bytes, now_ms: float) -> list[Request]:
        """Take in bytes; return the requests that are now complete.

        :raises RequestRejected: if what came cannot be a request.
        """
        self._began_ms = now_ms if not self.is_in_request else self._began_ms
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as exc:
            if isinstance(exc.__context__, RequestRejected):
                raise exc.__context__ from exc
            raise RequestRejected(400, f'bad request: {exc}') from exc
        except httptools.HttpParserUpgrade as exc:
            raise RequestRejected(400, 'no upgrade is offered') from exc
        except httptools.HttpParserError as exc:
            raise RequestRejected(400, f'bad request: {exc}') from exc
        if self.is_in_headers:
            self._check_header_bytes()
        done = list(self._ready)
        self._ready.clear()
        return done

    # The names of these methods are httptools'.
    def on_message_begin(self) -> None:
        """Start a request."""
        self._headers = []
        self._target = b''
        self._body = []
        self._header_bytes = 0
        self._body_bytes = 0
        self.is_in_request = True
        self.is_in_headers = True

    def on_url(self, url: bytes) -> None:
        """Take in a part of the target."""
        self._target += url
        self._header_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in a header."""
        self._header_bytes += len(name) + len(value) + 4
        self._check_header_bytes()
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Take in the end of the headers."""
        self.is_in_headers = False
        self._check_header_bytes()
        for name, value in self._headers:
            if name == b'content-length':
                self._check_body_bytes(int(value))
            elif name == b'expect':
                self.wants_continue = True

    def on_body(self, data: bytes) -> None:
        """Take in a part of the body."""
        self._body_bytes += len(data)
        self._check_body_bytes(self._body_bytes)
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Take in the end of a request."""
        self.is_in_request = False
        self.wants_continue = False
        self._ready.append(
            Request(
                self._parser.get_method(),
                self._target,
                self._headers,
                b''.join(self._body),
                self._began_ms,
                self._parser.should_keep_alive(),
            )
        )

    def _check_header_bytes(self) -> None:
        if self._header_bytes > self._limits().max_header_bytes:
            raise RequestRejected(431, 'the headers are too long')

    def _check_body_bytes(self, size: int) -> None:
        if size > self._limits().max_body_bytes:
            raise RequestRejected(413, 'the body is too long')


async def receive(sock: trio.socket.SocketType) -> bytes:
    """Receive some bytes, none at the end.

    :raises BrokenConnectionError: if the connection was reset.
    """
    try:
        return await sock.recv(RECEIVE_BYTES)
    except OSError as exc:
        raise BrokenConnectionError(exc.errno, str(exc)) from exc


async def send_all(sock: trio.socket.SocketType, data: bytes) -> None:
    """Send all bytes.

    :raises BrokenConnectionError: if the peer is gone.
    """
    try:
        sent = await sock.send(data)
        if sent == len(data):
            return
        view = memoryview(data)
        while sent < len(data):
            sent += await sock.send(view[sent:])
    except OSError as exc:
        raise BrokenConnectionError(exc.errno, str(exc)) from exc


def format_request(
    method: bytes,
    target: bytes,
    host: bytes,
    headers: typing.Iterable[model.RawHeader],
    body_bytes: int,
) -> bytes:
    """Return the head of a request.

    :param body_bytes: length of the body that follows.
    """
    lines = [b'%s %s HTTP/1.1\r\nHost: %s' % (method, target, host)]
    lines.extend(b'%s: %s' % item for item in headers)
    if body_bytes or method not in (b'GET', b'HEAD', b'DELETE'):
        lines.append(b'Content-Length: %d' % body_bytes)
    return b'\r\n'.join(lines) + b'\r\n\r\n'


def format_response(
    status: int,
    headers: typing.Iterable[model.RawHeader],
    body_bytes: int | None,
    keeps_alive: bool,
) -> bytes:
    """Return the head of a response.

    :param body_bytes: length of the body, None for one in chunks.
    :param keeps_alive: whether the connection stays open.
    """
    reason = REASONS.get(status, b'Status')
    lines = [b'HTTP/1.1 %d %s' % (status, reason)]
    lines.extend(b'%s: %s' % item for item in headers)
    if body_bytes is None:
        lines.append(b'Transfer-Encoding: chunked')
    else:
        lines.append(b'Content-Length: %d' % body_bytes)
    if not keeps_alive:
        lines.append(b'Connection: close')
    return b'\r\n'.join(lines) + b'\r\n\r\n'


def format_chunk(data: bytes) -> bytes:
    """Return bytes as a chunk of a chunked body."""
    return b'%x\r\n%s\r\n' % (len(data), data)


LAST_CHUNK = b'0\r\n\r\n'


def listen(address: model.Address, backlog: int) -> trio.socket.SocketType:
    """Open a listening socket.

    :param address: IP number and port.
    :param backlog: connections that may wait to be accepted.
    """
    sock = trio.socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Binding a numeric address needs no look-up, so it may be synchronous.
    sock._sock.bind(address)
    sock.listen(backlog)
    return sock
