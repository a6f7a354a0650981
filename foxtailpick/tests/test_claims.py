"""Tests of claims: single cases and enumeration of all steps."""

import itertools

import cbor2
import pytest

from foxtailpick.bench import claims_world
from foxtailpick.core import claim_errors
from foxtailpick.core import claim_holds
from foxtailpick.core import claim_leases
from foxtailpick.core import claim_records
from foxtailpick.core import claims
from foxtailpick.core import errors
from foxtailpick.core import jobs
from foxtailpick.core import verdict
from foxtailpick import history
from foxtailpick.standins import keyvalue
from foxtailpick import testing

ErrorCode = errors.ErrorCode
Fate = claims_world.Fate
Verdict = verdict.Verdict
KEY = claim_records.ClaimKey('acc', 'svc', 'k')
TIMES = claim_leases.LeaseTimes(10_000.0, 1_000.0, 500.0)
LIMITS = claims.ClaimLimits(2, 100.0, 4, is_save_awaited=True)


class Bench:
    """Engines that share one store, and a service that counts its runs."""

    def __init__(self, manual, monitor):
        self.manual = manual
        self.monitor = monitor
        self.state = keyvalue.KeyValueState(manual.now)
        self.runs = []
        self.failure = None

    def make_engine(self, name='e1', incarnation='i1', limits=LIMITS):
        return claims.ClaimEngine(
            keyvalue.MemoryKeyValue(self.state),
            claim_records.ClaimOwner(name, incarnation),
            self.manual,
            self.monitor,
            TIMES,
            limits,
        )

    def lose(self, fault):
        """Lose write requests or their replies, and fail every read."""
        setattr(self.state.faults, fault, 99)
        self.state.read = self.refuse_to_read

    def refuse_to_read(self, key):
        raise errors.StoreError(ErrorCode.STORE_UNAVAILABLE, key)

    def recover(self):
        self.state.faults = keyvalue.Faults()
        del self.state.read

    async def call(self):
        if self.failure is not None:
            raise self.failure
        self.runs.append('run')
        return b'%d' % len(self.runs)


@pytest.fixture
def bench(manual, monitor):
    return Bench(manual, monitor)


async def expect(code, outcome, awaitable):
    with pytest.raises(errors.RequestError) as caught:
        await awaitable
    assert (caught.value.code, caught.value.verdict) == (code, outcome)
    return caught.value


@pytest.mark.parametrize(
    'owner', [('e1', 'i1'), ('e1', 'i2'), ('e2', 'i3')], ids=str
)
async def test_a_repeat_gets_the_stored_answer(bench, owner):
    first = bench.make_engine()
    assert await first.run_once(KEY, b'x', bench.call) == (
        claims.StoredAnswer(b'1', False)
    )
    other = first if owner == ('e1', 'i1') else bench.make_engine(*owner)
    assert await other.run_once(KEY, b'x', bench.call) == (
        claims.StoredAnswer(b'1', True)
    )
    await expect(
        ErrorCode.KEY_REUSED,
        Verdict.NOT_RUN,
        other.run_once(KEY, b'y', bench.call),
    )
    assert len(bench.runs) == 1


@pytest.mark.parametrize(
    'other', [('b', 's', 'k'), ('a', 't', 'k'), ('a', 's', 'l')]
)
async def test_keys_are_scoped(bench, other):
    engine = bench.make_engine()
    for parts in (('a', 's', 'k'), other):
        key = claim_records.ClaimKey(*parts)
        await engine.run_once(key, b'x', bench.call)
    assert len(bench.runs) == 2


def test_a_slash_does_not_lead_into_another_scope():
    first = claim_records.ClaimKey('a/b', 's', 'k')
    assert first.path != claim_records.ClaimKey('a', 's', 'b/k').path
    assert first.path.count('/') == 3


@pytest.mark.parametrize('key', ['', 'k' * 256])
def test_a_key_of_wrong_length_is_refused(key):
    with pytest.raises(errors.RequestError):
        claim_records.ClaimKey('a', 's', key)


