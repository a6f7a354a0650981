"""Writes the response to one request of a caller."""

import json
import typing

import trio

from foxtailpick.core.dispatch import model
from foxtailpick.core import types
from foxtailpick.gateway import http1


# Time to send the rest of a response after the request's deadline.
FINAL_SEND_TIMEOUT_MS = 250.0
# A caller that accepts nothing for this long does not get the response.
SEND_STALL_TIMEOUT_MS = 5_000.0


class Reply:
    """The response to a request, sent at once or in chunks.

    :param sock: the caller's connection.
    :param decide_keep_alive: tells whether the connection stays open
        afterwards; called when the response begins.
    :param has_body: whether a body is sent; the response to HEAD has none.
    """

    def __init__(
        self,
        sock: trio.socket.SocketType,
        decide_keep_alive: typing.Callable[[], bool],
        has_body: bool = True,
    ) -> None:
        self._sock = sock
        self._decide_keep_alive = decide_keep_alive
        self._has_body = has_body
        self._pending_head = b''
        self._unsent: list[memoryview] = []
        self.keeps_alive = False
        self.is_started = False
        self.is_finished = False
        self.status = 0

    async def send_response(
        self,
        status: int,
        headers: typing.Iterable[model.RawHeader],
        body: bytes | bytearray,
    ) -> None:
        """Send a complete response.

        The caller has until the request's deadline to read it, and a little
        longer: endpoints often respond just before the deadline that they
        are given.
        """
        self.is_started = True
        self.status = status
        self.keeps_alive = self._decide_keep_alive()
        head = http1.format_response(
            status, headers, len(body), self.keeps_alive
        )
        if not self._has_body:
            body = b''
        # A long body is not copied.
        parts = [head, body]
        if len(body) <= http1.INLINE_BODY_BYTES:
            parts = [head + body]
        self._unsent = [memoryview(part) for part in parts]
        try:
            await self._send_rest()
        except trio.Cancelled:
            with trio.move_on_after(
                FINAL_SEND_TIMEOUT_MS / types.SECOND_MS, shield=True
            ):
                await self._send_rest()
            # Once the response is complete, the next checkpoint raises again.
            if not self.is_finished:
                raise

    async def _send_rest(self) -> None:
        while self._unsent:
            with trio.move_on_after(
                SEND_STALL_TIMEOUT_MS / types.SECOND_MS
            ) as stall:
                sent = await http1.send_some(self._sock, self._unsent[0])
                self._unsent[0] = self._unsent[0][sent:]
                if not self._unsent[0]:
                    del self._unsent[0]
            if stall.cancelled_caught:
                return
        self.is_finished = True

    def begin(
        self, status: int, headers: typing.Iterable[model.RawHeader]
    ) -> None:
        """Start a chunked response; its head is sent with the first chunk."""
        self.status = status
        self.keeps_alive = self._decide_keep_alive()
        self._pending_head = http1.format_response(
            status, headers, None, self.keeps_alive
        )

    async def send_chunk(self, data: bytes) -> None:
        """Send a chunk of the body."""
        head, self._pending_head = self._pending_head, b''
        self.is_started = True
        part = http1.format_chunk(data) if self._has_body else b''
        await http1.send_all(self._sock, head + part)

    async def finish(self) -> None:
        """Complete a chunked response."""
        head, self._pending_head = self._pending_head, b''
        self.is_started = True
        part = http1.LAST_CHUNK if self._has_body else b''
        await http1.send_all(self._sock, head + part)
        self.is_finished = True


def format_error(
    code: str, message: str, retry_after_ms: float | None
) -> tuple[list[model.RawHeader], bytes]:
    """Return headers and body of an error response of the gateway.

    :param code: its stable error code.
    :param message: what was expected, what came and what to do.
    :param retry_after_ms: delay until a retry may succeed, if any.
    """
    headers = [(b'Content-Type', b'application/json')]
    if retry_after_ms is not None:
        seconds = retry_after_ms / types.SECOND_MS
        headers.append((b'Retry-After', b'%.3f' % seconds))
    body = json.dumps({'error': {'code': code, 'message': message}})
    return headers, body.encode()
