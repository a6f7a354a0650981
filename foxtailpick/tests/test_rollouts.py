"""Tests of the decisions of a roll-out, by themselves and in a fleet."""

import copy
import itertools
import math
import random

import cbor2
import hypothesis
from hypothesis import strategies
import pytest

from foxtailpick.core import charts
from foxtailpick.core.dispatch import endpoint_table
from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import rollout_choice
from foxtailpick.core.dispatch import rollout_evidence
from foxtailpick.core.dispatch import rollout_reports
from foxtailpick.core.dispatch import rollout_verdict
from foxtailpick.core.dispatch import rollouts
from foxtailpick.core import ring
from foxtailpick.tests import rollout_fleet_model

OLD, NEW = 'v1', 'v2'
ORDER = model.RolloutOrder('o1', 's', NEW, 40_000.0)
STATES = list(model.RolloutState)
Load = rollout_fleet_model.Load
# What the operators tolerate.
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
MAX_DATAGRAM_BYTES = 1_400


def make_endpoints(old=6, new=6, slots=8, warmup_ms=0.0):
    return [
        endpoint_table.Endpoint(
            model.EndpointEntry(
                f'{version}-{number}', '1', 's', ('h', number), 'd', slots,
                False, 0.0, version,
            ),
            warm_at_ms=warmup_ms if version == NEW else 0.0,
        )
        for version, count in ((OLD, old), (NEW, new))
        for number in range(count)
    ]  # fmt: skip


def make_rollout(routers=1, duration_ms=40_000.0):
    order = model.RolloutOrder('o1', 's', NEW, duration_ms)
    rollout = rollouts.Rollout.from_order(order, 0.0)
    rollout.routers = routers
    if routers == 1:
        rollout.alone_since_ms = -math.inf
    return rollout


def get_versions(endpoints):
    return {item.entry.version for item in endpoints}


def send(rollout, endpoints, key, now_ms, rng):
    """Send a request; return whether it goes to the new version."""
    found = rollout_choice.select_endpoints(
        rollout, endpoints, key, now_ms, rng
    )
    version = found[0].entry.version
    rollouts.record_sent(rollout, version, now_ms)
    return version == NEW


def tell_nothing(rollout, now_ms):
    """Give a router totals without answers."""
    rollout_reports.apply_totals(rollout, [['o1', False, []]], now_ms)


def count(tallies, route, group, bad, answers, window=0, took_ms=50.0):
    """Add answers, the bad ones as failures."""
    for number in range(answers):
        key = window, route, group
        cls = rollout_evidence.find_class(took_ms)
        tallies.count(key, number < bad, cls)


def judge(evidence, steady=100):
    routes = rollout_verdict.group_by_route(evidence.tallies)
    return rollout_verdict.judge(routes, steady)


def test_chart_has_the_states_of_a_rollout():
    chart = charts.Chart.from_file('rollout')
    assert set(chart.states) == {state.value for state in STATES}


@pytest.mark.parametrize('told', list(itertools.product(STATES, repeat=3)))
def test_final_state_is_never_left(told):
    rollout = make_rollout()
    states = []
    for state in told:
        rollouts.apply_state(rollout, state)
        states.append(rollout.state)
    final = [s for s in told if s is not model.RolloutState.IN_PROGRESS]
    assert states[-1] is (final or told)[0]
    if final:
        decision = rollouts.decide(rollout, 1e9)
        assert decision.action is rollouts.Action.WAIT


@pytest.mark.parametrize(
    ('state', 'expected'),
    [
        (model.RolloutState.COMPLETED, {NEW}),
        (model.RolloutState.ROLLED_BACK, {OLD}),
    ],
)
def test_final_state_determines_the_version(state, expected):
    rollout = make_rollout()
    rollouts.apply_state(rollout, state)
    rng = random.Random(1)
    for key in [None, *map(str, range(200))]:
        found = rollout_choice.select_endpoints(
            rollout, make_endpoints(), key, 1.0, rng
        )
        assert get_versions(found) == expected


