"""Tests of callers' connections that give way to others."""

import dataclasses

import pytest
import trio

from foxtailpick.core.dispatch import connection_room
from foxtailpick.core.dispatch import request_arrival
from foxtailpick.gateway import client as client_lib
from foxtailpick.gateway import http1
from foxtailpick.gateway import server
from foxtailpick.tests import gateway_harness
from foxtailpick.tests import gateway_scripts
from foxtailpick.tests import test_caller_server

MOST = 20


def lower_limit(gw):
    """Leave descriptors for `MOST` connections of callers."""
    usable = round(MOST / connection_room.CALLER_DESCRIPTOR_SHARE)
    gw.cfg = dataclasses.replace(
        gw.cfg,
        max_sockets=connection_room.RESERVED_DESCRIPTORS + usable,
    )


async def open_part(address, callers, part):
    """Return a connection on which a part of a request was read."""
    conn = await client_lib.ClientConnection.connect(address)
    if part:
        await conn.send(part)
    count = callers.connections
    with trio.fail_after(gateway_harness.LIMIT_S):
        while part and not any(
            caller.unfinished_since_ms is not None
            for caller in callers._callers
        ):
            await trio.sleep(0)
    assert count <= MOST + connection_room.MAX_CLOSING
    return conn


async def test_oldest_unfinished_request_is_answered_408_for_room():
    handled = []

    async def echo(req, reply):
        handled.append(req.target)
        await reply.send_response(200, (), req.target)

    async with test_caller_server.open_callers(echo) as (gw, callers, address):
        gw.now_ms = lambda: 1_000.0 * trio.current_time()
        lower_limit(gw)
        part = gateway_harness.format_ask('/part', b'POST', b'12345')[:-1]
        conns = []
        for _ in range(MOST + 1):
            conns.append(await open_part(address, callers, part))
        oldest = await gateway_harness.read_answer(conns[0])
        last = await client_lib.ClientConnection.connect(address)
        await last.send(gateway_harness.format_ask('/whole'))
        answer = await gateway_harness.read_answer(last)
        assert callers.connections <= MOST
        for conn in [*conns, last]:
            conn.close()
    assert oldest.status == 408
    assert oldest.headers[b'connection'] == b'close'
    assert answer.status == 200
    assert handled == [b'/whole']


async def test_new_connection_is_closed_if_all_requests_are_handled():
    goes_on = trio.Event()

    async def wait(req, reply):
        await goes_on.wait()
        await reply.send_response(200, (), req.target)

    async with test_caller_server.open_callers(wait) as (gw, callers, address):
        lower_limit(gw)
        conns = []
        for number in range(MOST):
            conn = await client_lib.ClientConnection.connect(address)
            await conn.send(gateway_harness.format_ask(f'/{number}'))
            conns.append(conn)
        with trio.fail_after(gateway_harness.LIMIT_S):
            while sum(caller.is_busy for caller in callers._callers) < MOST:
                await trio.sleep(0)
        late = await client_lib.ClientConnection.connect(address)
        with pytest.raises(http1.BrokenConnectionError):
            await gateway_harness.read_answer(late)
        goes_on.set()
        answers = [await gateway_harness.read_answer(conn) for conn in conns]
        for conn in [*conns, late]:
            conn.close()
        assert gw.metrics.counters['callers_refused_for_room'] == 1
    assert [answer.status for answer in answers] == [200] * MOST


