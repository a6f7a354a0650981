"""Tests of what endpoints announce: that they leave, or want a rest."""

import email.utils
import random
import time
import types

import pytest
import trio

from foxtailpick.core.dispatch import announcements
from foxtailpick.core.dispatch import crash_reports
from foxtailpick.core.dispatch import placing
from foxtailpick.core.dispatch import refusal
from foxtailpick.gateway import announced
from foxtailpick.platform import dialect
from foxtailpick.tests import gateway_harness
from foxtailpick.tests import gateway_scripts
from foxtailpick.tests import leaving_fleet_model
from foxtailpick.tests import test_dispatch

LEAVING = (b'Server-Leaving', b'1')
NOT_RUN = (b'X-Not-Executed', b'1')


def rest(seconds):
    """Return a script that turns requests away."""
    headers = [NOT_RUN, (b'Retry-After', seconds)]

    async def answer(exchange):
        await exchange.answer(503, b'', headers, is_signed=False)

    return answer


async def leave(exchange):
    """Answer and announce the departure."""
    await exchange.answer(headers=[LEAVING])


async def ask_often(harness, count=20):
    """Return the statuses of several requests, one after the other."""
    return [
        (await harness.ask('/safe/x', X_Attempt_Id=f'a{number}')).status
        for number in range(count)
    ]


async def test_endpoint_that_leaves_gets_no_new_request():
    async with gateway_harness.open_harness() as harness:
        leaving = harness.add_endpoint('p1', 'plain', leave)
        harness.add_endpoint('p2', 'plain', gateway_scripts.answer_plainly)
        await harness.until_known('p1', 'p2')
        assert set(await ask_often(harness)) == {200}
        assert len(leaving.received) == 1
        # The store lists it as ready again; it is the same process.
        address = harness.gw.state.table.get('p1').entry.address
        entry = gateway_harness.make_entry('plain', address, sequence=2)
        harness.store.remove('servers/p1')
        await harness.until(lambda: not harness.gw.state.table.get('p1'))
        harness.store.put('servers/p1', entry)
        await harness.until_known('p1')
        await ask_often(harness)
        assert len(leaving.received) == 1
        entry['born'] += 1
        harness.store.put('servers/p1', entry)
        table = harness.gw.state.table
        await harness.until(lambda: len(table.list_service('plain')) == 2)
        await ask_often(harness)
        assert len(leaving.received) == 2


async def test_departure_is_told_to_other_routers():
    async with gateway_harness.open_harness() as harness:
        leaving = harness.add_endpoint('p1', 'plain', leave)
        await harness.until_known('p1')
        async with gateway_harness.open_harness(
            name='router-2', store=harness.store
        ) as other:
            await other.until_known('p1')
            assert (await harness.ask('/safe/x')).status == 200
            item = other.gw.state.table.get('p1')
            await other.until(lambda: item.announced.is_leaving)
            address = item.entry.address
            harness.add_endpoint('p2', 'plain', gateway_scripts.answer_plainly)
            await other.until_known('p2')
            assert set(await ask_often(other)) == {200}
            assert len(leaving.received) == 1
            # A new process of the same name is another endpoint.
            entry = gateway_harness.make_entry('plain', address, sequence=2)
            entry['born'] += 1
            harness.store.put('servers/p1', entry)
            table = other.gw.state.table
            await other.until(lambda: len(table.list_service('plain')) == 2)
            await trio.sleep(0.4)
            assert len(table.list_service('plain')) == 2


async def test_announcement_is_not_passed_on_to_callers():
    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('p1', 'plain', leave)
        await harness.until_known('p1')
        answer = await harness.ask('/safe/x')
    assert answer.status == 200
    assert b'server-leaving' not in answer.headers


async def test_last_endpoint_that_leaves_is_used_for_a_short_time(
    monkeypatch,
):
    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('p1', 'plain', leave)
        await harness.until_known('p1')
        assert await ask_often(harness, 3) == [200] * 3
        monkeypatch.setattr(announcements, 'LAST_USE_MS', 0.0)
        answer = await harness.ask('/safe/x')
    assert answer.status == 503
    assert answer.headers[b'retry-after']


async def test_endpoint_that_wants_a_rest_gets_nothing_meanwhile():
    async with gateway_harness.open_harness() as harness:
        resting = harness.add_endpoint('p1', 'plain', rest(b'600'))
        harness.add_endpoint('p2', 'plain', gateway_scripts.answer_plainly)
        await harness.until_known('p1', 'p2')
        assert set(await ask_often(harness)) == {200}
        assert len(resting.received) == 1
        item = harness.gw.state.table.get('p1')
        # Its own word is no failure.
        assert item.health.failures == 0
        assert not item.health.is_paused(harness.gw.now_ms())