@pytest.mark.parametrize(
    'change',
    [
        'condemned', 'told', 'no-totals', 'stale-totals', 'cold', 'resting',
        'paused', 'loaded', 'repeat', 'past-deadline', 'none-new',
    ],
)  # fmt: skip
def test_new_version_gets_nothing(change):
    rollout = make_rollout(routers=4)
    endpoints = make_endpoints()
    now_ms = 5_000.0
    tell_nothing(rollout, now_ms)
    new = [item for item in endpoints if item.entry.version == NEW]
    if change == 'condemned':
        rollout.is_condemned = True
    elif change == 'told':
        rollout_reports.apply_totals(rollout, [['o1', True, []]], now_ms)
    elif change == 'no-totals':
        rollout.totals_ms = None
    elif change == 'stale-totals':
        rollout.totals_ms = now_ms - 2_500.0
    elif change == 'cold':
        endpoints = make_endpoints(warmup_ms=6_000.0)
    elif change == 'past-deadline':
        now_ms = rollout.deadline_ms
        tell_nothing(rollout, now_ms)
    elif change == 'none-new':
        endpoints = make_endpoints(new=0)
    for item in new:
        if change == 'resting':
            item.announced.rest_until_ms = 6_000.0
        elif change == 'paused':
            item.health.paused_until_ms = 6_000.0
        elif change == 'loaded':
            item.running = 7
    rng = random.Random(1)
    for number in range(400):
        found = rollout_choice.select_endpoints(
            rollout, endpoints, f'k{number}', now_ms, rng,
            is_repeat=change == 'repeat',
        )  # fmt: skip
        assert get_versions(found) == {OLD}


@pytest.mark.parametrize(
    ('is_condemned', 'expected'), [(False, {'v2'}), (True, {'v1'})]
)
def test_old_endpoints_finish_before_they_are_stopped(is_condemned, expected):
    """At the completion they end, with the requests that they have."""
    rollout = make_rollout()
    rollout.is_leaving_old = True
    rollout.is_condemned = is_condemned
    found = rollout_choice.select_endpoints(
        rollout, make_endpoints(), 'k', 39_000.0, random.Random(1)
    )
    assert get_versions(found) == expected


@pytest.mark.parametrize(
    ('is_condemned', 'expected'),
    [
        (False, rollouts.Action.COMPLETE),
        (True, rollouts.Action.ROLL_BACK),
    ],
)
def test_only_a_verdict_takes_back_a_completion(is_condemned, expected):
    """While old endpoints finish, the new ones have the whole load."""
    rollout = make_rollout()
    now_ms = rollout.deadline_ms - rollout.margin_ms
    rollout.steps_began_ms = rollout.last_steps_ms
    rollout.steps_length_ms = rollouts.MIN_STEPS_MS
    rollout.is_leaving_old = True
    rollout.doubt = rollouts.Reason.DOUBTFUL
    rollout.is_condemned = is_condemned
    rollout.judged_ms = now_ms
    assert rollouts.decide(rollout, now_ms).action is expected


def test_new_version_gets_a_share_at_few_endpoints():
    rollout = make_rollout()
    endpoints = make_endpoints()
    rng = random.Random(1)
    used = set()
    for number in range(4_000):
        found = rollout_choice.select_endpoints(
            rollout, endpoints, f'k{number}', number * 5.0, rng
        )
        version = found[0].entry.version
        rollouts.record_sent(rollout, version, number * 5.0)
        if version == NEW:
            used.update(item.id for item in found)
    share = rollout.exposure.sent_new / rollout.exposure.sent
    usual = rollouts.CANARY_PART * EXPOSURE_SHARE
    assert usual / 2 <= share < EXPOSURE_SHARE
    assert len(used) == rollout_choice.MIN_CANARIES
    groups = {rollout_evidence.find_group(item) for item in used}
    assert len(groups) == len(used)


