"""Tests of the gateway's dispatch decisions, in virtual time."""

import dataclasses
import random

import pytest

from foxtailpick.core.dispatch import endpoint_table
from foxtailpick.core.dispatch import event_stream
from foxtailpick.core.dispatch import health
from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import placing
from foxtailpick.core.dispatch import prompt_holder
from foxtailpick.core.dispatch import rate_share
from foxtailpick.core.dispatch import refusal
from foxtailpick.core.dispatch import response_timeout
from foxtailpick.core.dispatch import retry_decision
from foxtailpick.core.dispatch import route_table
from foxtailpick.core.dispatch import stopping
from foxtailpick.core import errors
from foxtailpick.tests import gateway_harness

SERVICE = model.Service('engine', 100, 3_000.0, 20.0)


def make_route(prefix='/a/', **fields):
    values = {
        'name': prefix,
        'host': 'chat.example',
        'prefix': prefix,
        'targets': (model.Target('engine', 1),),
        'kind': model.RequestKind.SAFE,
        'timeout_ms': 1_000.0,
        'target_ms': 200.0,
        'abandon_after_ms': 2_000.0,
        'priority': 0,
        'max_attempts': 2,
        'is_anonymous': False,
        'is_resumable': False,
        **fields,
    }
    return model.Route(**values)


def make_table(count, now_ms=0.0, **fields):
    table = endpoint_table.EndpointTable()
    for number in range(count):
        entry = gateway_harness.make_endpoint_entry(f'e{number}', **fields)
        table.put(entry, now_ms)
    return table


def choose(table, prefix='p', now_ms=0.0, routers=1, seed=1, **fields):
    query = placing.Query(
        SERVICE,
        prefix,
        frozenset(fields.get('tried', ())),
        routers,
        now_ms,
        table.compute_mean_load('engine'),
        table.list_leaving('engine', now_ms),
    )
    endpoints = table.list_service('engine')
    return placing.choose_endpoint(endpoints, query, random.Random(seed))


@pytest.mark.parametrize(
    ('target', 'found'),
    [
        ('/a/x', '/a/'),
        ('/a/b/x?q=/a/b/c/', '/a/b/'),
        ('/a/b', '/a/'),
        ('/a', None),
        ('/c/', None),
    ],
)
def test_longest_prefix_wins(target, found):
    table = route_table.RouteTable([make_route('/a/'), make_route('/a/b/')])
    route = table.find('Chat.Example:8080', target)
    assert (route.prefix if route else None) == found


def test_unknown_key_is_refused_and_an_anonymous_route_needs_none():
    account = model.Account('guides', None)
    cfg = model.GatewayConfig(1, (), {}, {'k': account}, True, model.Limits())
    assert route_table.find_account(cfg, make_route(), 'k') is account
    anonymous = make_route(is_anonymous=True)
    assert route_table.find_account(cfg, anonymous, None) is None
    with pytest.raises(errors.RequestError) as caught:
        route_table.find_account(cfg, make_route(), 'x')
    assert caught.value.code is errors.ErrorCode.ACCOUNT_UNKNOWN


def test_same_prompt_returns_to_the_same_endpoint_at_every_router():
    chosen = {
        choose(make_table(9), prefix='chat', seed=seed).endpoint.id
        for seed in range(5)
    }
    assert len(chosen) == 1


def test_hot_prompt_overflows_before_its_endpoint_is_overloaded():
    table = make_table(6)
    most = 0
    for _ in range(120):
        choice = choose(table, prefix='hot')
        choice.endpoint.running += 1
        loads = [item.load for item in table.list_all()]
        most = max(most, max(loads) - 2 * sum(loads) / len(loads))
    # The guaranteed limit is twice the mean plus three.
    assert most <= 3


def test_removed_endpoint_moves_only_its_own_prompts():
    table = make_table(8)
    before = {
        str(key): choose(table, prefix=str(key)).endpoint.id
        for key in range(400)
    }
    table.remove('e3', 0.0)
    moved = [
        key
        for key, endpoint in before.items()
        if choose(table, prefix=key).endpoint.id != endpoint
    ]
    assert all(before[key] == 'e3' for key in moved)


