"""Tests of the concurrency limit of a new or cold endpoint."""

import pytest

from foxtailpick.core import errors
from foxtailpick.core import slow_start
from foxtailpick.core import types

OPTIONS = slow_start.SlowStartOptions(max_limit=16.0, first_token_ms=100.0)


@pytest.fixture
def limiter(monitor):
    return slow_start.SlowStart.from_options(OPTIONS, monitor)


def run_rounds(limiter, rounds, first_token_ms=100.0, start_ms=0.0, **fields):
    now_ms = start_ms
    for _ in range(rounds):
        tickets = []
        while limiter.in_flight < limiter.limit(now_ms):
            tickets.append(limiter.on_started(now_ms))
        now_ms += first_token_ms
        for ticket in tickets:
            limiter.on_first_token(ticket, now_ms, **fields)
        for ticket in tickets:
            limiter.on_completed(ticket)
    return now_ms


def test_fresh_endpoint_starts_with_one_request(limiter):
    assert limiter.state is types.EndpointState.STARTING
    assert limiter.limit(0.0) == 1
    run_rounds(limiter, 1)
    assert limiter.state is types.EndpointState.WARMING
    assert limiter.limit(100.0) == OPTIONS.initial_limit


def test_limit_grows_to_ready(limiter):
    run_rounds(limiter, 40)
    assert limiter.state is types.EndpointState.READY
    assert limiter.limit(4_000.0) == OPTIONS.max_limit


def test_limit_does_not_grow_unused(limiter):
    run_rounds(limiter, 3)
    before = limiter.limit(300.0)
    for _ in range(40):
        ticket = limiter.on_started(300.0)
        limiter.on_first_token(ticket, 400.0)
        limiter.on_completed(ticket)
    assert limiter.limit(400.0) <= before + 1


def test_slowdown_cuts_the_limit(limiter):
    now_ms = run_rounds(limiter, 12)
    before = limiter.limit(now_ms)
    now_ms = run_rounds(limiter, 3, first_token_ms=350.0, start_ms=now_ms)
    assert limiter.limit(now_ms) < before


@pytest.mark.parametrize('signal', ['late', 'overdue', 'misses', 'engine'])
def test_cold_engine_starts_over(limiter, signal):
    now_ms = run_rounds(limiter, 40, hit_ratio=0.9)
    held = [limiter.on_started(now_ms) for _ in range(8)]
    now_ms += 100.0
    for ticket in held:
        limiter.on_first_token(ticket, now_ms)
    if signal == 'late':
        tickets = [limiter.on_started(now_ms) for _ in range(3)]
        for ticket in tickets:
            limiter.on_first_token(ticket, now_ms + 900.0)
    elif signal == 'overdue':
        for _ in range(3):
            limiter.on_started(now_ms)
        now_ms += 900.0
    elif signal == 'misses':
        for _ in range(20):
            ticket = limiter.on_started(now_ms)
            limiter.on_first_token(ticket, now_ms + 100.0, hit_ratio=0.0)
            limiter.on_completed(ticket)
            if limiter.state is not types.EndpointState.READY:
                break
    else:
        limiter.on_cold(now_ms, 'reported by the engine')
    limit = limiter.limit(now_ms)
    assert limiter.state is types.EndpointState.WARMING
    assert limit == len(held) + OPTIONS.initial_limit


def test_requests_from_before_a_cold_reset_do_not_count(limiter):
    now_ms = run_rounds(limiter, 40)
    held = [limiter.on_started(now_ms) for _ in range(8)]
    for ticket in held:
        limiter.on_first_token(ticket, now_ms + 100.0)
    limiter.on_started(now_ms)
    limiter.on_cold(now_ms, 'test')
    assert limiter.limit(now_ms) == 8 + OPTIONS.initial_limit
    limiter.on_completed(held[0])
    assert limiter.limit(now_ms) == 7 + OPTIONS.initial_limit


def test_consecutive_failures_reset_to_starting(limiter):
    now_ms = run_rounds(limiter, 40)
    for _ in range(OPTIONS.max_failures):
        limiter.on_failed(limiter.on_started(now_ms), now_ms)
    assert limiter.state is types.EndpointState.STARTING
    assert limiter.limit(now_ms) == 1


def test_drain_ends_only_when_empty(limiter):
    run_rounds(limiter, 3)
    ticket = limiter.on_started(300.0)
    limiter.drain()
    assert limiter.limit(300.0) == 0
    assert not limiter.finish_drain()
    limiter.on_completed(ticket)
    assert limiter.finish_drain()
    assert limiter.state is types.EndpointState.GONE


def test_undrain_takes_new_work(limiter):
    run_rounds(limiter, 3)
    limiter.drain()
    limiter.undrain()
    assert limiter.state is types.EndpointState.WARMING
    assert limiter.limit(300.0) >= OPTIONS.initial_limit


def test_start_above_the_limit_violates_the_invariant(limiter):
    limiter.on_started(0.0)
    with pytest.raises(errors.InvariantError):
        limiter.on_started(0.0)


@pytest.mark.parametrize(('tokens', 'limit'), [(0.0, 2), (450.0, 6)])
def test_limit_is_bounded_by_generated_tokens(monitor, tokens, limit):
    options = slow_start.SlowStartOptions(
        max_limit=16.0, first_token_ms=100.0, tokens_per_slot=100.0
    )
    limiter = slow_start.SlowStart.from_options(options, monitor)
    limiter.on_generated(tokens)
    now_ms = run_rounds(limiter, 40)
    assert limiter.limit(now_ms) == limit
    limiter.on_cold(now_ms, 'test')
    now_ms = run_rounds(limiter, 40, start_ms=now_ms)
    assert limiter.limit(now_ms) == options.initial_limit
