"""Tests of an HTTP server whose application refuses requests."""

from starlette import applications
from starlette import responses
from starlette import routing
import trio
import trio.testing

from foxtailpick.node import http_server

HOST = '127.0.0.1'
CHUNKS = b'1\r\n{\r\n' * 1_000


def test_request_refused_before_its_body_is_read_is_closed():
    """The parts of the body fill the queue of the application first."""
    received = bytearray()

    async def refuse(req):
        await trio.testing.wait_all_tasks_blocked(0.1)
        return responses.PlainTextResponse('no', status_code=401)

    app = applications.Starlette(
        routes=[routing.Route('/', refuse, methods=['POST'])]
    )

    async def main():
        async with http_server.serve_app(app, HOST, 0, 200.0) as url:
            port = int(url.rpartition(':')[2])
            async with await trio.open_tcp_stream(HOST, port) as stream:
                await stream.send_all(
                    b'POST / HTTP/1.1\r\nHost: a\r\n'
                    b'Transfer-Encoding: chunked\r\n\r\n' + CHUNKS
                )
                with trio.fail_after(10):
                    async for part in stream:
                        received.extend(part)

    trio.run(main)
    assert received.startswith(b'HTTP/1.1 401')