def test_draining_and_evacuated_endpoints_get_nothing():
    table = make_table(2)
    table.put(gateway_harness.make_endpoint_entry('e0', is_draining=True), 0.0)
    assert choose(table).endpoint.id == 'e1'
    table.set_evacuated({'north'}, {}, 0.0)
    assert choose(table) is placing.Obstacle.NONE_LISTED


def test_domain_that_comes_back_is_cold():
    table = make_table(1)
    table.set_evacuated({'north'}, {}, 0.0)
    table.set_evacuated(set(), {'engine': SERVICE}, 1_000.0)
    endpoint = table.get('e0')
    assert endpoint.is_cold(3_900.0)
    assert not endpoint.is_cold(4_100.0)


def test_routers_together_keep_the_rate_of_a_cold_endpoint():
    routers = [make_table(1, warmup_left_ms=3_000.0) for _ in range(4)]
    sent = []
    for now_ms in range(0, 3_000, 5):
        for table in routers:
            choice = choose(table, now_ms=float(now_ms), routers=4)
            if isinstance(choice, placing.Choice):
                rate_share.take_slot(choice.endpoint.warmup_share)
                sent.append(now_ms)
    worst = max(
        sum(start <= at < start + 1_000 for at in sent)
        for start in range(0, 2_000, 50)
    )
    # warmup_per_s times the allowed overrun, plus slack, as configured.
    assert worst <= 20 * 1.5 + 5
    assert len(sent) > 40


@pytest.mark.parametrize('idle_ms', [0, 1_000])
@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize('routers', [6, 21, 32, 68])
def test_cold_endpoint_is_not_flooded_by_many_routers(routers, seed, idle_ms):
    """All routers get requests for it at once, as other endpoints crash."""
    tables = [make_table(1, warmup_left_ms=3_000.0) for _ in range(routers)]
    sent = []
    for now_ms in range(0, 3_000, 20):
        for number, table in enumerate(tables):
            choice = choose(
                table,
                now_ms=float(now_ms),
                routers=routers,
                seed=seed * 1_000 + number,
            )
            if now_ms >= idle_ms and isinstance(choice, placing.Choice):
                rate_share.take_slot(choice.endpoint.warmup_share)
                sent.append(now_ms)
    worst = max(
        sum(start <= at < start + 1_000 for at in sent)
        for start in range(0, 2_000, 50)
    )
    # warmup_per_s times the allowed overrun, plus slack, as configured.
    assert worst <= 20 * 1.5 + 5
    # At least half of the rate that the endpoint sustains is used.
    assert len(sent) >= 20 * (3_000 - idle_ms) / 1_000 / 2


def test_routers_share_the_connections_that_an_endpoint_takes():
    """Requests accumulate at a slow endpoint because none completes."""
    service = model.Service('engine', 96, 0.0, 0.0)
    routers = [make_table(1) for _ in range(4)]
    for table in routers:
        for _ in range(60):
            query = placing.Query(service, None, frozenset(), 4, 0.0, 0.0)
            choice = placing.choose_endpoint(
                table.list_service('engine'), query, random.Random(1)
            )
            if choice is placing.Obstacle.ALL_FULL:
                break
            choice.endpoint.running += 1
    open_ = [table.get('e0').running for table in routers]
    assert 80 <= sum(open_) <= 96


def test_restarted_endpoint_has_new_state():
    table = make_table(1)
    table.get('e0').running = 3
    table.put(gateway_harness.make_endpoint_entry('e0', started='2'), 0.0)
    assert table.get('e0').running == 0


def test_expired_entries_stay_until_the_grace_period_ends():
    table = make_table(2)
    entry = gateway_harness.make_endpoint_entry('e0')
    absent = table.replace_all([entry], 5_000.0, grace_until_ms=7_000.0)
    assert absent == ['e1']
    assert table.expire_absent(6_900.0) == []
    assert table.expire_absent(7_000.0) == ['e1']
    assert table.get('e1') is None


def test_entry_that_comes_back_within_the_grace_period_stays():
    table = make_table(1)
    table.replace_all([], 0.0, grace_until_ms=2_000.0)
    table.put(gateway_harness.make_endpoint_entry('e0'), 1_000.0)
    assert table.expire_absent(9_000.0) == []