async def test_request_is_refused_at_once_if_all_endpoints_rest():
    async with gateway_harness.open_harness() as harness:
        standin = harness.add_endpoint('p1', 'plain', rest(b'0.4'))
        await harness.until_known('p1')
        await harness.ask('/safe/x')
        began_ms = harness.gw.now_ms()
        answer = await harness.ask('/safe/y')
        assert answer.status == 503
        assert harness.gw.now_ms() - began_ms < 200
        assert 0.2 < float(answer.headers[b'retry-after']) < 1.0
        assert len(standin.received) == 1
        standin.script = gateway_scripts.answer_plainly
        await trio.sleep(0.5)
        assert (await harness.ask('/safe/z')).status == 200


async def test_request_placed_before_an_announcement_is_not_sent(
    monkeypatch,
):
    """The endpoint announces its rest while a connection is opened."""
    async with gateway_harness.open_harness() as harness:
        first = harness.add_endpoint(
            'p1', 'plain', gateway_scripts.answer_plainly
        )
        await harness.until_known('p1')
        gw = harness.gw
        acquire = gw.pool.acquire

        async def announce(endpoint):
            conn = await acquire(endpoint)
            endpoint.announced.record_rest(60_000.0, gw.now_ms())
            return conn

        monkeypatch.setattr(gw.pool, 'acquire', announce)
        assert (await harness.ask('/unsafe/x', b'POST')).status == 503
    assert first.received == []


async def test_requests_on_their_way_exceed_a_rest_by_none():
    """Many callers at once: nothing is sent after the first refusal."""
    async with gateway_harness.open_harness() as harness:
        resting = harness.add_endpoint('p1', 'plain', rest(b'30'))
        await harness.until_known('p1')
        async with trio.open_nursery() as nursery:
            for number in range(30):
                nursery.start_soon(harness.ask, f'/safe/{number}')
        sent = len(resting.received)
        await ask_often(harness, 10)
        assert len(resting.received) == sent


@pytest.mark.parametrize(
    ('value', 'expected_ms'),
    [
        (b'2', 2_000.0),
        (b'0.25', 250.0),
        (b' 1 ', 1_000.0),
        (b'0', 0.0),
        (b'-1', None),
        (b'soon', None),
        (b'nan', None),
        (b'inf', None),
        (b'', None),
        (b'Fri, 99 Foo 2026 00:00:00 GMT', None),
    ],
)
def test_retry_after_is_decoded(value, expected_ms):
    meta = dialect.decode_response([(b'retry-after', value)])
    assert meta.retry_after_ms == expected_ms
    assert (meta.bad_retry_after is None) is (expected_ms is not None)


def test_retry_after_may_be_a_date():
    date = email.utils.formatdate(time.time() + 100, usegmt=True).encode()
    meta = dialect.decode_response([(b'retry-after', date)])
    assert 90_000 < meta.retry_after_ms < 101_000


def test_rest_of_an_hour_is_cut():
    announced = announcements.Announcement()
    assert announced.record_rest(3_600_000.0, 0.0) == 600_000.0
    assert not announced.is_resting(600_000.0)
    # A later, shorter rest does not end the earlier one.
    announced.record_rest(1_000.0, 0.0)
    assert announced.is_resting(599_999.0)


def test_rest_ends_with_a_new_start():
    table = test_dispatch.make_table(1)
    table.get('e0').announced.record_rest(60_000.0, 0.0)
    assert test_dispatch.choose(table) is placing.Obstacle.ALL_RESTING
    entry = gateway_harness.make_endpoint_entry('e0', started='2')
    table.put(entry, 0.0)
    assert test_dispatch.choose(table).endpoint.id == 'e0'


def test_callers_return_after_the_rest_of_all_endpoints():
    table = test_dispatch.make_table(2)
    for name, rest_ms in (('e0', 4_000.0), ('e1', 2_000.0)):
        table.get(name).announced.record_rest(rest_ms, 0.0)
    items = table.list_all()
    rest_ms = placing.compute_rest_ms(items, set(), 0.0)
    assert rest_ms == 2_000.0
    assert placing.compute_rest_ms(items, {'e1'}, 0.0) == 4_000.0
    obstacle = placing.Obstacle.ALL_RESTING
    assert refusal.compute_max_wait_ms(obstacle, 500.0, rest_ms) == 0.0
    assert refusal.compute_max_wait_ms(obstacle, 500.0, 20.0) > 20.0
    rng = random.Random(1)
    times = [
        refusal.compute_retry_after_ms(obstacle, 0, 60_000.0, rng, rest_ms)
        for _ in range(200)
    ]
    assert min(times) >= rest_ms
    assert max(times) - min(times) > 400


