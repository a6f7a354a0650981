"""Tests that crowds of peers leave a sidecar alive and within its bounds."""

import contextlib
import functools
import signal

import pytest
import trio

from foxtailpick.core import messages
from foxtailpick.tests import node_crowd_harness as harness

CHUNKED = 'Transfer-Encoding: chunked'
PIECE = bytes(60_000)
CROWD = 400
CROWD_S = 20.0


@pytest.fixture(autouse=True)
def crowd_lock():
    """Run one test of a crowd at a time."""
    with harness.hold_lock():
        yield


def run_crowd(check, descriptors=harness.DESCRIPTORS):
    """Run a function with a sidecar and what opens a router."""

    async def main():
        async with contextlib.AsyncExitStack() as stack:
            platform = await stack.enter_async_context(
                harness.open_platform(descriptors)
            )
            sidecar = await stack.enter_async_context(platform.open_sidecar())
            await check(platform, sidecar)

    trio.run(main)


async def check_crowd(
    platform, sidecar, client, record, count=CROWD, at_once=CROWD
):
    """Check the bounds while a crowd stays.

    The router connects when the crowd is there.
    """
    async with harness.open_crowd(client, count, at_once):
        sidecar.check_bounds(record)
        async with platform.open_router() as router:
            assert await harness.ask(router.port) == 200
    sidecar.check_bounds(record)


def make_peer_client(port, parts, limit_s=CROWD_S):
    """Return a client that says hello, sends parts and then stays."""

    async def client():
        peer = None
        with trio.move_on_after(limit_s):
            with contextlib.suppress(trio.BrokenResourceError, OSError):
                peer = await harness.Peer.from_port(port)
                for part in parts():
                    await peer.stream.send_all(part)
        return peer.stream if peer else None

    return client


def test_frames_short_of_their_end_exceed_the_memory(record_property):
    def parts():
        yield harness.format_frame_head(messages.MAX_FRAME_BYTES)
        for _ in range(17):
            yield PIECE

    async def check(platform, sidecar):
        client = make_peer_client(sidecar.port, parts)
        # So few at once that each has said hello in time.
        await check_crowd(
            platform, sidecar, client, record_property, at_once=10
        )

    run_crowd(check)


@pytest.mark.parametrize('kind', ['hello', 'upgrade', 'nothing', 'operators'])
def test_peers_that_stay_take_all_descriptors(kind, record_property):
    async def check(platform, sidecar):
        port = sidecar.port
        head = b'GET / HTTP/1.1\r\nHost: a\r\n'
        if kind == 'operators':
            port = sidecar.admin_port
        if kind == 'nothing':
            head = b''
        client = functools.partial(harness.send_parts, port, [head], CROWD_S)
        if kind == 'hello':
            client = make_peer_client(port, lambda: ())
        await check_crowd(platform, sidecar, client, record_property)

    run_crowd(check, harness.FEW_DESCRIPTORS)


def test_order_without_end_exceeds_the_memory(record_property):
    async def check(platform, sidecar):
        def parts():
            yield harness.format_head('/v1/orders', CHUNKED)
            for _ in range(2_000):
                yield harness.format_chunk(PIECE)

        async def client():
            return await harness.send_parts(
                sidecar.admin_port, parts(), CROWD_S
            )

        await check_crowd(platform, sidecar, client, record_property, 4)

    run_crowd(check)


QUESTIONS = {
    'configuration': messages.ConfigWanted(0, 1),
    'chunk': messages.ChunkWanted(0, b''),
}


@pytest.mark.parametrize('kind', list(QUESTIONS))
def test_replies_to_peers_that_do_not_read_exceed_the_memory(
    kind, record_property
):
    def parts():
        frame = harness.format_frame(QUESTIONS[kind])
        for _ in range(100):
            yield frame * 200

    async def check(platform, sidecar):
        client = make_peer_client(sidecar.port, parts)
        await check_crowd(platform, sidecar, client, record_property, 10)

    run_crowd(check)


def test_peer_that_does_not_read_keeps_the_process():
    def parts():
        frame = harness.format_frame(QUESTIONS['configuration'])
        for _ in range(100):
            yield frame * 200

    async def check(platform, sidecar):
        client = make_peer_client(sidecar.port, parts, 5.0)
        async with harness.open_crowd(client, 4):
            sidecar.process.send_signal(signal.SIGTERM)
            with trio.move_on_after(harness.STOP_TIMEOUT_S):
                while sidecar.process.poll() is None:
                    await trio.sleep(0.1)
            assert sidecar.process.poll() == 0, 'the process does not end'

    run_crowd(check)
