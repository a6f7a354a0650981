"""Tests of connections from routers."""

import types as types_lib

import trio
from websockets import exceptions

from foxtailpick.adapters import wire
from foxtailpick.core import codec
from foxtailpick.core import messages
from foxtailpick.core import types
from foxtailpick.sidecar import connections

HELLO = messages.Hello(messages.PROTOCOL_VERSION, 'r1', 'i1')


class _LostConnection:
    """Delivers a hello, and is lost at the next read."""

    def __init__(self):
        self.incoming = [codec.encode_frame(messages.Frame(1, HELLO))]

    async def recv(self):
        await trio.lowlevel.checkpoint()
        if self.incoming:
            return self.incoming.pop()
        raise exceptions.ConnectionClosedError(None, None)

    async def send(self, data):
        await trio.lowlevel.checkpoint()


class _Node:
    """Calls its listener while the listener is being dropped."""

    def __init__(self):
        self.listener = None
        self.sent_count = 0

    def read_number(self):
        return 1

    def add_router(self, name, listener):
        self.listener = listener

    def remove_router(self, name):
        self.listener(messages.Probe(1))
        self.sent_count += 1


def _make_worker():
    slow_start = types_lib.SimpleNamespace(state=types.EndpointState.READY)
    pool = types_lib.SimpleNamespace(load=0.0)
    gate = types_lib.SimpleNamespace(slow_start=slow_start, pool=pool)
    return types_lib.SimpleNamespace(gate=gate, state_changed=trio.Event())


async def test_listener_may_send_until_it_is_dropped():
    node = _Node()
    conn = connections.Connection(
        _LostConnection(),
        _make_worker(),
        HELLO,
        node,
        lambda *args: None,
        wire.TrafficMeter(),
    )
    await conn.serve()
    assert node.sent_count == 1
