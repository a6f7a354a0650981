"""Tests of weighted fair queueing by partner and account."""

import random

import pytest

from foxtailpick.core import account_queue
from foxtailpick.core import errors
from foxtailpick.core import fair_share
from foxtailpick.core import invariants
from foxtailpick.core import share_tree
from foxtailpick.core import types

SHARES = {
    'a1': share_tree.Share('a', 3.0, 1.0),
    'a2': share_tree.Share('a', 3.0, 2.0),
    'b1': share_tree.Share('b', 1.0, 1.0),
}


@pytest.fixture
def queue():
    options = fair_share.FairQueueOptions(
        max_entries=200,
        initial_tokens_per_ms=1.0,
        max_unread_tokens=float('inf'),
        burst_tokens=0.0,
        arrival_margin=1.0,
    )
    return fair_share.FairQueue(options, SHARES.__getitem__)


def fill(queue, account, count, tokens=10.0, **fields):
    for number in range(count):
        entry = account_queue.QueueEntry(
            f'{account}-{number}', account, prompt_tokens=tokens, **fields
        )
        assert queue.enqueue(entry, 0.0) == ()


def serve(queue, count):
    served = dict.fromkeys(SHARES, 0.0)
    for _ in range(count):
        entry = queue.pop_next(0.0)
        served[entry.account] += entry.tokens
        queue.finish(entry.attempt)
    return served


def test_backlog_is_split_by_weights(queue):
    for account in SHARES:
        fill(queue, account, 60)
    served = serve(queue, 80)
    assert served == pytest.approx({'a1': 200, 'a2': 400, 'b1': 200}, abs=10)


def test_cost_is_tokens_not_requests(queue):
    fill(queue, 'a1', 10, tokens=100.0)
    fill(queue, 'b1', 60, tokens=10.0)
    served = serve(queue, 20)
    assert served['a1'] / served['b1'] == pytest.approx(3.0, rel=0.35)


def test_one_account_gets_all_without_contention(queue):
    fill(queue, 'b1', 30)
    assert serve(queue, 30)['b1'] == 300


def test_idle_time_earns_no_credit(queue):
    fill(queue, 'a1', 100)
    serve(queue, 50)
    fill(queue, 'b1', 40)
    served = serve(queue, 40)
    assert served['a1'] == pytest.approx(300, abs=10)


def test_changed_shares_hold_at_once_for_running_work(queue):
    fill(queue, 'a1', 50, expected_tokens=20.0)
    fill(queue, 'b1', 50, expected_tokens=20.0)
    for _ in range(16):
        queue.pop_next(0.0)
    swapped = {
        account: share_tree.Share(share.partner, 1.0, 1.0)
        for account, share in SHARES.items()
    }
    assert queue.apply_shares(swapped.__getitem__, 0.0)
    assert not queue.apply_shares(swapped.__getitem__, 0.0)
    for _ in range(8):
        queue.pop_next(0.0)
    assert queue.count_running('a1') == pytest.approx(12, abs=1)
    assert queue.count_running('b1') == pytest.approx(12, abs=1)


@pytest.mark.parametrize(
    ('before', 'after'),
    [
        (types.Priority.BATCH, types.Priority.NORMAL),
        (types.Priority.NORMAL, types.Priority.URGENT),
    ],
)
def test_priority_orders_within_an_account_only(queue, before, after):
    fill(queue, 'a1', 1, priority=before)
    late = account_queue.QueueEntry('late', 'a1', after)
    assert queue.enqueue(late, 0.0) == ()
    fill(queue, 'b1', 1, priority=types.Priority.BATCH)
    order = [queue.pop_next(0.0).attempt for _ in range(3)]
    assert order.index('late') < order.index('a1-0')
    assert order.index('b1-0') < 2


def test_request_too_late_for_its_deadline_is_refused_on_arrival(queue):
    fill(queue, 'a1', 10, tokens=100.0)
    entry = account_queue.QueueEntry(
        'x', 'a1', deadline_ms=900.0, service_ms=100.0
    )
    (refusal,) = queue.enqueue(entry, 0.0)
    assert refusal.entry is entry
    assert refusal.code is errors.ErrorCode.DEADLINE_EXCEEDED
    assert refusal.retry_after_ms == pytest.approx(200.0)
    assert not queue.cancel('x')


def test_prefilled_prompts_count_as_served(queue):
    fill(queue, 'a1', 12, tokens=1_000.0)
    for number in range(8):
        entry = queue.pop_next(number * 200.0)
        queue.record_generated(entry.attempt, 1.0, number * 200.0 + 100.0)
        queue.finish(entry.attempt)
    # Eight prompts of 1,000 tokens took 1.5 s.
    assert queue.predict_wait_ms('a1', 4_000.0) < 1_000.0