def test_failing_endpoint_is_paused_and_used_again():
    state = health.Health()
    assert not health.record_failure(state, 0.0, False)
    assert health.record_failure(state, 10.0, False)
    assert state.is_paused(400.0)
    assert not state.is_paused(10.0 + health.FIRST_PAUSE_MS)


def test_pauses_grow_while_failures_go_on():
    state = health.Health()
    ends = []
    for _ in range(5):
        at_ms = state.paused_until_ms
        health.record_failure(state, at_ms, True)
        ends.append(state.paused_until_ms - at_ms)
    assert ends == [500.0, 1_000.0, 2_000.0, 4_000.0, 4_000.0]


def test_few_failures_among_many_answers_pause_nothing():
    state = health.Health()
    for number in range(100):
        health.record_success(state, number * 10.0)
        if number % 10 == 0:
            assert not health.record_failure(state, number * 10.0, False)


def test_unresponsive_endpoint_is_skipped():
    table = make_table(2)
    first = choose(table).endpoint
    first.health.awaiting_since_ms = 0.0
    now_ms = health.SILENCE_MS + 1
    assert choose(table, now_ms=now_ms).endpoint is not first
    first.health.last_received_ms = now_ms
    assert choose(table, now_ms=now_ms).endpoint is first


def test_paused_endpoint_is_chosen_as_last_resort():
    table = make_table(2)
    for endpoint in table.list_all():
        health.record_failure(endpoint.health, 0.0, True)
    choice = choose(table, now_ms=1.0)
    assert choice.reason is placing.Reason.LAST_RESORT


def test_stale_report_does_not_send_all_requests_to_one_endpoint():
    table = make_table(10)
    chosen = {
        choose(table, prefix=None, seed=seed).endpoint.id for seed in range(40)
    }
    assert len(chosen) > 5


@pytest.mark.parametrize(
    ('end', 'fields', 'counted_attempts', 'has_budget', 'plan'),
    [
        ('BROKEN', {}, 1, True, 'ALLOWED'),
        ('BROKEN', {}, 1, False, 'NO_BUDGET'),
        ('BROKEN', {}, 2, True, 'NO_ATTEMPT_LEFT'),
        (
            'BROKEN',
            {'kind': model.RequestKind.UNSAFE},
            1,
            True,
            'MAY_HAVE_RUN',
        ),
        ('REFUSED', {'kind': model.RequestKind.UNSAFE}, 1, True, 'ALLOWED'),
        (
            'ERROR_ANSWER',
            {'kind': model.RequestKind.STREAMING},
            1,
            True,
            'MAY_HAVE_RUN',
        ),
        (
            'BROKEN',
            {'kind': model.RequestKind.STREAMING, 'is_resumable': True},
            1,
            True,
            'ALLOWED',
        ),
        ('UNREACHABLE', {'max_attempts': 1}, 0, False, 'ALLOWED'),
        ('REFUSED', {'max_attempts': 1}, 1, True, 'NO_ATTEMPT_LEFT'),
        ('MISDIRECTED', {'max_attempts': 1}, 0, True, 'ALLOWED'),
        ('MISDIRECTED', {'max_attempts': 1}, 0, False, 'NO_BUDGET'),
    ],
)
def test_retry_decisions(end, fields, counted_attempts, has_budget, plan):
    found = retry_decision.decide_retry(
        retry_decision.AttemptEnd[end],
        make_route(**fields),
        counted_attempts,
        0,
        has_budget,
    )
    assert found is retry_decision.RetryDecision[plan]


def test_retry_times_have_jitter_and_are_shorter_if_urgent():
    rng = random.Random(1)

    def find(priority):
        return [
            refusal.compute_retry_after_ms(
                placing.Obstacle.ALL_COLD, priority, 60_000.0, rng
            )
            for _ in range(200)
        ]

    urgent, others = find(0), find(2)
    assert len(set(urgent)) > 100
    assert sum(urgent) < sum(others)
    short = refusal.compute_retry_after_ms(
        placing.Obstacle.NONE_LISTED, 0, 300.0, rng
    )
    assert short <= 100


@pytest.mark.parametrize('obstacle', list(placing.Obstacle))
@pytest.mark.parametrize('left_ms', [-40.0, 0.0])
def test_caller_without_time_is_told_no_negative_time(obstacle, left_ms):
    retry_ms = refusal.compute_retry_after_ms(
        obstacle, 0, left_ms, random.Random(1), 500.0
    )
    assert retry_ms > 0