async def test_an_outage_refuses_and_the_key_stays_free(bench):
    engine = bench.make_engine()
    bench.state.take_down()
    await expect(
        ErrorCode.STORE_UNAVAILABLE,
        Verdict.NOT_RUN,
        engine.run_once(KEY, b'x', bench.call),
    )
    assert engine.pending == 0
    bench.state.bring_up()
    await engine.run_once(KEY, b'x', bench.call)
    assert len(bench.runs) == 1


@pytest.mark.parametrize('fault', ['lost_replies', 'lost_requests'])
async def test_a_lost_claim_is_found_again(bench, fault):
    engine = bench.make_engine()
    setattr(bench.state.faults, fault, 1)
    answer = await engine.run_once(KEY, b'x', bench.call)
    assert answer == claims.StoredAnswer(b'1', False)
    assert engine.pending == 0


@pytest.mark.parametrize('fault', ['lost_replies', 'lost_requests'])
async def test_a_claim_given_up_is_removed(bench, fault):
    engine = bench.make_engine()
    bench.lose(fault)
    await expect(
        ErrorCode.STORE_UNAVAILABLE,
        Verdict.NOT_RUN,
        engine.run_once(KEY, b'x', bench.call),
    )
    bench.recover()
    assert engine.pending == 1
    await engine.settle_pending()
    assert engine.pending == 0
    await bench.make_engine('e2', 'i2').run_once(KEY, b'x', bench.call)
    assert len(bench.runs) == 1


async def test_a_lost_reply_costs_a_read_not_a_write(bench):
    bench.state.faults.lost_replies = 1
    await bench.make_engine().run_once(KEY, b'x', bench.call)
    assert bench.state.calls[keyvalue.Call.WRITE] == 2
    assert bench.state.calls[keyvalue.Call.READ] == 1


@pytest.mark.parametrize('value', [b'', b'\xff', cbor2.dumps([2, 'x'])])
async def test_a_claim_that_cannot_be_read_is_left_alone(bench, value):
    store = keyvalue.MemoryKeyValue(bench.state)
    await store.put_if_absent(KEY.path, value)
    engine = bench.make_engine()
    await expect(
        ErrorCode.OUTCOME_UNKNOWN,
        Verdict.MAY_HAVE_RUN,
        engine.run_once(KEY, b'x', bench.call),
    )
    await engine.settle_pending()
    assert engine.pending == 0
    assert bench.runs == []
    assert (await store.get(KEY.path)).value == value


async def test_a_call_that_did_not_run_frees_its_key(bench):
    bench.failure = errors.RequestError(ErrorCode.ENDPOINT_FAILED, 'refused')
    await expect(
        ErrorCode.ENDPOINT_FAILED,
        Verdict.NOT_RUN,
        bench.make_engine().run_once(KEY, b'x', bench.call),
    )
    bench.failure = None
    await bench.make_engine('e2', 'i2').run_once(KEY, b'x', bench.call)
    assert len(bench.runs) == 1


@pytest.mark.parametrize(
    'failure',
    [
        OSError('reset'),
        errors.RequestError(
            ErrorCode.ENDPOINT_FAILED, 'reset', Verdict.MAY_HAVE_RUN
        ),
    ],
)
async def test_an_unknown_outcome_stays_unknown(bench, failure):
    engine = bench.make_engine()
    bench.failure = failure
    for _ in range(2):
        await expect(
            ErrorCode.OUTCOME_UNKNOWN,
            Verdict.MAY_HAVE_RUN,
            engine.run_once(KEY, b'x', bench.call),
        )
        bench.failure = None
    other = bench.make_engine('e2', 'i2')
    exc = await expect(
        ErrorCode.CALL_IN_PROGRESS,
        Verdict.MAY_HAVE_RUN,
        other.run_once(KEY, b'x', bench.call),
    )
    assert isinstance(exc, claim_errors.ClaimHeldError)
    assert exc.owner == engine.owner
    await engine.settle_pending()
    await expect(
        ErrorCode.OUTCOME_UNKNOWN,
        Verdict.MAY_HAVE_RUN,
        other.run_once(KEY, b'x', bench.call),
    )
    assert bench.runs == []


