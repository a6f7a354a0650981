"""Tests of the bounds that hold under any overload."""

import itertools
import random

import hypothesis
from hypothesis import strategies
import pytest

from foxtailpick.core.dispatch import admission_queue
from foxtailpick.core.dispatch import endpoint_table
from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import overload
from foxtailpick.core.dispatch import overload_order
from foxtailpick.core.dispatch import overload_rank
from foxtailpick.core.dispatch import overload_usage
from foxtailpick.core.dispatch import prompt_backlog
from foxtailpick.core.dispatch import request_work
from foxtailpick.core.dispatch import returning
from foxtailpick.core.dispatch import served_share
from foxtailpick.tests import gateway_harness

CHECK_MS = admission_queue.CHECK_INTERVAL_MS
RUN_MS = 1_000.0
TARGET_MS = 300.0
READ_PER_MS = 60
# No kind, account or size is served less often than this, as a multiple of
# all, as the operators state it.
MIN_SHARE = 0.25


def make_ticket(
    now_ms,
    level=1,
    account='a',
    prompt_tokens=1_000,
    longest_ms=1_500.0,
    arrival=None,
):
    return overload_rank.make_ticket(
        f'kind-{level}',
        account,
        level,
        request_work.estimate_work(prompt_tokens, 100),
        prompt_tokens,
        arrival or returning.Arrival(now_ms, now_ms),
        TARGET_MS,
        50.0,
        longest_ms,
        now_ms,
    )


def make_load(requests, slots=40):
    return overload.Load(slots, min(requests, slots), requests)


def update_room(order, now_ms, requests=40):
    overload_order.update_room(
        order, make_load(requests), RUN_MS, TARGET_MS, 0.0, 1, now_ms
    )


def make_endpoints(loads, slots=10):
    table = endpoint_table.EndpointTable()
    for number, load in enumerate(loads):
        entry = gateway_harness.make_endpoint_entry(f'e{number}', slots=slots)
        table.put(entry, 0.0).set_remote_load(load, 0.0)
    return table.list_all()


def detect(loads, run_ms=RUN_MS, for_ms=1_000, detector=None, start_ms=0):
    """Return the detector and when it changed, for loads that stay."""
    detector = detector or overload.Detector()
    load = overload.measure(make_endpoints(loads))
    for now_ms in range(start_ms, start_ms + for_ms, int(CHECK_MS)):
        if overload.update(detector, load, run_ms, False, now_ms):
            return detector, now_ms - start_ms
    return detector, None


def test_full_service_is_overloaded_within_the_stated_time():
    # The counts are 230 ms old at most.
    detector, after_ms = detect([12, 10, 11])
    assert detector.is_overloaded
    assert after_ms + overload.COUNTS_AGE_MS <= 500
    detector, after_ms = detect([12, 10, 11], run_ms=80.0)
    assert after_ms + overload.COUNTS_AGE_MS <= 1_500


@pytest.mark.parametrize('loads', [[90, 3, 4], [40, 9, 8, 7, 9, 8], [0, 0]])
def test_one_slow_endpoint_is_no_overload(loads):
    assert not detect(loads)[0].is_overloaded


def test_overload_ends_once_there_is_room_for_a_while():
    detector, _ = detect([10, 10])
    # Between the bounds it stays as it is.
    assert detect([9, 9], detector=detector, start_ms=1_000)[1] is None
    _, after_ms = detect([5, 5], detector=detector, start_ms=2_000)
    assert after_ms == overload.LEAVE_MS
    assert detect([9, 9], detector=detector, start_ms=4_000)[1] is None


def test_overload_goes_on_while_requests_wait_for_room():
    detector, _ = detect([10, 10])
    load = overload.measure(make_endpoints([5, 5]))
    for now_ms in range(1_000, 3_000, int(CHECK_MS)):
        assert not overload.update(detector, load, RUN_MS, True, now_ms)


def test_service_without_endpoints_is_not_overloaded():
    detector, _ = detect([10, 10])
    _, after_ms = detect([], detector=detector, start_ms=1_000)
    assert after_ms == overload.LEAVE_MS
    assert not detector.is_overloaded


def test_check_without_endpoints_releases_and_refuses_nothing():
    """All endpoints are silent or paused for a moment."""
    detector, _ = detect([10, 10])
    order = overload_order.Order(detector)
    update_room(order, 0.0)
    ticket = make_ticket(0.0)
    overload_order.add(order, ticket)
    load = overload.measure([])
    assert not overload.update(detector, load, RUN_MS, True, 1_000)
    overload_order.update_room(order, load, RUN_MS, TARGET_MS, 0, 1, 50.0)
    assert overload_order.pop_admitted(order, 50.0) == []
    assert overload_order.pop_hopeless(order, 50.0) == []
    new = make_ticket(50.0)
    assert not overload_order.arrive(order, new, 50.0)
    assert overload_order.estimate_wait_ms(order, new, 50.0) < 1_500
    assert detector.is_overloaded


