"""HTTP connections on which a reset does not pass for a close.

httpcore passes over a failed write and goes on with the response, as a server
may answer before it has read the whole request. The kernel has then reported
a reset to the write, and reports the end of the stream to the reads. That
would complete a body which the close of its connection ends.
"""

import dataclasses
import math
import typing

import httpcore
from loguru import logger
import trio

from foxtailpick.adapters import tcp


@dataclasses.dataclass(slots=True)
class Counters:
    """Counters of the connections of this process.

    :param answers_reset: answers whose connection failed within them.
    """

    answers_reset: int = 0


COUNTERS = Counters()


def open_pool(
    max_connections: int, keepalive_expiry_s: float | None = None
) -> httpcore.AsyncConnectionPool:
    """Return a connection pool, an async context manager.

    Reading a response raises `httpcore.ReadError` if its connection failed,
    also if a write has reported that before.

    :param max_connections: the most connections.
    :param keepalive_expiry_s: idle time after which a connection is not
        reused, in seconds; None for no limit.
    """
    return httpcore.AsyncConnectionPool(
        max_connections=max_connections,
        keepalive_expiry=keepalive_expiry_s,
        network_backend=_Backend(),
    )


def format_metrics() -> typing.Iterator[str]:
    """Yield the metrics in text format, one `name value` per line."""
    yield f'foxtailpick_answers_reset_total {COUNTERS.answers_reset}'


class _Backend(httpcore.AsyncNetworkBackend):
    """Opens connections for httpcore."""

    def __init__(self) -> None:
        self._backend = httpcore.TrioBackend()

    async def connect_tcp(
        self, host: str, port: int, *args: typing.Any, **kwargs: typing.Any
    ) -> httpcore.AsyncNetworkStream:
        stream = await self._backend.connect_tcp(host, port, *args, **kwargs)
        return _Stream(stream, f'{host}:{port}')

    async def sleep(self, seconds: float) -> None:
        await self._backend.sleep(seconds)


class _Stream(httpcore.AsyncNetworkStream):
    """A connection, which raises an error at its end unless it was closed.

    :param stream: the connection.
    :param peer: address of the server, for the log.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream, peer: str) -> None:
        self._stream = stream
        self._peer = peer
        self._write_error: httpcore.WriteError | None = None
        self._is_in_answer = False

    async def read(
        self, max_bytes: int, timeout: float | None = None
    ) -> bytes:
        try:
            data = await self._stream.read(max_bytes, timeout)
        except httpcore.ReadError as exc:
            self._record(exc)
            raise
        if not data and self._is_in_answer and await self._is_cut(timeout):
            error = httpcore.ReadError(
                'connection failed within the answer, which may lack its end'
            )
            self._record(error)
            raise error from self._write_error
        if data:
            self._is_in_answer = True
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        self._is_in_answer = False
        try:
            await self._stream.write(buffer, timeout)
        except httpcore.WriteError as exc:
            self._write_error = exc
            raise

    async def aclose(self) -> None:
        await self._stream.aclose()

    async def start_tls(
        self, *args: typing.Any, **kwargs: typing.Any
    ) -> httpcore.AsyncNetworkStream:
        stream = await self._stream.start_tls(*args, **kwargs)
        return _Stream(stream, self._peer)

    def get_extra_info(self, info: str) -> typing.Any:
        return self._stream.get_extra_info(info)

    async def _is_cut(self, timeout: float | None) -> bool:
        """Tell whether the end of the stream is not a close in order.

        :param timeout: longest wait in seconds, None for no limit.
        :raises httpcore.ReadTimeout: if it is not known in that time.
        """
        limit_s = math.inf if timeout is None else timeout
        with trio.move_on_after(limit_s) as scope:
            # A server that has failed doesn't take the rest of the request.
            await tcp.wait_acknowledged(
                self.get_extra_info('socket'), self._has_failed
            )
        if scope.cancelled_caught:
            raise httpcore.ReadTimeout(
                'server closed, but did not take the request in time'
            )
        return self._has_failed()

    def _has_failed(self) -> bool:
        return self._write_error is not None or tcp.is_disconnected(
            self.get_extra_info('socket')
        )

    def _record(self, exc: httpcore.ReadError) -> None:
        if self._is_in_answer:
            COUNTERS.answers_reset += 1
            logger.warning('HTTP answer of {} reset: {!r}.', self._peer, exc)
