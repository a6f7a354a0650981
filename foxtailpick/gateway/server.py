"""Accepts callers' connections and handles their requests in order."""

import contextlib
import errno
import functools
import math
import socket
import traceback
import typing

import trio

from foxtailpick.core import errors
from foxtailpick.core import types
from foxtailpick.gateway import context
from foxtailpick.gateway import http1
from foxtailpick.gateway import relay
from foxtailpick.gateway import reply as reply_lib

# Length of the accept queue, more than a burst of new callers: when the
# queue is full, connecting takes a caller seconds.
BACKLOG = 1_024
# Descriptors for files and listening sockets, as stated by the operators.
RESERVED_DESCRIPTORS = 200
# Fraction of the descriptors for callers' connections; relaying a request
# takes a further descriptor.
CALLER_DESCRIPTOR_SHARE = 0.6
# Maximum number of pipelined requests that are read ahead.
MAX_PIPELINED_REQUESTS = 8
# Maximum of what is read after a rejected request, if bodies are not longer.
MAX_DISCARDED_BYTES = 16_777_216
# Pause after a failed accept, such as when no descriptor is left.
ACCEPT_RETRY_MS = 50.0
# Time for a caller to read why its request was rejected, and to close.
LINGER_MS = 1_000.0
_NO_DESCRIPTOR_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS))

Handler = typing.Callable[
    [http1.Request, reply_lib.Reply], typing.Awaitable[None]
]


class Caller:
    """One caller's connection."""

    def __init__(self, sock: trio.socket.SocketType) -> None:
        self.sock = sock
        # Requests that were read and not yet answered.
        self.open_requests = 0
        # Whether a part of a request was read.
        self.is_reading = False
        # When a part of a request's headers was read first.
        self.headers_began_s: float | None = None
        self.idle_since_ms = 0.0
        # Whether to close the connection once no request is in flight.
        self.is_closing = False
        # The wait for the next bytes.
        self.wait = trio.CancelScope()

    @property
    def is_busy(self) -> bool:
        """Whether a request was read, also in part, and not yet answered."""
        return self.is_reading or self.open_requests > 0

    @property
    def has_next(self) -> bool:
        """Whether a request after the current one was read, also in part."""
        return self.is_reading or self.open_requests > 1

    def close_when_idle(self) -> None:
        """Close the connection unless a request has already arrived.

        Only the wait for a request is cancelled, never its handling.
        """
        self.is_closing = True
        self.wait.cancel()