async def test_request_that_takes_too_long_to_arrive_is_answered_408(
    monkeypatch,
):
    monkeypatch.setattr(request_arrival, 'CHECK_INTERVAL_MS', 5.0)
    handled = []

    async def echo(req, reply):
        handled.append(req.target)
        await reply.send_response(200, (), req.target)

    async with test_caller_server.open_callers(echo) as (gw, callers, address):
        gw.now_ms = lambda: 1_000.0 * trio.current_time()
        gw.state.limits = dataclasses.replace(
            gw.state.limits, header_timeout_ms=50.0, idle_timeout_ms=100.0
        )
        part = gateway_harness.format_ask('/part', b'POST', b'x' * 10_000)
        conn = await client_lib.ClientConnection.connect(address)
        await conn.send(part[:-9_000])

        async def trickle():
            try:
                while True:
                    await conn.send(b'x')
                    await trio.sleep(0.02)
            except http1.BrokenConnectionError:
                return

        async with trio.open_nursery() as nursery:
            nursery.start_soon(trickle)
            answer = await gateway_harness.read_answer(conn)
            nursery.cancel_scope.cancel()
        conn.close()
        assert gw.metrics.counters['requests_too_slow'] == 1
    assert answer.status == 408
    assert not handled


@pytest.mark.parametrize(
    ('ask', 'status'),
    [
        (gateway_harness.format_ask('/x', X_Long='y' * 9_000), 431),
        (gateway_harness.format_ask('/x', b'POST', b'y' * 2_000), 413),
        (gateway_harness.format_ask('/x'), 200),
    ],
)
async def test_requests_at_other_listeners_are_short(ask, status):
    async with gateway_harness.open_harness() as harness:
        await harness.until_known()
        conn = await client_lib.ClientConnection.connect(harness.ready_address)
        await conn.send(ask)
        answer = await gateway_harness.read_answer(conn)
        conn.close()
    assert answer.status == status


async def test_request_without_a_descriptor_is_refused():
    """All connections to endpoints are in use; it was not sent."""
    async with gateway_harness.open_harness() as harness:
        endpoint = harness.add_endpoint('p1', 'plain', gateway_scripts.hang)
        await harness.until_known('p1')
        harness.gw.cfg = dataclasses.replace(
            harness.gw.cfg,
            max_sockets=connection_room.RESERVED_DESCRIPTORS
            + connection_room.SYSTEM_DESCRIPTORS,
        )
        conns = [
            await harness.send('/safe/x', X_Attempt_Id=f'a{number}')
            for number in range(connection_room.MIN_CONNECTIONS - 1)
        ]
        most = len(conns)
        await harness.until(lambda: len(harness.gw.attempts) == most)
        harness.gw.accepted -= most
        harness.gw.pool.count += 1
        answer = await harness.ask('/safe/x', X_Attempt_Id='late')
        received = [item.id for item in endpoint.received]
        harness.gw.accepted += most
        for conn in conns:
            conn.close()
    assert answer.status == 503
    assert b'retry-after' in answer.headers
    assert 'late' not in received


async def test_idle_connections_to_endpoints_give_way():
    """The longest idle one is closed for a new one, to any endpoint."""
    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('p1', 'plain', gateway_scripts.answer_plainly)
        await harness.until_known('p1')
        for number in range(3):
            await harness.ask('/safe/x', X_Attempt_Id=f'a{number}')
        pool, table = harness.gw.pool, harness.gw.state.table
        endpoint = table.get('p1')
        await harness.until(lambda: pool.has_idle(endpoint))
        assert pool.count == endpoint.connections == 1
        assert not pool.make_room(0, table)
        assert pool.count == endpoint.connections == 0
        assert pool.make_room(1, table)


async def test_crowd_that_is_refused_costs_few_searches(monkeypatch):
    """A search among all connections takes a millisecond."""
    searches = []

    def search(conns, limit, now_ms):
        searches.append(now_ms)
        return []

    monkeypatch.setattr(connection_room, 'choose_victims', search)
    times_ms = iter(range(1_000))
    async with test_caller_server.open_callers() as (gw, callers, _):
        gw.cfg = dataclasses.replace(gw.cfg, max_sockets=1)
        gw.now_ms = lambda: float(next(times_ms))
        for _ in range(200):
            callers._evict_idle()
    most = 200 / server.SEARCH_INTERVAL_MS
    assert 2 <= len(searches) <= most + 1
