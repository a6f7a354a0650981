"""Tests of requests that are queued for a free slot."""

import contextlib

import pytest
import trio

from foxtailpick.core.dispatch import account_usage
from foxtailpick.core.dispatch import overload_order
from foxtailpick.core.dispatch import response_timeout
from foxtailpick.gateway import ordered_admission
from foxtailpick.tests import gateway_harness
from foxtailpick.tests import gateway_scripts


# With several routes to the engine, requests to it are ordered.
ONE_ROUTE = [
    gateway_harness.make_route(
        'movable', '/movable/', 'streaming', stream_resumption=True
    )
]


@contextlib.asynccontextmanager
async def open_full_harness(monkeypatch, routes=ONE_ROUTE):
    """Run a gateway whose only engine is full until an event is set.

    Requests that arrive meanwhile count as above their account's share.
    """
    monkeypatch.setattr(
        account_usage,
        'is_above_share',
        lambda ratio, utilization, rng: (
            utilization >= account_usage.FULL_UTILIZATION
        ),
    )
    done = trio.Event()

    async def answer(exchange):
        await exchange.begin_stream()
        if exchange.received.id == 'first':
            await done.wait()
        await exchange.send_events(1, 2)
        await exchange.end_stream()

    cfg = gateway_harness.make_config(routes=routes)
    async with gateway_harness.open_harness(cfg) as harness:
        engine = harness.add_endpoint('e1', 'engine', answer, slots=1)
        await harness.until_known('e1')
        first = await harness.send('/movable/x', X_Attempt_Id='first')
        queue = harness.gw.get_queue('engine')
        queue.mean_run_ms = 1_000.0
        order = harness.gw.get_order('engine')
        await harness.until(
            lambda: (
                order.detector.is_overloaded
                if routes is not ONE_ROUTE
                else queue.utilization >= account_usage.FULL_UTILIZATION
            )
        )
        yield harness, engine, queue, done
        done.set()
        await gateway_harness.read_answer(first)
        first.close()


async def test_queued_request_is_served_when_a_slot_is_free(monkeypatch):
    async with open_full_harness(monkeypatch) as (
        harness,
        engine,
        queue,
        done,
    ):
        conn = await harness.send('/movable/x', X_Attempt_Id='held')
        await harness.until(lambda: queue.items)
        assert [seen.id for seen in engine.received] == ['first']
        done.set()
        answer = await gateway_harness.read_answer(conn)
        conn.close()
    assert answer.status == 200
    assert [seen.id for seen in engine.received] == ['first', 'held']
    assert queue.items == []


async def test_request_with_too_long_a_wait_is_refused_at_once(monkeypatch):
    async with open_full_harness(monkeypatch) as (harness, engine, queue, _):
        conn = await harness.send('/movable/x', X_Attempt_Id='held')
        await harness.until(lambda: queue.items)
        queue.mean_interval_ms = 60_000.0
        began_ms = harness.gw.now_ms()
        answer = await harness.ask('/movable/x', X_Attempt_Id='refused')
        took_ms = harness.gw.now_ms() - began_ms
        conn.close()
        # A request whose caller disconnected leaves the queue.
        await harness.until(lambda: not queue.items)
    assert answer.status == 503
    assert float(answer.headers[b'retry-after']) > 0
    assert took_ms < 500
    assert [seen.id for seen in engine.received] == ['first']


async def test_request_to_an_overloaded_service_waits_for_room(monkeypatch):
    async with open_full_harness(monkeypatch, routes=None) as (
        harness,
        engine,
        queue,
        done,
    ):
        order = harness.gw.get_order('engine')
        conn = await harness.send('/movable/x', X_Attempt_Id='waiting')
        await harness.until(lambda: order.tickets)
        assert [seen.id for seen in engine.received] == ['first']
        done.set()
        answer = await gateway_harness.read_answer(conn)
        conn.close()
    assert answer.status == 200
    assert [seen.id for seen in engine.received] == ['first', 'waiting']
    assert order.tickets == []


async def test_hopeless_request_is_refused_at_once_and_was_not_run(
    monkeypatch,
):
    async with open_full_harness(monkeypatch, routes=None) as (
        harness,
        engine,
        queue,
        _,
    ):
        order = harness.gw.get_order('engine')
        conn = await harness.send('/movable/x', X_Attempt_Id='waiting')
        await harness.until(lambda: order.tickets)
        # Runs last for a minute, as the next check will find.
        queue.mean_run_ms = 60_000.0
        await harness.until(lambda: order.flow.requests_per_s < 0.1)
        began_ms = harness.gw.now_ms()
        answer = await harness.ask('/movable/y', X_Attempt_Id='refused')
        took_ms = harness.gw.now_ms() - began_ms
        refused = await gateway_harness.read_answer(conn)
        conn.close()
    assert answer.status == refused.status == 503
    assert float(answer.headers[b'retry-after']) > 0
    assert took_ms < 500
    assert [seen.id for seen in engine.received] == ['first']
    assert harness.gw.metrics.counters['overload_refused_at_once_streaming']


