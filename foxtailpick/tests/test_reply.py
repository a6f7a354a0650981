"""Tests of responses to callers who read slowly."""

import contextlib
import socket

import pytest
import trio

from foxtailpick.gateway import reply as reply_lib
from foxtailpick.tests import gateway_harness

BODY = b'x' * 3_000_000
SLOW_MS = 3 * reply_lib.FINAL_SEND_TIMEOUT_MS


@contextlib.contextmanager
def open_pair():
    """Return a connected pair of sockets whose buffers are small."""
    ours, theirs = trio.socket.socketpair()
    with ours, theirs:
        for sock in (ours, theirs):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        yield ours, theirs


async def read_all(sock, after_ms):
    """Read until the end, after a pause; return what was received."""
    await trio.sleep(after_ms / 1_000)
    received = b''
    while data := await sock.recv(1_000_000):
        received += data
    return received


@pytest.mark.parametrize(
    ('deadline_ms', 'is_complete'),
    [
        (None, True),
        (2 * SLOW_MS, True),
        # The deadline passes while the caller still reads.
        (SLOW_MS, True),
        (1.0, False),
    ],
)
async def test_slow_caller_gets_the_whole_response(
    deadline_ms, is_complete, autojump_clock
):
    """It may read for as long as the request may take, and a little more."""
    received = b''
    with open_pair() as (ours, theirs):
        reply = reply_lib.Reply(ours, lambda: True)

        async def send():
            with trio.move_on_after((deadline_ms or 1e6) / 1_000):
                await reply.send_response(200, (), BODY)
            ours.close()

        with trio.fail_after(gateway_harness.LIMIT_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send)
                received = await read_all(theirs, SLOW_MS)
    assert reply.is_finished is is_complete
    assert received.endswith(BODY) is is_complete


@pytest.mark.parametrize('is_scoped', [False, True])
async def test_caller_who_reads_nothing_is_given_up(is_scoped, autojump_clock):
    """The connection would otherwise count as busy for good."""
    with open_pair() as (ours, _):
        reply = reply_lib.Reply(ours, lambda: True)
        with trio.fail_after(60.0):
            with trio.CancelScope(deadline=1e6 if is_scoped else float('inf')):
                await reply.send_response(200, (), BODY)
    assert not reply.is_finished