def test_chat_keeps_its_version_as_the_share_grows():
    rollout = make_rollout(duration_ms=100_000.0)
    rollout.doubt = None
    endpoints = make_endpoints()
    rng = random.Random(1)
    rollout.exposure.sent = 100_000
    before = set()
    for step, start in enumerate(rollouts.STEP_STARTS):
        rollout.steps_began_ms = 1_000.0
        rollout.steps_length_ms = 1_000.0
        now_ms = 1_001.0 + 1_000.0 * start
        moved = {
            key
            for key in map(str, range(500))
            if send(rollout, endpoints, key, now_ms, rng)
        }
        assert before <= moved
        assert len(moved) == pytest.approx(
            500 * rollouts.STEP_SHARES[step], abs=40
        )
        before = moved


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 3),
            strategies.one_of(strategies.none(), strategies.integers(0, 9)),
            strategies.booleans(),
        ),
        max_size=300,
    ),
    strategies.integers(0, 99),
)
def test_share_bound_holds_for_any_sequence(requests, seed):
    rng = random.Random(seed)
    routers = [make_rollout(routers=4) for _ in range(4)]
    endpoints = make_endpoints()
    for now_ms, (number, key, reaches) in enumerate(requests):
        rollout = routers[number]
        tell_nothing(rollout, now_ms)
        rollout.route_shares = {'': rng.random()}
        text = None if key is None else str(key)
        is_new = send(rollout, endpoints, text, float(now_ms), rng)
        if not reaches:
            rollouts.record_unsent(rollout, NEW if is_new else OLD)
    sent = sum(rollout.exposure.sent for rollout in routers)
    new = sum(rollout.exposure.sent_new for rollout in routers)
    assert new <= EXPOSURE_SHARE * sent + EXPOSURE_SLACK


@pytest.mark.parametrize('seed', range(10))
@pytest.mark.parametrize('requests', [1, 3, 10])
def test_routers_with_few_requests_do_not_all_round_up(seed, requests):
    rng = random.Random(seed)
    routers = [make_rollout(routers=68) for _ in range(68)]
    endpoints = make_endpoints()
    for rollout in routers:
        tell_nothing(rollout, 0.0)
        rollout.route_shares = {'': 1.0}
        for _ in range(requests):
            send(rollout, endpoints, None, 1.0, rng)
    new = sum(rollout.exposure.sent_new for rollout in routers)
    bound = EXPOSURE_SHARE * 68 * requests + EXPOSURE_SLACK
    assert 0 < new <= bound


def test_lone_router_decides_by_its_own_evidence():
    rollout = make_rollout()
    endpoints = make_endpoints()
    rng = random.Random(1)
    actions = {}
    for now_ms in range(0, 40_000, 20):
        rollout_choice.observe_endpoints(rollout, endpoints, 1, now_ms)
        found = rollout_choice.select_endpoints(
            rollout, endpoints, None, now_ms, rng, 'a'
        )
        chosen = rng.choice(found)
        version = chosen.entry.version
        rollouts.record_sent(rollout, version, now_ms)
        rollouts.record_outcome(
            rollout, 'a', version, False, 50.0, now_ms, chosen.id
        )
        actions.setdefault(rollouts.decide(rollout, now_ms).action, now_ms)
    assert actions[rollouts.Action.COMPLETE] < rollout.deadline_ms
    assert rollouts.Action.ROLL_BACK not in actions


@pytest.mark.parametrize(('new', 'warmup_ms'), [(0, 0.0), (2, 0.0), (6, 1e9)])
def test_too_few_endpoints_end_in_a_roll_back(new, warmup_ms):
    rollout = make_rollout()
    endpoints = make_endpoints(new=new, warmup_ms=warmup_ms)
    end_ms = rollout.deadline_ms + rollout.margin_ms
    for now_ms in range(0, int(end_ms), 500):
        rollout_choice.observe_endpoints(rollout, endpoints, 1, now_ms)
        decision = rollouts.decide(rollout, now_ms)
        assert decision.action is rollouts.Action.WAIT
    assert decision.reason is rollouts.Reason.FEW_ENDPOINTS
    decision = rollouts.decide(rollout, end_ms)
    assert decision.action is rollouts.Action.ROLL_BACK
    assert decision.reason is rollouts.Reason.DEADLINE


@pytest.mark.parametrize(('bad', 'answers', 'share'), [
    (1, 10, 0.05), (6, 30, 0.03), (30, 200, 0.1), (5, 5, 0.4), (0, 9, 0.5),
])  # fmt: skip
def test_chance_is_that_of_the_binomial_distribution(bad, answers, share):
    expected = sum(
        math.comb(answers, n) * share**n * (1 - share) ** (answers - n)
        for n in range(bad, answers + 1)
    )
    found = rollout_verdict.compute_chance(bad, answers, share)
    if bad > share * answers:
        assert found == pytest.approx(expected, rel=1e-6)
    else:
        assert found == 1.0


