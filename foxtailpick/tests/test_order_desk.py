"""Tests of the order API of the sidecar, over loopback sockets."""

import contextlib

import pytest
from starlette import applications
import trio

from foxtailpick.adapters import http
from foxtailpick.core import clock
from foxtailpick.core import errors
from foxtailpick.core import settings
from foxtailpick.core import verdict
from foxtailpick.sidecar import order_desk
from foxtailpick.standins import engine_memory
from foxtailpick.standins import engine_state
from foxtailpick.standins import keyvalue
from foxtailpick.standins import serving

SETTINGS = settings.SidecarSettings(
    settings.NodeSettings('e1', 'pohjola', 'alue-yksi'),
    settings.ListenSettings('127.0.0.1', 0),
    settings.StoreSettings(('http://127.0.0.1:1',)),
    settings.MembershipSettings('http://127.0.0.1:1'),
    settings.EndpointSettings(
        'malli-palvelin',
        'model',
        'http://127.0.0.1:1',
        checks_fencing=True,
    ),
    settings.LimitSettings(),
)
ORDER = {'kind': 'set-role', 'target': 'decode', 'issuer': 'op', 'change': 'c'}


@contextlib.asynccontextmanager
async def open_desk(monitor):
    store = keyvalue.KeyValueState(clock.Clock.from_trio().now)
    engine = engine_state.EngineState()
    desk = order_desk.OrderDesk.from_settings(
        SETTINGS,
        'i1',
        keyvalue.MemoryKeyValue(store),
        engine_memory.MemoryEngine(engine),
        monitor,
    )
    app = applications.Starlette(routes=order_desk.make_routes(desk))
    async with serving.serve_app(app) as url:
        async with http.JsonClient(url) as client:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(desk.run)
                yield store, engine, client
                nursery.cancel_scope.cancel()


async def test_order_is_applied_at_once(monitor):
    async with open_desk(monitor) as (_, engine, client):
        desired = await client.call_json('POST', '/v1/orders', ORDER)
        assert desired['number'] == 1
        while not engine.role:
            await trio.sleep(0.005)
        shown = {'done': {}, 'wanted': {}}
        while shown['done'] != shown['wanted'] or not shown['done']:
            shown = await client.call_json('GET', '/v1/orders')
            shown['done'].pop('issuer', None)
            shown['wanted'].pop('issuer', None)
            await trio.sleep(0.005)
        again = await client.call_json('POST', '/v1/orders', ORDER)
    assert again['number'] == 1
    assert engine.role == 'decode'
    assert len(engine.orders) == 1


@pytest.mark.parametrize(
    'order',
    [{}, [], ORDER | {'kind': 'dance'}, ORDER | {'change': ''}],
)
async def test_malformed_order_is_refused(monitor, order):
    async with open_desk(monitor) as (_, engine, client):
        async with client.open_response(
            'POST', '/v1/orders', http.encode_json(order)
        ) as response:
            body = http.decode_json(await response.aread(), '')
    assert response.status == 400
    assert body['code'] == errors.ErrorCode.REQUEST_MALFORMED.value


async def test_unavailable_store_is_reported_as_not_run(monitor):
    async with open_desk(monitor) as (store, engine, client):
        store.take_down()
        with pytest.raises(errors.RequestError) as caught:
            await client.call_json('POST', '/v1/orders', ORDER)
    assert caught.value.verdict is verdict.Verdict.NOT_RUN
    assert engine.orders == []
