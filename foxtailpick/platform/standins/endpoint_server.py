"""A scriptable stand-in for the platform's servers."""

import contextlib
import dataclasses
import typing

import trio

from foxtailpick.core.dispatch import model
from foxtailpick.core import types
from foxtailpick.gateway import http1

BACKLOG = 64
SIGNATURE = (b'X-Server-Stamp', b'stamp')


@dataclasses.dataclass(slots=True)
class ReceivedRequest:
    """A request as received by an endpoint.

    :param held_ms: how long it was not read because the endpoint was silent.
    """

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes
    held_ms: float = 0.0

    @property
    def id(self) -> str:
        """Id of the client attempt."""
        return self.headers.get(b'x-attempt-id', b'').decode()


Script = typing.Callable[['Exchange'], typing.Awaitable[None]]


class Exchange:
    """One request at an endpoint stand-in, with methods to answer it.

    :param sock: the connection of the request.
    :param received: the request.
    :param until_awake: waits for the end of a silence of the endpoint.
    :param load: the load that it reports, None if it reports none.
    """

    def __init__(
        self,
        sock: trio.socket.SocketType,
        received: ReceivedRequest,
        until_awake: typing.Callable[[], typing.Awaitable[None]],
        load: bytes | None = None,
    ) -> None:
        self.sock = sock
        self.received = received
        self._until_awake = until_awake
        self._load = load
        self._is_chunked = True

    async def answer(
        self,
        status: int = 200,
        body: bytes = b'body',
        headers: typing.Sequence[model.RawHeader] = (),
        is_signed: bool = True,
        request: str | None = None,
    ) -> None:
        """Send a complete response."""
        head = http1.format_response(
            status,
            self._make_headers(headers, is_signed, request),
            len(body),
            True,
        )
        await self._send(head + body)

    def is_for(self, endpoint: str) -> bool:
        """Tell whether the request names an endpoint as its only target."""
        expected = self.received.headers.get(b'x-expect-instance')
        return expected == endpoint.encode()

    async def refuse(
        self, headers: typing.Sequence[model.RawHeader] = ()
    ) -> None:
        """Reject the request, stating that it was not executed."""
        refusal = [(b'X-Not-Executed', b'1'), *headers]
        await self.answer(503, b'', refusal, is_signed=False)

    async def begin_stream(
        self,
        headers: typing.Sequence[model.RawHeader] = (),
        is_signed: bool = True,
        is_chunked: bool = True,
    ) -> None:
        """Send the response head of an event stream.

        :param headers: further headers.
        :param is_signed: whether it has the signature of an endpoint.
        :param is_chunked: whether it is sent in chunks; otherwise it ends
            with its connection.
        """
        self._is_chunked = is_chunked
        head = http1.format_response(
            200, self._make_headers(headers, is_signed, None), None, True
        )
        if not is_chunked:
            head = head.replace(b'Transfer-Encoding: chunked\r\n', b'')
        await self._send(head)

    async def send_events(self, first: int, last: int) -> None:
        """Send the events numbered from first to last."""
        for number in range(first, last + 1):
            await self.send_data(format_event(number))

    async def send_data(self, data: bytes) -> None:
        """Send data of the stream."""
        if self._is_chunked:
            data = http1.format_chunk(data)
        await self._send(data)

    async def end_stream(self) -> None:
        """Complete the stream."""
        if not self._is_chunked:
            raise AbortConnectionError
        await self._send(http1.LAST_CHUNK)

    async def _send(self, data: bytes) -> None:
        await self._until_awake()
        await http1.send_all(self.sock, data)

    def _make_headers(
        self,
        headers: typing.Sequence[model.RawHeader],
        is_signed: bool,
        request: str | None,
    ) -> list[model.RawHeader]:
        echo = (b'X-Attempt-Id', (request or self.received.id).encode())
        signed = [SIGNATURE] if is_signed else []
        load = [] if self._load is None else [(b'X-Server-Load', self._load)]
        return [echo, *signed, *load, *headers]


