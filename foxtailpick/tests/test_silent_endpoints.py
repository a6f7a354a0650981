"""Tests of requests whose endpoint is silent for a while and goes on."""

import pytest
import trio

from foxtailpick.platform.standins import endpoint_server
from foxtailpick.tests import gateway_harness
from foxtailpick.tests import gateway_scripts

SILENCE_S = 1.5
STREAM = {'X_Prefix_Hash': gateway_scripts.PROMPT}


async def pause_in_stream(exchange):
    """Send two events, and two more after a silence."""
    await exchange.begin_stream()
    await exchange.send_events(1, 2)
    await trio.sleep(SILENCE_S)
    await exchange.send_events(3, 4)
    await exchange.end_stream()


async def pause_before_stream(exchange):
    await trio.sleep(SILENCE_S)
    await gateway_scripts.stream_three(exchange)


async def pause_before_answer(exchange):
    await trio.sleep(SILENCE_S)
    await exchange.answer(body=b'late')


async def refuse(exchange):
    await exchange.refuse()


async def fail(exchange):
    await exchange.answer(500, b'failed')


class PlacesFirst:
    """Script of an endpoint that is the first to be asked.

    The other endpoints are listed once it has received a request.
    """

    def __init__(self, script):
        self._script = script
        self.received = trio.Event()

    async def __call__(self, exchange):
        self.received.set()
        await self._script(exchange)


async def ask_silent(path, silent, other, method=b'POST', **headers):
    """Ask an endpoint that is silent for a while, beside another one."""
    async with gateway_harness.open_harness() as harness:
        service = 'plain' if path.startswith('/safe') else 'engine'
        first = PlacesFirst(silent)
        harness.add_endpoint('e1', service, first)
        await harness.until_known('e1')
        answers = []

        async def ask():
            answers.append(await harness.ask(path, method, b'data', **headers))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await first.received.wait()
            if other is not None:
                harness.add_endpoint('e2', service, other)
                await harness.until_known('e2')
    return answers[0]


@pytest.mark.parametrize('other', [None, refuse, fail, gateway_scripts.cut])
async def test_begun_stream_is_not_given_up_for_a_silence(other):
    """LOST: a stream was broken off though its endpoint went on."""
    answer = await ask_silent('/movable/x', pause_in_stream, other, **STREAM)
    assert answer.body == gateway_scripts.get_events(1, 4)


@pytest.mark.parametrize('other', [refuse, fail, gateway_scripts.cut])
async def test_stream_that_has_not_begun_is_not_given_up_for_a_silence(other):
    answer = await ask_silent(
        '/movable/x', pause_before_stream, other, **STREAM
    )
    assert answer.body == gateway_scripts.get_events(1, 3)


@pytest.mark.parametrize('other', [refuse, fail, gateway_scripts.cut])
async def test_plain_request_is_not_given_up_for_a_silence(other):
    answer = await ask_silent('/safe/x', pause_before_answer, other, b'GET')
    assert answer.body == b'late'


async def test_streams_of_a_silent_endpoint_share_one_retry_token():
    """LOST: each stream passed the check with the same token."""
    count = 4

    async def serve(exchange):
        if exchange.received.headers.get(b'last-event-id') is None:
            await pause_in_stream(exchange)
            return
        await exchange.begin_stream()
        await exchange.send_events(3, 4)
        await exchange.end_stream()

    async with gateway_harness.open_harness() as harness:
        first = harness.add_endpoint('e1', 'engine', serve)
        await harness.until_known('e1')
        answers = []

        async def ask(number):
            answers.append(
                await harness.ask(
                    '/movable/x',
                    b'POST',
                    b'data',
                    X_Attempt_Id=f'a{number}',
                    **STREAM,
                )
            )

        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(ask, number)
            await harness.until(lambda: len(first.received) == count)
            # All requests were placed at the first endpoint.
            second = harness.add_endpoint('e2', 'engine', serve)
            await harness.until_known('e2')
            budget = harness.gw.budget
            while budget.get_tokens('engine') >= 2:
                budget.withdraw('engine')
    whole = gateway_scripts.get_events(1, 4)
    assert [answer.body for answer in answers] == [whole] * count
    assert len(second.received) == 1


