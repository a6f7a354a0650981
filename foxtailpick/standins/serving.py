"""Serve an ASGI app on loopback inside the running trio loop."""

import contextlib
import typing

from foxtailpick.node import http_server

LOOPBACK = '127.0.0.1'
GRACEFUL_TIMEOUT_MS = 200.0


@contextlib.asynccontextmanager
async def serve_app(
    app: typing.Any, port: int = 0
) -> typing.AsyncIterator[str]:
    """Serve an app until the context exits.

    :param app: the ASGI app; it has to handle lifespan events.
    :param port: TCP port, 0 for any free one.
    :returns: context whose value is the base URL, `http://host:port`.
    """
    # An exception of the body is raised outside the nursery, so that it is
    # not wrapped in an exception group.
    failure = None
    serve = http_server.serve_app(app, LOOPBACK, port, GRACEFUL_TIMEOUT_MS)
    async with serve as url:
        try:
            yield url
        except Exception as exc:
            failure = exc
    if failure is not None:
        raise failure