def test_peaks_of_short_runs_are_no_overload():
    """As test_small_service_with_short_runs_queues_nothing."""
    rng = random.Random(4)
    detector = overload.Detector()
    ends = []
    count = 0
    next_ms = 0.0
    for now_ms in range(0, 60_000, 5):
        ends = [end for end in ends if end > now_ms]
        while next_ms <= now_ms:
            ends.append(now_ms + 45)
            next_ms += rng.expovariate(82) * 1_000
        if now_ms % 150 == 0:
            count = len(ends)
        if now_ms % CHECK_MS == 0:
            load = overload.Load(6, min(count, 6), count)
            overload.update(detector, load, 45.0, False, now_ms)
        assert not detector.is_overloaded


@pytest.mark.parametrize(
    ('wait_ms', 'is_overloaded'), [(200, False), (700, True)]
)
def test_unread_prompts_overload_a_service_with_free_slots(
    wait_ms, is_overloaded
):
    target_ms = 600.0
    detector = overload.Detector()
    load = overload.Load(64, 20, 20, 1_000 * wait_ms, 1e6, target_ms)
    for now_ms in range(0, 500, int(CHECK_MS)):
        overload.update(detector, load, RUN_MS, False, now_ms)
    assert detector.is_overloaded == is_overloaded


def test_one_hot_prompt_is_no_backlog_of_the_service():
    backlog = prompt_backlog.PromptBacklog()
    waiting = [[10_000] * 30, [1_000], [], [1_000], [1_000]]
    for _ in range(40):
        prompt_backlog.update(backlog, waiting, CHECK_MS)
    assert backlog.tokens < 20_000


def simulate_reading(levels, seconds=20):
    """Return the tokens that engines read per second in the last seconds.

    They begin to answer after 130 ms at the earliest. Their rate is a third
    for three seconds, and plenty of requests wait.

    :param levels: priorities of the requests, in turn.
    """
    order = overload_order.Order()
    order.detector.is_overloaded = True
    upcoming = itertools.cycle(levels)
    unread = []
    free_ms = 0.0
    read = 0
    for now_ms in range(0, seconds * 1_000, int(CHECK_MS)):
        rate = 20 if now_ms < 3_000 else READ_PER_MS
        for at_ms, tokens in unread:
            if at_ms <= now_ms:
                order.backlog.record_first_event(tokens, TARGET_MS, now_ms)
                read += tokens * (now_ms >= (seconds - 4) * 1_000)
        unread = [item for item in unread if item[0] > now_ms]
        waiting = [[tokens for _, tokens in unread]]
        own = prompt_backlog.update(order.backlog, waiting, CHECK_MS)
        load = overload_usage.add_backlog(
            overload.Load(400, 100, 100),
            order.backlog,
            order.usage,
            1,
            True,
            now_ms,
        )
        overload_order.update_room(
            order, load, RUN_MS, TARGET_MS, own, 1, now_ms
        )
        order.saved_requests = 1_000
        while len(order.tickets) < 400:
            ticket = make_ticket(now_ms, next(upcoming), 'a', 200, 1e9)
            overload_order.add(order, ticket)
        for ticket in overload_order.pop_admitted(order, now_ms):
            free_ms = max(free_ms, now_ms) + ticket.prompt_tokens / rate
            at_ms = max(free_ms, now_ms + 130)
            unread.append((at_ms, ticket.prompt_tokens))
    return read / 4


@pytest.mark.parametrize(
    'levels',
    [
        [2],
        [0, 2],
        [0, 1, 2, 2],
        [0] + 9 * [1],
        [0] + 9 * [2],
        [0] + 39 * [2],
        [0] + 9 * [3],
    ],
    ids=str,
)
def test_engines_are_used_again_once_they_read_faster(levels):
    assert simulate_reading(levels) > 0.9 * READ_PER_MS * 1_000


def count_admitted(order, now_ms):
    """Return how many of level 2 the window of unread prompts holds."""
    order.window = 10_000.0
    order.part = 1.0
    order.unread = 0.0
    order.saved_requests = 100.0
    for _ in range(30):
        overload_order.add(order, make_ticket(now_ms, 2))
    admitted = overload_order.pop_admitted(order, now_ms)
    for ticket in list(order.tickets):
        overload_order.remove(order, ticket)
    return len(admitted)