async def test_stream_moves_when_another_endpoint_begins_to_answer():
    """The silent endpoint is left once another one goes on."""

    async def serve(exchange):
        last = exchange.received.headers.get(b'last-event-id')
        await exchange.begin_stream()
        if last is None:
            await exchange.send_events(1, 2)
            await trio.sleep_forever()
        await exchange.send_events(int(last) + 1, 3)
        await exchange.end_stream()

    async with gateway_harness.open_harness() as harness:
        endpoints = [
            harness.add_endpoint('e1', 'engine', serve),
            harness.add_endpoint('e2', 'engine', serve),
        ]
        await harness.until_known('e1', 'e2')
        answer = await harness.ask('/movable/x', b'POST', b'data', **STREAM)
        await harness.until(
            lambda: sum(item.disconnects for item in endpoints) == 1
        )
        await harness.until(lambda: not harness.gw.attempts)
        assert all(
            item.running == 0 for item in harness.gw.state.table.list_all()
        )
    assert answer.body == gateway_scripts.get_events(1, 3)


async def test_endpoint_that_goes_on_keeps_its_stream():
    """The other endpoint, which has not begun, is left instead."""
    async with gateway_harness.open_harness() as harness:
        first = PlacesFirst(pause_in_stream)
        harness.add_endpoint('e1', 'engine', first)
        await harness.until_known('e1')
        conn = await harness.send('/movable/x', b'POST', b'data', **STREAM)
        await first.received.wait()
        other = harness.add_endpoint('e2', 'engine', gateway_scripts.hang)
        await harness.until_known('e2')
        answer = await gateway_harness.read_answer(conn)
        conn.close()
        await harness.until(lambda: other.disconnects == 1)
    assert answer.body == gateway_scripts.get_events(1, 4)


async def test_stream_is_not_handed_to_an_endpoint_that_is_silent_itself():
    """LOST: it refused later, and the first one had gone on meanwhile."""

    async def refuse_late(exchange):
        await trio.sleep(SILENCE_S / 2)
        await exchange.refuse()

    answer = await ask_silent(
        '/movable/x', pause_in_stream, refuse_late, **STREAM
    )
    assert answer.body == gateway_scripts.get_events(1, 4)


async def test_caller_that_leaves_ends_both_attempts():
    async with gateway_harness.open_harness() as harness:
        endpoints = [
            harness.add_endpoint('e1', 'engine', gateway_scripts.hang),
            harness.add_endpoint('e2', 'engine', gateway_scripts.hang),
        ]
        await harness.until_known('e1', 'e2')
        conn = await harness.send('/movable/x', b'POST', b'data', **STREAM)
        await harness.until(
            lambda: all(len(item.received) == 1 for item in endpoints)
        )
        conn.close()
        await harness.until(
            lambda: all(item.disconnects == 1 for item in endpoints)
        )


async def test_error_of_the_last_attempt_is_relayed():
    """Both endpoints fail, the silent one last."""

    async def fail_late(exchange):
        await trio.sleep(SILENCE_S)
        await exchange.answer(500, b'failed late')

    answer = await ask_silent('/safe/x', fail_late, fail, b'GET')
    assert (answer.status, answer.body) == (500, b'failed late')


async def test_connection_that_breaks_while_another_endpoint_is_asked():
    async def cut_late(exchange):
        await exchange.begin_stream()
        await exchange.send_events(1, 2)
        await trio.sleep(SILENCE_S)
        raise endpoint_server.AbortConnectionError

    async def resume(exchange):
        assert exchange.received.headers[b'last-event-id'] == b'2'
        await trio.sleep(SILENCE_S)
        await exchange.begin_stream()
        await exchange.send_events(3, 4)
        await exchange.end_stream()

    answer = await ask_silent('/movable/x', cut_late, resume, **STREAM)
    assert answer.body == gateway_scripts.get_events(1, 4)
