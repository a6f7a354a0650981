"""Tests of the pace of endpoints, and of shares that follow it."""

import random
import statistics

import pytest

from foxtailpick.core.dispatch import endpoint_pace
from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import paced_load
from foxtailpick.core.dispatch import request_work
from foxtailpick.tests import engine_model
from foxtailpick.tests import plain_model
from foxtailpick.tests import test_dispatch

MAX_SHARE_ABOVE_LIMIT = 0.03
# Share of the callers that need not be served in time.
MAX_LATE_SHARE = 0.05
ENGINES = model.Service('engine', 360, 0.0, 0.0)


def make_usual(now_ms):
    return 1.0


def keep(item, pace):
    """State a pace from 0 to 10 s."""
    for at_ms in range(0, 10_001, 100):
        item.pace.record_stated(pace, at_ms)


def test_old_figure_is_worth_less():
    pace = endpoint_pace.EndpointPace()
    pace.record_stated(5.0, 1_000.0)
    paces = [pace.compute(1_000.0 + age_ms) for age_ms in range(0, 6_000, 500)]
    assert paces[0] > 4
    assert paces == sorted(paces, reverse=True)
    assert paces[-1] == pytest.approx(1.0, abs=0.05)
    assert pace.compute_age_ms(1_250.0) == 250


def test_endpoint_without_evidence_is_as_usual():
    pace = endpoint_pace.EndpointPace()
    assert pace.compute(1e9) == 1.0
    assert pace.compute_lasting(1e9) == 1.0
    assert pace.compute_age_ms(1e9) is None
    assert not pace.needs_report(1e9)


def test_figures_that_change_many_times_a_second_are_smoothed():
    rng = random.Random(1)
    pace = endpoint_pace.EndpointPace()
    seen = []
    for number in range(400):
        now_ms = number * 25.0
        pace.record_stated(2.5 if rng.random() < 0.15 else 1.0, now_ms)
        seen.append(pace.compute(now_ms))
    assert max(seen[40:]) < endpoint_pace.SLOW_PACE
    changes = [abs(b - a) for a, b in zip(seen[40:], seen[41:], strict=False)]
    assert statistics.mean(changes) < 0.05


def test_endpoint_that_turns_slow_is_known_within_a_second():
    pace = endpoint_pace.EndpointPace()
    for now_ms in range(0, 10_000, 150):
        pace.record_stated(5.0 if now_ms >= 8_000 else 1.0, now_ms)
        if now_ms >= 9_000:
            assert pace.is_slow(now_ms)
    for now_ms in range(10_000, 12_000, 150):
        pace.record_stated(1.0, now_ms)
    assert not pace.is_slow(12_000.0)


def test_one_absurd_answer_does_not_outweigh_many():
    pace = endpoint_pace.EndpointPace()
    for number in range(10):
        pace.record_answer(80.0, 80.0, number * 50.0)
    pace.record_answer(1e9, 80.0, 500.0)
    assert pace.compute(500.0) < 3


def test_usual_time_ignores_a_few_slow_endpoints():
    rng = random.Random(1)
    usual = request_work.UsualValue()
    assert not usual.is_known
    for _ in range(400):
        took_ms = rng.lognormvariate(4.4, 0.5)
        usual.observe(took_ms * (5 if rng.random() < 0.2 else 1))
    assert 60 < usual.value < 140
    assert 10 < usual.error < 80


@pytest.mark.parametrize('first_ms', [5.0, 4_000.0])
def test_first_sample_is_soon_made_up_for(first_ms):
    usual = request_work.UsualValue()
    usual.observe(first_ms)
    for _ in range(60):
        usual.observe(80.0)
    assert usual.value == pytest.approx(80.0, rel=0.5)


def test_slow_endpoint_keeps_its_place_in_the_order_of_prompts():
    table = test_dispatch.make_table(8, slots=64)
    before = {
        str(key): test_dispatch.choose(table, prefix=str(key)).endpoint.id
        for key in range(200)
    }
    for item in table.list_all():
        item.running = 10
    for at_ms in range(500, 1_000, 100):
        table.get('e1').pace.record_stated(2.5, at_ms)
    after = {
        str(key): test_dispatch.choose(
            table, prefix=str(key), now_ms=1_000.0
        ).endpoint.id
        for key in range(200)
    }
    assert after == before


