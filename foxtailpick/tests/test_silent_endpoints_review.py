"""Tests of races and limits of requests whose endpoint is silent."""

import contextlib
import socket
import time
import types

import pytest
import trio

from foxtailpick.core.dispatch import response_timeout
from foxtailpick.core.dispatch import retry_decision
from foxtailpick.core import messages
from foxtailpick.core import replay
from foxtailpick.core import settings
from foxtailpick.gateway import attempt as attempt_lib
from foxtailpick.gateway import http1
from foxtailpick.gateway import quarantine
from foxtailpick.platform.standins import endpoint_server
from foxtailpick.router import attempt_client
from foxtailpick.router import chats
from foxtailpick.tests import gateway_harness
from foxtailpick.tests import gateway_scripts
from foxtailpick.tests import test_silent_endpoints as silent

LONG_MS = 12_000
# Time for which two endpoints may run a stream that moves.
MAX_OVERLAP_S = 0.4


@contextlib.contextmanager
def open_callers(harness, count):
    """Open connections of callers, whose data is sent without waiting."""
    with contextlib.ExitStack() as stack:
        yield [
            stack.enter_context(socket.create_connection(harness.address))
            for _ in range(count)
        ]


async def test_requests_that_arrive_together_share_the_token_of_a_cold_one():
    """FAILBACK: each request passed the check with the same token."""
    count = 6
    cfg = gateway_harness.make_config(
        services=[{'name': 'plain', 'warmup_per_s': 0.001}]
    )
    async with gateway_harness.open_harness(cfg) as harness:
        standin = harness.add_endpoint(
            'p1', 'plain', gateway_scripts.hang, warmup_left_ms=60_000
        )
        await harness.until_known('p1')
        with open_callers(harness, count) as socks:
            await trio.sleep(0.2)
            for sock in socks:
                sock.sendall(gateway_harness.format_ask('/safe/x'))
            await trio.sleep(0.1)
            assert len(standin.received) == 1


async def test_requests_that_arrive_together_share_a_limit_of_connections():
    """LIMIT: each request saw the endpoint without the others."""
    count = 6
    cfg = gateway_harness.make_config(
        services=[{'name': 'plain', 'max_connections': 2}]
    )
    async with gateway_harness.open_harness(cfg) as harness:
        standin = harness.add_endpoint('p1', 'plain', gateway_scripts.hang)
        await harness.until_known('p1')
        with open_callers(harness, count) as socks:
            await trio.sleep(0.2)
            for sock in socks:
                sock.sendall(gateway_harness.format_ask('/unsafe/x', b'POST'))
            await trio.sleep(0.1)
            assert len(standin.received) == 1


async def test_long_request_that_may_have_run_is_not_refused_at_the_end():
    """REFUSED: 503 promises that the request has not run."""
    routes = [
        gateway_harness.make_route(
            'unsafe', '/unsafe/', 'unsafe', timeout_ms=LONG_MS
        )
    ]
    cfg = gateway_harness.make_config(routes=routes)
    async with gateway_harness.open_harness(cfg, grace_ms=1_500.0) as harness:
        standin = harness.add_endpoint('p1', 'plain', gateway_scripts.hang)
        await harness.until_known('p1')
        conn = await harness.send(
            '/unsafe/x',
            b'POST',
            bytes(2 * http1.INLINE_BODY_BYTES),
            X_Deadline_Ms=str(LONG_MS),
        )
        await harness.until(lambda: standin.received)
        harness.stop.set()
        answer = await gateway_harness.read_answer(conn)
        conn.close()
    assert answer.status == 502


async def test_request_that_fails_as_it_is_cut_off_is_not_refused(monkeypatch):
    """REFUSED: the end of the attempt was not read any more."""
    sent = []

    async def run_attempt(gw, job, *others):
        job.sends += 1
        sent.append(job)
        # The connection breaks in the step in which the request is cut off.
        with trio.CancelScope(shield=True):
            await trio.sleep(0.1)
        return attempt_lib.AttemptResult(
            retry_decision.AttemptEnd.BROKEN, 'broke off'
        )

    monkeypatch.setattr(attempt_lib, 'run_attempt', run_attempt)
    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('p1', 'plain', gateway_scripts.hang)
        await harness.until_known('p1')
        conn = await harness.send('/unsafe/x', b'POST')
        await harness.until(lambda: sent)
        harness.gw.is_ending = True
        for scope in list(harness.gw.request_scopes):
            scope.cancel()
        answer = await gateway_harness.read_answer(conn)
        conn.close()
    assert answer.status == 502


async def close_before_an_event(exchange):
    await exchange.begin_stream(is_chunked=False)
    raise endpoint_server.AbortConnectionError


async def close_within_an_event(exchange):
    await exchange.begin_stream()
    await exchange.send_data(b'id: 3\nda')
    raise endpoint_server.AbortConnectionError


