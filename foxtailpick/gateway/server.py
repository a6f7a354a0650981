"""Accepts callers' connections and handles their requests in order."""

import collections
import contextlib
import dataclasses
import errno
import functools
import math
import socket
import traceback
import typing

import trio

from foxtailpick.core.dispatch import connection_room
from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import request_arrival
from foxtailpick.core.dispatch import request_memory
from foxtailpick.core import errors
from foxtailpick.core import types
from foxtailpick.gateway import context
from foxtailpick.gateway import http1
from foxtailpick.gateway import relay
from foxtailpick.gateway import reply as reply_lib

# Length of the accept queue, more than a burst of new callers: when the
# queue is full, connecting takes a caller seconds.
BACKLOG = 1_024
RESERVED_DESCRIPTORS = connection_room.RESERVED_DESCRIPTORS
CALLER_DESCRIPTOR_SHARE = connection_room.CALLER_DESCRIPTOR_SHARE
# Maximum number of pipelined requests that are read ahead.
MAX_PIPELINED_REQUESTS = 8
# No more is read ahead once requests that wait for another one on the same
# connection take this much memory.
MAX_READ_AHEAD_BYTES = 524_288
# Maximum of what is read after a rejected request, if bodies are not longer.
MAX_DISCARDED_BYTES = 16_777_216
# Pause after a failed accept, such as when no descriptor is left.
ACCEPT_RETRY_MS = 50.0
# Interval between searches for a connection that gives way, if none did.
SEARCH_INTERVAL_MS = 20.0
# Time for a caller to read why its request was rejected, and to close.
LINGER_MS = 1_000.0
_NO_DESCRIPTOR_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS))

Handler = typing.Callable[
    [http1.Request, reply_lib.Reply], typing.Awaitable[None]
]


class Caller:
    """One caller's connection.

    :param sock: its socket.
    :param now_ms: function that returns the current time.
    """

    def __init__(
        self,
        sock: trio.socket.SocketType,
        now_ms: typing.Callable[[], float],
    ) -> None:
        self.sock = sock
        self._now_ms = now_ms
        # Requests that were read and not yet answered.
        self.open_requests = 0
        self._is_reading = False
        self._reading_since_ms = 0.0
        # Memory of the requests that are not yet answered, in order, and of
        # the one that is being read.
        self.holdings: collections.deque[request_memory.Holding] = (
            collections.deque()
        )
        self.unfinished: request_memory.Holding | None = None
        # Whether the request that is being read gave way to others.
        self.has_given_way = False
        # Set when a request has been answered, and then replaced.
        self.answered = trio.Event()
        # When a part of a request's headers was read first.
        self.headers_began_s: float | None = None
        self.idle_since_ms = now_ms()
        # When it connected, or its last request was answered.
        self.idle_began_s = trio.current_time()
        # Whether to close the connection once no request is in flight.
        self.is_closing = False
        # Whether its last request is being rejected.
        self.is_rejected = False
        # The wait for the next bytes.
        self.wait = trio.CancelScope()
        # Everything that is done for it.
        self._scope = trio.CancelScope()

    def __enter__(self) -> 'Caller':
        self._scope.__enter__()
        return self

    def __exit__(self, *exc_info: typing.Any) -> bool | None:
        self.sock.close()
        return self._scope.__exit__(*exc_info)

    @property
    def is_reading(self) -> bool:
        """Whether a part of a request was read."""
        return self._is_reading

    @is_reading.setter
    def is_reading(self, value: bool) -> None:
        if value and not self._is_reading:
            self._reading_since_ms = self._now_ms()
        self._is_reading = value

    @property
    def unfinished_since_ms(self) -> float | None:
        """Since when it holds only a part of a request, None if it doesn't."""
        if not self._is_reading or self.open_requests or self.is_rejected:
            return None
        return max(self._reading_since_ms, self.idle_since_ms)

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

    def cut(self) -> None:
        """Close the connection now; no request on it may be in flight."""
        # A task that waits for the socket has to leave it first.
        self._scope.cancel()
        self.sock.close()

    def refuse_unfinished(self, why: str) -> None:
        """Answer 408 to a request that has arrived in part, and close.

        :param why: why its rest is not awaited.
        """
        headers, body = reply_lib.format_error(
            errors.ErrorCode.REQUEST_MALFORMED.value, why, None
        )
        data = http1.format_response(408, headers, len(body), False) + body
        with contextlib.suppress(OSError):
            # A close with unread bytes would discard the response.
            http1.receive_arrived(self.sock)
            self.sock._sock.send(data)
        self.cut()