def make_slow_table():
    """Return a table where e1 has been slow for 10 s."""
    table = test_dispatch.make_table(8, slots=64)
    for item in table.list_all():
        keep(item, 5.0 if item.id == 'e1' else 1.0)
        item.running = 10
    return table


def test_prompts_overflow_from_an_endpoint_that_stays_slow():
    table = make_slow_table()
    chosen = [
        test_dispatch.choose(table, prefix=str(key), now_ms=10_000.0)
        for key in range(200)
    ]
    assert all(choice.endpoint.id != 'e1' for choice in chosen)
    # It still hands out its prompts.
    assert any(choice.holder and choice.holder.id == 'e1' for choice in chosen)
    # Idle again, it is used for a part of them.
    table.get('e1').running = 0
    assert 'e1' in {
        test_dispatch.choose(table, str(key), 10_000.0).endpoint.id
        for key in range(200)
    }


def test_no_endpoint_is_lifted_above_its_bound_for_a_slow_one():
    table = make_slow_table()
    for number in range(300):
        choice = test_dispatch.choose(
            table, prefix=f'p{number % 7}', now_ms=10_000.0, seed=number
        )
        loads = [item.load for item in table.list_all()]
        limit = 2 * statistics.mean(loads) + 3
        assert choice.endpoint.load <= limit
        choice.endpoint.running += 1


def test_service_that_is_slow_as_a_whole_is_used_as_before():
    table = test_dispatch.make_table(6, slots=64)
    for item in table.list_all():
        keep(item, 4.0)
    assert not paced_load.compute_divisors(table.list_all(), 10_000.0)


def test_slow_endpoint_is_not_paused():
    table = make_slow_table()
    health = table.get('e1').health
    assert table.get('e1').pace.is_slow(10_000.0)
    assert not health.is_paused(10_000.0)
    assert not table.get('e1').is_ejected


def test_fast_endpoint_is_not_flooded_by_many_routers():
    """Ten routers place 30 requests by the same counts, in 150 ms."""
    loads = dict.fromkeys(('e0', 'e1', 'e2', 'e3'), 3)
    above = 0
    for seed in range(10):
        table = test_dispatch.make_table(4, slots=6)
        for item in table.list_all():
            item.set_remote_load(3.0, 0.0)
            keep(item, 0.4 if item.id == 'e2' else 1.0)
        for number in range(3):
            choice = test_dispatch.choose(
                table, None, 10_000.0, seed=10 * number + seed
            )
            above += loads[choice.endpoint.id] > (
                2 * statistics.mean(loads.values()) + 3
            )
            choice.endpoint.running += 1
            loads[choice.endpoint.id] += 1
    assert loads['e2'] > loads['e0']
    assert above <= MAX_SHARE_ABOVE_LIMIT * 30


def test_fast_endpoint_gets_no_request_above_the_limit():
    table = test_dispatch.make_table(4, slots=6)
    for item in table.list_all():
        item.running = 12 if item.id == 'e2' else 2
        keep(item, 0.25 if item.id == 'e2' else 8.0)
    # Twice the mean of 4.5 and three.
    chosen = {
        test_dispatch.choose(table, None, 10_000.0, seed=seed).endpoint.id
        for seed in range(40)
    }
    assert 'e2' not in chosen


def simulate_plain(rate_per_s, paces, seed, learns, clump=3, mean_run_ms=80.0):
    requests = plain_model.make_requests(rate_per_s, seed, clump=clump)
    simulation = plain_model.Simulation(
        paces, learns=learns, mean_run_ms=mean_run_ms
    )
    simulation.run(requests)
    above = sum(request.is_above_limit for request in requests)
    assert above <= MAX_SHARE_ABOVE_LIMIT * len(requests)
    return plain_model.compute_late_share(requests)