def test_retry_time_covers_the_expected_wait():
    """A caller that is told to return earlier would be refused again."""
    obstacle = placing.Obstacle.ALL_FULL
    times_ms = [
        refusal.compute_retry_after_ms(
            obstacle, 0, 60_000.0, random.Random(seed), 5_000.0
        )
        for seed in range(200)
    ]
    least_ms = 5_000.0 * (1 - refusal.JITTER)
    assert least_ms <= min(times_ms) < max(times_ms) <= 7_000.0
    left_ms = 3_000.0
    at_most_ms = left_ms * refusal.MAX_RETRY_SHARE
    short_ms = refusal.compute_retry_after_ms(
        obstacle, 0, left_ms, random.Random(1), 5_000.0
    )
    assert short_ms <= at_most_ms


def test_splitter_buffers_an_incomplete_event():
    splitter = event_stream.EventSplitter()
    assert splitter.feed(b'id: 1\ndata: a\n\nid: 2\nda') == (
        b'id: 1\ndata: a\n\n'
    )
    assert splitter.last_id == '1'
    assert not splitter.is_at_boundary
    assert splitter.feed(b'ta: b\n\n') == b'id: 2\ndata: b\n\n'
    assert (splitter.last_id, splitter.is_at_boundary) == ('2', True)


def test_splitter_refuses_an_event_without_end():
    splitter = event_stream.EventSplitter()
    with pytest.raises(ValueError, match='end of an event'):
        splitter.feed(b'x' * (event_stream.MAX_EVENT_BYTES + 1))


def test_stopping_router_accepts_what_will_complete():
    route = make_route(kind=model.RequestKind.STREAMING, timeout_ms=10_000.0)
    learned = stopping.StreamTiming()
    for _ in range(200):
        learned.observe(2_000.0, 400)
    assert 4.9 < learned.ms_per_token < 5.1
    short = stopping.estimate_duration_ms(route, 20, learned, 0.0)
    long = stopping.estimate_duration_ms(route, 700, learned, 0.0)
    assert short < 400 < 4_000 < long
    plain = dataclasses.replace(route, kind=model.RequestKind.SAFE)
    assert stopping.estimate_duration_ms(plain, 0, learned, 0.0) == 10_000.0


def test_request_with_a_lost_answer_meets_its_target_elsewhere():
    """Simulates lost answers of a service that answers in about 50 ms."""
    rng = random.Random(2)
    first = response_timeout.FirstByteEstimate()
    late = retried_early = 0
    for _ in range(2_000):
        took_ms = rng.lognormvariate(3.9, 0.3)
        # One answer in 30 is lost; the request is retried after the timeout.
        if rng.random() < 1 / 30:
            late += first.compute_timeout_ms(218.0, False) + took_ms > 218.0
            continue
        retried_early += took_ms > first.compute_timeout_ms(218.0, False)
        first.observe(took_ms)
    # A tenth of the requests with a lost answer may still be late.
    assert late < 0.1 * 2_000 / 30
    # Far below the retry budget of a fifth of the requests.
    assert retried_early < 0.02 * 2_000


def test_timeout_grows_when_all_answers_become_slow():
    first = response_timeout.FirstByteEstimate()
    for _ in range(50):
        first.observe(60.0)
    assert first.compute_timeout_ms(200.0, True) == 300.0
    assert 60.0 < first.compute_timeout_ms(200.0, False) <= 100.0
    for _ in range(50):
        first.observe(500.0)
    assert first.compute_timeout_ms(200.0, True) > 490.0


def test_prompts_return_to_their_home_under_low_load():
    """Simulates a low load: 9 endpoints, each with 10 of 64 slots in use.

    The prompt of an overflowing request is processed again, so random load
    variation must rarely move one away from its endpoint.
    """
    rng = random.Random(7)
    table = make_table(9, slots=64)
    ends = []
    home = 0
    now_ms = 0.0
    for _ in range(4_000):
        now_ms += rng.expovariate(1 / 15.0)
        while ends and ends[0][0] <= now_ms:
            ends.pop(0)[1].running -= 1
        choice = choose(table, prefix=str(rng.randrange(400)))
        home += choice.reason is placing.Reason.PREFIX
        choice.endpoint.running += 1
        ends.append((now_ms + rng.uniform(700, 2_000), choice.endpoint))
        ends.sort(key=lambda item: item[0])
    assert home / 4_000 > 0.95


