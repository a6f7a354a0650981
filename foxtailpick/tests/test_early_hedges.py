"""Tests of safe requests that are sent elsewhere to be answered in time."""

import pytest
import trio

from foxtailpick.core.dispatch import request_work
from foxtailpick.core.dispatch import response_timeout
from foxtailpick.tests import gateway_harness
from foxtailpick.tests import plain_model

# Requests of the retry budget, for each request.
BUDGET_SHARE = 0.2


def make_usual_pace(now_ms):
    return 1.0


def make_noisy(seed):
    return [plain_model.make_noise(10 * seed + number) for number in range(3)]


def make_one_slow(seed):
    return [plain_model.make_slow(), make_usual_pace, make_usual_pace]


@pytest.mark.parametrize(
    ('rate_per_s', 'make_paces'), [(110, make_noisy), (90, make_one_slow)]
)
def test_safe_requests_are_answered_in_time(rate_per_s, make_paces):
    """Simulates shared machines, and one that is slow for 6.5 of 16 s."""
    late = {}
    for early in (False, True):
        late[early] = 0
        for seed in range(1, 9):
            requests = plain_model.make_requests(
                rate_per_s, seed, safe_share=0.3
            )
            plain_model.Simulation(make_paces(seed), hedges_early=early).run(
                requests
            )
            safe = [request for request in requests if request.is_safe]
            late[early] += plain_model.compute_late_share(safe) / 8
            repeats = sum(len(request.endpoints) > 1 for request in safe)
            assert repeats <= BUDGET_SHARE * len(requests)
    assert late[True] <= 0.05
    assert late[True] <= 0.75 * late[False]


@pytest.mark.parametrize(
    ('left_ms', 'hedge_ms'),
    [
        (400.0, 300.0),
        (250.0, 150.0),
        (190.0, 100.0),
        (120.0, None),
        (-50.0, None),
    ],
)
def test_hedge_leaves_time_for_the_answer(left_ms, hedge_ms):
    usual = request_work.UsualValue(80.0, 10.0, 50)
    assert response_timeout.compute_hedge_ms(usual, left_ms) == hedge_ms


def test_nothing_is_hedged_early_before_times_are_known():
    usual = request_work.UsualValue(80.0, 10.0, 1)
    assert response_timeout.compute_hedge_ms(usual, 400.0) is None


def test_timeout_grows_at_a_slow_endpoint():
    assert response_timeout.adjust_to_pace(300.0, 2.0) == 600.0
    assert response_timeout.adjust_to_pace(300.0, 0.5) == 300.0
    assert response_timeout.adjust_to_pace(300.0, 8.0) == 900.0


class Endpoint:
    """Answers after a time."""

    def __init__(self):
        self.takes_ms = 2.0
        self.count = 0

    async def answer(self, exchange):
        self.count += 1
        await trio.sleep(self.takes_ms / 1_000)
        await exchange.answer()


def make_config():
    route = gateway_harness.make_route(
        'safe', '/safe/', 'safe', target_latency_ms=400, timeout_ms=8_000
    )
    return gateway_harness.make_config(routes=[route])


async def add_two(harness, load):
    """Add two endpoints that report a load."""
    endpoints = [Endpoint(), Endpoint()]
    for number, endpoint in enumerate(endpoints):
        standin = harness.add_endpoint(f'p{number}', 'plain', endpoint.answer)
        standin.load = load
    await harness.until_known('p0', 'p1')
    return endpoints


def record_lines(harness):
    """Return a list to which log lines are added from now on."""
    lines = []
    log = harness.gw.log
    log.emit = lambda event, **fields: lines.append((event, fields))
    # Not subject to the rate limit of lines about requests.
    log.emit_request = log.emit
    return lines


async def ask_often(harness, count, first=0):
    for number in range(first, first + count):
        answer = await harness.ask('/safe/x', X_Attempt_Id=f'a{number}')
        assert answer.status == 200


async def test_late_request_is_sent_elsewhere_before_it_counts_as_silent():
    async with gateway_harness.open_harness(make_config()) as harness:
        slow, _ = await add_two(harness, b'0,0,8,100')
        await ask_often(harness, 20)
        lines = record_lines(harness)
        slow.takes_ms = 4_000.0
        before = slow.count
        while slow.count == before:
            # After times that differed much, silence is noticed late.
            estimate = harness.gw.first_byte_estimates['safe']
            estimate.deviation_ms = 500.0
            await ask_often(harness, 1)
        item = harness.gw.state.table.get('p0')
        assert harness.gw.metrics.counters['hedges'] == 1
        # A slow endpoint isn't a faulty one.
        assert item.health.failed_requests == 0
        assert not item.health.is_paused(harness.gw.now_ms())
    (fields,) = (item for event, item in lines if event == 'silent')
    assert fields['late']
    (fields,) = (item for event, item in lines if event == 'attempt-replaced')
    assert not fields['silent']


async def test_slow_endpoint_gets_less_and_is_not_paused():
    async with gateway_harness.open_harness(make_config()) as harness:
        slow, _ = await add_two(harness, b'0,0,8,100')
        lines = record_lines(harness)
        await ask_often(harness, 20)
        slow.takes_ms = 100.0
        item = harness.gw.state.table.get('p0')
        for number in range(40):
            item.pace.record_stated(5.0, harness.gw.now_ms() + number)
        item.pace.lasting = 5.0
        before = slow.count
        await ask_often(harness, 30, 20)
        assert slow.count - before <= 3
        assert harness.gw.metrics.counters['endpoint_pauses'] == 0
    placed = [fields for event, fields in lines if event == 'placed']
    assert placed[-1]['pace'] > 0
    assert placed[-1]['pace_age_ms'] >= 0
    assert [event for event, _ in lines].count('paces-known') == 1


async def test_nothing_is_learned_where_no_pace_is_stated():
    async with gateway_harness.open_harness(make_config()) as harness:
        await add_two(harness, b'0,0,8')
        await ask_often(harness, 12)
        gw = harness.gw
        assert not gw.usual_times
        assert all(item.pace.heard_ms is None for item in list_all(harness))


def list_all(harness):
    return harness.gw.state.table.list_all()


@pytest.mark.parametrize('reader', [0, 1])
async def test_gateways_tell_each_other_of_a_slow_endpoint(reader):
    """One of the two is the hub."""
    async with (
        gateway_harness.open_harness(make_config()) as first,
        gateway_harness.open_harness(
            name='router-2', store=first.store
        ) as second,
    ):
        await add_two(first, b'0,0,8,500')
        harnesses = [first, second]
        for harness in harnesses:
            await harness.until_known('p0', 'p1')
            await harness.until(lambda h=harness: h.gw.state.router_count == 2)
        answer = await harnesses[reader].ask('/safe/x')
        assert answer.status == 200
        (item,) = [
            item
            for item in list_all(harnesses[reader])
            if item.pace.heard_ms is not None
        ]
        other = harnesses[1 - reader]
        told = other.gw.state.table.get(item.id)
        await other.until(lambda: told.pace.heard_ms is not None)
        assert told.pace.is_slow(other.gw.now_ms())
        assert other.gw.state.table.has_paces
