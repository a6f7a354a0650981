"""Tests of streams through a gateway."""

import pytest
import trio

from foxtailpick.core.dispatch import response_timeout
from foxtailpick.gateway import http1
from foxtailpick.platform.standins import endpoint_server
from foxtailpick.tests import gateway_scripts
from foxtailpick.tests import gateway_stage


async def ask_two_engines(serve):
    """Ask for a stream that may move, of two engines that do the same."""
    async with gateway_stage.open_stage() as stage:
        stage.add_endpoint('e1', 'engine', serve)
        stage.add_endpoint('e2', 'engine', serve)
        await stage.until_known('e1', 'e2')
        return await stage.ask(
            '/movable/x',
            b'POST',
            b'data',
            X_Prefix_Hash=gateway_scripts.PROMPT,
        )


async def test_stream_passes_event_by_event():
    async with gateway_stage.open_stage() as stage:
        stage.add_endpoint('e1', 'engine', gateway_scripts.stream_three)
        await stage.until_known('e1')
        answer = await stage.ask(
            '/fixed/x', b'POST', b'data', X_Prefix_Hash=gateway_scripts.PROMPT
        )
    assert (answer.status, answer.body) == (
        200,
        gateway_scripts.get_events(1, 3),
    )


async def test_broken_stream_goes_on_at_another_endpoint():
    async def serve(exchange):
        last = exchange.received.headers.get(b'last-event-id')
        await exchange.begin_stream()
        if last is None:
            await exchange.send_events(1, 2)
            part = endpoint_server.format_event(3)[:7]
            await http1.send_all(exchange.sock, http1.format_chunk(part))
            raise endpoint_server.AbortConnectionError
        await exchange.send_events(int(last) + 1, 4)
        await exchange.end_stream()

    answer = await ask_two_engines(serve)
    assert (answer.status, answer.body) == (
        200,
        gateway_scripts.get_events(1, 4),
    )


async def test_broken_stream_that_may_not_move_does_not_look_complete():
    async def break_off(exchange):
        await exchange.begin_stream()
        await exchange.send_events(1, 2)
        raise endpoint_server.AbortConnectionError

    async with gateway_stage.open_stage() as stage:
        stage.add_endpoint('e1', 'engine', break_off)
        stage.add_endpoint('e2', 'engine', break_off)
        await stage.until_known('e1', 'e2')
        with pytest.raises(http1.BrokenConnectionError):
            await stage.ask(
                '/fixed/x', b'POST', b'', X_Prefix_Hash=gateway_scripts.PROMPT
            )


async def test_stream_that_stops_in_the_middle_goes_on_elsewhere():
    async def serve(exchange):
        last = exchange.received.headers.get(b'last-event-id')
        await exchange.begin_stream()
        if last is None:
            await exchange.send_events(1, 2)
            await trio.sleep_forever()
        await exchange.send_events(int(last) + 1, 3)
        await exchange.end_stream()

    answer = await ask_two_engines(serve)
    assert answer.body == gateway_scripts.get_events(1, 3)


async def test_caller_that_reads_slowly_gets_an_answer_that_can_be_read():
    """A pause of the caller is no silence of the endpoint.

    Found on luparetki-grown: an attempt was ended while its first bytes
    were on their way to the caller, and the answer had no head.
    """
    # More than the sockets on the way hold.
    events = 38
    padding = b'x' * 200_000

    def make_event(number):
        return b'id: %d\ndata: %s\n\n' % (number, padding)

    async def serve(exchange):
        last = int(exchange.received.headers.get(b'last-event-id', 0))
        await exchange.begin_stream()
        for number in range(last + 1, events + 1):
            chunk = http1.format_chunk(make_event(number))
            await http1.send_all(exchange.sock, chunk)
        await exchange.end_stream()

    async with gateway_stage.open_stage() as stage:
        endpoints = [
            stage.add_endpoint('e1', 'engine', serve),
            stage.add_endpoint('e2', 'engine', serve),
        ]
        await stage.until_known('e1', 'e2')
        conn = await stage.send(
            '/movable/x',
            b'POST',
            b'data',
            X_Prefix_Hash=gateway_scripts.PROMPT,
        )
        await trio.sleep(response_timeout.EVENT_GAP_TIMEOUT_MS / 1_000 + 0.3)
        answer = await gateway_stage.read_answer(conn)
        conn.close()
    expected = b''.join(make_event(n) for n in range(1, events + 1))
    assert answer.body == expected
    assert sum(len(item.received) for item in endpoints) == 1


async def test_endpoint_is_told_where_to_fetch_a_prompt_from():
    async with gateway_stage.open_stage() as stage:
        endpoints = {
            name: stage.add_endpoint(
                name, 'engine', gateway_scripts.stream_three
            )
            for name in ('e1', 'e2')
        }
        await stage.until_known('e1', 'e2')
        ask = {
            'X_Prefix_Hash': gateway_scripts.PROMPT,
            'Kv_Fetch': '10.0.0.1:1',
        }
        await stage.ask('/fixed/x', b'POST', **ask)
        [home] = [name for name, item in endpoints.items() if item.received]
        table = stage.gw.state.table
        table.get(home).remote_load = 60
        await stage.ask('/fixed/x', b'POST', X_Attempt_Id='a2', **ask)
        [other] = set(endpoints) - {home}
    first, second = endpoints[home].received[0], endpoints[other].received[0]
    assert b'kv-fetch' not in first.headers
    host, port = table.get(home).entry.address
    assert second.headers[b'kv-fetch'] == f'{host}:{port}'.encode()
