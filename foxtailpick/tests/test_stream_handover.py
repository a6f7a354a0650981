"""Each event of a stream reaches the caller once, also after a hedge."""

import trio

from foxtailpick.core.dispatch import response_timeout
from foxtailpick.gateway import http1
from foxtailpick.platform.standins import endpoint_server
from foxtailpick.tests import gateway_harness
from foxtailpick.tests import gateway_scripts


async def test_stream_cut_within_an_event_is_not_sent_twice():
    """The silent endpoint answers again beside the one that was asked too.

    It sends a whole event and a part of the next one, then the other begins.
    """
    first_sent = trio.Event()
    asked = []

    async def serve(exchange):
        asked.append(exchange)
        last = int(exchange.received.headers.get(b'last-event-id', 0))
        if len(asked) == 1:
            # Silent until the second endpoint is asked.
            while len(asked) < 2:
                await trio.sleep(0.01)
            await exchange.begin_stream()
            part = endpoint_server.format_event(2)[:7]
            data = endpoint_server.format_event(1) + part
            await http1.send_all(exchange.sock, http1.format_chunk(data))
            await trio.sleep(0.1)
            first_sent.set()
            await trio.sleep_forever()
        await first_sent.wait()
        await exchange.begin_stream()
        await exchange.send_events(last + 1, 3)
        await exchange.end_stream()

    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('e1', 'engine', serve)
        harness.add_endpoint('e2', 'engine', serve)
        harness.add_endpoint('e3', 'engine', serve)
        await harness.until_known('e1', 'e2', 'e3')
        conn = await harness.send(
            '/movable/x',
            b'POST',
            b'data',
            X_Prefix_Hash=gateway_scripts.PROMPT,
            X_Deadline_Ms='9000',
        )
        received = b''
        with trio.move_on_after(
            3 * response_timeout.EVENT_GAP_TIMEOUT_MS / 1_000
        ):
            while not received.endswith(http1.LAST_CHUNK):
                data = await http1.receive(conn._sock)
                if not data:
                    break
                received += data
        conn.close()
    assert len(asked) >= 2
    assert received.count(b'token1') == 1
