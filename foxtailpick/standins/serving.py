"""Serve an ASGI app on a free loopback port, inside the running loop."""

import contextlib
import typing

from hypercorn import config as hypercorn_config
from hypercorn import trio as hypercorn_trio
import trio

LOOPBACK = '127.0.0.1'
GRACEFUL_TIMEOUT_MS = 200.0


@contextlib.asynccontextmanager
async def serve_app(
    app: typing.Any, port: int = 0
) -> typing.AsyncIterator[str]:
    """Serve an app until the context is left.

    :param app: the ASGI app; it has to answer lifespan events.
    :param port: TCP port, 0 for any free one.
    :returns: context whose value is the base URL, `http://host:port`.
    """
    cfg = hypercorn_config.Config()
    cfg.bind = [f'{LOOPBACK}:{port}']
    cfg.errorlog = None
    cfg.accesslog = None
    cfg.graceful_timeout = GRACEFUL_TIMEOUT_MS / 1_000.0
    # An error of the body is raised again outside the nursery, so that the
    # caller sees it as it is and not inside an exception group.
    failure = None
    async with trio.open_nursery() as nursery:
        binds = await nursery.start(hypercorn_trio.serve, app, cfg)
        try:
            yield binds[0]
        except Exception as exc:
            failure = exc
        finally:
            nursery.cancel_scope.cancel()
    if failure is not None:
        raise failure