def test_expected_speedup_shortens_the_predicted_wait(queue):
    fill(queue, 'a1', 10, tokens=100.0)
    before_ms = queue.predict_wait_ms('a1', 1_000.0)
    queue.set_expected_speedup(8.0)
    assert queue.predict_wait_ms('a1', 1_000.0) == before_ms / 8.0


def test_deadline_lost_while_waiting_is_refused_by_the_sweep(queue):
    fill(queue, 'a1', 1, tokens=100.0)
    entry = account_queue.QueueEntry('x', 'a1', deadline_ms=500.0)
    assert queue.enqueue(entry, 0.0) == ()
    assert queue.sweep(300.0) == ()
    (refusal,) = queue.sweep(450.0)
    assert refusal.entry is entry
    assert len(queue) == 1


def test_expired_entry_is_never_started(queue):
    fill(queue, 'a1', 1, deadline_ms=10.0)
    assert queue.pop_next(11.0) is None
    assert [refusal.entry.attempt for refusal in queue.sweep(11.0)] == ['a1-0']


def test_full_queue_drops_the_account_above_its_share(queue):
    fill(queue, 'a1', 199)
    fill(queue, 'b1', 1)
    entry = account_queue.QueueEntry('b1-x', 'b1')
    (refusal,) = queue.enqueue(entry, 0.0)
    assert refusal.entry.attempt == 'a1-198'
    assert refusal.code is errors.ErrorCode.ACCOUNT_OVER_SHARE
    assert len(queue) == 200


def test_cancel_tells_whether_it_was_started(queue):
    fill(queue, 'a1', 2)
    started = queue.pop_next(0.0)
    assert not queue.cancel(started.attempt)
    assert queue.cancel('a1-1')
    assert queue.pop_next(0.0) is None


def test_generated_tokens_correct_a_wrong_estimate(queue):
    fill(queue, 'a1', 30, expected_tokens=1.0)
    fill(queue, 'b1', 30, expected_tokens=1.0)
    first = queue.pop_next(0.0)
    queue.record_generated(first.attempt, 300.0, 1.0)
    rest = [queue.pop_next(1.0).account for _ in range(10)]
    assert first.account not in rest


def test_heavy_account_is_slowed_by_its_multiplier(queue):
    queue.set_multipliers({'a1': 3.0})
    fill(queue, 'a1', 60)
    fill(queue, 'b1', 60)
    served = serve(queue, 60)
    assert served['a1'] / served['b1'] == pytest.approx(1.0, rel=0.1)


def test_idle_accounts_leave_no_state(queue):
    for account in SHARES:
        fill(queue, account, 5)
    serve(queue, 15)
    assert not queue._tree.accounts
    fill(queue, 'a1', 3)
    fill(queue, 'b1', 50)
    serve(queue, 50)
    queue.sweep(0.0)
    assert set(queue._tree.accounts) == {'b1'}


def make_pausable(queue, account, count, **fields):
    fields |= {'expected_tokens': 99.0, 'is_pausable': True}
    fill(queue, account, count, **fields)
    return [queue.pop_next(0.0).attempt for _ in range(count)]


def test_youngest_stream_above_its_share_is_paused_and_resumed(queue):
    streams = make_pausable(queue, 'b1', 8)
    for attempt in streams:
        queue.record_generated(attempt, 50.0, 1.0)
    fill(queue, 'a1', 1)
    assert queue.plan_pause(8, 2.0) == streams[-1]
    queue.pause(streams[-1])
    assert queue.pop_next(2.0).account == 'a1'
    assert queue.pop_next(2.0).attempt == streams[-1]
    assert queue.count_running('b1') == 8


@pytest.mark.parametrize('is_pausable', [True, False])
def test_only_pausable_streams_above_their_share_are_paused(
    queue, is_pausable
):
    fill(queue, 'b1', 2, expected_tokens=99.0, is_pausable=is_pausable)
    for _ in range(2):
        queue.record_generated(queue.pop_next(0.0).attempt, 500.0, 1.0)
    fill(queue, 'a1', 1)
    assert (queue.plan_pause(2, 2.0) is not None) is is_pausable
    assert queue.plan_pause(64, 2.0) is None


@pytest.mark.parametrize('spare_ms', [3_000.0, 5_000.0])
def test_stream_near_its_deadline_is_not_paused(queue, spare_ms):
    streams = make_pausable(
        queue, 'b1', 2, deadline_ms=9_000.0 + spare_ms, service_ms=9_900.0
    )
    for stream in streams:
        queue.record_generated(stream, 9.0, 1.0)
    fill(queue, 'a1', 1)
    assert (queue.plan_pause(4, 0.0) is not None) is (spare_ms > 4_000.0)


