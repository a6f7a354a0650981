"""Tests of links to sidecars."""

import functools

import pytest
import trio
from websockets.trio import server as ws_server

from foxtailpick.adapters import wire
from foxtailpick.core import errors
from foxtailpick.core import messages
from foxtailpick.node import links


async def test_handshake_timeout_is_link_error(monkeypatch):
    monkeypatch.setattr(wire, 'OPEN_TIMEOUT_S', 0.1)
    hello = messages.Hello(messages.PROTOCOL_VERSION, 'r1', 'i1')
    serve = functools.partial(
        ws_server.serve,
        lambda conn: trio.sleep_forever(),
        0,
        host='127.0.0.1',
    )
    async with trio.open_nursery() as nursery:
        server = await nursery.start(serve)
        port = server.listeners[0].socket.getsockname()[1]
        pool = links.LinkPool(hello, 1, lambda: 0, lambda *args: None)
        async with pool:
            with pytest.raises(errors.LinkError):
                await pool.acquire(f'127.0.0.1:{port}')
        nursery.cancel_scope.cancel()
