"""Tests of endpoints that name the rate that they take (Server-Limit)."""

import itertools
import random

import pytest
import trio

from foxtailpick.core.dispatch import placing
from foxtailpick.core.dispatch import rate_limits
from foxtailpick.core.dispatch import refusal
from foxtailpick.gateway import http1
from foxtailpick.platform import dialect
from foxtailpick.tests import gateway_harness
from foxtailpick.tests import gateway_scripts
from foxtailpick.tests import limited_fleet_model
from foxtailpick.tests import test_announcements
from foxtailpick.tests import test_dispatch

# Requests a second that a limited endpoint takes from all routers.
RATE = 2.0
LIMITED = (b'Server-Limit', b'2.0')
# What the operators allow in 4 s: one and a half times the rate, and five.
WINDOW_S = 4.0
MAX_IN_WINDOW = 1.5 * RATE * WINDOW_S + 5


async def answer_limited(exchange):
    """Answer and name a limit."""
    await exchange.answer(headers=[LIMITED])


def make_script(limits):
    """Return a script that names the limits one after the other, if any."""
    values = itertools.chain(limits, itertools.repeat(None))

    async def answer(exchange):
        value = next(values)
        headers = [] if value is None else [(b'Server-Limit', value)]
        await exchange.answer(headers=headers)

    return answer


async def test_limited_endpoint_gets_no_more_than_it_named():
    async with gateway_harness.open_harness() as harness:
        limited = harness.add_endpoint('p1', 'plain', answer_limited)
        await harness.until_known('p1')
        statuses = await test_announcements.ask_often(harness, 40)
    assert set(statuses) == {200, 503}
    assert len(limited.received) <= MAX_IN_WINDOW
    assert statuses.count(200) == len(limited.received)


async def test_requests_above_a_limit_go_elsewhere():
    async with gateway_harness.open_harness() as harness:
        limited = harness.add_endpoint('p1', 'plain', answer_limited)
        free = harness.add_endpoint(
            'p2', 'plain', gateway_scripts.answer_plainly
        )
        await harness.until_known('p1', 'p2')
        statuses = await test_announcements.ask_often(harness, 60)
    assert set(statuses) == {200}
    assert len(limited.received) <= MAX_IN_WINDOW
    assert len(limited.received) + len(free.received) == 60


async def test_limit_is_told_to_other_routers():
    async with gateway_harness.open_harness() as harness:
        limited = harness.add_endpoint('p1', 'plain', answer_limited)
        await harness.until_known('p1')
        async with gateway_harness.open_harness(
            name='router-2', store=harness.store
        ) as other:
            await other.until_known('p1')
            await harness.until(lambda: harness.gw.state.router_count == 2)
            await test_announcements.ask_often(harness, 3)
            await trio.sleep(0.6)
            await test_announcements.ask_often(other, 40)
    assert len(limited.received) <= MAX_IN_WINDOW


async def test_limit_is_over_with_an_answer_that_names_none():
    script = make_script([b'2'])
    async with gateway_harness.open_harness() as harness:
        endpoint = harness.add_endpoint('p1', 'plain', script)
        await harness.until_known('p1')
        limit = harness.gw.state.table.get('p1').announced.rate_limit
        assert (await harness.ask('/safe/x')).status == 200
        assert limit.is_limited
        # Some request is sent still, and its answer names no limit.
        with trio.fail_after(gateway_harness.LIMIT_S):
            while limit.is_limited:
                await harness.ask('/safe/x')
                await trio.sleep(0.05)
        statuses = await test_announcements.ask_often(harness, 10)
    assert statuses == [200] * 10
    assert len(endpoint.received) == 12


async def test_answer_without_an_id_does_not_end_a_limit():
    answers = itertools.chain(['own'], itertools.repeat('unknown'))

    async def answer(exchange):
        if next(answers) == 'own':
            await exchange.answer(headers=[LIMITED])
            return
        head = http1.format_response(500, [], 0, True)
        await http1.send_all(exchange.sock, head)

    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('p1', 'plain', answer)
        await harness.until_known('p1')
        statuses = await test_announcements.ask_often(harness, 20)
        limit = harness.gw.state.table.get('p1').announced.rate_limit
        assert limit.is_limited
    assert 500 in statuses or 502 in statuses


