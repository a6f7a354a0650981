"""Bounds the bodies of requests that a process keeps."""

import contextlib
import typing

from starlette import requests
import trio

from foxtailpick.core import errors
from foxtailpick.core import types

MAX_BODY_BYTES = 900_000
RETRY_AFTER_MS = types.SECOND_MS


class RequestBody:
    """The body of one request."""

    def __init__(self) -> None:
        self.held_bytes = 0
        self.is_complete = False
        self.is_refused = False
        self._scope = trio.CancelScope()

    def refuse(self) -> None:
        """Refuse the request; ends the wait for its next part."""
        self.is_refused = True
        self._scope.cancel()

    async def wait(
        self, receive: typing.Callable[[], typing.Awaitable[dict]]
    ) -> dict:
        """Wait for the next message of the request.

        :param receive: ASGI receive function.
        :raises errors.RequestError: if the request is refused.
        """
        message = None
        with trio.CancelScope() as self._scope:
            message = await receive()
        if self.is_refused or message is None:
            raise _make_full_error()
        return message


class BodyBudget:
    """The bytes of all bodies that a process keeps.

    :param limit_bytes: the most bytes.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.held_bytes = 0
        self._limit_bytes = limit_bytes
        # In the order in which the requests came.
        self._bodies: dict[RequestBody, None] = {}

    @contextlib.contextmanager
    def open_body(self) -> typing.Iterator[RequestBody]:
        """Account for the body of a request until the context exits."""
        body = RequestBody()
        self._bodies[body] = None
        try:
            yield body
        finally:
            del self._bodies[body]
            self._release(body)

    def add(self, body: RequestBody, size: int) -> None:
        """Account for a part of a body.

        If there is no room, incomplete requests are refused, the oldest
        first: a caller that sends its body at once is not among them.

        :param body: the body.
        :param size: bytes of the part.
        """
        body.held_bytes += size
        self.held_bytes += size
        while self.held_bytes > self._limit_bytes and not body.is_refused:
            refused = next(
                (item for item in self._bodies if _is_refusable(item)), body
            )
            refused.refuse()
            self._release(refused)

    def _release(self, body: RequestBody) -> None:
        self.held_bytes -= body.held_bytes
        body.held_bytes = 0


def limit_bodies(app: typing.Any, budget: BodyBudget) -> typing.Any:
    """Return an application whose requests share a budget for bodies.

    A request that gets no room fails in `receive` with an
    `errors.RequestError`. The bytes are kept until the answer has been sent.

    :param app: the ASGI application.
    :param budget: the budget.
    """

    async def serve(
        scope: typing.Any,
        receive: typing.Callable,
        send: typing.Callable,
    ) -> None:
        if scope['type'] != 'http':
            await app(scope, receive, send)
            return
        with budget.open_body() as body:

            async def receive_counted() -> dict:
                message = await body.wait(receive)
                if message['type'] == 'http.request':
                    body.is_complete = not message.get('more_body', False)
                    budget.add(body, len(message.get('body', b'')))
                    if body.is_refused:
                        raise _make_full_error()
                return message

            await app(scope, receive_counted, send)

    return serve


async def read_body(req: requests.Request) -> bytes:
    """Read the body of a request.

    :param req: the request.
    :raises errors.RequestError: if it is too large for one frame.
    """
    body = bytearray()
    async for part in req.stream():
        body += part
        if len(body) > MAX_BODY_BYTES:
            raise errors.RequestError(
                errors.ErrorCode.REQUEST_MALFORMED,
                f'body: expected at most {MAX_BODY_BYTES} bytes, got more; '
                f'shorten the request',
            )
    return bytes(body)


def _is_refusable(body: RequestBody) -> bool:
    return not body.is_complete and not body.is_refused


def _make_full_error() -> errors.RequestError:
    return errors.RequestError(
        errors.ErrorCode.OVERLOADED,
        'body: expected room for the bodies of all requests, got none; '
        'come back later',
        retry_after_ms=RETRY_AFTER_MS,
    )