async def test_a_claim_whose_owner_has_gone_becomes_unknown(bench):
    bench.failure = OSError('reset')
    with pytest.raises(errors.RequestError):
        await bench.make_engine().run_once(KEY, b'x', bench.call)
    limits = claims.ClaimLimits(holds=claim_holds.HoldLimits(1_000.0, 1))
    other = bench.make_engine('e2', 'i2', limits)
    for age_ms, code in (
        (0.0, ErrorCode.CALL_IN_PROGRESS),
        (999.0, ErrorCode.CALL_IN_PROGRESS),
        (1.0, ErrorCode.OUTCOME_UNKNOWN),
    ):
        bench.manual.advance(age_ms)
        await expect(
            code, Verdict.MAY_HAVE_RUN, other.run_once(KEY, b'x', bench.call)
        )
    assert bench.runs == []


def test_holds_are_bounded_and_told_apart():
    holds = claim_holds.ClaimHolds(claim_holds.HoldLimits(100.0, 2))
    assert not holds.is_overdue('k', 'n1', 0.0)
    assert holds.is_overdue('k', 'n1', 100.0)
    assert not holds.is_overdue('k', 'n2', 100.0)
    for path in 'lm':
        assert not holds.is_overdue(path, 'n1', 100.0)
    assert not holds.is_overdue('k', 'n2', 300.0)


async def test_a_claim_is_not_run_after_a_long_pause(bench):
    engine = bench.make_engine()
    original = bench.state.transact

    def pause_and_transact(compares, writes):
        bench.manual.advance(TIMES.max_claim_age_ms + 1.0)
        return original(compares, writes)

    bench.state.transact = pause_and_transact
    await expect(
        ErrorCode.DEADLINE_EXCEEDED,
        Verdict.NOT_RUN,
        engine.run_once(KEY, b'x', bench.call),
    )
    assert bench.runs == []


async def test_a_large_answer_is_not_kept(bench):
    async def call():
        return b'12345'

    engine = bench.make_engine()
    assert (await engine.run_once(KEY, b'x', call)).answer == b'12345'
    await expect(
        ErrorCode.ANSWER_NOT_KEPT,
        Verdict.RAN,
        engine.run_once(KEY, b'x', call),
    )


async def test_a_full_table_refuses(bench):
    engine = bench.make_engine()
    bench.lose('lost_replies')
    keys = [claim_records.ClaimKey('a', 's', name) for name in 'klm']
    for key in keys[:2]:
        with pytest.raises(errors.RequestError):
            await engine.run_once(key, b'x', bench.call)
    await expect(
        ErrorCode.OVERLOADED,
        Verdict.NOT_RUN,
        engine.run_once(keys[2], b'x', bench.call),
    )
    bench.recover()
    await engine.settle_pending()
    for key in keys:
        await engine.run_once(key, b'x', bench.call)
    assert len(bench.runs) == 3


async def test_claims_share_a_lease_and_end_with_it(bench):
    engine = bench.make_engine()
    for name in 'klm':
        key = claim_records.ClaimKey('a', 's', name)
        await engine.run_once(key, b'x', bench.call)
    assert bench.state.calls[keyvalue.Call.LEASE] == 1
    bench.manual.advance(TIMES.retention_ms)
    store = keyvalue.MemoryKeyValue(bench.state)
    assert len(await store.get_prefix(claim_records.PREFIX)) == 3
    bench.manual.advance(TIMES.ttl_ms - TIMES.retention_ms)
    assert await store.get_prefix(claim_records.PREFIX) == []