def test_nothing_is_fetched_from_an_endpoint_that_left():
    table = test_dispatch.make_table(2)
    table.get('e0').announced.record_leaving(0.0)
    assert [item.id for item in table.list_leaving('engine', 500.0)] == ['e0']
    assert table.list_leaving('engine', announcements.FETCH_MS) == []


def sum_requests(routers, engines, tells, seeds, **fields):
    """Return the counts of several departures of one engine."""
    counts = [
        leaving_fleet_model.Fleet(
            routers, engines, tells, seed=seed, **fields
        ).run()
        for seed in range(seeds)
    ]
    return [
        sum(getattr(item, name) for item in counts)
        for name in ('reached', 'cut', 'late')
    ]


@pytest.mark.parametrize(
    ('routers', 'engines', 'seeds'), [(4, 6, 10), (68, 47, 2)]
)
def test_telling_of_a_departure_saves_requests(routers, engines, seeds):
    """The store lists the engine until it ends."""
    fields = {'listed_ms': 1_000.0, 'serves_ms': 0.0, 'seeds': seeds}
    reached, cut, late = sum_requests(routers, engines, True, **fields)
    untold = sum_requests(routers, engines, False, **fields)
    assert reached <= untold[0] / 2
    assert cut + late <= (untold[1] + untold[2]) / 2


def test_hub_keeps_what_other_routers_say():
    hub = announcements.HubDepartures()
    assert hub.merge(0.0) is None
    hub.record('r1', [['e1', '1', 50], ['e2', '1', 0]], 0.0)
    hub.record('r2', [['e1', '1', 10]], 2_000.0)
    assert hub.merge(2_000.0) == [['e2', '1', 2_000], ['e1', '1', 2_050]]
    late_ms = announcements.REPORT_TTL_MS + 1.0
    assert hub.merge(late_ms) == [['e1', '1', 1_011]]
    hub.record('r2', (), late_ms)
    assert hub.merge(late_ms) is None


def test_departures_are_news_for_a_short_time():
    """Messages may get lost, so that a new one is repeated at once."""
    hub = announcements.HubDepartures()
    pacer = crash_reports.Pacer()
    sent_ms = []
    for now_ms in range(0, 10_000, 150):
        hub.record('r1', [['e1', '1', now_ms]], now_ms)
        if pacer.is_due(hub.merge(now_ms), now_ms):
            sent_ms.append(now_ms)
    assert sent_ms[:5] == [0, 150, 300, 450, 600]
    assert len([at_ms for at_ms in sent_ms if at_ms >= 3_000]) <= 7


def test_what_a_router_was_told_binds_less_than_its_own_answer():
    table = test_dispatch.make_table(1)
    leaving = table.get('e0').announced
    assert leaving.record_told(0.0)
    assert not leaving.record_told(0.0)
    assert table.list_service('engine') == []
    # It may serve for many seconds more, so the last one stays usable.
    assert table.list_last_resort('engine', 60_000.0)
    assert leaving.record_leaving(60_000.0)
    assert table.list_last_resort('engine', 60_500.0)
    assert table.list_last_resort('engine', 61_000.0) == []
    # No later report of another router reverts it.
    assert not leaving.record_told(0.0)
    assert table.list_last_resort('engine', 61_000.0) == []


def test_a_router_repeats_what_it_was_told_for_a_limited_time():
    table = test_dispatch.make_table(3)
    table.get('e0').announced.record_told(0.0)
    state = types.SimpleNamespace(table=table)
    gw = types.SimpleNamespace(state=state)
    assert announced.make_report(gw, 2.0) == [['e0', '1', 2]]
    # Otherwise routers would tell each other a wrong report without end.
    after_ms = announcements.REPEAT_MS
    assert announced.make_report(gw, after_ms) is None
    table.get('e0').announced.record_told(after_ms - 1.0)
    assert announced.make_report(gw, after_ms) is None
    table.get('e1').announced.record_leaving(1.0)
    table.get('e2').announced.record_leaving(2.0)
    age_ms = round(after_ms)
    expected = [['e2', '1', age_ms - 2], ['e1', '1', age_ms - 1]]
    assert announced.make_report(gw, after_ms) == expected


@pytest.mark.parametrize(
    'message',
    [
        'e1',
        ['e1x'],
        [['e1']],
        [['e1', '1']],
        [['e1', 1, 1]],
        [[None, '1', 1]],
        [['e1', '1', -1]],
        [['e1', '1', 1.5]],
    ],
)
def test_malformed_departures_are_rejected(message):
    with pytest.raises(ValueError, match='expected lists'):
        announcements.decode_departures(message)


def test_departures_are_decoded():
    assert announcements.decode_departures(None) == []
    message = [['e1', '1', 5]]
    assert announcements.decode_departures(message) == [['e1', '1', 5]]