async def test_caller_that_leaves_frees_its_place_at_once(monkeypatch):
    async with open_full_harness(monkeypatch, routes=None) as (
        harness,
        engine,
        _,
        done,
    ):
        order = harness.gw.get_order('engine')
        conn = await harness.send('/movable/x', X_Attempt_Id='left')
        await harness.until(lambda: order.tickets)
        conn.close()
        await harness.until(lambda: not order.tickets)
        done.set()
    assert [seen.id for seen in engine.received] == ['first']


@pytest.mark.parametrize(
    ('body', 'is_known'), [(b'prompt', True), (b'', False)]
)
async def test_caller_that_repeats_at_once_is_refused_again(
    body, is_known, monkeypatch
):
    """Without a body it may be another caller's equal request."""
    async with open_full_harness(monkeypatch, routes=None) as (
        harness,
        engine,
        queue,
        _,
    ):
        order = harness.gw.get_order('engine')
        queue.mean_run_ms = 60_000.0
        await harness.until(lambda: 0 < order.flow.requests_per_s < 0.1)
        answers = [
            await harness.ask('/movable/x', b'POST', body, X_Attempt_Id=name)
            for name in ('one', 'two')
        ]
    assert [answer.status for answer in answers] == [503, 503]
    first_s, second_s = (
        float(answer.headers[b'retry-after']) for answer in answers
    )
    assert len(order.refused) == is_known
    if is_known:
        assert second_s < first_s
    assert [seen.id for seen in engine.received] == ['first']


async def test_requests_that_differ_in_their_prompt_are_of_two_callers(
    monkeypatch,
):
    async with open_full_harness(monkeypatch, routes=None) as (
        harness,
        _,
        queue,
        _,
    ):
        order = harness.gw.get_order('engine')
        queue.mean_run_ms = 60_000.0
        await harness.until(lambda: 0 < order.flow.requests_per_s < 0.1)
        for tokens in ('700,80', '900,80'):
            await harness.ask(
                '/movable/x', b'POST', b'prompt', X_Token_Count=tokens
            )
    assert len(order.refused) == 2


async def test_admitted_caller_is_a_new_one_when_it_comes_again(monkeypatch):
    async with open_full_harness(monkeypatch, routes=None) as (
        harness,
        _,
        queue,
        done,
    ):
        order = harness.gw.get_order('engine')
        queue.mean_run_ms = 60_000.0
        await harness.until(lambda: 0 < order.flow.requests_per_s < 0.1)
        await harness.ask('/movable/x', b'POST', b'prompt')
        assert len(order.refused) == 1
        monkeypatch.setattr(overload_order, 'arrive', lambda *args: True)
        conn = await harness.send('/movable/x', b'POST', b'prompt')
        await harness.until(lambda: not len(order.refused))
        conn.close()
        done.set()


async def test_short_request_waits_beside_long_ones(monkeypatch):
    """Others of its service run longer than its deadline."""
    monkeypatch.setattr(overload_order, '_estimate_ms', lambda *args: 100.0)
    routes = [
        gateway_harness.make_route('movable', '/movable/', 'streaming'),
        gateway_harness.make_route(
            'lookup', '/lookup/', 'safe', service='engine', priority=0
        ),
    ]
    async with open_full_harness(monkeypatch, routes=routes) as (
        harness,
        _,
        queue,
        _,
    ):
        order = harness.gw.get_order('engine')
        queue.mean_run_ms = 1_500.0
        harness.gw.first_byte_estimates['lookup'] = (
            response_timeout.FirstByteEstimate(50.0)
        )
        conn = await harness.send('/lookup/x', X_Deadline_Ms='1000')
        await harness.until(lambda: order.tickets)
        (ticket,) = order.tickets
        assert ticket.until_ms - harness.gw.now_ms() > 700
        conn.close()
        await harness.until(lambda: not order.tickets)


async def test_defect_in_the_check_of_one_service_ends_no_gateway(monkeypatch):
    def fail(*args):
        raise OverflowError('int too large to convert to float')

    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('p1', 'plain', gateway_scripts.answer_plainly)
        await harness.until_known('p1')
        assert (await harness.ask('/safe/x')).status == 200
        monkeypatch.setattr(ordered_admission, '_check_service', fail)
        await trio.sleep(0.2)
        assert (await harness.ask('/safe/x')).status == 200