def test_chat_that_overflows_fetches_its_prompt_from_home():
    table = make_table(4)
    home = choose(table, prefix='hot')
    assert home.holder is None
    home.endpoint.running = 60
    moved = choose(table, prefix='hot')
    assert moved.endpoint is not home.endpoint
    assert moved.holder is home.endpoint
    health.record_failure(home.endpoint.health, 0.0, True)
    assert choose(table, prefix='hot', now_ms=1.0).holder is None


def test_prompt_is_fetched_from_an_endpoint_that_drains():
    table = make_table(4)
    home = choose(table, prefix='p').endpoint
    entry = dataclasses.replace(home.entry, is_draining=True)
    table.put(entry, 0.0)
    choice = choose(table, prefix='p')
    assert (choice.endpoint is home, choice.holder) == (False, home)


def test_new_endpoint_fetches_prompts_from_their_previous_home():
    table = make_table(4)
    before = choose(table, prefix='p').endpoint
    number = 0
    while choose(table, prefix='p', now_ms=3_000.0).endpoint is before:
        number += 1
        entry = gateway_harness.make_endpoint_entry(
            f'new{number}', warmup_left_ms=2_000.0
        )
        table.put(entry, 0.0)
    choice = choose(table, prefix='p', now_ms=3_000.0)
    assert choice.holder is not None
    late = choose(table, prefix='p', now_ms=endpoint_table.CACHE_FILL_MS + 1)
    assert late.holder is None


def test_stopping_router_assumes_the_slowest_stream_after_a_while():
    """Guards against a stream that runs longer than its router.

    Streams use half of their tokens on average, at 10 ms per token; the
    next one uses all of them. Seen in case fresh-785d of kandurata.
    """
    rng = random.Random(5)
    learned = stopping.StreamTiming()
    for _ in range(300):
        learned.observe(400 * rng.uniform(0.0, 1.0) * 10.0, 400)
    route = make_route(kind=model.RequestKind.STREAMING, timeout_ms=10_000.0)
    early = stopping.estimate_duration_ms(route, 400, learned, 2_900.0)
    late = stopping.estimate_duration_ms(route, 400, learned, 3_100.0)
    assert early < 4_000.0 < late
    # The signal may have come earlier by a delay that is not noticed.
    just_late = stopping.estimate_duration_ms(route, 400, learned, 2_950.0)
    assert just_late == late


def fail_partly(item, now_ms, failures, successes):
    """Record failed and good answers of an endpoint."""
    for _ in range(successes):
        health.record_answer_start(item.health, now_ms, False)
        health.record_success(item.health, now_ms)
    for _ in range(failures):
        health.record_failure(item.health, now_ms, False)


def test_service_that_fails_in_part_everywhere_keeps_its_prompts_in_place():
    """Simulates levant-moodboard trouble-1 from second 11 to 15.

    All six engines fail 40 % of their requests. Pausing each of them in turn
    sent every prompt to up to six engines, where it was processed again, and
    served nobody more.
    """
    rng = random.Random(3)
    table = make_table(6, slots=128)
    prompts = [f'p{number}' for number in range(30)]
    homes = {key: choose(table, key).endpoint.id for key in prompts}
    moved = 0
    for now_ms in range(0, 4_000, 5):
        prompt = rng.choice(prompts)
        choice = choose(table, prompt, now_ms)
        moved += choice.endpoint.id != homes[prompt]
        is_failed = rng.random() < 0.4
        fail_partly(choice.endpoint, now_ms, is_failed, not is_failed)
    # At most a third of the engines is paused at any time.
    assert moved <= 800 / 3


def test_endpoint_that_fails_every_request_is_paused_beyond_the_limit():
    table = make_table(6)
    for item in table.list_all()[:4]:
        fail_partly(item, 0.0, 5, 0)
    chosen = {choose(table, str(key)).endpoint.id for key in range(50)}
    assert chosen <= {'e4', 'e5'}


