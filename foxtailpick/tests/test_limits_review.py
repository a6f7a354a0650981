"""Tests of refusals of requests at the limits of a gateway's memory."""

from foxtailpick.gateway import client as client_lib
from foxtailpick.tests import gateway_harness


async def test_body_far_over_the_limit_is_too_long():
    """It never finds room, so that no retry is promised."""
    async with gateway_harness.open_harness() as harness:
        await harness.until_known()
        conn = await client_lib.ClientConnection.connect(harness.address)
        await conn.send(
            b'POST /unsafe/x HTTP/1.1\r\nHost: h\r\n'
            b'Content-Length: 100000000000\r\n\r\n'
        )
        answer = await gateway_harness.read_answer(conn)
        conn.close()
    assert answer.status == 413
    assert b'retry-after' not in answer.headers