@pytest.mark.parametrize(
    'other', [close_before_an_event, close_within_an_event]
)
async def test_silent_stream_is_not_given_up_without_an_event(other):
    """LOST: an answer without a whole event replaced the sound one."""
    answer = await silent.ask_silent(
        '/movable/x', silent.pause_in_stream, other, **silent.STREAM
    )
    assert answer.body == gateway_scripts.get_events(1, 4)


async def test_plain_request_is_not_given_up_for_a_part_of_a_response():
    """LOST: the response is buffered, but counted from its head on."""

    async def close_within_the_body(exchange):
        head = http1.format_response(
            200, [endpoint_server.SIGNATURE], 100, True
        )
        await http1.send_all(exchange.sock, head + b'part')
        raise endpoint_server.AbortConnectionError

    answer = await silent.ask_silent(
        '/safe/x', silent.pause_before_answer, close_within_the_body, b'GET'
    )
    assert answer.body == b'late'


@pytest.mark.parametrize('status', [404, 500])
async def test_error_of_another_endpoint_is_relayed_at_the_deadline(status):
    """The silent endpoint never goes on; the other one has answered."""

    async def answer_with_an_error(exchange):
        await exchange.answer(status, b'failed')

    answer = await silent.ask_silent(
        '/safe/x', gateway_scripts.hang, answer_with_an_error, b'GET'
    )
    assert (answer.status, answer.body) == (status, b'failed')


async def test_error_is_relayed_though_the_silent_endpoint_breaks_off_later():
    async def cut_late(exchange):
        await trio.sleep(silent.SILENCE_S)
        raise endpoint_server.AbortConnectionError

    answer = await silent.ask_silent('/safe/x', cut_late, silent.fail, b'GET')
    assert (answer.status, answer.body) == (500, b'failed')


async def test_moved_stream_does_not_run_twice_for_long():
    """TWICE: both endpoints ran it until one of them sent an event."""
    left = trio.Event()

    async def serve(exchange):
        last = exchange.received.headers.get(b'last-event-id')
        if last is None:
            await exchange.begin_stream()
            await exchange.send_events(1, 2)
            try:
                await trio.sleep_forever()
            finally:
                left.set()
        # A request starts to run with its first token.
        await exchange.begin_stream()
        with trio.move_on_after(MAX_OVERLAP_S):
            await left.wait()
        overlaps.append(not left.is_set())
        await exchange.send_events(3, 4)
        await exchange.end_stream()

    overlaps = []
    answer = await silent.ask_silent(
        '/movable/x', serve, serve, **silent.STREAM
    )
    assert answer.body == gateway_scripts.get_events(1, 4)
    assert overlaps == [False]


async def test_prompt_that_crashed_its_endpoint_is_not_sent_to_a_third():
    """BUDGET: the end of the last attempt alone decided on a repeat."""
    routes = [
        gateway_harness.make_route(
            'movable',
            '/movable/',
            'streaming',
            stream_resumption=True,
            max_attempts=3,
        )
    ]
    cfg = gateway_harness.make_config(routes=routes)
    async with gateway_harness.open_harness(cfg) as harness:

        async def crash_late(exchange):
            await trio.sleep(1.0)
            first.crash(5_000.0)
            await trio.sleep_forever()

        async def refuse_late(exchange):
            await trio.sleep(1.0)
            await exchange.refuse()

        first = harness.add_endpoint('e1', 'engine', crash_late)
        await harness.until_known('e1')
        conn = await harness.send(
            '/movable/x', b'POST', b'data', **silent.STREAM
        )
        await harness.until(lambda: first.received)
        second = harness.add_endpoint('e2', 'engine', refuse_late)
        await harness.until(lambda: second.received)
        await harness.until(
            lambda: harness.gw.part_records.may_crash(
                ['ab'], harness.gw.now_ms()
            )
        )
        third = harness.add_endpoint('e3', 'engine', gateway_scripts.hang)
        await harness.until_known('e3')
        await trio.sleep(2.0)
        conn.close()
        assert not third.received


async def test_stall_of_the_gateway_is_not_blamed_on_endpoints():
    """LOST: what the endpoint sent lay unread in the gateway's socket."""
    go_on = trio.Event()

    async def serve(exchange):
        await exchange.begin_stream()
        await exchange.send_events(1, 2)
        await go_on.wait()
        await exchange.send_events(3, 4)
        # The events are in the gateway's socket all the while.
        time.sleep(silent.SILENCE_S)
        await exchange.end_stream()

    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('e1', 'engine', serve)
        await harness.until_known('e1')
        # The order in which tasks run after a stall is random.
        for number in range(8):
            conn = await harness.send(
                '/movable/x',
                b'POST',
                b'data',
                X_Attempt_Id=f'a{number}',
                **silent.STREAM,
            )
            await harness.until(
                lambda: any(
                    item.answered_ms is not None
                    for item in harness.gw.attempts
                )
            )
            await trio.sleep(0.05)
            go_on.set()
            answer = await gateway_harness.read_answer(conn)
            conn.close()
            go_on = trio.Event()
            assert answer.body == gateway_scripts.get_events(1, 4)
        endpoint = harness.gw.state.table.get('e1')
        assert endpoint.health.failed_requests == 0


