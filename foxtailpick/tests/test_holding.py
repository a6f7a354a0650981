"""Tests of requests that wait for a free place, in a running gateway."""

import contextlib

import trio

from foxtailpick.core.dispatch import account_usage
from foxtailpick.tests import gateway_stage


@contextlib.asynccontextmanager
async def open_full_stage(monkeypatch):
    """Run a gateway whose only engine is full until an event is set.

    What comes while it is full counts as beyond its account's part.
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

    async with gateway_stage.open_stage() as stage:
        engine = stage.add_endpoint('e1', 'engine', answer, slots=1)
        await stage.until_known('e1')
        first = await stage.send('/movable/x', X_Attempt_Id='first')
        waiting = stage.gw.get_waiting('engine')
        waiting.mean_run_ms = 1_000.0
        await stage.until(
            lambda: waiting.utilization >= account_usage.FULL_UTILIZATION
        )
        yield stage, engine, waiting, done
        done.set()
        await gateway_stage.read_answer(first)
        first.close()


async def test_held_request_is_served_once_a_place_is_free(monkeypatch):
    async with open_full_stage(monkeypatch) as (stage, engine, waiting, done):
        conn = await stage.send('/movable/x', X_Attempt_Id='held')
        await stage.until(lambda: waiting.items)
        assert [seen.id for seen in engine.received] == ['first']
        done.set()
        answer = await gateway_stage.read_answer(conn)
        conn.close()
    assert answer.status == 200
    assert [seen.id for seen in engine.received] == ['first', 'held']
    assert waiting.items == []


async def test_request_without_a_place_in_time_is_refused_at_once(monkeypatch):
    async with open_full_stage(monkeypatch) as (stage, engine, waiting, _):
        conn = await stage.send('/movable/x', X_Attempt_Id='held')
        await stage.until(lambda: waiting.items)
        waiting.mean_interval_ms = 60_000.0
        began_ms = stage.gw.now_ms()
        answer = await stage.ask('/movable/x', X_Attempt_Id='refused')
        took_ms = stage.gw.now_ms() - began_ms
        conn.close()
        # The one whose caller left waits no more.
        await stage.until(lambda: not waiting.items)
    assert answer.status == 503
    assert float(answer.headers[b'retry-after']) > 0
    assert took_ms < 500
    assert [seen.id for seen in engine.received] == ['first']