@pytest.mark.parametrize(
    ('old_bad', 'groups', 'expected'),
    [
        (0, {1: (0, 40), 2: (0, 40)}, rollout_verdict.Standing.SOUND),
        (0, {1: (8, 40), 2: (8, 40)}, rollout_verdict.Standing.BAD),
        # Bad answers of the old version excuse those of the new one.
        (150, {1: (8, 40), 2: (8, 40)}, rollout_verdict.Standing.SOUND),
        # A single endpoint of several.
        (0, {1: (30, 40), 2: (0, 40)}, rollout_verdict.Standing.SOUND),
        # The only one.
        (0, {1: (20, 40)}, rollout_verdict.Standing.BAD),
        (0, {1: (2, 40), 2: (2, 40)}, rollout_verdict.Standing.DOUBTFUL),
    ],
)
def test_failures_are_judged_against_the_old_version(
    old_bad, groups, expected
):
    evidence = rollout_evidence.Evidence()
    count(evidence, 'a', rollout_evidence.OLD_GROUP, old_bad, 800)
    for group, (bad, answers) in groups.items():
        count(evidence, 'a', group, bad, answers)
    assert judge(evidence).standing is expected


@pytest.mark.parametrize(
    ('old_ms', 'new_ms', 'expected'),
    [
        (50.0, 70.0, rollout_verdict.Standing.SOUND),
        (50.0, 200.0, rollout_verdict.Standing.BAD),
        (200.0, 200.0, rollout_verdict.Standing.SOUND),
    ],
)
def test_latency_is_judged_at_the_same_time(old_ms, new_ms, expected):
    evidence = rollout_evidence.Evidence()
    for window in range(8):
        # Usually the old version takes 50 ms; it is slow in the last windows.
        took_ms = 50.0 if window < 5 else old_ms
        count(evidence, 'a', 0, 0, 100, window, took_ms)
        took_ms = 50.0 if window < 5 else new_ms
        count(evidence, 'a', 1, 0, 10, window, took_ms)
        count(evidence, 'a', 2, 0, 10, window, took_ms)
    assert judge(evidence).standing is expected


def test_slow_part_does_not_raise_its_own_limit():
    evidence = rollout_evidence.Evidence()
    for route in 'ab':
        count(evidence, route, 0, 0, 300, took_ms=70.0)
        for group in (1, 2):
            count(evidence, route, group, 0, 15, took_ms=70.0)
            if route == 'b':
                count(evidence, route, group, 0, 10, took_ms=250.0)
    assert judge(evidence).standing is rollout_verdict.Standing.BAD


def test_slower_endpoints_are_no_bad_version():
    evidence = rollout_evidence.Evidence()
    for took_ms in (60.0, 80.0, 100.0, 120.0):
        count(evidence, 'a', 0, 0, 300, took_ms=took_ms)
        for group in (1, 2):
            count(evidence, 'a', group, 0, 10, took_ms=1.5 * took_ms)
    # One in twenty takes twice as long.
    count(evidence, 'a', 0, 0, 60, took_ms=200.0)
    for group in (1, 2):
        count(evidence, 'a', group, 0, 4, took_ms=300.0)
    assert judge(evidence).standing is rollout_verdict.Standing.SOUND


@pytest.mark.parametrize('factor', [1.0, 4.0])
def test_streams_with_slow_events_are_slow(factor):
    rollout = make_rollout()
    for number in range(900):
        version = NEW if number % 9 == 0 else OLD
        whole_ms = 900.0 * (factor if version == NEW else 1.0)
        rollouts.record_outcome(
            rollout, 'r' * 300, version, False, 50.0, 1.0, f'e{number % 2}',
            whole_ms=whole_ms,
        )  # fmt: skip
    assert rollouts.decide(rollout, 1_000.0).action is (
        rollouts.Action.WAIT if factor == 1 else rollouts.Action.ROLL_BACK
    )
    for entry in rollout_reports.make_report(rollout, 1_000.0):
        rollout_reports.decode_reports([entry])


def test_earlier_answers_are_the_reference_where_no_old_endpoint_is_left():
    evidence = rollout_evidence.Evidence()
    count(evidence, 'a', 0, 0, 400, window=1)
    for group in (1, 2):
        count(evidence, 'a', group, 10, 30, window=12)
    verdict = judge(evidence)
    assert verdict.standing is rollout_verdict.Standing.BAD
    assert verdict.is_old_earlier


