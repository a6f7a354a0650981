"""Test harness: gateway states that follow a store, in virtual time."""

import contextlib
import random
import socket

import trio

from foxtailpick.core import types
from foxtailpick.gateway import client
from foxtailpick.gateway import decision_log
from foxtailpick.gateway import mirror
from foxtailpick.gateway import state
from foxtailpick.platform import items
from foxtailpick.platform import store as store_lib

# As a gateway expires what it kept for a while.
EXPIRY_INTERVAL_S = 0.1


def now_ms():
    """Return the virtual time."""
    return trio.current_time() * 1_000


@contextlib.asynccontextmanager
async def open_store(standin, monkeypatch):
    """Yield a store and a client of it.

    Socket pairs deliver at once, so that virtual time only passes in the
    store and in timeouts.
    """
    async with trio.open_nursery() as nursery:

        async def connect(address, keep_alive_ms=None):
            ours, theirs = socket.socketpair()
            ours.setblocking(False)
            theirs.setblocking(False)
            nursery.start_soon(
                standin.serve_one, trio.socket.from_stdlib_socket(theirs)
            )
            return client.ClientConnection(
                trio.socket.from_stdlib_socket(ours)
            )

        monkeypatch.setattr(client.ClientConnection, 'connect', connect)
        with store_lib.PlatformStore(('store', 1)) as store:
            yield standin, store
        nursery.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def follow(
    store, seed=1, change_gap_ms=0.0, router='r', change_bound_ms=2_000.0
):
    """Yield a gateway state that follows a store and is registered in it."""
    log = decision_log.DecisionLog(now_ms, len)
    own = state.GatewayState(types.RouterId(router), now_ms, log)
    follower = mirror.Mirror(
        store,
        own,
        items.LAYOUT,
        now_ms,
        log,
        random.Random(seed),
        change_gap_ms=change_gap_ms,
        change_bound_ms=change_bound_ms,
    )

    async def expire():
        while True:
            await trio.sleep(EXPIRY_INTERVAL_S)
            own.expire()

    async with trio.open_nursery() as nursery:
        key = items.make_router_key(types.RouterId(router))
        nursery.start_soon(follower.run, key, b'{}')
        nursery.start_soon(expire)
        yield own
        nursery.cancel_scope.cancel()
