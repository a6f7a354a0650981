"""Tests of the engine stand-in and the HTTP adapter, over loopback."""

import contextlib

import pytest
import trio

from foxtailpick.adapters import base
from foxtailpick.adapters import engine as engine_adapter
from foxtailpick.core import errors
from foxtailpick.core import types
from foxtailpick.core import verdict
from foxtailpick.standins import engine as engine_standin
from foxtailpick.standins import engine_state
from foxtailpick.standins import serving


def make_call(request='r1', tokens=5, **changes):
    messages = (base.ChatMessage('user', 'onko polku auki'),)
    return base.ChatCall(request, 'malli', messages, tokens, **changes)


async def collect(adapter, call):
    async with adapter.stream_chat(call) as chunks:
        return [chunk async for chunk in chunks]


@contextlib.asynccontextmanager
async def open_engine(**settings):
    state = engine_state.EngineState(engine_state.EngineSettings(**settings))
    async with serving.serve_app(engine_standin.make_app(state)) as url:
        async with engine_adapter.HttpEngine.from_url(url) as adapter:
            yield state, adapter


async def wait_until(condition):
    while not condition():
        await trio.sleep(0.001)


async def test_stream_is_complete_and_belongs_to_its_request():
    async with open_engine() as (_, adapter):
        chunks = await collect(adapter, make_call(tokens=5))
    texts = [chunk.text for chunk in chunks[:-1]]
    assert texts == engine_state.make_tokens('r1', 5)
    assert [chunk.offset for chunk in chunks] == [0, 1, 2, 3, 4, 5]
    assert chunks[-1].finish_reason == 'stop'
    assert chunks[-1].usage == base.Usage(3, 0, 5)


async def test_resume_yields_only_the_remaining_tokens():
    async with open_engine() as (_, adapter):
        chunks = await collect(adapter, make_call(tokens=5, resume_from=3))
    texts = [chunk.text for chunk in chunks[:-1]]
    assert texts == engine_state.make_tokens('r1', 5)[3:]
    assert chunks[0].offset == 3


async def test_returning_chat_hits_the_prefix_cache():
    async with open_engine() as (state, adapter):
        await collect(adapter, make_call(chat='c'))
        chunks = await collect(adapter, make_call('r2', chat='c'))
        assert chunks[-1].usage.cached_tokens == 3
        state.go_cold()
        chunks = await collect(adapter, make_call('r3', chat='c'))
    assert chunks[-1].usage.cached_tokens == 0


async def test_exiting_the_context_cancels_the_run():
    async with open_engine() as (state, adapter):
        call = make_call(tokens=1_000_000)
        async with adapter.stream_chat(call) as chunks:
            await anext(chunks)
            assert state.running == 1
        await wait_until(lambda: state.running == 0)


async def test_cancel_ends_the_stream():
    async with open_engine() as (_, adapter):
        call = make_call(tokens=1_000_000)
        async with adapter.stream_chat(call) as chunks:
            await anext(chunks)
            assert await adapter.cancel('r1')
            rest = [chunk async for chunk in chunks]
        assert not await adapter.cancel('r1')
    assert rest[-1].finish_reason == 'cancelled'


async def test_overload_stalls_the_engine_and_was_not_run():
    async with open_engine(cold_limit=1, warm_limit=1) as (state, adapter):
        async with adapter.stream_chat(make_call(tokens=10**6)) as chunks:
            await anext(chunks)
            with pytest.raises(errors.RequestError) as caught:
                await collect(adapter, make_call('r2'))
    assert caught.value.code is errors.ErrorCode.OVERLOADED
    assert caught.value.verdict is verdict.Verdict.NOT_RUN
    assert state.overload_count == 1
    assert state.runs['r2'] == 0


async def test_refused_connection_was_not_run():
    async with open_engine() as (_, adapter):
        pass
    async with adapter:
        with pytest.raises(errors.RequestError) as caught:
            await collect(adapter, make_call())
    assert caught.value.verdict is verdict.Verdict.NOT_RUN


async def test_engine_lost_midway_may_have_run():
    with pytest.raises(errors.RequestError) as caught:
        async with contextlib.AsyncExitStack() as stack:
            _, adapter = await stack.enter_async_context(open_engine())
            url = adapter._client.base_url
            other = engine_adapter.HttpEngine.from_url(url)
            await stack.enter_async_context(other)
            call = make_call(tokens=1_000_000)
            async with other.stream_chat(call) as chunks:
                await anext(chunks)
                await stack.aclose()
                async for _ in chunks:
                    pass
    assert caught.value.verdict is verdict.Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize('is_checking', [True, False])
async def test_old_fencing_number(is_checking):
    def make_order(fencing):
        return base.Order(base.OrderKind.LOAD_MODEL, f'm{fencing}', fencing)

    async with open_engine(is_checking_fencing=is_checking) as (
        state,
        adapter,
    ):
        await adapter.send_order(make_order(2))
        code = None
        try:
            await adapter.send_order(make_order(1))
        except errors.RequestError as exc:
            code = exc.code
    assert (code is errors.ErrorCode.ORDER_FENCED) == is_checking
    assert ('m1' in state.models) == (not is_checking)


async def test_reports_lag_and_events_have_gaps(autojump_clock):
    settings = engine_state.EngineSettings(
        load_lag_ms=500.0, event_lag_ms=300.0, event_loss_every=2
    )
    state = engine_state.EngineState(settings)
    for number in range(4):
        call = make_call(f'r{number}', chat=types.ChatId(f'c{number}'))
        with state.admit(call) as run:
            while await run.generate_token() is not None:
                pass
    assert state.read_load().running == 0
    assert state.read_cache_events(0) == []
    await trio.sleep(0.301)
    events = state.read_cache_events(0)
    assert [event.sequence for event in events] == [1, 3]


async def test_generated_tokens_warm_up_the_engine(autojump_clock):
    state = engine_state.EngineState()
    spans = []
    for _ in range(2):
        before = trio.current_time()
        with state.admit(make_call(tokens=600)) as run:
            while await run.generate_token() is not None:
                pass
        spans.append(trio.current_time() - before)
    assert state.warmth == 1.0
    assert spans[1] < spans[0]
