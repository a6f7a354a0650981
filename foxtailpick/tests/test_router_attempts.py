"""Tests of attempts, hops and retries in the router."""

import random
import types

import pytest

from foxtailpick.core import decision
from foxtailpick.core import errors
from foxtailpick.core import retry
from foxtailpick.core import verdict
from foxtailpick.node import metrics
from foxtailpick.router import attempts

NOT_RUN = verdict.Verdict.NOT_RUN
MAY_HAVE_RUN = verdict.Verdict.MAY_HAVE_RUN
OVERLOADED = errors.ErrorCode.OVERLOADED


class _Context:
    def __init__(self, present):
        members = {name: types.SimpleNamespace(endpoint=name) for name in 'ab'}
        members = {name: members[name] for name in present}
        self.fleet = types.SimpleNamespace(
            table=types.SimpleNamespace(get_member=members.get),
            on_unreachable=lambda endpoint: None,
            record_location=lambda key, endpoint: None,
        )
        self.metrics = metrics.Metrics()
        self.retry_options = retry.RetryOptions()
        self.budget = retry.RetryBudget(self.retry_options)
        self.mid_stream_budget = retry.RetryBudget(self.retry_options)
        self.rng = random.Random(1)
        self.clock = types.SimpleNamespace(now=lambda: 0.0)
        self.lines = []

    def make_placement_request(self, *args):
        return args

    def place(self, *args):
        reason = decision.ChoiceReason.HOME
        found = tuple(decision.Candidate(name, reason) for name in 'ab')
        return decision.Decision('k', found)

    def log_decision(self, prefix, caller, line):
        self.lines.append(line)


def _make_routed_request(is_idempotent):
    caller = types.SimpleNamespace(deadline_ms=float('inf'))
    return attempts.RoutedRequest(caller, 'k', 's', None, None, is_idempotent)


async def _run(ctx, is_idempotent, failures):
    tried = []

    async def try_endpoint(target):
        tried.append(target.member.endpoint)
        if failures:
            raise failures.pop(0)
        return 'answer'

    routed = _make_routed_request(is_idempotent)
    return await attempts.run_attempts(ctx, routed, try_endpoint), tried


async def test_removed_member_is_skipped():
    answer, tried = await _run(_Context('b'), True, [])
    assert answer == 'answer'
    assert tried == ['b']


async def test_refusal_counts_as_hop_and_not_as_retry(autojump_clock):
    ctx = _Context('ab')
    refusal = errors.RefusedError(OVERLOADED, 'full')
    answer, tried = await _run(ctx, False, [refusal])
    assert tried == ['a', 'b']
    assert ctx.metrics.counters['retries'] == 0


@pytest.mark.parametrize(
    ('is_idempotent', 'outcome', 'tries'),
    [(False, MAY_HAVE_RUN, 1), (True, MAY_HAVE_RUN, 2), (False, NOT_RUN, 2)],
)
async def test_only_safe_failures_are_retried(
    autojump_clock, is_idempotent, outcome, tries
):
    ctx = _Context('ab')
    failure = errors.RequestError(OVERLOADED, 'lost', outcome)
    failures = [failure]
    if tries == 1:
        with pytest.raises(errors.RequestError):
            await _run(ctx, is_idempotent, failures)
        assert ctx.metrics.counters['tries'] == 1
        return
    answer, tried = await _run(ctx, is_idempotent, failures)
    assert len(tried) == tries


async def test_long_retry_after_is_returned_at_once(autojump_clock):
    failure = errors.RequestError(OVERLOADED, 'later', NOT_RUN, 20_000.0)
    with pytest.raises(errors.RequestError) as caught:
        await _run(_Context('ab'), True, [failure])
    assert caught.value.retry_after_ms == 20_000.0


async def test_attempt_closed_with_its_link_is_placed_again(autojump_clock):
    """A queued attempt that ended with its link ran nowhere.

    The only endpoint is not full, so the caller isn't sent away.
    """
    ctx = _Context('a')
    closed = errors.RefusedError(
        errors.ErrorCode.ATTEMPT_CLOSED, 'link lost', NOT_RUN
    )
    answer, tried = await _run(ctx, False, [closed])
    assert answer == 'answer'
    assert tried == ['a', 'a']
    assert ctx.metrics.counters['retries'] == 1


async def test_full_endpoint_sends_the_caller_away(autojump_clock):
    refusal = errors.RefusedError(OVERLOADED, 'full')
    with pytest.raises(errors.RequestError) as caught:
        await _run(_Context('a'), False, [refusal])
    assert caught.value.retry_after_ms == attempts.OVERLOAD_RETRY_AFTER_MS