@dataclasses.dataclass(frozen=True, slots=True)
class SideLimits:
    """Limits of a listener that isn't for callers.

    :param max_connections: its connections.
    :param max_header_bytes: headers of a request.
    :param max_body_bytes: body of a request.
    """

    max_connections: int = connection_room.SIDE_CONNECTIONS
    max_header_bytes: int = 8_192
    max_body_bytes: int = 1_024


class CallerServer:
    """Serves callers on one listening socket.

    :param gw: the gateway.
    :param side: limits of a listener that isn't for callers.
    """

    def __init__(
        self, gw: context.Gateway, side: SideLimits | None = None
    ) -> None:
        self._gw = gw
        self._side = side
        self._callers: set[Caller] = set()
        # While no connection gives way, they are searched at intervals.
        self._next_search_ms = -math.inf
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

    def _get_limit(self) -> int:
        """Return the limit of open connections."""
        if self._side is not None:
            return self._side.max_connections
        return connection_room.compute_caller_limit(self._gw.cfg.max_sockets)

    def _get_limits(self) -> model.Limits:
        """Return the limits of a request and of the time that it takes."""
        limits = self._gw.state.limits
        if self._side is None:
            return limits
        return dataclasses.replace(
            limits,
            max_header_bytes=self._side.max_header_bytes,
            max_body_bytes=self._side.max_body_bytes,
        )

    def _evict_idle(self) -> bool:
        """Close connections if there are too many, idle ones first.

        :returns: whether another connection is accepted.
        """
        limit = self._get_limit()
        count = len(self._callers)
        if count < limit:
            return True
        victims = self._find_victims(limit)
        for caller in victims:
            self._evict(caller)
        if self._side is None:
            limit = max(limit, connection_room.MIN_CONNECTIONS)
        return connection_room.has_room(count, limit, bool(victims))

    def _find_victims(self, limit: int) -> list[Caller]:
        now_ms = self._gw.now_ms()
        if now_ms < self._next_search_ms:
            return []
        victims = connection_room.choose_victims(self._callers, limit, now_ms)
        if not victims:
            self._next_search_ms = now_ms + SEARCH_INTERVAL_MS
        return victims

    def _evict(self, caller: Caller) -> None:
        gw = self._gw
        since_ms = caller.unfinished_since_ms
        gw.metrics.count('callers_closed_for_room')
        gw.log.emit_request(
            'caller-closed',
            why='too many connections',
            connections=len(self._callers),
            idle_ms=round(gw.now_ms() - caller.idle_since_ms),
            ms_unfinished=None
            if since_ms is None
            else round(gw.now_ms() - since_ms),
        )
        if caller.is_rejected:
            caller.cut()
        elif since_ms is not None:
            caller.refuse_unfinished('too many connections')
        else:
            caller.close_when_idle()

    async def _end_slow_requests(self) -> None:
        """Reject requests that take too long to arrive, until cancelled."""
        gw = self._gw
        while True:
            await trio.sleep(
                request_arrival.CHECK_INTERVAL_MS / types.SECOND_MS
            )
            routes = gw.state.cfg.routes if gw.state.cfg else ()
            limit_ms = request_arrival.compute_limit_ms(
                routes, self._get_limits()
            )
            for caller in list(self._callers):
                since_ms = caller.unfinished_since_ms
                if since_ms is None or gw.now_ms() - since_ms < limit_ms:
                    continue
                gw.metrics.count('requests_too_slow')
                gw.log.emit_request(
                    'rejected',
                    status=408,
                    why='request took too long to arrive',
                    ms_unfinished=round(gw.now_ms() - since_ms),
                )
                caller.refuse_unfinished('request took too long to arrive')

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
            if not self._evict_idle():
                # Its request wasn't read, so that it may be sent again.
                self._gw.metrics.count('callers_refused_for_room')
                peer.close()
                return
            # Counted at once, so that a stop waits for it.
            caller = Caller(peer, self._gw.now_ms)
            self._callers.add(caller)
            self._gw.accepted += 1
            nursery.start_soon(self._serve_caller, caller, handle)

        def accept_arrived() -> None:
            try:
                for peer in http1.accept_arrived(sock):
                    start(peer)
            except OSError as exc:
                self._gw.log.emit('accept-failed', error=str(exc))

        self._accept_arrived = accept_arrived
        nursery.start_soon(self._end_slow_requests)
        with sock, self._accepting:
            while True:
                try:
                    peer, _ = await sock.accept()
                except OSError as exc:
                    if exc.errno not in _NO_DESCRIPTOR_ERRNOS:
                        self._gw.log.emit('accept-failed', error=str(exc))
                    await trio.sleep(ACCEPT_RETRY_MS / types.SECOND_MS)
                    continue
                start(peer)

    async def _serve_caller(self, caller: Caller, handle: Handler) -> None:
        try:
            with caller:
                await self._handle_requests(caller, handle)
        except Exception as exc:
            # The other connections are not affected.
            self._gw.metrics.count('defects')
            trace = ''.join(traceback.format_exception(exc))
            self._gw.log.emit(
                'defect', error=trace[-relay.MAX_TRACEBACK_CHARS :]
            )
        finally:
            self._callers.discard(caller)
            self._gw.accepted -= 1
            self._release_all(caller)

    async def _handle_requests(self, caller: Caller, handle: Handler) -> None:
        # A connection may be closed before its first request is awaited.
        await trio.lowlevel.checkpoint_if_cancelled()
        caller.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        send, receive = trio.open_memory_channel(MAX_PIPELINED_REQUESTS)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read, caller, send, nursery)
            try:
                await self._answer(caller, receive, handle)
            except http1.BrokenConnectionError as exc:
                # The caller disconnected during the response.
                self._gw.log.emit_request('caller-lost', why=str(exc))
            nursery.cancel_scope.cancel()

    async def _read(
        self,
        caller: Caller,
        send: trio.MemorySendChannel,
        nursery: trio.Nursery,
    ) -> None:
        reader = http1.RequestReader(self._get_limits)
        exc: http1.RequestRejected | None = None
        try:
            while await self._read_some(caller, reader, send):
                pass
        except http1.RequestRejected as rejected:
            exc = rejected
        except http1.BrokenConnectionError:
            # A reset is handled like a close.
            pass
        if exc is not None:
            # Until the rejection is sent.
            caller.is_reading = True
            preceding, exc.preceding = exc.preceding, []
            await self._queue_requests(caller, send, preceding)
            del preceding
            await send.send(exc)
            await self._discard(caller)
        nursery.cancel_scope.cancel()

    async def _read_some(
        self,
        caller: Caller,
        reader: http1.RequestReader,
        send: trio.MemorySendChannel,
    ) -> bool:
        """Read what arrives next; tell whether the caller is still there.

        What was read belongs to the requests only, once they are queued.

        :raises http1.RequestRejected: if a request is rejected.
        """
        while (
            sum(item.held_bytes for item in list(caller.holdings)[1:])
            > MAX_READ_AHEAD_BYTES
        ):
            await caller.answered.wait()
        data = await self._receive(caller, reader)
        if not data:
            return False
        if caller.has_given_way:
            raise _make_gave_way_error()
        try:
            requests = reader.feed(data, self._gw.now_ms())
        except http1.RequestRejected as exc:
            self._charge(caller, reader, exc.preceding)
            self._release_unfinished(caller)
            raise
        del data
        self._charge(caller, reader, requests)
        if reader.is_in_request:
            self._take(caller, reader, reader.held_bytes, requests)
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
        return True

    def _charge(
        self,
        caller: Caller,
        reader: http1.RequestReader,
        requests: typing.Sequence[http1.Request],
    ) -> None:
        """Give requests that were read their memory.

        :raises http1.RequestRejected: if there is no room for one of them.
        """
        for number, req in enumerate(requests):
            self._take(caller, reader, req.held_bytes, requests[:number])
            holding, caller.unfinished = caller.unfinished, None
            self._gw.request_memory.unfinished.discard(holding)
            caller.holdings.append(holding)

    def _take(
        self,
        caller: Caller,
        reader: http1.RequestReader,
        need_bytes: int,
        preceding: typing.Sequence[http1.Request],
    ) -> None:
        gw, memory = self._gw, self._gw.request_memory
        now_ms = gw.now_ms()
        holding = caller.unfinished
        if holding is None:
            holding = caller.unfinished = request_memory.Holding(
                functools.partial(self._give_way, caller, reader),
                now_ms,
                reader.received_bytes,
            )
            memory.unfinished.add(holding)
        request_memory.record_received(holding, reader.received_bytes, now_ms)
        bounds = request_memory.Bounds.from_config(
            gw.cfg.memory_mb, gw.state.limits
        )
        if request_memory.take(memory, holding, need_bytes, bounds, now_ms):
            return
        reader.drop()
        self._release_unfinished(caller)
        gw.metrics.count('requests_without_memory')
        exc = http1.RequestRejected(
            503,
            f'expected room for {need_bytes} bytes, got none beside '
            f'{memory.used_bytes} bytes of other requests; come back later',
            errors.ErrorCode.NO_REQUEST_MEMORY,
            request_memory.RETRY_MS * gw.rng.uniform(0.6, 1.4),
        )
        exc.preceding = list(preceding)
        raise exc

    def _give_way(self, caller: Caller, reader: http1.RequestReader) -> None:
        """End a request that is being read, in favour of others."""
        reader.drop()
        caller.unfinished = None
        caller.has_given_way = True
        caller.wait.cancel()
        self._gw.metrics.count('requests_given_way')

    def _release_unfinished(self, caller: Caller) -> None:
        if caller.unfinished is not None:
            request_memory.release(self._gw.request_memory, caller.unfinished)
            caller.unfinished = None

    def _release_all(self, caller: Caller) -> None:
        self._release_unfinished(caller)
        while caller.holdings:
            request_memory.release(
                self._gw.request_memory, caller.holdings.popleft()
            )

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
        elif not caller.is_busy:
            # Empty lines are no request.
            began_s = caller.idle_began_s
        while True:
            if caller.has_given_way:
                raise _make_gave_way_error()
            limit_s = self._get_wait_limit_ms(caller, reader) / types.SECOND_MS
            with trio.CancelScope(deadline=began_s + limit_s) as caller.wait:
                return await http1.receive(caller.sock)
            if caller.has_given_way:
                continue
            # Bytes may have arrived after the last poll for events.
            data = http1.receive_arrived(caller.sock)
            if data is not None:
                return data
            if not caller.is_busy:
                began_s = max(began_s, caller.idle_began_s)
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
        if caller.is_closing and not reader.is_in_request:
            return 0.0
        return limits.idle_timeout_ms

    async def _answer(
        self,
        caller: Caller,
        receive: trio.MemoryReceiveChannel,
        handle: Handler,
    ) -> None:
        async for item in receive:
            if isinstance(item, http1.RequestRejected):
                caller.is_rejected = True
                await self._reject(caller, item)
                return
            if item is http1.CONTINUE:
                await http1.send_all(caller.sock, http1.CONTINUE)
                continue
            is_open = await self._answer_one(caller, item, handle)
            # The next one may be long in coming.
            del item
            request_memory.release(
                self._gw.request_memory, caller.holdings.popleft()
            )
            caller.open_requests -= 1
            caller.idle_since_ms = self._gw.now_ms()
            caller.idle_began_s = trio.current_time()
            caller.answered.set()
            caller.answered = trio.Event()
            if not caller.is_busy:
                # The wait for the next request began before the response.
                limit_ms = self._get_limits().idle_timeout_ms
                caller.wait.deadline = (
                    caller.idle_began_s + limit_ms / types.SECOND_MS
                )
            if not is_open:
                return

    async def _answer_one(
        self, caller: Caller, req: http1.Request, handle: Handler
    ) -> bool:
        """Answer a request; tell whether the connection stays open."""
        keeps_alive = functools.partial(self._keeps_alive, caller, req)
        has_body = req.method != http1.HEAD
        reply = reply_lib.Reply(
            caller.sock, keeps_alive, has_body, self._gw.unsent
        )
        await handle(req, reply)
        if reply.is_given_up:
            self._gw.metrics.count('answers_given_up')
        return reply.is_finished and reply.keeps_alive

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
            exc.code.value, str(exc), exc.retry_after_ms
        )
        reply = reply_lib.Reply(caller.sock, lambda: False)
        await reply.send_response(exc.status, headers, body)
        self._gw.log.emit_request('rejected', status=exc.status, why=str(exc))
        # A close with unread bytes resets the connection, and the caller
        # may lose the response. The other task reads until it disconnects.
        with contextlib.suppress(OSError):
            caller.sock.shutdown(socket.SHUT_WR)
        await trio.sleep(LINGER_MS / types.SECOND_MS)


def _make_gave_way_error() -> http1.RequestRejected:
    return http1.RequestRejected(
        408,
        'the request made no progress while others needed its memory',
        errors.ErrorCode.NO_REQUEST_MEMORY,
    )


def make_handler(gw: context.Gateway) -> Handler:
    """Return the handler of callers' requests."""
    return functools.partial(relay.handle_request, gw)