def format_event(number: int) -> bytes:
    """Return an event of a stream."""
    return b'id: %d\ndata: token%d\n\n' % (number, number)


class EndpointStandIn:
    """A stand-in for a server, at one address.

    :param script: answers a request; an exception closes the connection.
    :param load: report of its load that its responses contain: requests
        running and waiting, slots and, as a fourth figure, how long work
        takes on its machine, in percent of the usual time.
    """

    def __init__(self, script: Script, load: bytes | None = None) -> None:
        self.script = script
        self.load = load
        self.received: list[ReceivedRequest] = []
        self.disconnects = 0
        self.crashes = 0
        self._down_ms = 0.0
        self._accepting = trio.CancelScope()
        self._connections: set[trio.CancelScope] = set()
        self._awake = trio.Event()
        self._awake.set()

    def crash(self, down_ms: float, listens_ms: float = 0.0) -> None:
        """Close all connections, and refuse new ones for some time.

        :param down_ms: time until the process has started again.
        :param listens_ms: time from the close of its connections until it
            refuses new ones.
        """
        self.crashes += 1
        self._down_ms = down_ms
        self._accepting.deadline = (
            trio.current_time() + listens_ms / types.SECOND_MS
        )
        self._close_connections()

    def _close_connections(self) -> None:
        for scope in self._connections:
            scope.cancel()

    @contextlib.contextmanager
    def silence(self) -> typing.Iterator[None]:
        """Read and send nothing meanwhile, as a process that is suspended.

        Connections stay open, and everything goes on afterwards.
        """
        self._awake = trio.Event()
        try:
            yield
        finally:
            self._awake.set()

    async def serve(self, sock: trio.socket.SocketType) -> None:
        """Accept connections and answer requests until cancelled."""
        address = sock.getsockname()
        async with trio.open_nursery() as nursery:
            while True:
                with sock, trio.CancelScope() as self._accepting:
                    while True:
                        peer, _ = await sock.accept()
                        nursery.start_soon(self._serve_connection, peer)
                self._close_connections()
                await trio.sleep(self._down_ms / types.SECOND_MS)
                sock = http1.listen(address, BACKLOG)

    async def _serve_connection(self, sock: trio.socket.SocketType) -> None:
        with trio.CancelScope() as scope:
            self._connections.add(scope)
            try:
                await self._serve_one(sock)
            finally:
                self._connections.discard(scope)

    async def _serve_one(self, sock: trio.socket.SocketType) -> None:
        reader = http1.RequestReader(model.Limits)
        with sock:
            try:
                while True:
                    data = await http1.receive(sock)
                    if not data:
                        return
                    arrived_ms = trio.current_time() * types.SECOND_MS
                    await self._until_awake()
                    now_ms = trio.current_time() * types.SECOND_MS
                    for req in reader.feed(data, types.Millis(0.0)):
                        received = ReceivedRequest(
                            req.method,
                            req.target,
                            dict(req.headers),
                            req.body,
                            now_ms - arrived_ms,
                        )
                        self.received.append(received)
                        await self._run(
                            Exchange(
                                sock, received, self._until_awake, self.load
                            )
                        )
            except (http1.BrokenConnectionError, AbortConnectionError):
                return

    async def _until_awake(self) -> None:
        await self._awake.wait()

    async def _run(self, exchange: Exchange) -> None:
        """Run the script; cancel it if the caller disconnects."""
        is_aborted = False
        async with trio.open_nursery() as nursery:

            async def watch() -> None:
                await trio.lowlevel.wait_readable(exchange.sock)
                self.disconnects += 1
                nursery.cancel_scope.cancel()

            nursery.start_soon(watch)
            try:
                await self.script(exchange)
            except (AbortConnectionError, http1.BrokenConnectionError):
                is_aborted = True
            nursery.cancel_scope.cancel()
        if is_aborted:
            raise AbortConnectionError


class AbortConnectionError(Exception):
    """Raised by a script to close its connection without an answer."""