@pytest.mark.parametrize('value', [b'', b'-1', b'nan', b'inf', b'few'])
async def test_invalid_limit_is_logged_and_passed_over(value):
    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('p1', 'plain', make_script([value]))
        await harness.until_known('p1')
        assert (await harness.ask('/safe/x')).status == 200
        limit = harness.gw.state.table.get('p1').announced.rate_limit
        assert not limit.is_limited
    meta = dialect.decode_response([(b'server-limit', value)])
    assert meta.rate_limit_per_s is None
    assert meta.bad_rate_limit is not None


async def test_limit_is_not_passed_on_to_callers():
    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('p1', 'plain', answer_limited)
        await harness.until_known('p1')
        answer = await harness.ask('/safe/x')
    assert answer.status == 200
    assert b'server-limit' not in answer.headers


def test_overtaken_answer_does_not_end_a_limit():
    limit = rate_limits.RateLimit()
    assert limit.record(2.0, 90.0, 100.0)
    assert not limit.record(None, 95.0, 101.0)
    assert limit.is_limited
    assert limit.record(None, 102.0, 110.0)
    # The word of another router is older.
    assert not limit.record_told(2.0, 50.0, 120.0)
    assert not limit.is_limited


@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize('per_s', [0.0, 0.7, 3.0, 12.0])
@pytest.mark.parametrize('routers', [1, 4, 21, 68])
def test_routers_together_keep_a_limit(routers, per_s, seed):
    """Beside restarts, cuts and routers that come to the fleet."""
    wanted_per_s = 4 * per_s + 4
    fleet = limited_fleet_model.Fleet(
        routers, per_s, wanted_per_s, seed, is_uneven=seed == 2
    )
    fleet.run(6_000)
    for number in range(0, routers, 3):
        fleet.restart(number)
    fleet.run(9_000)
    for router in fleet.routers[: routers // 2]:
        router.is_cut_off = True
    fleet.run(14_000)
    for router in fleet.routers:
        router.is_cut_off = False
    fleet.add(routers // 4)
    fleet.run(24_000)
    assert fleet.count_worst_window() <= 1.5 * per_s * WINDOW_S + 5


@pytest.mark.parametrize('seed', range(1, 9))
@pytest.mark.parametrize('down_ms', [0.0, 1_000.0, 2_000.0])
@pytest.mark.parametrize(
    'routers, restarted', [(4, 1), (4, 2), (16, 5), (68, 20)]
)
def test_restarted_hub_keeps_a_limit(routers, restarted, down_ms, seed):
    """It takes itself for the hub while the others report to another one."""
    per_s = 3.1
    fleet = limited_fleet_model.Fleet(
        routers, per_s, 20.0 * (1 + seed % 2), seed, is_uneven=seed % 3 == 0
    )
    fleet.run(8_000)
    others = [number for number in range(routers) if number != fleet.hub]
    random.Random(seed).shuffle(others)
    for number in [fleet.hub, *others[: restarted - 1]]:
        fleet.restart(number, down_ms)
    fleet.run(18_000)
    assert fleet.count_worst_window() <= 1.5 * per_s * WINDOW_S + 5


@pytest.mark.parametrize('seed', [1, 2, 3, 4])
@pytest.mark.parametrize('loss', [0.05, 0.3])
@pytest.mark.parametrize('routers', [4, 16, 68])
def test_lower_limit_is_kept_beside_a_restarted_hub(routers, loss, seed):
    """The demand rises while the endpoint names half of its limit."""
    fleet = limited_fleet_model.Fleet(
        routers, 6.0, 20.0, seed, is_uneven=seed == 2, loss=loss
    )
    fleet.run(8_000)
    for number in {fleet.hub, seed % routers}:
        fleet.restart(number, 1_000.0)
    fleet.run(9_000)
    fleet.per_s = per_s = 3.1
    fleet.wanted_per_s = 60.0
    fleet.run(18_000)
    worst = fleet.count_worst_window(after_ms=9_500)
    assert worst <= 1.5 * per_s * WINDOW_S + 5


def test_routers_missing_in_the_totals_count_as_those_in_them():
    limit = rate_limits.RateLimit()
    limit.record(3.0, 0.0, 0.0)
    limit.wanted.record(0.0)
    statement = rate_limits.make_statement(('e', '1'), limit, 1.0)
    shares_per_s = []
    for reporters in (None, 4, 1):
        rate_limits.apply_statement(limit, statement, reporters, 2.0)
        shares_per_s.append(rate_limits.compute_share_per_s(limit, 4, 3.0))
    assert shares_per_s[0] == shares_per_s[1] == 4 * shares_per_s[2]


@pytest.mark.parametrize('seed', range(1, 9))
@pytest.mark.parametrize('per_s', [0.7, 3.0, 12.0])
@pytest.mark.parametrize('routers', [4, 21, 68])
def test_surge_at_all_routers_keeps_a_limit(routers, per_s, seed):
    """Others crash, and each router has a request for the same endpoint."""
    fleet = limited_fleet_model.Fleet(routers, per_s, 4 * per_s + 4, seed)
    fleet.run(8_000)
    for router in fleet.routers:
        fleet.want(router)
    fleet.run(14_000)
    assert fleet.count_worst_window() <= 1.5 * per_s * WINDOW_S + 5


@pytest.mark.parametrize('is_uneven', [False, True])
@pytest.mark.parametrize('per_s', [1.0, 3.0, 12.0])
@pytest.mark.parametrize('routers', [1, 4, 21, 68])
def test_most_of_a_limit_is_used(routers, per_s, is_uneven):
    fleet = limited_fleet_model.Fleet(
        routers, per_s, 3 * per_s, seed=5, is_uneven=is_uneven
    )
    fleet.run(60_000)
    late = [at_ms for at_ms, *_ in fleet.sent if at_ms >= 4_000]
    assert len(late) >= 0.6 * per_s * 56


def test_callers_return_at_the_rate_that_endpoints_take():
    """Of those that return at the stated time, no more than can be served."""
    rng = random.Random(7)
    schedule = refusal.ReturnSchedule()
    returns = []
    for number in range(40):
        wait_ms = refusal.schedule_return(
            schedule, 4.0, 60_000.0, number * 10.0
        )
        retry_ms = refusal.compute_retry_after_ms(
            placing.Obstacle.ALL_LIMITED, 0, 60_000.0, rng, wait_ms
        )
        assert retry_ms >= wait_ms
        returns.append(number * 10.0 + wait_ms)
    gaps_ms = [later - at for at, later in itertools.pairwise(returns)]
    assert min(gaps_ms) >= 250 - 1e-6
    # One that won't wait for so long takes no place of others.
    before_ms = schedule.next_ms
    assert refusal.schedule_return(schedule, 4.0, 1_000.0, 400.0) > 300
    assert schedule.next_ms == before_ms


def test_share_is_above_zero_at_a_router_without_requests():
    limit = rate_limits.RateLimit()
    limit.record(3.0, 0.0, 0.0)
    statement = rate_limits.make_statement(('e', '1'), limit, 1.0)
    statement[4] += 5.0
    rate_limits.apply_statement(limit, statement, None, 2.0)
    share_per_s = rate_limits.compute_share_per_s(limit, 4, 3.0)
    assert 0 < share_per_s <= 3.0
    schedule = refusal.ReturnSchedule()
    wait_ms = refusal.schedule_return(schedule, share_per_s, 9_000.0, 3.0)
    assert wait_ms > 0


def test_others_get_no_more_than_they_have_free_slots_for():
    table = test_dispatch.make_table(3, slots=4)
    prefix = next(
        name
        for name in map(str, range(100))
        if test_dispatch.choose(table, prefix=name).endpoint.id == 'e0'
    )
    for name in ('e0', 'e1'):
        limit = table.get(name).announced.rate_limit
        limit.record(1.0, 0.0, 0.0)
        limit.sent_ms.extend([0.0] * 10)
    rng = random.Random(1)
    found = None
    for _ in range(9):
        query = placing.Query(
            test_dispatch.SERVICE,
            prefix,
            frozenset(),
            4,
            0.0,
            table.compute_mean_load('engine'),
        )
        found = placing.choose_within_limits(
            table.list_service('engine'), query, rng
        )
        if isinstance(found, placing.Choice):
            found.endpoint.running += 1
    assert found is placing.Obstacle.ALL_LIMITED
    assert [table.get(f'e{n}').running for n in range(3)] == [0, 0, 4]


def test_nothing_is_fetched_from_a_limited_endpoint():
    table = test_dispatch.make_table(6)
    home = test_dispatch.choose(table).endpoint
    home.announced.rate_limit.record(1.0, 0.0, 0.0)
    choice = test_dispatch.choose(table, tried=[home.id])
    assert choice.holder is not home