def test_urgent_request_keeps_room_for_others_like_it_for_a_while():
    order = overload_order.Order()
    alone = count_admitted(order, 0.0)
    order.unread = 0.0
    assert overload_order.arrive(order, make_ticket(0.0, 0), 0.0)
    assert count_admitted(order, 50.0) < alone
    assert count_admitted(order, 10_000.0) == alone


def test_urgent_request_of_a_former_overload_keeps_no_room():
    order = overload_order.Order()
    alone = count_admitted(order, 0.0)
    order.unread = 0.0
    assert overload_order.arrive(order, make_ticket(0.0, 0), 0.0)
    overload_order.pop_all(order, 50.0)
    assert count_admitted(order, 100.0) == alone


def list_ordered(routes, has_accounts=True):
    cfg = model.GatewayConfig(1, routes, {}, {}, has_accounts, model.Limits())
    return overload.list_ordered(cfg)


def make_route(name, service='engine', target_ms=300.0):
    target = model.Target(service, 1.0)
    kind = model.RequestKind.SAFE
    return model.Route(
        name, 'h', f'/{name}/', (target,), kind, 1e3, target_ms, 1e3, 1, 1,
        False, False,
    )  # fmt: skip


def test_services_that_routes_share_are_ordered():
    shared = (make_route('a'), make_route('b', target_ms=200.0))
    alone = make_route('c', service='other')
    assert list_ordered((*shared, alone)) == {'engine': 200.0}
    assert list_ordered(shared, has_accounts=False) == {}
    assert overload.list_ordered(None) == {}


class Mutation:
    """A decision that is left out, which a check has to notice."""

    def __init__(self, owner, name, replacement):
        self.parts = (owner, name, replacement)

    def apply(self, monkeypatch):
        monkeypatch.setattr(*self.parts)


actions = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just('arrive'),
            strategies.integers(0, 3),
            strategies.sampled_from(['a', 'b', 'hot']),
            strategies.sampled_from([100, 3_000, 40_000]),
            strategies.floats(0, 3_000),
        ),
        strategies.tuples(
            strategies.just('check'),
            strategies.floats(0, 120),
        ),
        strategies.tuples(strategies.just('leave'), strategies.integers(0)),
    ),
    max_size=60,
)


def check_bounds(steps):
    """Replay arrivals, checks and departures; check the bounds."""
    order = overload_order.Order()
    rng = random.Random(1)
    now_ms = 0.0
    update_room(order, now_ms)
    decided = set()

    def decide(ticket):
        assert ticket not in decided
        assert ticket not in order.tickets
        decided.add(ticket)

    def refuse(ticket):
        decide(ticket)
        retry_ms = overload_order.refuse(order, ticket, 5_000.0, now_ms, rng)
        assert 0 <= retry_ms <= overload_order.MAX_RETURN_MS

    for name, *values in steps:
        rank = order.make_ranking(now_ms)
        if name == 'arrive':
            level, account, tokens, longest_ms = values
            ticket = make_ticket(now_ms, level, account, tokens, longest_ms)
            if overload_order.arrive(order, ticket, now_ms):
                decide(ticket)
                assert not any(
                    rank(item) < rank(ticket) for item in order.tickets
                )
            elif (
                overload_order.estimate_wait_ms(order, ticket, now_ms)
                > longest_ms
            ):
                refuse(ticket)
            else:
                overload_order.add(order, ticket)
        elif name == 'leave' and order.tickets:
            ticket = order.tickets[values[0] % len(order.tickets)]
            overload_order.remove(order, ticket)
            decide(ticket)
        elif name == 'check':
            now_ms += CHECK_MS
            update_room(order, now_ms, requests=values[0])
            rank = order.make_ranking(now_ms)
            first_rank = min(map(rank, order.tickets), default=None)
            admitted = overload_order.pop_admitted(order, now_ms)
            for ticket in admitted:
                decide(ticket)
            if admitted:
                assert rank(admitted[0]) == first_rank
            for ticket in overload_order.pop_hopeless(order, now_ms):
                refuse(ticket)
            for ticket in order.tickets:
                assert ticket.until_ms > now_ms


@hypothesis.settings(deadline=None, max_examples=150, derandomize=True)
@hypothesis.given(actions)
def test_bounds_hold_in_any_sequence(steps):
    check_bounds(steps)


