"""WebSocket links to sidecars, pooled by address."""

import contextlib
import typing

from loguru import logger
import trio
from websockets import exceptions
from websockets.trio import client

from foxtailpick.adapters import wire
from foxtailpick.core import clock as clock_lib
from foxtailpick.core import errors
from foxtailpick.core import messages
from foxtailpick.core import types

SEND_QUEUE_FRAMES = 1_024
INBOX_QUEUE_FRAMES = 256

_OPEN_ERRORS = (
    OSError,
    TimeoutError,
    exceptions.InvalidHandshake,
    exceptions.ConnectionClosed,
    trio.BrokenResourceError,
    # Not a subclass of TimeoutError.
    trio.TooSlowError,
)


class Link:
    """A connection to one sidecar; its task owns the socket.

    :param address: `host:port` of the sidecar.
    :param hello: handshake message of this process.
    :param read_number: returns the configuration number in force.
    :param on_frame: called with this link and each received frame, before the
        frame is delivered to its attempt.
    :param meter: counts the bytes sent and received.
    """

    def __init__(
        self,
        address: str,
        hello: messages.Hello,
        read_number: typing.Callable[[], types.ConfigNumber],
        on_frame: typing.Callable[['Link', messages.Frame], None],
        meter: wire.TrafficMeter,
    ) -> None:
        self.address = address
        self.peer: messages.Hello | None = None
        self.is_open = False
        self._hello = hello
        self._read_number = read_number
        self._on_frame = on_frame
        self._meter = meter
        self._inboxes: dict[types.AttemptId, trio.MemorySendChannel] = {}
        channel = trio.open_memory_channel(SEND_QUEUE_FRAMES)
        self._outgoing, self._to_write = channel
        self._scope = trio.CancelScope()

    async def run(
        self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Open the connection and serve it until it is lost or closed.

        :raises errors.LinkError: if it cannot be opened; raised before
            `task_status.started()` is called.
        """
        try:
            with self._scope:
                await self._connect(task_status)
        finally:
            self._mark_lost()

    @contextlib.contextmanager
    def subscribe(
        self, attempt: types.AttemptId
    ) -> typing.Iterator[trio.MemoryReceiveChannel]:
        """Receive the messages of one attempt while the context is open.

        The channel is closed when the link is lost.
        """
        send, receive = trio.open_memory_channel(INBOX_QUEUE_FRAMES)
        if self.is_open:
            self._inboxes[attempt] = send
        else:
            send.close()
        try:
            yield receive
        finally:
            if self._inboxes.get(attempt) is send:
                del self._inboxes[attempt]
            receive.close()

    @property
    def is_idle(self) -> bool:
        """Whether no attempt uses the link."""
        return not self._inboxes

    def send_soon(self, message: messages.Message) -> None:
        """Queue a message without blocking; a full queue closes the link.

        A lost link drops the message.
        """
        try:
            self._outgoing.send_nowait(message)
        except (trio.WouldBlock, trio.BrokenResourceError):
            self.close()

    def close(self) -> None:
        """Close the connection; its attempts see a lost link."""
        self._scope.cancel()

    async def _connect(self, task_status: trio.TaskStatus) -> None:
        try:
            async with client.connect(
                f'ws://{self.address}',
                proxy=None,
                **wire.CONNECTION_OPTIONS,
            ) as conn:
                stream = wire.FrameStream(conn, self._meter)
                await self._handshake(stream)
                self.is_open = True
                task_status.started()
                await self._exchange_frames(stream)
        except _OPEN_ERRORS as exc:
            if self.is_open:
                return
            raise errors.LinkError(
                errors.ErrorCode.LINK_LOST,
                f'expected to connect to {self.address}, got {exc!r:.120}',
            ) from exc

    async def _handshake(self, stream: wire.FrameStream) -> None:
        with trio.fail_after(wire.OPEN_TIMEOUT_S):
            await stream.send(messages.Frame(self._read_number(), self._hello))
            frame = await stream.receive()
        self.peer = wire.check_hello(frame)
        self._on_frame(self, frame)

    async def _exchange_frames(self, stream: wire.FrameStream) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._write_frames, stream)
            try:
                await self._read_frames(stream)
            except errors.LinkError as exc:
                logger.info('LINK lost to {}. {}', self.address, exc)
            nursery.cancel_scope.cancel()

    async def _write_frames(self, stream: wire.FrameStream) -> None:
        async for message in self._to_write:
            frame = messages.Frame(self._read_number(), message)
            try:
                await stream.send(frame)
            except errors.LinkError:
                self.close()
                return

    async def _read_frames(self, stream: wire.FrameStream) -> None:
        while True:
            frame = await stream.receive()
            self._on_frame(self, frame)
            if isinstance(frame.message, messages.Probe):
                self.send_soon(messages.ProbeReply(frame.message.nonce))
            self._deliver(frame)

    def _deliver(self, frame: messages.Frame) -> None:
        attempt = getattr(frame.message, 'attempt', None)
        inbox = self._inboxes.get(attempt)
        if inbox is None:
            return
        try:
            inbox.send_nowait(frame.message)
        except trio.WouldBlock:
            # A slow reader must not block the others. Its channel is closed
            # and it resumes from its last position.
            del self._inboxes[attempt]
            inbox.close()
        except trio.BrokenResourceError:
            del self._inboxes[attempt]

    def _mark_lost(self) -> None:
        self.is_open = False
        for inbox in self._inboxes.values():
            inbox.close()
        self._inboxes.clear()
        self._to_write.close()


class LinkPool:
    """A pool of links to sidecars; an async context manager.

    :param hello: handshake message of this process.
    :param max_links: soft limit of open links; the least recently used idle
        link is closed to make room, and busy links may exceed the limit.
    :param read_number: returns the configuration number in force.
    :param on_frame: called with the link and each received frame.
    """

    def __init__(
        self,
        hello: messages.Hello,
        max_links: int,
        read_number: typing.Callable[[], types.ConfigNumber],
        on_frame: typing.Callable[[Link, messages.Frame], None],
    ) -> None:
        self._hello = hello
        self._max_links = max_links
        self._read_number = read_number
        self._on_frame = on_frame
        self._links: dict[str, Link] = {}
        self._last_used_ms: dict[str, float] = {}
        self._locks: dict[str, trio.Lock] = {}
        self.meter = wire.TrafficMeter()
        self._nursery_manager = trio.open_nursery()
        self._nursery: trio.Nursery | None = None

    async def __aenter__(self) -> 'LinkPool':
        self._nursery = await self._nursery_manager.__aenter__()
        return self

    async def __aexit__(self, *exc_info: typing.Any) -> bool | None:
        self._nursery.cancel_scope.cancel()
        return await self._nursery_manager.__aexit__(*exc_info)

    async def acquire(self, address: str) -> Link:
        """Return an open link to a sidecar, opening one if needed.

        :param address: `host:port` of the sidecar.
        :raises errors.LinkError: if none can be opened.
        """
        lock = self._locks.setdefault(address, trio.Lock())
        async with lock:
            link = self._links.get(address)
            if link is None or not link.is_open:
                link = await self._open(address)
        self._last_used_ms[address] = clock_lib.Clock.from_trio().now()
        return link

    async def probe(self, address: str) -> None:
        """Perform a handshake with a sidecar on a new connection.

        An open link may be silently broken, so it proves nothing. The
        handshake frame is passed to `on_frame` like any other.

        :param address: `host:port` of the sidecar.
        :raises errors.LinkError: if it does not answer.
        """
        link = self._make_link(address)
        await self._nursery.start(link.run)
        link.close()

    def list_open(self) -> list[Link]:
        """Return the open links."""
        return [link for link in self._links.values() if link.is_open]

    def discard(self, link: Link) -> None:
        """Close a link and remove it, so that the next use opens a new one."""
        link.close()
        if self._links.get(link.address) is link:
            del self._links[link.address]

    async def _open(self, address: str) -> Link:
        self._evict_idle_link()
        link = self._make_link(address)
        await self._nursery.start(link.run)
        self._links[address] = link
        logger.debug('LINK opened to {}.', address)
        return link

    def _make_link(self, address: str) -> Link:
        return Link(
            address, self._hello, self._read_number, self._on_frame, self.meter
        )

    def _evict_idle_link(self) -> None:
        for address, link in list(self._links.items()):
            if not link.is_open:
                del self._links[address]
        if len(self._links) < self._max_links:
            return
        idle = [link for link in self._links.values() if link.is_idle]
        if idle:
            oldest = min(
                idle,
                key=lambda link: self._last_used_ms.get(link.address, 0.0),
            )
            self.discard(oldest)