def test_arrival_margin_does_not_apply_to_waiting_requests():
    options = fair_share.FairQueueOptions(
        initial_tokens_per_ms=1.0, arrival_margin=2.0
    )
    queue = fair_share.FairQueue(options, SHARES.__getitem__)
    fill(queue, 'a1', 1, tokens=100.0)
    for deadline_ms, is_refused in ((150.0, True), (250.0, False)):
        entry = account_queue.QueueEntry('x', 'a1', deadline_ms=deadline_ms)
        assert bool(queue.enqueue(entry, 0.0)) is is_refused
    assert queue.sweep(149.0) == ()


def test_paused_stream_is_never_refused(queue):
    (stream,) = make_pausable(queue, 'b1', 1)
    queue.pause(stream)
    assert queue.sweep(1e9) == ()
    assert not queue.cancel(stream)
    assert len(queue) == 0


def test_prompts_are_queued_except_for_accounts_below_their_share():
    options = fair_share.FairQueueOptions(max_unread_tokens=128.0)
    queue = fair_share.FairQueue(options, SHARES.__getitem__)
    fill(queue, 'b1', 4, tokens=100.0)
    started = [queue.pop_next(0.0) for _ in range(3)]
    assert [entry and entry.account for entry in started] == ['b1', 'b1', None]
    fill(queue, 'a1', 1)
    assert queue.pop_next(0.0).account == 'a1'
    queue.record_generated('b1-0', 1.0, 1.0)
    assert queue.pop_next(1.0).account == 'b1'


def test_unused_share_earns_credit_up_to_the_burst():
    options = fair_share.FairQueueOptions(
        max_unread_tokens=float('inf'), burst_tokens=50.0
    )
    queue = fair_share.FairQueue(options, SHARES.__getitem__)
    fill(queue, 'a1', 150)
    serve(queue, 100)
    fill(queue, 'b1', 20)
    assert serve(queue, 5)['b1'] == 50


@pytest.mark.parametrize('is_crowding', [False, True])
def test_crowding_out_violates_the_invariant(monitor, is_crowding):
    options = fair_share.FairQueueOptions(max_entries=9_999)
    queue = fair_share.FairQueue(options, SHARES.__getitem__, monitor)
    queue.sweep(10_000.0)
    for account in SHARES:
        fill(queue, account, 900, tokens=100.0, is_pausable=True)
    queue.sweep(20_000.0)
    for _ in range(800):
        queue.finish(queue.pop_next(20_000.0).attempt)
    if is_crowding:
        entry = queue.pop_next(20_000.0)
        for _ in range(400):
            queue.record_generated(entry.attempt, 100.0, 20_000.0)
        with pytest.raises(errors.InvariantError, match='partner'):
            queue.sweep(30_000.0)
    else:
        queue.sweep(30_000.0)
        assert monitor.checked[invariants.Invariant.FAIR_SHARE] == 4


STEPS = 'add add pop pop token end pause cancel'.split()


@pytest.mark.parametrize('seed', range(8))
def test_each_request_has_one_outcome(monitor, seed):
    rng = random.Random(seed)
    options = fair_share.FairQueueOptions(
        max_entries=6, commit_tokens=8.0, pause_lead_tokens=8.0
    )
    queue = fair_share.FairQueue(options, SHARES.__getitem__, monitor)
    waiting, running, paused = set(), set(), set()
    for number in range(500):
        now_ms = number * 200.0
        for refusal in queue.sweep(now_ms):
            waiting.remove(refusal.entry.attempt)
        step = rng.choice(STEPS)
        if step == 'add':
            account = rng.choice(sorted(SHARES))
            entry = account_queue.QueueEntry(
                f'{account}-{number}',
                account,
                rng.choice(list(types.Priority)),
                expected_tokens=rng.randrange(200),
                deadline_ms=now_ms + 2_000.0,
                service_ms=99.0,
            )
            waiting.add(entry.attempt)
            for refusal in queue.enqueue(entry, now_ms):
                waiting.remove(refusal.entry.attempt)
        elif step == 'pop' and (entry := queue.pop_next(now_ms)):
            assert entry.attempt in waiting | paused
            waiting.discard(entry.attempt)
            paused.discard(entry.attempt)
            running.add(entry.attempt)
        elif step == 'token' and running:
            queue.record_generated(min(running), rng.randrange(99), now_ms)
        elif step == 'end' and running:
            queue.finish(min(running))
            running.remove(min(running))
        elif step == 'pause' and running:
            found = queue.plan_pause(2, now_ms) or min(running)
            queue.pause(found)
            running.remove(found)
            paused.add(found)
        elif step == 'cancel' and waiting | paused:
            attempt = min(waiting | paused)
            assert queue.cancel(attempt) is (attempt in waiting)
            waiting.discard(attempt)
            paused.discard(attempt)
        assert len(queue) == len(waiting) + len(paused)
        assert all(map(queue.is_running, running))
        assert sum(map(queue.count_running, SHARES)) == len(running)