def serve_for_long(levels, accounts=('a', 'b'), sizes=(1_000,), seconds=30):
    """Return the share served of each kind, account and size.

    40 requests a second have room, and 40 come of each level.
    """
    order = overload_order.Order()
    rng = random.Random(2)
    seen, served = {}, {}
    for number in range(int(seconds * 1_000 / CHECK_MS)):
        now_ms = number * CHECK_MS
        update_room(order, now_ms)
        admitted = overload_order.pop_admitted(order, now_ms)
        for ticket in overload_order.pop_hopeless(order, now_ms):
            overload_order.refuse(order, ticket, 5_000.0, now_ms, rng)
        for level in levels:
            for _ in range(2):
                ticket = make_ticket(
                    now_ms, level, rng.choice(accounts), rng.choice(sizes)
                )
                for group in ticket.groups:
                    seen[group] = seen.get(group, 0) + 1
                if overload_order.arrive(order, ticket, now_ms):
                    admitted.append(ticket)
                    continue
                wait_ms = overload_order.estimate_wait_ms(
                    order, ticket, now_ms
                )
                if wait_ms > ticket.until_ms - now_ms:
                    overload_order.refuse(order, ticket, 5e3, now_ms, rng)
                else:
                    overload_order.add(order, ticket)
        for ticket in admitted:
            for group in ticket.groups:
                served[group] = served.get(group, 0) + 1
    return {group: served.get(group, 0) / seen[group] for group in seen}


def check_nothing_is_starved():
    """The most urgent kind alone takes all room."""
    shares = serve_for_long([0, 1, 2], ['a', 'b', *'hhhhhhhh'])
    least = MIN_SHARE * shares[overload_rank.ALL]
    assert min(shares.values()) > least, shares
    kinds = [shares['kind', f'kind-{level}'] for level in range(3)]
    assert kinds == sorted(kinds, reverse=True)


def check_largest_are_not_starved():
    shares = serve_for_long([1], sizes=[100, 1_000, 1_000, 60_000])
    sizes = [share for key, share in shares.items() if len(key) == 3]
    assert min(sizes) > 0.5 * shares['kind', 'kind-1']


def check_accounts_get_equal_parts():
    """One account sends eight times as much as each of two others."""
    shares = serve_for_long([1, 1, 1], ['a', 'b', *'hhhhhhhh'])
    assert shares['account', 'a'] > 0.9
    assert shares['account', 'b'] > 0.9


def test_requests_wait_while_the_run_time_is_unknown():
    """A gateway that just started has seen no request end."""
    order = overload_order.Order()
    rng = random.Random(1)
    load = make_load(44)
    overload_order.update_room(order, load, 0.0, TARGET_MS, 0.0, 4, 0.0)
    ticket = make_ticket(0.0)
    assert not overload_order.arrive(order, ticket, 0.0)
    assert overload_order.estimate_wait_ms(order, ticket, 0.0) < 1_500
    overload_order.add(order, ticket)
    assert overload_order.pop_hopeless(order, 1_400.0) == []
    assert overload_order.pop_hopeless(order, 1_500.0) == [ticket]
    retry_ms = overload_order.refuse(order, ticket, 5_000.0, 1_500.0, rng)
    assert 0 < retry_ms <= overload_order.MAX_RETURN_MS


def check_late_requests_yield():
    order = overload_order.Order()
    late = make_ticket(0.0)
    overload_order.add(order, late)
    new = make_ticket(400.0)
    overload_order.add(order, new)
    rank = order.make_ranking(400.0)
    assert rank(new) < rank(late)
    # It is of use until the caller leaves, and keeps its place.
    update_room(order, 400.0)
    assert overload_order.pop_hopeless(order, 400.0) == []


def check_urgent_requests_go_first():
    order = overload_order.Order()
    for level in (2, 0, 1):
        overload_order.add(order, make_ticket(0.0, level))
    update_room(order, 0.0, requests=-400)
    admitted = overload_order.pop_admitted(order, 0.0)
    assert [ticket.level for ticket in admitted] == [0, 1, 2]
    assert [ticket.sent_level for ticket in admitted] == [0, 1, 2]


def check_early_return_gains_nothing():
    refused = returning.RefusedRequests()
    first = returning.Arrival(0.0, 0.0)
    refused.record('x', first, 1_000.0, 0.0)
    early = refused.recognize('x', 500.0)
    order = overload_order.Order()
    order.saved_requests = 9.0
    ticket = make_ticket(500.0, arrival=early)
    assert not overload_order.arrive(order, ticket, 500.0)
    assert overload_order.estimate_wait_ms(order, ticket, 500.0) > 1e9
    rng = random.Random(1)
    assert overload_order.refuse(order, ticket, 5e3, 500.0, rng) == 500.0
    # One that returns as it was asked to goes before a new one.
    back = make_ticket(1_000.0, arrival=refused.recognize('x', 1_000.0))
    rank = order.make_ranking(1_000.0)
    newcomer = make_ticket(1_000.0)
    assert rank(back).ranked_ms < rank(newcomer).ranked_ms


