"""Tests of retry decisions and the retry budget."""

import dataclasses
import random

import pytest

from foxtailpick.core.dispatch import hedging
from foxtailpick.core import retry
from foxtailpick.core import verdict

OPTIONS = retry.RetryOptions()
FAILED = retry.FailedAttempt('s', 1, verdict.Verdict.NOT_RUN, False)


def plan(budget=None, options=OPTIONS, now_ms=0.0, **fields):
    return retry.plan_retry(
        dataclasses.replace(FAILED, **fields),
        budget or retry.RetryBudget(options),
        options,
        random.Random(1),
        now_ms,
    )


@pytest.mark.parametrize(
    ('fields', 'reason'),
    [
        ({}, retry.RetryReason.ALLOWED),
        (
            {'verdict': verdict.Verdict.MAY_HAVE_RUN},
            retry.RetryReason.MAY_HAVE_RUN,
        ),
        ({'verdict': verdict.Verdict.RAN}, retry.RetryReason.MAY_HAVE_RUN),
        (
            {'verdict': verdict.Verdict.MAY_HAVE_RUN, 'is_idempotent': True},
            retry.RetryReason.ALLOWED,
        ),
        ({'attempts': 3}, retry.RetryReason.ATTEMPTS_USED),
        ({'deadline_ms': 0.0}, retry.RetryReason.DEADLINE),
        (
            {'deadline_ms': 500.0, 'service_ms': 499.0},
            retry.RetryReason.DEADLINE,
        ),
        (
            {'deadline_ms': 500.0, 'retry_after_ms': 600.0},
            retry.RetryReason.DEADLINE,
        ),
        ({'retry_after_ms': 600.0}, retry.RetryReason.RETRY_AFTER_TOO_LONG),
    ],
)
def test_reason(fields, reason):
    assert plan(**fields).reason is reason


def test_budget_is_kept_by_service():
    budget = retry.RetryBudget(OPTIONS)
    spent = sum(plan(budget).is_allowed for _ in range(20))
    assert spent == OPTIONS.budget_burst
    assert plan(budget).reason is retry.RetryReason.BUDGET
    assert plan(budget, service='other').is_allowed


def test_rejected_plans_take_no_tokens():
    budget = retry.RetryBudget(OPTIONS)
    plan(budget, deadline_ms=0.0)
    assert budget.get_tokens('s') == OPTIONS.budget_burst


def test_amplification_is_bounded():
    budget = retry.RetryBudget(OPTIONS)
    retries = 0
    for _ in range(10_000):
        budget.deposit('s')
        retries += plan(budget).is_allowed
        retries += plan(budget, attempts=2).is_allowed
    assert retries <= OPTIONS.budget_burst + 10_000 * OPTIONS.budget_ratio


def test_delays_are_jittered_and_respect_retry_after():
    options = retry.RetryOptions(budget_burst=500.0)
    budget = retry.RetryBudget(options)
    rng = random.Random(2)
    failed = dataclasses.replace(FAILED, attempts=2, retry_after_ms=300.0)
    delays = [
        retry.plan_retry(failed, budget, options, rng, 0.0).delay_ms
        for _ in range(500)
    ]
    assert 300.0 <= min(delays) < 305.0
    assert 345.0 < max(delays) <= 350.0


@pytest.mark.parametrize(
    ('is_silent', 'spent', 'is_allowed'),
    [(True, 9, True), (True, 10, False), (False, 4, True), (False, 5, False)],
)
def test_late_answers_leave_half_of_the_budget_to_silent_ones(
    is_silent, spent, is_allowed
):
    budget = retry.RetryBudget(retry.RetryOptions(budget_burst=10.0))
    for _ in range(spent):
        assert budget.withdraw('plain')
    tokens = hedging.compute_min_tokens(is_silent, budget.burst)
    assert (budget.get_tokens('plain') >= tokens) == is_allowed