def test_messages_that_are_doubled_late_or_lost_count_once():
    rng = random.Random(1)
    hub = rollout_reports.HubRollouts()
    routers = {name: make_rollout(routers=3) for name in 'abc'}
    for now_ms in range(0, 20_000, 50):
        for name, rollout in routers.items():
            version = rng.choice([OLD, NEW])
            rollouts.record_outcome(
                rollout, 'r', version, rng.random() < 0.1, 50.0, now_ms, 'e'
            )
            report = rollout_reports.make_report(rollout, now_ms)
            for _ in range(rng.choice([0, 1, 2]) if now_ms < 15_000 else 1):
                hub.record(name, copy.deepcopy(report), now_ms)
    receiver = make_rollout(routers=3)
    for now_ms in range(20_000, 60_000, 400):
        for name, rollout in routers.items():
            report = rollout_reports.make_report(rollout, now_ms)
            hub.record(name, report, now_ms)
        rollout_reports.apply_totals(receiver, hub.merge(now_ms), now_ms)
    expected = rollout_evidence.Evidence()
    for rollout in routers.values():
        for key, tally in rollout.evidence.tallies.items():
            expected.replace(key, None, tally)
    assert receiver.totals == expected.tallies


def test_restarted_router_keeps_what_it_told_before():
    hub = rollout_reports.HubRollouts()
    for began_ms, answers in ((0, 5), (8_000, 3)):
        rollout = make_rollout(routers=2)
        for _ in range(answers):
            rollouts.record_outcome(rollout, 'r', OLD, False, 9.0, began_ms)
        hub.record('a', rollout_reports.make_report(rollout, 1.0), 1.0)
    receiver = make_rollout()
    rollout_reports.apply_totals(receiver, hub.merge(1.0), 1.0)
    assert sum(tally.answers for tally in receiver.totals.values()) == 8


def test_messages_fit_into_packets_and_tell_all_routes():
    rollout = make_rollout()
    rng = random.Random(1)
    for number in range(20_000):
        rollouts.record_outcome(
            rollout, f'route-{number % 60}', rng.choice([OLD, NEW]), False,
            rng.lognormvariate(4, 1), 1.0, f'e{number % 9}',
        )  # fmt: skip
    keys = set()
    for now_ms in range(0, 100_000, 400):
        entries = rollout_reports.make_report(rollout, now_ms)
        for entry in entries:
            assert len(cbor2.dumps([99, 'router-1', 1, [entry]])) < (
                MAX_DATAGRAM_BYTES
            )
            message = cbor2.loads(cbor2.dumps([entry]))
            assert rollout_reports.decode_reports(message) == [entry]
            keys.update(tuple(row[:3]) for row in entry[2])
    assert keys == set(rollout.evidence.tallies)


ROW = [0, 'r', 0, 0, [3, 1]]


@pytest.mark.parametrize(
    'message',
    [
        None, {}, 'x', [None], [[]], [['o', False]], [[1, False, []]],
        [['o', 0, []]], [['o', False, {}]], [['o' * 999, False, []]],
        [['o', False, []]] * 99, [['o', False, [ROW] * 999]],
        *(
            [['o', False, [[*ROW[:index], value, *ROW[index + 1 :]]]]]
            for index, values in enumerate([
                [-1, 1.0, True, 1e9, None, 10**12, math.nan],
                [1, None, b'r', 'r' * 999],
                [-1, 99, None, False],
                [-1, 0.5, 10**12, None, math.inf],
                [None, {}, [1], [-1, 1], [1, -1], [99, 1], [1, 1, 1, 1],
                 [1, 10**12], ['1', 1], [1, None]],
            ])
            for value in values
        ),
        [['o', False, [ROW[:4]]]],
        [['o', False, [ROW, ROW]]],
    ],
)  # fmt: skip
def test_malformed_message_is_rejected(message):
    with pytest.raises(ValueError, match='expected'):
        rollout_reports.decode_reports(message)


def test_proper_message_is_accepted():
    message = [['o', False, [ROW]], ['p', True, []]]
    assert rollout_reports.decode_reports(message) is message


def test_new_hub_is_told_everything():
    rollout = make_rollout()
    for window in range(10):
        rollouts.record_outcome(rollout, 'r', OLD, False, 9.0, window * 2e3)
    rollout.is_condemned = True
    rollout_reports.make_report(rollout, 20_000.0)
    rollout_reports.make_report(rollout, 21_000.0)
    rollout_reports.repeat_all(rollout)
    hub = rollout_reports.HubRollouts()
    hub.record('a', rollout_reports.make_report(rollout, 21_001.0), 21_001.0)
    ((_, is_condemned, rows),) = hub.merge(21_001.0)
    assert is_condemned
    assert len(rows) == 10


