"""Tests of the connections from routers."""

import types as types_lib

import trio
from websockets import exceptions

from foxtailpick.adapters import wire
from foxtailpick.core import codec
from foxtailpick.core import messages
from foxtailpick.core import types
from foxtailpick.sidecar import connections

HELLO = messages.Hello(messages.PROTOCOL_VERSION, 'r1', 'i1')


class _LostConn:
    """Greets, and is lost when it is read from again."""

    def __init__(self):
        self.to_read = [codec.encode_frame(messages.Frame(1, HELLO))]

    async def recv(self):
        await trio.lowlevel.checkpoint()
        if self.to_read:
            return self.to_read.pop()
        raise exceptions.ConnectionClosedError(None, None)

    async def send(self, data):
        await trio.lowlevel.checkpoint()


class _Node:
    """Tells its listener something at the last moment."""

    def __init__(self):
        self.reply = None
        self.told = 0

    def read_number(self):
        return 1

    def add_router(self, name, reply):
        self.reply = reply

    def remove_router(self, name):
        self.reply(messages.Probe(1))
        self.told += 1


def _make_worker():
    slow = types_lib.SimpleNamespace(state=types.EndpointState.READY)
    pool = types_lib.SimpleNamespace(load=0.0)
    gate = types_lib.SimpleNamespace(slow=slow, pool=pool)
    return types_lib.SimpleNamespace(gate=gate, state_changed=trio.Event())


async def test_lost_connection_can_be_told_to_the_last():
    node = _Node()
    conn = connections.Connection(
        _LostConn(),
        _make_worker(),
        HELLO,
        node,
        lambda *args: None,
        wire.TrafficMeter(),
    )
    await conn.serve()
    assert node.told == 1
