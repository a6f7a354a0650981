"""Serves an ASGI application over HTTP in the running Trio loop."""

import contextlib
import functools
import typing

from hypercorn import config as hypercorn_config
from hypercorn.trio import tcp_server
from hypercorn.trio import worker_context
from hypercorn import utils
from loguru import logger
from starlette import requests
import trio

from foxtailpick.core import types
from foxtailpick.node import client_connections

# Longer than the idle time-outs of load balancers and callers, so that they
# close idle connections first and no request races with a close.
KEEP_ALIVE_S = 75.0

# Key of a connection in the state of its requests.
_STREAM = 'foxtailpick.stream'


@contextlib.asynccontextmanager
async def serve_app(
    app: typing.Any,
    host: str,
    port: int,
    grace_ms: float,
    limit: client_connections.ConnectionLimit | None = None,
) -> typing.AsyncIterator[str]:
    """Serve an application until the context exits.

    On exit the server stops listening, then lets responses in flight finish.

    :param app: the ASGI application; it gets no lifespan events.
    :param host: IP address to listen on.
    :param port: TCP port, 0 for any free one.
    :param grace_ms: longest wait for responses in flight.
    :param limit: bounds the connections, None for no bound.
    :returns: context whose value is the base URL.
    """
    cfg = _make_config(host, port, grace_ms)
    context = worker_context.WorkerContext(None)
    wrapped = utils.wrap_app(
        _track_requests(discard_unread(_log_failures(app))), 0, 'asgi'
    )
    streams: set[client_connections.ClientStream] = set()

    async def serve(stream: client_connections.ClientStream) -> None:
        streams.add(stream)
        state = {_STREAM: stream}
        try:
            await tcp_server.TCPServer(wrapped, cfg, context, state, stream)
        except Exception as exc:
            # An error of one connection must not end the others.
            logger.warning('HTTP connection failed. {!r:.200}', exc)
        finally:
            streams.discard(stream)

    bound = limit or client_connections.ConnectionLimit()
    listeners = [
        client_connections.ClientListener(listener, bound)
        for listener in await trio.open_tcp_listeners(
            port, host=host, backlog=cfg.backlog
        )
    ]
    sock = listeners[0].socket
    address = utils.repr_socket_addr(sock.family, sock.getsockname())
    async with trio.open_nursery() as closing:
        async with trio.open_nursery() as serving:
            accept = functools.partial(
                trio.serve_listeners, serve, listeners, handler_nursery=serving
            )
            async with trio.open_nursery() as accepting:
                await accepting.start(accept)
                yield f'http://{address}'
                accepting.cancel_scope.cancel()
            await context.terminated.set()
            end_s = trio.current_time() + cfg.graceful_timeout
            serving.cancel_scope.deadline = end_s
            closing.start_soon(_close_streams, streams, end_s)
        closing.cancel_scope.cancel()


async def _close_streams(
    streams: set[client_connections.ClientStream], end_s: float
) -> None:
    """Close connections at the end of the grace period.

    Writes are shielded from cancellation and wait for a client that does not
    read; they end with their connection.
    """
    await trio.sleep_until(end_s)
    for stream in list(streams):
        stream.close()


def _track_requests(app: typing.Any) -> typing.Any:
    """Return an application that tells connections what they wait for."""

    async def serve(
        scope: typing.Any,
        receive: typing.Callable,
        send: typing.Callable,
    ) -> None:
        stream = scope.get('state', {}).pop(_STREAM, None)
        if scope['type'] != 'http' or stream is None:
            await app(scope, receive, send)
            return
        is_read = False

        async def receive_tracked() -> dict:
            nonlocal is_read
            if is_read:
                return await receive()
            with stream.read_request():
                message = await receive()
            is_read = not message.get('more_body', False)
            return message

        with stream.open_request():
            await app(scope, receive_tracked, send)

    return serve


def discard_unread(app: typing.Any) -> typing.Any:
    """Return an application that reads bodies to their end.

    The server waits until each part of a body is taken, also before it
    closes a connection, so a request that is refused before its body has
    been read would keep its connection.

    :param app: the ASGI application.
    """

    async def serve(
        scope: typing.Any,
        receive: typing.Callable,
        send: typing.Callable,
    ) -> None:
        if scope['type'] != 'http':
            await app(scope, receive, send)
            return
        is_read = False
        failure = None

        async def receive_tracked() -> dict:
            nonlocal is_read
            message = await receive()
            is_read = is_read or not message.get('more_body', False)
            return message

        async def discard() -> None:
            while (await receive())['type'] != 'http.disconnect':
                pass

        async with trio.open_nursery() as nursery:

            async def send_and_discard(message: dict) -> None:
                if message['type'] == 'http.response.start' and not is_read:
                    nursery.start_soon(discard)
                await send(message)

            try:
                await app(scope, receive_tracked, send_and_discard)
            except Exception as exc:
                failure = exc
            nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure

    return serve


def _log_failures(app: typing.Any) -> typing.Any:
    async def serve(
        scope: typing.Any,
        receive: typing.Callable,
        send: typing.Callable,
    ) -> None:
        try:
            await app(scope, receive, send)
        except requests.ClientDisconnect:
            raise
        except Exception:
            if scope['type'] != 'http':
                raise
            logger.exception('HTTP request failed.')
            raise

    return serve


def _make_config(
    host: str, port: int, grace_ms: float
) -> hypercorn_config.Config:
    cfg = hypercorn_config.Config()
    cfg.bind = [f'{host}:{port}']
    cfg.errorlog = None
    cfg.keep_alive_timeout = KEEP_ALIVE_S
    cfg.accesslog = None
    cfg.graceful_timeout = grace_ms / types.SECOND_MS
    return cfg
