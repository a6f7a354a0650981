"""Writes the response to one request of a caller."""

import json
import typing

import trio

from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import unsent_answers
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
    :param unsent: the answers of all callers that wait to be read.
    """

    def __init__(
        self,
        sock: trio.socket.SocketType,
        decide_keep_alive: typing.Callable[[], bool],
        has_body: bool = True,
        unsent: unsent_answers.UnsentAnswers | None = None,
    ) -> None:
        self._sock = sock
        self._decide_keep_alive = decide_keep_alive
        self._has_body = has_body
        self._pending_head = b''
        self._unsent: list[memoryview] = []
        self._unsent_answers = unsent or unsent_answers.UnsentAnswers()
        self._is_waiting = False
        self.is_given_up = False
        # Cancelled when the response is given up.
        self._sending = trio.CancelScope()
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
        self._unsent = _split(head, body if self._has_body else b'')
        try:
            with self._sending:
                await self._send_in_time()
        finally:
            self._unsent_answers.discard(self)

    def give_up(self) -> None:
        """Stop to send the response, so that its connection is closed."""
        self.is_given_up = True
        self._sending.cancel()

    async def _send_in_time(self) -> None:
        try:
            await self._send_rest()
        except trio.Cancelled:
            if self._sending.cancel_called:
                raise
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
                await self._send_piece()
            if stall.cancelled_caught:
                return
            if self._unsent:
                self._wait_in_turn()
        self.is_finished = True

    async def _send_piece(self) -> None:
        sent = await http1.send_some(self._sock, self._unsent[0])
        self._unsent[0] = self._unsent[0][sent:]
        if not self._unsent[0]:
            del self._unsent[0]

    def _wait_in_turn(self) -> None:
        if self._is_waiting:
            return
        self._is_waiting = True
        size = sum(map(len, self._unsent))
        for reply in self._unsent_answers.add(self, size):
            reply.give_up()

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


def _split(head: bytes, body: bytes) -> list[memoryview]:
    """Return what is sent in turn; a long body isn't copied."""
    if len(body) <= http1.INLINE_BODY_BYTES:
        return [memoryview(head + body)]
    return [memoryview(head), memoryview(body)]


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