async def test_silence_is_not_counted_once_the_stream_goes_on():
    """The count is reported to the hub, which ejects the endpoint."""
    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('e1', 'engine', silent.pause_in_stream)
        await harness.until_known('e1')
        answer = await harness.ask(
            '/movable/x', b'POST', b'data', **silent.STREAM
        )
        endpoint = harness.gw.state.table.get('e1')
        assert answer.body == gateway_scripts.get_events(1, 4)
        assert endpoint.health.failed_requests == 0


async def test_one_silence_does_not_delay_the_next_hedge():
    """The silence itself must not count as the usual time to an answer."""
    async with gateway_harness.open_harness() as harness:
        scripts = [gateway_scripts.answer_plainly] * 20
        scripts.append(silent.pause_before_answer)

        async def serve(exchange):
            await scripts.pop(0)(exchange)

        harness.add_endpoint('p1', 'plain', serve)
        await harness.until_known('p1')
        while scripts:
            await harness.ask('/safe/x')
        estimate = harness.gw.first_byte_estimates['safe']
        target_ms = 200.0
        assert (
            estimate.compute_timeout_ms(target_ms, False)
            < response_timeout.EVENT_GAP_TIMEOUT_MS
        )


async def test_response_sent_at_the_deadline_counts_as_answered():
    """The response is sent whole beyond the deadline, but logged as cut."""
    body = bytes(6_000_000)

    async def answer_in_time(exchange):
        await trio.sleep(0.2)
        await exchange.answer(body=body)

    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('p1', 'plain', answer_in_time)
        await harness.until_known('p1')
        conn = await harness.send('/safe/x', X_Deadline_Ms='300')
        await trio.sleep(0.38)
        answer = await gateway_harness.read_answer(conn)
        conn.close()
        assert answer.body == body
        counts = '\n'.join(harness.gw.metrics.format_lines())
    assert 'requests_broken_off' not in counts


async def test_check_of_an_endpoint_outlives_the_request_that_began_it(
    nursery, monkeypatch
):
    """BUDGET: the others learned that an endpoint lives that had ended."""

    async def refuse_slowly(endpoint):
        await trio.sleep(0.1)
        raise ConnectionRefusedError

    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('e1', 'engine', gateway_scripts.hang)
        await harness.until_known('e1')
        endpoint = harness.gw.state.table.get('e1')
        monkeypatch.setattr(harness.gw.pool, 'open', refuse_slowly)
        scope = trio.CancelScope()

        async def check_until_cancelled():
            with scope:
                await quarantine.has_ended(harness.gw, endpoint)

        nursery.start_soon(check_until_cancelled)
        await trio.sleep(0.02)
        nursery.start_soon(_cancel_soon, scope)
        assert await quarantine.has_ended(harness.gw, endpoint)


async def _cancel_soon(scope):
    await trio.sleep(0.02)
    scope.cancel()


class LinkPool:
    """A pool of links, each of which is lost after one chunk.

    :param texts: the chunks of the stream.
    """

    def __init__(self, texts):
        self.buffer = replay.ReplayBuffer('a1')
        self.chunks = [self.buffer.append(text.encode()) for text in texts]
        self.end = self.buffer.append(b'', True)

    async def acquire(self, address):
        return self

    peer = types.SimpleNamespace(incarnation='i1')

    def send_soon(self, message):
        pass

    @contextlib.contextmanager
    def subscribe(self, attempt):
        send, receive = trio.open_memory_channel(1)
        if self.chunks:
            chunk = self.chunks.pop(0)
            send.send_nowait(
                messages.Chunks(
                    attempt,
                    chunk.number,
                    (chunk.data.decode(),),
                    (chunk.check,),
                    0.0,
                )
            )
        else:
            send.send_nowait(
                messages.Finished(
                    attempt, self.end.number, self.end.check, 'stop', 1, 0, 0.0
                )
            )
        send.close()
        yield receive


async def test_stream_that_goes_on_after_each_lost_link_is_not_given_up(
    autojump_clock, monitor
):
    """LOST: links that were lost before the stream went on counted too."""
    texts = ['one', 'two', 'three', 'four']
    client = attempt_client.AttemptClient(
        LinkPool(texts), settings.LimitSettings(), chats.MAX_RECONNECTS
    )
    session = attempt_client.AttemptSession(
        'a1',
        'guides',
        'sidecar:1',
        replay.StreamAssembler(replay.ResumePoint('a1'), monitor),
    )
    received = []

    async def deliver(new, first):
        received.extend(new)

    await client.run(session, object(), deliver)
    assert received == texts
