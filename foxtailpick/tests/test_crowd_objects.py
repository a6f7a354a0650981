"""Tests that many small objects in requests stay within the memory."""

import contextlib
import json

import h2.config
import h2.connection
import pytest
import trio

from foxtailpick.core import messages
from foxtailpick.core import types
from foxtailpick.tests import node_crowd_harness as harness

CHAT_PATH = '/v1/chat/completions'
BODY_BYTES = 900_000
CROWD_S = 20.0


@pytest.fixture(autouse=True)
def crowd_lock():
    """Run one test of a crowd at a time."""
    with harness.hold_lock():
        yield


def make_request_of_many_messages():
    """Return a chat completion with as many messages as fit."""
    message = json.dumps({'role': 'u', 'content': ''}) + ','
    head = f'{{"model": "{harness.MODEL}", "messages": ['
    tail = '{"role": "u", "content": ""}]}'
    count = (BODY_BYTES - len(head) - len(tail)) // len(message)
    body = (head + message * count + tail).encode()
    length = f'Content-Length: {len(body)}'
    return harness.format_head(CHAT_PATH, length) + body


def test_many_messages_exceed_the_memory(record_property):
    async def main():
        request = make_request_of_many_messages()
        async with contextlib.AsyncExitStack() as stack:
            platform = await stack.enter_async_context(harness.open_platform())
            sidecar = await stack.enter_async_context(platform.open_sidecar())
            router = await stack.enter_async_context(platform.open_router())

            async def client():
                return await harness.send_parts(
                    router.port, [request], CROWD_S
                )

            async with harness.open_crowd(client, 200):
                router.check_bounds(record_property)
                sidecar.check_bounds(record_property)
                assert await harness.ask(router.port) == 200
            router.check_bounds(record_property)
            sidecar.check_bounds(record_property)

    trio.run(main)


async def open_streams(port, count):
    """Open requests without their bodies on one HTTP/2 connection."""
    conn = h2.connection.H2Connection(h2.config.H2Configuration())
    conn.initiate_connection()
    for _ in range(count):
        conn.send_headers(
            conn.get_next_available_stream_id(),
            [
                (':method', 'POST'),
                (':scheme', 'http'),
                (':authority', harness.LOOPBACK),
                (':path', CHAT_PATH),
                ('authorization', f'Bearer {harness.CREDENTIAL}'),
            ],
        )
    return await harness.send_parts(port, [conn.data_to_send()], CROWD_S)


def test_open_streams_of_http2_exceed_the_memory(record_property):
    async def main():
        async with contextlib.AsyncExitStack() as stack:
            platform = await stack.enter_async_context(harness.open_platform())
            await stack.enter_async_context(platform.open_sidecar())
            router = await stack.enter_async_context(platform.open_router())

            async def client():
                return await open_streams(router.port, 95)

            async with harness.open_crowd(client, 600):
                assert await harness.ask(router.port) == 200
                router.check_bounds(record_property)
            router.check_bounds(record_property)
            assert await harness.ask(router.port) == 200

    trio.run(main)


def make_chats(peer):
    """Yield frames that open many small chats."""
    for first in range(0, 5_000, 50):
        yield b''.join(
            harness.format_frame(
                messages.OpenChat(
                    attempt=types.AttemptId(f'a{peer}-{first + index}'),
                    request=types.RequestId('r'),
                    account=types.AccountId('crew'),
                    chat=types.ChatId('c'),
                    model=types.ModelId(harness.MODEL),
                    priority=types.Priority.NORMAL,
                    deadline_ms=3_600_000.0,
                    prompt_tokens=1,
                    max_tokens=1,
                    mean_load=None,
                    resume_from=0,
                    candidates=(),
                    body=harness.make_chat_body(),
                )
            )
            for index in range(50)
        )


def test_chats_of_peers_that_do_not_read_exceed_the_memory(record_property):
    async def main():
        async with contextlib.AsyncExitStack() as stack:
            platform = await stack.enter_async_context(harness.open_platform())
            sidecar = await stack.enter_async_context(platform.open_sidecar())
            peers = iter(range(20))

            async def client():
                peer = None
                with trio.move_on_after(CROWD_S):
                    with contextlib.suppress(trio.BrokenResourceError):
                        peer = await harness.Peer.from_port(sidecar.port)
                        for part in make_chats(next(peers)):
                            await peer.stream.send_all(part)
                return peer.stream if peer else None

            async with harness.open_crowd(client, 20):
                sidecar.check_bounds(record_property)
            async with platform.open_router() as router:
                assert await harness.ask(router.port) == 200
            sidecar.check_bounds(record_property)

    trio.run(main)