def make_fault(kind, probability, applies=lambda route, now_ms, load, n: True):
    """Return a fault of a part of the requests to which it applies."""

    def find_fault(rng, *args):
        if applies(*args) and rng.random() < probability:
            return kind
        return None

    return find_fault


def is_in(began_ms, end_ms):
    return lambda route, now_ms, load, number: began_ms <= now_ms < end_ms


def make_burst(began_ms, end_ms):
    return lambda now_ms: 1.6 if began_ms <= now_ms < end_ms else 1.0


GOOD = {
    'calm': Load(),
    'burst': Load(scale=make_burst(8_000, 18_000)),
    'burst-in-the-last-steps': Load(scale=make_burst(22_000, 36_000)),
    'all-slow': Load(
        find_common_fault=make_fault('slow', 0.5, is_in(8e3, 14e3))
    ),
    'all-fail': Load(
        find_common_fault=make_fault('fail', 0.5, is_in(8e3, 14e3))
    ),
    'slow-store': Load(store_ms=2_500.0),
    'messages-lost-for-3s': Load(is_down=lambda now_ms: 9e3 < now_ms < 12e3),
    'few-requests': Load(per_s=20.0),
    'three-endpoints': Load(per_s=60.0, endpoints=3, new_endpoints=3),
    'short': Load(duration_ms=15_000.0),
    'late-start': Load(starts_ms=12_000.0),
    '68-routers': Load(routers=68, per_s=150.0, duration_ms=20_000.0),
    'one-router': Load(routers=1),
}
BAD = {
    'fails': Load(find_fault=make_fault('fail', 0.3)),
    'fails-a-little': Load(find_fault=make_fault('fail', 0.15)),
    'slow': Load(find_fault=make_fault('slow', 0.3)),
    'fails-later': Load(find_fault=make_fault('fail', 0.3, is_in(2e4, 9e4))),
    'slow-later': Load(find_fault=make_fault('slow', 0.3, is_in(2e4, 9e4))),
    'fails-in-the-last-steps': Load(
        find_fault=make_fault('fail', 0.3, is_in(28e3, 9e4))
    ),
    'fails-under-load': Load(
        find_fault=make_fault('fail', 0.5, lambda r, t, load, n: load >= 0.25)
    ),
    'slow-under-load': Load(
        find_fault=make_fault('slow', 0.5, lambda r, t, load, n: load >= 0.25)
    ),
    'one-route-fails': Load(
        find_fault=make_fault('fail', 0.3, lambda r, t, load, n: r == 'c')
    ),
    'one-route-slow': Load(
        find_fault=make_fault('slow', 0.4, lambda r, t, load, n: r == 'c')
    ),
    'few-requests': Load(per_s=20.0, find_fault=make_fault('fail', 0.3)),
    'three-endpoints': Load(
        per_s=60.0, endpoints=3, new_endpoints=3,
        find_fault=make_fault('fail', 0.3),
    ),
    'slow-store': Load(store_ms=2_500.0, find_fault=make_fault('fail', 0.3)),
    '68-routers-slow': Load(
        routers=68, per_s=150.0, duration_ms=20_000.0,
        find_fault=make_fault('slow', 0.3),
    ),
    '68-routers-later': Load(
        routers=68, per_s=150.0, duration_ms=20_000.0,
        find_fault=make_fault('fail', 0.3, is_in(8e3, 9e4)),
    ),
}  # fmt: skip


def keeps_bounds(fleet):
    """Tell whether a bad version got no more than is tolerated."""
    return (
        fleet.state is model.RolloutState.ROLLED_BACK
        and fleet.count_excess(EXPOSURE_SHARE, EXPOSURE_SLACK) <= 0
        and fleet.count_late() == 0
    )


def is_completed_in_time(fleet):
    return (
        fleet.state is model.RolloutState.COMPLETED
        and fleet.written_ms <= fleet.load.duration_ms
    )


@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize('load', GOOD.values(), ids=GOOD)
def test_good_version_is_completed_in_time(load, seed):
    fleet = rollout_fleet_model.Fleet(load, seed).run()
    assert is_completed_in_time(fleet), fleet.decision


@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize('load', BAD.values(), ids=BAD)
def test_bad_version_is_rolled_back_within_the_bounds(load, seed):
    fleet = rollout_fleet_model.Fleet(load, seed).run()
    assert keeps_bounds(fleet), fleet.decision