def check_no_wait_beyond_use():
    """More urgent requests come and take the room that was expected."""
    urgent = [('arrive', 0, 'a', 100, 3_000.0)] * 3
    check_bounds(
        [
            *[('arrive', 1, 'a', 100, 400.0)] * 10,
            *[*urgent, ('check', 90.0)] * 12,
        ]
    )


CHECKS = [
    check_no_wait_beyond_use,
    check_nothing_is_starved,
    check_largest_are_not_starved,
    check_accounts_get_equal_parts,
    check_late_requests_yield,
    check_urgent_requests_go_first,
    check_early_return_gains_nothing,
]


@pytest.mark.parametrize('check', CHECKS, ids=lambda check: check.__name__)
def test_bound(check):
    check()


def rank_by_arrival(shares, usage, now_ms):
    return lambda ticket: overload_rank.Rank(
        True, 0, 0, True, False, 0, 0.0, ticket.arrival.ranked_ms
    )


MUTATIONS = {
    'no bound on starvation': (
        Mutation(served_share.ServedShares, 'is_behind', lambda *args: False),
        check_nothing_is_starved,
    ),
    'order by arrival': (
        Mutation(overload_rank, 'make_ranking', rank_by_arrival),
        check_urgent_requests_go_first,
    ),
    'late requests keep their turn': (
        Mutation(overload_rank, 'make_ranking', rank_by_arrival),
        check_late_requests_yield,
    ),
    'accounts are all alike': (
        Mutation(
            overload_usage.Usage, 'compute_work', lambda self, now_ms: {}
        ),
        check_accounts_get_equal_parts,
    ),
    'a request waits for ever': (
        Mutation(overload_order, 'pop_hopeless', lambda order, now_ms: []),
        check_no_wait_beyond_use,
    ),
    'early returns are new requests': (
        Mutation(
            returning.RefusedRequests,
            'recognize',
            lambda self, signature, now_ms: returning.Arrival(now_ms, now_ms),
        ),
        check_early_return_gains_nothing,
    ),
}


@pytest.mark.parametrize('name', MUTATIONS)
def test_decision_that_is_left_out_is_noticed(name, monkeypatch):
    mutation, check = MUTATIONS[name]
    mutation.apply(monkeypatch)
    with pytest.raises(AssertionError):
        check()


def test_refused_requests_are_bounded(monkeypatch):
    monkeypatch.setattr(returning, 'MAX_REFUSED', 5)
    refused = returning.RefusedRequests()
    first = returning.Arrival(0.0, 0.0)
    for number in range(20):
        refused.record(f's{number}', first, 100.0, 0.0)
    assert len(refused) == 5
    assert refused.recognize('s19', 50.0 - 1).is_early
    # The clock of a caller may be a little fast.
    assert not refused.recognize('s19', 60.0).is_early
    late_ms = 200 + returning.MAX_AGE_MS
    assert refused.recognize('s19', late_ms).return_ms is None
    assert len(refused) == 0


def test_returns_are_spread_most_urgent_first():
    order = overload_order.Order()
    update_room(order, 0.0)
    rng = random.Random(3)
    for _ in range(40):
        overload_order.add(order, make_ticket(0.0))
    returns = {
        level: [
            overload_order.refuse(
                order, make_ticket(0.0, level), 60_000.0, 0.0, rng
            )
            for _ in range(20)
        ]
        for level in (0, 2)
    }
    assert max(returns[0]) < min(returns[2]) + 1_000
    # About as many return in a second as there is room for.
    for times in returns.values():
        per_s = 19 / (max(times) - min(times)) * 1_000
        assert 20 < per_s < 80


@pytest.mark.parametrize('left_ms', [-40.0, 0.0, 1_000.0])
def test_less_urgent_caller_is_told_the_expected_time(left_ms):
    order = overload_order.Order()
    update_room(order, 0.0)
    rng = random.Random(3)
    for _ in range(40):
        overload_order.add(order, make_ticket(0.0, 0))
    ticket = make_ticket(0.0, 2)
    expected_ms = overload_order.estimate_wait_ms(order, ticket, 0.0)
    retry_ms = overload_order.refuse(order, ticket, left_ms, 0.0, rng)
    most_ms = overload_order.MAX_RETURN_MS
    assert min(0.9 * expected_ms, most_ms) <= retry_ms <= most_ms