class CallerServer:
    """Serves callers on one listening socket.

    :param gw: the gateway.
    """

    def __init__(self, gw: context.Gateway) -> None:
        self._gw = gw
        self._callers: set[Caller] = set()
        self._accepting = trio.CancelScope()
        # Accepts the connections that have arrived.
        self._accept_arrived: typing.Callable[[], None] | None = None

    @property
    def connections(self) -> int:
        """Number of open connections of callers."""
        return len(self._callers)

    def is_idle(self) -> bool:
        """Tell whether no request is in flight."""
        return not any(caller.is_busy for caller in self._callers)

    def close_idle(self, idle_ms: float) -> None:
        """Close connections that have been idle for at least some time."""
        now_ms = self._gw.now_ms()
        for caller in list(self._callers):
            if not caller.is_busy and now_ms - caller.idle_since_ms >= idle_ms:
                caller.close_when_idle()

    def _evict_idle(self) -> None:
        """Close the longest idle connection if there are too many."""
        usable = self._gw.cfg.max_sockets - RESERVED_DESCRIPTORS
        if len(self._callers) < CALLER_DESCRIPTOR_SHARE * usable:
            return
        idle = [caller for caller in self._callers if not caller.is_busy]
        if idle:
            oldest = min(idle, key=lambda caller: caller.idle_since_ms)
            oldest.close_when_idle()
            self._gw.metrics.count('callers_closed_for_room')
            self._gw.log.emit_request(
                'caller-closed',
                why='too many connections',
                connections=len(self._callers),
                idle_ms=round(self._gw.now_ms() - oldest.idle_since_ms),
            )

    def stop_accepting(self) -> None:
        """Close the listening socket; connections stay.

        Those that were not yet accepted would be reset with it.
        """
        if self._accept_arrived is not None:
            self._accept_arrived()
            self._accept_arrived = None
        self._accepting.cancel()

    async def serve(
        self,
        sock: trio.socket.SocketType,
        handle: Handler,
        nursery: trio.Nursery,
    ) -> None:
        """Accept connections until cancelled or told to stop."""

        def start(peer: trio.socket.SocketType) -> None:
            # Counted at once, so that a stop waits for it.
            caller = Caller(peer)
            caller.idle_since_ms = self._gw.now_ms()
            self._callers.add(caller)
            nursery.start_soon(self._serve_caller, caller, handle)

        def accept_arrived() -> None:
            try:
                for peer in http1.accept_arrived(sock):
                    start(peer)
            except OSError as exc:
                self._gw.log.emit('accept-failed', error=str(exc))

        self._accept_arrived = accept_arrived
        with sock, self._accepting:
            while True:
                try:
                    peer, _ = await sock.accept()
                except OSError as exc:
                    if exc.errno not in _NO_DESCRIPTOR_ERRNOS:
                        self._gw.log.emit('accept-failed', error=str(exc))
                    await trio.sleep(ACCEPT_RETRY_MS / types.SECOND_MS)
                    continue
                self._evict_idle()
                start(peer)

    async def _serve_caller(self, caller: Caller, handle: Handler) -> None:
        sock = caller.sock
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            send, receive = trio.open_memory_channel(MAX_PIPELINED_REQUESTS)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._read, caller, send, nursery)
                try:
                    await self._answer(caller, receive, handle)
                except http1.BrokenConnectionError as exc:
                    # The caller disconnected during the response.
                    self._gw.log.emit_request('caller-lost', why=str(exc))
                nursery.cancel_scope.cancel()
        except Exception as exc:
            # The other connections are not affected.
            self._gw.metrics.count('defects')
            trace = ''.join(traceback.format_exception(exc))
            self._gw.log.emit(
                'defect', error=trace[-relay.MAX_TRACEBACK_CHARS :]
            )
        finally:
            self._callers.discard(caller)
            sock.close()

    async def _read(
        self,
        caller: Caller,
        send: trio.MemorySendChannel,
        nursery: trio.Nursery,
    ) -> None:
        gw = self._gw
        reader = http1.RequestReader(lambda: gw.state.limits)
        try:
            while data := await self._receive(caller, reader):
                requests = reader.feed(data, gw.now_ms())
                caller.is_reading = reader.is_in_request
                if not reader.is_in_headers:
                    caller.headers_began_s = None
                elif requests or caller.headers_began_s is None:
                    caller.headers_began_s = trio.current_time()
                await self._queue_requests(caller, send, requests)
                if reader.expects_continue:
                    reader.expects_continue = False
                    # Sent by the task that sends the responses, after
                    # those to earlier requests.
                    await send.send(http1.CONTINUE)
        except http1.RequestRejected as exc:
            # Until the rejection is sent.
            caller.is_reading = True
            await self._queue_requests(caller, send, exc.preceding)
            await send.send(exc)
            await self._discard(caller)
        except http1.BrokenConnectionError:
            # A reset is handled like a close.
            pass
        nursery.cancel_scope.cancel()

    async def _discard(self, caller: Caller) -> None:
        """Wait until a caller disconnects, and ignore what it sends.

        Most callers read the response only after they have sent it all.
        """
        left = max(MAX_DISCARDED_BYTES, self._gw.state.limits.max_body_bytes)
        with contextlib.suppress(http1.BrokenConnectionError):
            while size := len(await http1.receive(caller.sock)):
                left -= size
                if left <= 0:
                    # Its connection is closed once it is answered.
                    await trio.sleep_forever()

    async def _queue_requests(
        self,
        caller: Caller,
        send: trio.MemorySendChannel,
        requests: typing.Sequence[http1.Request],
    ) -> None:
        caller.open_requests += len(requests)
        for req in requests:
            await send.send(req)

    async def _receive(
        self, caller: Caller, reader: http1.RequestReader
    ) -> bytes:
        """Return the next bytes of a caller, none if it left or was idle.

        :raises http1.RequestRejected: if a request takes too long to arrive.
        """
        began_s = trio.current_time()
        if caller.headers_began_s is not None:
            # Their time is limited as a whole, however they are cut.
            began_s = caller.headers_began_s
        while True:
            limit_s = self._get_wait_limit_ms(caller, reader) / types.SECOND_MS
            with trio.CancelScope(deadline=began_s + limit_s) as caller.wait:
                return await http1.receive(caller.sock)
            # Bytes may have arrived after the last poll for events.
            data = http1.receive_arrived(caller.sock)
            if data is not None:
                return data
            # A new configuration may have changed the limit.
            limit_ms = self._get_wait_limit_ms(caller, reader)
            if trio.current_time() - began_s < limit_ms / types.SECOND_MS:
                continue
            if reader.is_in_request:
                raise http1.RequestRejected(408, 'request timed out')
            return b''

    def _get_wait_limit_ms(
        self, caller: Caller, reader: http1.RequestReader
    ) -> float:
        limits = self._gw.state.limits
        if reader.is_in_headers:
            return limits.header_timeout_ms
        if caller.open_requests:
            return math.inf
        return 0.0 if caller.is_closing else limits.idle_timeout_ms

    async def _answer(
        self,
        caller: Caller,
        receive: trio.MemoryReceiveChannel,
        handle: Handler,
    ) -> None:
        async for item in receive:
            if isinstance(item, http1.RequestRejected):
                await self._reject(caller, item)
                return
            if item is http1.CONTINUE:
                await http1.send_all(caller.sock, http1.CONTINUE)
                continue
            keeps_alive = functools.partial(self._keeps_alive, caller, item)
            has_body = item.method != http1.HEAD
            reply = reply_lib.Reply(caller.sock, keeps_alive, has_body)
            await handle(item, reply)
            caller.open_requests -= 1
            caller.idle_since_ms = self._gw.now_ms()
            if not reply.is_finished or not reply.keeps_alive:
                return

    def _keeps_alive(self, caller: Caller, req: http1.Request) -> bool:
        """Tell whether the connection stays open after a response."""
        if not req.keeps_alive:
            return False
        is_closing = self._gw.is_stopping or caller.is_closing
        return not is_closing or caller.has_next

    async def _reject(
        self, caller: Caller, exc: http1.RequestRejected
    ) -> None:
        headers, body = reply_lib.format_error(
            errors.ErrorCode.REQUEST_MALFORMED.value, str(exc), None
        )
        reply = reply_lib.Reply(caller.sock, lambda: False)
        await reply.send_response(exc.status, headers, body)
        self._gw.log.emit_request('rejected', status=exc.status, why=str(exc))
        # A close with unread bytes resets the connection, and the caller
        # may lose the response. The other task reads until it disconnects.
        with contextlib.suppress(OSError):
            caller.sock.shutdown(socket.SHUT_WR)
        await trio.sleep(LINGER_MS / types.SECOND_MS)


def make_handler(gw: context.Gateway) -> Handler:
    """Return the handler of callers' requests."""
    return functools.partial(relay.handle_request, gw)
