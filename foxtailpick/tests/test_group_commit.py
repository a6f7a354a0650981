"""Tests of the group committer, in virtual time."""

import pytest
import trio

from foxtailpick.adapters import base
from foxtailpick.core import clock
from foxtailpick.core import errors
from foxtailpick.core import group_commit
from foxtailpick.core import verdict
from foxtailpick.standins import keyvalue

ErrorCode = errors.ErrorCode
LIMITS = group_commit.CommitLimits(
    interval_ms=100.0, burst=2, max_txns=8, max_bytes=4_000, max_queued=10
)


@pytest.fixture
def state():
    state = keyvalue.KeyValueState(lambda: trio.current_time() * 1e3)
    state.faults.delay_ms = 3.0
    return state


@pytest.fixture
async def committer(state, nursery):
    committer = group_commit.GroupCommitter(
        keyvalue.MemoryKeyValue(state), LIMITS
    )
    await nursery.start(committer.run)
    return committer


async def gather(calls):
    """Run all calls concurrently; return their results or error codes."""
    results = [None] * len(calls)

    async def run(place, call):
        try:
            results[place] = await call()
        except errors.StoreError as exc:
            results[place] = exc.code

    async with trio.open_nursery() as nursery:
        for place, call in enumerate(calls):
            nursery.start_soon(run, place, call)
    return results


def put(committer, key, value=b'v', lease=None):
    return lambda: committer.put_if_absent(key, value, lease)


async def test_an_idle_committer_writes_at_once(autojump_clock, committer):
    now = clock.Clock.from_trio().now
    began_ms = now()
    ended_ms = []
    for key in 'abcd':
        await committer.put_if_absent(key, b'1')
        ended_ms.append(now() - began_ms)
    assert ended_ms == pytest.approx([3.0, 6.0, 103.0, 203.0])
    await trio.sleep(1.0)
    began_ms = now()
    await committer.put_if_absent('e', b'1')
    assert now() - began_ms == pytest.approx(3.0)


async def test_queued_writes_are_batched(autojump_clock, state, committer):
    results = await gather([put(committer, f'k{n}') for n in range(9)])
    assert all(result.is_applied for result in results)
    assert state.calls[keyvalue.Call.WRITE] == 2


async def test_a_failed_transaction_does_not_fail_the_others(
    autojump_clock, state, committer
):
    await committer.put_if_absent('b', b'old')
    results = await gather([put(committer, key) for key in 'abc'])
    assert [result.is_applied for result in results] == [True, False, True]
    assert [entry.value for entry in results[1].current] == [b'old']


async def test_equal_keys_are_not_batched_together(
    autojump_clock, state, committer
):
    results = await gather([put(committer, 'a'), put(committer, 'a')])
    assert sorted(result.is_applied for result in results) == [False, True]


async def test_an_expired_lease_fails_only_its_own_write(
    autojump_clock, state, committer
):
    calls = [put(committer, 'a'), put(committer, 'b', lease=99)]
    results = await gather(calls)
    assert results[0].is_applied
    assert results[1] is ErrorCode.LEASE_LOST


async def test_large_values_are_split(autojump_clock, state, committer):
    calls = [put(committer, f'k{n}', b'x' * 1_500) for n in range(4)]
    await gather(calls)
    assert state.calls[keyvalue.Call.WRITE] == 2


async def test_a_full_queue_refuses(autojump_clock, committer):
    results = await gather([put(committer, f'k{n}') for n in range(12)])
    assert ErrorCode.STORE_UNAVAILABLE in results


@pytest.mark.parametrize(
    ('fault', 'value', 'code'),
    [
        ('is_down', True, ErrorCode.STORE_UNAVAILABLE),
        ('lost_replies', 1, ErrorCode.STORE_OUTCOME_UNKNOWN),
        ('delay_ms', 9e9, ErrorCode.STORE_OUTCOME_UNKNOWN),
    ],
)
async def test_all_share_an_error(
    autojump_clock, state, committer, fault, value, code
):
    setattr(state.faults, fault, value)
    assert await gather([put(committer, key) for key in 'ab']) == [code] * 2


async def test_a_stopped_committer_answers_all_callers(
    autojump_clock, state, nursery
):
    committer = group_commit.GroupCommitter(
        keyvalue.MemoryKeyValue(state), LIMITS
    )
    scope = trio.CancelScope()

    async def run():
        with scope:
            await committer.run()

    nursery.start_soon(run)
    results = []

    async def write(key):
        with pytest.raises(errors.StoreError) as caught:
            await committer.put_if_absent(key, b'v')
        results.append(caught.value.verdict)

    async with trio.open_nursery() as writers:
        for key in 'ab':
            writers.start_soon(write, key)
        await trio.testing.wait_all_tasks_blocked()
        scope.cancel()
    assert results == [verdict.Verdict.MAY_HAVE_RUN] * 2
    await write('c')
    assert results[2] is verdict.Verdict.NOT_RUN
    assert await committer.get('a') in (None, base.Entry('a', b'v', 1))