def test_one_of_two_endpoints_is_paused_for_partial_failures():
    table = make_table(2)
    fail_partly(table.get('e0'), 0.0, 6, 4)
    chosen = {choose(table, str(key)).endpoint.id for key in range(50)}
    assert chosen == {'e1'}


def test_prompt_is_fetched_from_a_home_that_fails_in_part():
    """A paused home that answers some requests still has its cache."""
    table = make_table(6)
    home = choose(table).endpoint
    fail_partly(home, 0.0, 6, 4)
    choice = choose(table)
    assert choice.endpoint is not home
    assert choice.holder is home
    # It may not reply at all once it is unreachable.
    health.record_failure(home.health, 0.0, True)
    assert choose(table).holder is None
    # An error that it answers shows that it is back.
    health.record_failure(home.health, 0.0, False)
    assert choose(table).holder is home


@pytest.mark.parametrize(
    ('starts_ms', 'holder'),
    [
        # Half of the engines return together with empty caches.
        ((9_000.0, 9_200.0, 9_400.0), 3),
        # They are replaced one after the other: the one before was the home.
        ((9_000.0, 6_000.0, 3_000.0), 1),
        ((9_000.0, 8_500.0, 3_000.0), 2),
    ],
)
def test_new_home_fetches_from_the_home_before(starts_ms, holder):
    table = make_table(6)
    ranked = prompt_holder.rank_homes(table.list_all(), 'p')
    order = [item.id for item in ranked]
    for endpoint, start_ms in zip(order, starts_ms, strict=False):
        entry = gateway_harness.make_endpoint_entry(
            endpoint, started='2', warmup_left_ms=1.0
        )
        table.put(entry, start_ms)
    choice = choose(table, now_ms=10_000.0)
    assert choice.endpoint.id == order[0]
    assert choice.holder.id == order[holder]


def test_prompt_is_fetched_from_a_domain_that_was_just_evacuated():
    """Simulates luparetki-large scale-1: a fifth of the engines is out.

    The prompts of its engines were processed again elsewhere.
    """
    table = make_table(6)
    home = choose(table, now_ms=1_000.0).endpoint
    entry = dataclasses.replace(home.entry, domain='south')
    table.put(entry, 0.0)
    table.set_evacuated({'south'}, {'engine': SERVICE}, 1_000.0)
    choice = choose(table, now_ms=1_500.0)
    assert choice.endpoint is not home
    assert choice.holder is home
    # Work may reach the domain for 5 s.
    late_ms = 1_000.0 + endpoint_table.EVACUATION_FETCH_MS + 1
    assert late_ms < 5_000
    assert choose(table, now_ms=late_ms).holder is None


def test_nothing_is_fetched_from_a_domain_evacuated_at_an_unknown_time():
    """A router that restarts reads that the domain is out of service."""
    table = make_table(6)
    home = choose(table).endpoint
    entry = dataclasses.replace(home.entry, domain='south')
    table.put(entry, 0.0)
    table.set_evacuated({'south'}, {'engine': SERVICE}, 0.0, False)
    assert choose(table, now_ms=100.0).holder is None


def test_home_that_returns_to_service_fetches_what_it_missed():
    table = make_table(6)
    home = choose(table).endpoint
    entry = dataclasses.replace(home.entry, domain='south')
    table.put(entry, 0.0)
    services = {'engine': SERVICE}
    table.set_evacuated({'south'}, services, 1_000.0)
    substitute = choose(table, now_ms=5_000.0).endpoint
    table.set_evacuated((), services, 10_000.0)
    choice = choose(table, now_ms=10_000.0 + SERVICE.warmup_ms)
    assert choice.endpoint is home
    assert choice.holder is substitute


def test_nothing_is_fetched_from_a_home_that_is_cold():
    """A new home that has used up its rate for now has an empty cache."""
    table = make_table(6)
    ranked = prompt_holder.rank_homes(table.list_all(), 'p')
    order = [item.id for item in ranked]
    entry = gateway_harness.make_endpoint_entry(
        order[0], started='2', warmup_left_ms=3_000.0
    )
    home = table.put(entry, 0.0)
    home.warmup_share.slots = 0.0
    choice = choose(table, now_ms=100.0, routers=9)
    assert choice.endpoint.id == order[1]
    assert choice.holder is None
