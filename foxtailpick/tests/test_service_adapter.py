"""Tests of the plain service adapter, over loopback sockets."""

import contextlib
import json

import pytest
import trio

from foxtailpick.adapters import http
from foxtailpick.adapters import service as service_adapter
from foxtailpick.core import errors
from foxtailpick.core import verdict
from foxtailpick.standins import service as service_standin
from foxtailpick.standins import serving

HEADERS = {'Idempotency-Key': 'k1', 'Connection': 'upgrade'}


@contextlib.asynccontextmanager
async def open_service(read_timeout_ms=60_000.0):
    state = service_standin.ServiceState()
    async with serving.serve_app(service_standin.make_app(state)) as url:
        async with service_adapter.HttpService.from_url(
            url, read_timeout_ms
        ) as adapter:
            yield state, adapter


async def book(adapter):
    return await adapter.call('POST', '/bookings', b'{}', HEADERS)


async def test_answer_is_forwarded_and_runs_are_counted():
    async with open_service() as (state, adapter):
        first = await book(adapter)
        second = await book(adapter)
        read = await adapter.call('GET', '/bookings', b'', {})
    assert first.status == 201
    assert json.loads(second.body) == {'key': 'k1', 'run': 2}
    assert ('content-type', 'application/json') in second.headers
    assert json.loads(read.body) == {'runs': 2}
    assert state.runs == {'k1': 2}


async def test_call_without_key_is_counted_by_path_and_body():
    async with open_service() as (state, adapter):
        await adapter.call('POST', '/spans', b'12', {})
    assert state.runs == {'/spans 12': 1}


@pytest.mark.parametrize(
    ('fault', 'runs'),
    [
        (service_standin.Fault.LOST_REPLY, 1),
        (service_standin.Fault.CRASH_BEFORE_RUN, 0),
        (service_standin.Fault.SILENT_AFTER_RUN, 1),
    ],
)
async def test_call_without_answer_may_have_run(fault, runs):
    async with open_service(read_timeout_ms=100.0) as (state, adapter):
        state.faults.append(fault)
        with pytest.raises(errors.RequestError) as caught:
            await book(adapter)
    assert caught.value.verdict is verdict.Verdict.MAY_HAVE_RUN
    assert state.runs['k1'] == runs


async def test_error_status_is_returned_as_an_answer():
    async with open_service() as (state, adapter):
        state.faults.append(service_standin.Fault.FAIL_BEFORE_RUN)
        answer = await book(adapter)
    assert answer.status == 503
    assert state.runs['k1'] == 0


async def test_call_to_unreachable_service_has_not_run():
    async with open_service() as (state, adapter):
        pass
    async with adapter:
        with pytest.raises(errors.RequestError) as caught:
            await book(adapter)
    assert caught.value.verdict is verdict.Verdict.NOT_RUN


@pytest.mark.parametrize(
    ('keepalive_expiry_ms', 'connections'), [(1e6, 1), (0.0, 2)]
)
async def test_idle_connection_is_reused_until_it_expires(
    keepalive_expiry_ms, connections
):
    app = service_standin.make_app(service_standin.ServiceState())
    ports = set()

    async def record_port(scope, receive, send):
        if scope['type'] == 'http':
            ports.add(scope['client'][1])
        await app(scope, receive, send)

    async with serving.serve_app(record_port) as url:
        client = http.JsonClient(url, keepalive_expiry_ms=keepalive_expiry_ms)
        async with service_adapter.HttpService(client) as adapter:
            for _ in range(2):
                await book(adapter)
                await trio.sleep(0.001)
    assert len(ports) == connections


async def test_answer_size_is_bounded(monkeypatch):
    monkeypatch.setattr(service_adapter, 'MAX_ANSWER_BYTES', 5)
    async with open_service() as (state, adapter):
        with pytest.raises(errors.RequestError) as caught:
            await book(adapter)
    assert caught.value.verdict is verdict.Verdict.MAY_HAVE_RUN
    assert state.runs['k1'] == 1
