"""HTTP/1.1 over trio sockets: request parsing and message framing.

Parsing is done by httptools; bodies are handled as bytes. hypercorn and
httpcore take seven times as much CPU time per relayed event.
"""

import dataclasses
import socket
import typing

import httptools
import trio

from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import request_memory
from foxtailpick.core import errors

RECEIVE_BYTES = 65_536
# Requests up to this size fit the smallest socket buffers; longer ones are
# sent concurrently with reading, since a peer may respond early.
INLINE_BODY_BYTES = 16_384

# Heads are parsed in pieces of this size, so that a limit takes effect early.
HEAD_PIECE_BYTES = 4_096
# Method, version and line ends, which `max_header_bytes` does not count.
REQUEST_LINE_BYTES = 64

# Responses to this method have no body.
HEAD = b'HEAD'

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


class BrokenConnectionError(OSError):
    """The peer closed or reset the connection, or sent invalid HTTP."""


@dataclasses.dataclass(slots=True)
class Request:
    """A request of a caller, with its complete body.

    :param method: its method.
    :param target: path and query as sent.
    :param headers: names in lower case, with their values.
    :param body: its body.
    :param received_ms: when its first bytes arrived.
    :param keeps_alive: whether the caller allows the connection to be
        reused.
    :param held_bytes: memory that it takes.
    """

    method: bytes
    target: bytes
    headers: list[model.RawHeader]
    body: bytes | bytearray
    received_ms: float
    keeps_alive: bool
    held_bytes: int = 0

    def get_host(self) -> str:
        """Return the Host header, empty if there is none."""
        for name, value in self.headers:
            if name == b'host':
                return value.decode('latin-1')
        return ''


