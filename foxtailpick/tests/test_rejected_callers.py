"""Tests of what is read of callers after a rejected request."""

import trio

from foxtailpick.gateway import client as client_lib
from foxtailpick.gateway import http1
from foxtailpick.gateway import server
from foxtailpick.tests import gateway_harness

PART = b'x' * 65_536
# What the buffers of both sockets may hold beside what is read.
BUFFERS_BYTES = 16_777_216
SENT_BYTES = 4 * server.MAX_DISCARDED_BYTES


async def test_no_more_is_read_than_a_caller_may_still_send():
    """It was read without an end while an earlier request was running."""

    async def hang(exchange):
        await trio.sleep_forever()

    async with gateway_harness.open_harness() as harness:
        endpoint = harness.add_endpoint('p1', 'plain', hang)
        await harness.until_known('p1')
        conn = await client_lib.ClientConnection.connect(harness.address)
        await conn.send(gateway_harness.format_ask('/unsafe/x', b'POST'))
        await harness.until(lambda: endpoint.received)
        await conn.send(b'no request\r\n')
        sent = 0
        with trio.move_on_after(1.5):
            while sent < SENT_BYTES:
                sent += await http1.send_some(conn._sock, memoryview(PART))
        conn.close()
    assert sent < server.MAX_DISCARDED_BYTES + BUFFERS_BYTES