# Placed by the counts of all routers, or by the requests of each alone.
@pytest.mark.parametrize('mean_run_ms', [0.0, 80.0])
@pytest.mark.parametrize(('rate_per_s', 'clump'), [(54, 1), (90, 3)])
def test_plain_callers_are_served_beside_a_slow_endpoint(
    rate_per_s, clump, mean_run_ms
):
    """One of three endpoints takes five times as long for 6.5 of 16 s."""
    late = {
        learns: statistics.mean(
            simulate_plain(
                rate_per_s,
                [plain_model.make_slow(), make_usual, make_usual],
                seed,
                learns,
                clump,
                mean_run_ms,
            )
            for seed in range(3)
        )
        for learns in (False, True)
    }
    assert late[True] <= 0.6 * late[False]


@pytest.mark.parametrize('every_ms', [600.0, 100.0])
@pytest.mark.parametrize('seed', [1, 2])
def test_plain_callers_are_served_while_machines_are_shared(seed, every_ms):
    """Of the endpoints, 15 in 100 take 2.5 times as long at any moment."""
    paces = [
        plain_model.make_noise(10 * seed + number, every_ms=every_ms)
        for number in range(3)
    ]
    assert simulate_plain(70, paces, seed, True) <= MAX_LATE_SHARE


@pytest.mark.parametrize('seed', range(1, 6))
def test_limit_of_plain_endpoints_holds_with_many_routers(seed):
    """Most of 33 routers have no request in flight when they place one."""
    requests = plain_model.make_requests(54, seed, routers=33, clump=3)
    paces = [plain_model.make_noise(10 * seed + n) for n in range(3)]
    simulation = plain_model.Simulation(paces, routers=33)
    simulation.run(requests)
    for began_ms in range(0, 11_001, 250):
        window = [
            request.is_above_limit
            for request in requests
            if began_ms <= request.arrived_ms < began_ms + 5_000
        ]
        assert sum(window) < 20 or (
            sum(window) <= MAX_SHARE_ABOVE_LIMIT * len(window)
        )


def simulate_engines(rate_per_s, paces, seed, states_paces):
    """Return the late share of the callers and the share that moved."""
    runs = engine_model.make_runs(
        rate_per_s,
        12,
        seed=seed,
        router=lambda rng: rng.randrange(8),
        prompt_tokens=lambda rng: rng.choice((800, 2_400, 10_500)),
        own_tokens=lambda rng: rng.choice((130, 360, 1_300)),
        tokens=lambda rng: rng.choice((290, 20, 380)),
    )
    simulation = engine_model.Simulation(
        ENGINES,
        has_shares=False,
        engines=8,
        routers=8,
        has_hub=True,
        paces=paces,
        states_paces=states_paces,
    )
    simulation.run(runs)
    # Caches fill first.
    runs = [run for run in runs if run.arrived_ms > 3_000]
    above = sum(run.is_above_limit for run in runs)
    assert above <= MAX_SHARE_ABOVE_LIMIT * len(runs)
    # The first token within 308 ms, and ten tokens within 400 ms.
    late = sum(run.delay_ms > 308 or run.token_ms > 40 for run in runs)
    fetched = sum(run.fetched_ms > 0 for run in runs)
    return late / len(runs), fetched / len(runs)


def test_callers_are_served_beside_a_slow_engine():
    """One of eight engines takes five times as long for 6.5 s."""
    late = {}
    for states in (False, True):
        paces = [plain_model.make_slow(), *[make_usual] * 7]
        results = [
            simulate_engines(230, paces, seed, states) for seed in (1, 2)
        ]
        late[states] = statistics.mean(share for share, _ in results)
    assert late[True] <= 0.6 * late[False]


def test_prompts_stay_while_machines_are_shared():
    """Of the engines, 15 in 100 take 2.5 times as long at any moment."""
    fetched = {}
    for states in (False, True):
        paces = [plain_model.make_noise(number) for number in range(8)]
        late, fetched[states] = simulate_engines(180, paces, 1, states)
        assert late <= MAX_LATE_SHARE
    assert fetched[True] <= fetched[False] + 0.01