@pytest.mark.parametrize('kind', [None, 'fail', 'slow'])
def test_restarts_keep_the_bounds(kind):
    load = Load()
    if kind:
        load = Load(find_fault=make_fault(kind, 0.3, is_in(15e3, 9e4)))
    fleet = rollout_fleet_model.Fleet(load, 3)
    fleet.run(
        actions=[
            (at_ms, lambda number=at_ms // 700 % 4: fleet.restart(number))
            for at_ms in range(3_000, 30_000, 700)
        ]
    )
    if kind:
        assert keeps_bounds(fleet), fleet.decision
    else:
        assert is_completed_in_time(fleet), fleet.decision


def test_one_bad_endpoint_is_no_bad_version():
    names = {f'{NEW}-{number}': 1.0 for number in range(12)}
    canary = ring.rank_by_rendezvous(ORDER.id, names)[0]
    load = Load(
        find_fault=make_fault(
            'fail', 0.5, lambda r, t, load, n: f'{NEW}-{n}' == canary
        )
    )
    fleet = rollout_fleet_model.Fleet(load, 1).run()
    assert is_completed_in_time(fleet), fleet.decision


def judge_nothing(patch):
    patch.setattr(rollout_verdict, 'BAD_CHANCE', -1.0)
    patch.setattr(rollout_verdict, 'MANY_BAD_CHANCE', -1.0)


def ignore_doubt(patch):
    judge_nothing(patch)
    patch.setattr(rollout_verdict, 'DOUBT_CHANCE', -1.0)


def exceed_the_share(patch):
    judge_nothing(patch)
    patch.setattr(rollouts, 'CANARY_PART', 3.0)
    patch.setattr(rollouts, 'BUDGET_PART', 3.0)


def keep_the_verdict(patch):
    patch.setattr(rollouts, 'JUDGE_INTERVAL_MS', 1e9)


def move_early(patch):
    patch.setattr(rollouts, 'STEPS_SHARE', 0.7)


def ignore_routes(patch):
    original = rollout_verdict.judge

    def judge_sum(routes, steady):
        merged = rollout_verdict.RouteTallies()
        for item in routes.values():
            for window, groups in item.windows.items():
                known = merged.windows.setdefault(window, {})
                for group, tally in groups.items():
                    known.setdefault(group, rollout_evidence.Tally())
                    known[group].add(tally)
        return original({'': merged} if routes else {}, steady)

    patch.setattr(rollout_verdict, 'judge', judge_sum)
    patch.setattr(rollouts, 'MAX_ROUTE_SHARE', 0.0)
    patch.setattr(rollouts, 'MIN_ANSWER_PART', 0.0)


def ignore_the_old_version(patch):
    original = rollout_verdict._compare

    def compare(*args):
        found = original(*args)
        found.expected = 0.0
        return found

    patch.setattr(rollout_verdict, '_compare', compare)


def add_up_reports(patch):
    original = rollout_evidence.Evidence.replace

    def replace(self, key, before, tally):
        original(self, key, None, tally)

    patch.setattr(rollout_evidence.Evidence, 'replace', replace)


@pytest.mark.parametrize(
    ('mutate', 'case'),
    [
        (exceed_the_share, 'fails'),
        (judge_nothing, 'fails'),
        (keep_the_verdict, 'slow'),
        (ignore_doubt, 'fails-later'),
        (move_early, 'fails-in-the-last-steps'),
        (ignore_routes, 'one-route-slow'),
    ],
)
def test_mistake_exceeds_the_bounds(mutate, case, monkeypatch):
    mutate(monkeypatch)
    fleet = rollout_fleet_model.Fleet(BAD[case], 1).run()
    assert not keeps_bounds(fleet)


@pytest.mark.parametrize('case', ['all-slow', 'all-fail'])
def test_blaming_the_version_for_common_faults_is_noticed(case, monkeypatch):
    ignore_the_old_version(monkeypatch)
    fleet = rollout_fleet_model.Fleet(GOOD[case], 1).run()
    assert not is_completed_in_time(fleet)


def test_counting_a_report_twice_is_noticed(monkeypatch):
    add_up_reports(monkeypatch)
    with pytest.raises(AssertionError):
        test_messages_that_are_doubled_late_or_lost_count_once()