class RequestRejected(Exception):
    """A request that exceeds a limit, finds no room or is invalid HTTP.

    :param status: status code of the response.
    :param reason: what is wrong with the request.
    :param code: stable error code.
    :param retry_after_ms: delay until a retry may succeed, if any.
    """

    def __init__(
        self,
        status: int,
        reason: str,
        code: errors.ErrorCode = errors.ErrorCode.REQUEST_MALFORMED,
        retry_after_ms: float | None = None,
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.code = code
        self.retry_after_ms = retry_after_ms
        # Complete requests that were received just before it.
        self.preceding: list[Request] = []


class RequestReader:
    """Parses the requests of one connection.

    :param limits: function that returns the limits in force.
    """

    def __init__(self, limits: typing.Callable[[], model.Limits]) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._get_limits = limits
        # The limits in force when the request began apply to all of it.
        self._limits = limits()
        self._ready: list[Request] = []
        self._headers: list[model.RawHeader] = []
        self._target = b''
        self._body = bytearray()
        self._header_bytes = 0
        self._body_bytes = 0
        self._announced_bytes = 0
        self.received_bytes = 0
        # Received since the last complete part, which the parser may keep.
        self._pending_bytes = 0
        self._began_ms = 0.0
        self.is_in_request = False
        self.is_in_headers = False
        self.expects_continue = False

    def feed(self, data: bytes, now_ms: float) -> list[Request]:
        """Parse received bytes; return the requests that are now complete.

        :raises RequestRejected: if a request is invalid or exceeds a limit.
            Complete requests before it are attached to the exception.
        """
        self._began_ms = now_ms if not self.is_in_request else self._began_ms
        self.received_bytes += len(data)
        try:
            self._parse(data)
        except RequestRejected as exc:
            exc.preceding = self._take_ready()
            self.drop()
            raise
        return self._take_ready()

    @property
    def held_bytes(self) -> int:
        """Memory of the unfinished request, with the body it announces."""
        return request_memory.compute_cost(
            self._header_bytes + self._pending_bytes,
            len(self._headers),
            max(self._announced_bytes, len(self._body)),
        )

    def drop(self) -> None:
        """Release what is kept of a request that will not be completed."""
        self._headers = []
        self._target = b''
        self._body = bytearray()

    def _parse(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            is_in_body = self.is_in_request and not self.is_in_headers
            piece = view if is_in_body else view[:HEAD_PIECE_BYTES]
            view = view[len(piece) :]
            self._pending_bytes += len(piece)
            self._parse_piece(piece)
            self._check_pending_bytes()

    def _parse_piece(self, data: memoryview) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as exc:
            if isinstance(exc.__context__, RequestRejected):
                raise exc.__context__ from exc
            raise RequestRejected(400, f'bad request: {exc}') from exc
        except httptools.HttpParserUpgrade as exc:
            # The parser has reported this request as complete.
            self._ready.pop()
            raise RequestRejected(400, 'upgrades are not supported') from exc
        except httptools.HttpParserError as exc:
            raise RequestRejected(400, f'bad request: {exc}') from exc

    def _check_pending_bytes(self) -> None:
        if not self.is_in_request:
            # The parser skips empty lines before a request.
            if self._pending_bytes > self._limits.max_header_bytes:
                raise RequestRejected(400, 'expected a request, got none')
            return
        kept = self._pending_bytes
        if self.is_in_headers:
            kept += self._header_bytes
        if kept > self._limits.max_header_bytes + REQUEST_LINE_BYTES:
            raise RequestRejected(431, 'the headers are too long')

    def _take_ready(self) -> list[Request]:
        ready = self._ready
        self._ready = []
        return ready

    # Callbacks of httptools, which defines their names.
    def on_message_begin(self) -> None:
        """Start a request."""
        self._limits = self._get_limits()
        self.drop()
        self._announced_bytes = 0
        self._header_bytes = 0
        self._body_bytes = 0
        self._pending_bytes = 0
        self.is_in_request = True
        self.is_in_headers = True

    def on_url(self, url: bytes) -> None:
        """Append a part of the target."""
        self._target += url
        self._header_bytes += len(url)
        self._pending_bytes = 0
        self._check_header_bytes()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; ignore a trailer."""
        self._header_bytes += len(name) + len(value) + 4
        self._pending_bytes = 0
        self._check_header_bytes()
        if self.is_in_headers:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the sizes and handle `Expect: 100-continue`."""
        self.is_in_headers = False
        self._pending_bytes = 0
        self._check_header_bytes()
        for name, value in self._headers:
            if name == b'content-length':
                self._announced_bytes = int(value)
                self._check_body_bytes(self._announced_bytes)
            elif name == b'expect':
                self.expects_continue = True

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        self._body_bytes += len(data)
        self._pending_bytes = 0
        self._check_body_bytes(self._body_bytes)
        self._body += data

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        self.is_in_request = False
        self.expects_continue = False
        self._pending_bytes = 0
        self._ready.append(
            Request(
                self._parser.get_method(),
                self._target,
                self._headers,
                self._body,
                self._began_ms,
                self._parser.should_keep_alive(),
                self.held_bytes,
            )
        )
        # The request is the only owner of its parts from here on.
        self.drop()

    def _check_header_bytes(self) -> None:
        if self._header_bytes > self._limits.max_header_bytes:
            raise RequestRejected(431, 'the headers are too long')

    def _check_body_bytes(self, size: int) -> None:
        if size > self._limits.max_body_bytes:
            raise RequestRejected(413, 'the body is too long')


async def receive(sock: trio.socket.SocketType) -> bytes:
    """Receive some bytes; none at the end of the stream.

    :raises BrokenConnectionError: if the connection was reset.
    """
    try:
        return await sock.recv(RECEIVE_BYTES)
    except OSError as exc:
        raise BrokenConnectionError(exc.errno, str(exc)) from exc


def receive_arrived(sock: trio.socket.SocketType) -> bytes | None:
    """Receive bytes without waiting; None if none have arrived.

    :raises BrokenConnectionError: if the connection was reset.
    """
    try:
        return sock._sock.recv(RECEIVE_BYTES)
    except BlockingIOError:
        return None
    except OSError as exc:
        raise BrokenConnectionError(exc.errno, str(exc)) from exc


def accept_arrived(
    sock: trio.socket.SocketType,
) -> typing.Iterator[trio.socket.SocketType]:
    """Accept the connections that wait at a listening socket.

    :raises OSError: if one cannot be accepted.
    """
    while True:
        try:
            peer, _ = sock._sock.accept()
        except BlockingIOError:
            return
        yield trio.socket.from_stdlib_socket(peer)


async def send_some(sock: trio.socket.SocketType, data: memoryview) -> int:
    """Send some bytes; return how many were sent.

    :raises BrokenConnectionError: if the connection is closed.
    """
    try:
        return await sock.send(data)
    except OSError as exc:
        raise BrokenConnectionError(exc.errno, str(exc)) from exc


async def send_all(sock: trio.socket.SocketType, data: bytes) -> None:
    """Send all bytes.

    :raises BrokenConnectionError: if the connection is closed.
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

    :param body_bytes: length of the body.
    """
    lines = [b'%s %s HTTP/1.1\r\nHost: %s' % (method, target, host)]
    lines.extend(b'%s: %s' % item for item in headers)
    if body_bytes or method not in (b'GET', HEAD, b'DELETE'):
        lines.append(b'Content-Length: %d' % body_bytes)
    return b'\r\n'.join(lines) + b'\r\n\r\n'


def format_response(
    status: int,
    headers: typing.Iterable[model.RawHeader],
    body_bytes: int | None,
    keeps_alive: bool,
) -> bytes:
    """Return the head of a response.

    :param body_bytes: length of the body, None for a chunked one.
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
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


def listen(address: model.Address, backlog: int) -> trio.socket.SocketType:
    """Open a listening socket.

    :param address: IP address and port.
    :param backlog: maximum number of connections not yet accepted.
    """
    sock = trio.socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # A numeric address needs no name resolution, so a synchronous bind
    # does not block.
    sock._sock.bind(address)
    sock.listen(backlog)
    return sock