async def test_an_old_lease_serves_while_no_new_one_is_granted(bench):
    store = keyvalue.MemoryKeyValue(bench.state)
    bucket = claim_leases.LeaseBucket(store, TIMES)
    first = await bucket.acquire(0.0)
    bench.state.take_down()
    assert await bucket.acquire(TIMES.span_ms) == first
    with pytest.raises(errors.StoreError):
        await bucket.acquire(2 * TIMES.span_ms)
    bench.state.bring_up()
    assert await bucket.acquire(TIMES.span_ms) != first


def finish(world, retries):
    """Repeat the call on the given slots, then clear all faults."""
    for slot in retries:
        world.send('k', b'x', slot)
        world.deliver(0, False)
        world.step(0, Fate.DONE)
    world.drain()
    testing.assert_calls(world.events)
    assert world.count_pending() == 0


async def test_a_result_may_be_stored_after_the_reply(bench):
    limits = claims.ClaimLimits(is_save_awaited=False)
    engine = bench.make_engine(limits=limits)
    other = bench.make_engine('e2', 'i2')
    for is_repeat in (False, True):
        assert await engine.run_once(KEY, b'x', bench.call) == (
            claims.StoredAnswer(b'1', is_repeat)
        )
    with pytest.raises(claim_errors.ClaimHeldError):
        await other.run_once(KEY, b'x', bench.call)
    bench.state.take_down()
    with pytest.raises(errors.StoreError):
        await engine.settle_pending(jobs.run_together)
    bench.state.bring_up()
    await engine.settle_pending(jobs.run_together)
    assert engine.pending == 0
    assert (await other.run_once(KEY, b'x', bench.call)).answer == b'1'


@pytest.mark.parametrize('is_crash', [True, False])
@pytest.mark.parametrize('stop_fate', Fate)
@pytest.mark.parametrize('steps', range(7))
def test_a_stop_at_any_step_is_safe(is_crash, stop_fate, steps):
    for fates in itertools.product(Fate, repeat=min(steps, 2)):
        for retries in ([0], [1], [1, 0], [0, 1, 1]):
            world = claims_world.ClaimsWorld(is_save_awaited=steps > 2)
            world.send('k', b'x', 0)
            world.deliver(0, True)
            for place in range(steps):
                late = place - (steps - len(fates))
                world.step(0, fates[late] if late >= 0 else Fate.DONE)
            if is_crash:
                world.crash(0, stop_fate)
            else:
                world.cancel(0, stop_fate)
            finish(world, retries)


@pytest.mark.parametrize('first', Fate)
def test_any_fates_are_safe(first):
    for fates in itertools.product(Fate, repeat=4):
        world = claims_world.ClaimsWorld()
        world.send('k', b'x', 0)
        world.deliver(0, False)
        for fate in (first, *fates):
            world.step(0, fate)
        finish(world, [1])


def test_crossing_calls_run_once():
    """Two routers send one key to two sidecars, in every interleaving."""
    for order in itertools.product((0, 1), repeat=9):
        world = claims_world.ClaimsWorld()
        for slot in (0, 1):
            world.send('k', b'x', slot)
            world.deliver(0, False)
        for pick in order:
            world.step(pick, Fate.DONE)
        finish(world, [])
        runs = [
            event
            for event in world.events
            if isinstance(event, history.CallRan)
        ]
        assert len(runs) == 1


def test_a_removal_does_not_forget_a_later_claim():
    """A call fails while an earlier claim of its key is being removed."""
    world = claims_world.ClaimsWorld()
    world.send('k', b'x', 0)
    world.deliver(0, False)
    world.step(0, Fate.DONE)
    world.cancel(0, Fate.REPLY_LOST)
    world.settle(0)
    world.send('k', b'x', 0)
    world.deliver(0, False)
    for _ in range(2):
        world.step(1, Fate.DONE)
    world.step(1, Fate.REFUSED)
    world.step(0, Fate.DONE)
    world.step(0, Fate.REFUSED)
    assert world.count_pending() == 1
    finish(world, [1])
