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
OpOutcome = claims_world.OpOutcome
Verdict = verdict.Verdict
KEY = claim_records.ClaimKey('acc', 'svc', 'k')
TIMES = claim_leases.LeaseTimes(10_000.0, 1_000.0, 500.0)
LIMITS = claims.ClaimLimits(2, 100.0, 4, is_save_awaited=True)


class Harness:
    """Engines that share one store, and a service that counts its runs."""

    def __init__(self, manual_clock, monitor):
        self.manual_clock = manual_clock
        self.monitor = monitor
        self.state = keyvalue.KeyValueState(manual_clock.now)
        self.runs = []
        self.failure = None

    def make_engine(self, name='e1', incarnation='i1', limits=LIMITS):
        return claims.ClaimEngine(
            keyvalue.MemoryKeyValue(self.state),
            claim_records.ClaimOwner(name, incarnation),
            self.manual_clock,
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
def harness(manual_clock, monitor):
    return Harness(manual_clock, monitor)


async def assert_error(code, outcome, awaitable):
    with pytest.raises(errors.RequestError) as caught:
        await awaitable
    assert (caught.value.code, caught.value.verdict) == (code, outcome)
    return caught.value


@pytest.mark.parametrize(
    'owner', [('e1', 'i1'), ('e1', 'i2'), ('e2', 'i3')], ids=str
)
async def test_a_repeat_gets_the_stored_answer(harness, owner):
    first = harness.make_engine()
    assert await first.run_once(KEY, b'x', harness.call) == (
        claims.StoredAnswer(b'1', False)
    )
    other = first if owner == ('e1', 'i1') else harness.make_engine(*owner)
    assert await other.run_once(KEY, b'x', harness.call) == (
        claims.StoredAnswer(b'1', True)
    )
    await assert_error(
        ErrorCode.KEY_REUSED,
        Verdict.NOT_RUN,
        other.run_once(KEY, b'y', harness.call),
    )
    assert len(harness.runs) == 1


@pytest.mark.parametrize(
    'other', [('b', 's', 'k'), ('a', 't', 'k'), ('a', 's', 'l')]
)
async def test_keys_are_scoped(harness, other):
    engine = harness.make_engine()
    for parts in (('a', 's', 'k'), other):
        key = claim_records.ClaimKey(*parts)
        await engine.run_once(key, b'x', harness.call)
    assert len(harness.runs) == 2


def test_a_slash_does_not_lead_into_another_scope():
    first = claim_records.ClaimKey('a/b', 's', 'k')
    assert first.path != claim_records.ClaimKey('a', 's', 'b/k').path
    assert first.path.count('/') == 3


@pytest.mark.parametrize('key', ['', 'k' * 256])
def test_a_key_of_wrong_length_is_refused(key):
    with pytest.raises(errors.RequestError):
        claim_records.ClaimKey('a', 's', key)


async def test_an_outage_refuses_and_the_key_stays_free(harness):
    engine = harness.make_engine()
    harness.state.take_down()
    await assert_error(
        ErrorCode.STORE_UNAVAILABLE,
        Verdict.NOT_RUN,
        engine.run_once(KEY, b'x', harness.call),
    )
    assert engine.pending == 0
    harness.state.bring_up()
    await engine.run_once(KEY, b'x', harness.call)
    assert len(harness.runs) == 1


@pytest.mark.parametrize('fault', ['lost_replies', 'lost_requests'])
async def test_a_lost_claim_is_found_again(harness, fault):
    engine = harness.make_engine()
    setattr(harness.state.faults, fault, 1)
    answer = await engine.run_once(KEY, b'x', harness.call)
    assert answer == claims.StoredAnswer(b'1', False)
    assert engine.pending == 0


@pytest.mark.parametrize('fault', ['lost_replies', 'lost_requests'])
async def test_an_abandoned_claim_is_removed(harness, fault):
    engine = harness.make_engine()
    harness.lose(fault)
    await assert_error(
        ErrorCode.STORE_UNAVAILABLE,
        Verdict.NOT_RUN,
        engine.run_once(KEY, b'x', harness.call),
    )
    harness.recover()
    assert engine.pending == 1
    await engine.flush_pending()
    assert engine.pending == 0
    await harness.make_engine('e2', 'i2').run_once(KEY, b'x', harness.call)
    assert len(harness.runs) == 1


async def test_a_lost_reply_costs_a_read_not_a_write(harness):
    harness.state.faults.lost_replies = 1
    await harness.make_engine().run_once(KEY, b'x', harness.call)
    assert harness.state.calls[keyvalue.Call.WRITE] == 2
    assert harness.state.calls[keyvalue.Call.READ] == 1


@pytest.mark.parametrize('value', [b'', b'\xff', cbor2.dumps([2, 'x'])])
async def test_an_undecodable_claim_is_left_unchanged(harness, value):
    store = keyvalue.MemoryKeyValue(harness.state)
    await store.put_if_absent(KEY.path, value)
    engine = harness.make_engine()
    await assert_error(
        ErrorCode.OUTCOME_UNKNOWN,
        Verdict.MAY_HAVE_RUN,
        engine.run_once(KEY, b'x', harness.call),
    )
    await engine.flush_pending()
    assert engine.pending == 0
    assert harness.runs == []
    assert (await store.get(KEY.path)).value == value


async def test_a_call_that_did_not_run_frees_its_key(harness):
    harness.failure = errors.RequestError(ErrorCode.ENDPOINT_FAILED, 'refused')
    await assert_error(
        ErrorCode.ENDPOINT_FAILED,
        Verdict.NOT_RUN,
        harness.make_engine().run_once(KEY, b'x', harness.call),
    )
    harness.failure = None
    await harness.make_engine('e2', 'i2').run_once(KEY, b'x', harness.call)
    assert len(harness.runs) == 1


@pytest.mark.parametrize(
    'failure',
    [
        OSError('reset'),
        errors.RequestError(
            ErrorCode.ENDPOINT_FAILED, 'reset', Verdict.MAY_HAVE_RUN
        ),
    ],
)
async def test_an_unknown_outcome_stays_unknown(harness, failure):
    engine = harness.make_engine()
    harness.failure = failure
    for _ in range(2):
        await assert_error(
            ErrorCode.OUTCOME_UNKNOWN,
            Verdict.MAY_HAVE_RUN,
            engine.run_once(KEY, b'x', harness.call),
        )
        harness.failure = None
    other = harness.make_engine('e2', 'i2')
    exc = await assert_error(
        ErrorCode.CALL_IN_PROGRESS,
        Verdict.MAY_HAVE_RUN,
        other.run_once(KEY, b'x', harness.call),
    )
    assert isinstance(exc, claim_errors.ClaimHeldError)
    assert exc.owner == engine.owner
    await engine.flush_pending()
    await assert_error(
        ErrorCode.OUTCOME_UNKNOWN,
        Verdict.MAY_HAVE_RUN,
        other.run_once(KEY, b'x', harness.call),
    )
    assert harness.runs == []


async def test_a_claim_of_a_lost_owner_becomes_unknown(harness):
    harness.failure = OSError('reset')
    with pytest.raises(errors.RequestError):
        await harness.make_engine().run_once(KEY, b'x', harness.call)
    limits = claims.ClaimLimits(
        held_claims=claim_holds.HeldClaimLimits(1_000.0, 1)
    )
    other = harness.make_engine('e2', 'i2', limits)
    for age_ms, code in (
        (0.0, ErrorCode.CALL_IN_PROGRESS),
        (999.0, ErrorCode.CALL_IN_PROGRESS),
        (1.0, ErrorCode.OUTCOME_UNKNOWN),
    ):
        harness.manual_clock.advance(age_ms)
        await assert_error(
            code, Verdict.MAY_HAVE_RUN, other.run_once(KEY, b'x', harness.call)
        )
    assert harness.runs == []


def test_held_claims_are_bounded_and_distinguished():
    held_claims = claim_holds.HeldClaims(claim_holds.HeldClaimLimits(100.0, 2))
    assert not held_claims.is_abandoned('k', 'n1', 0.0)
    assert held_claims.is_abandoned('k', 'n1', 100.0)
    assert not held_claims.is_abandoned('k', 'n2', 100.0)
    for path in 'lm':
        assert not held_claims.is_abandoned(path, 'n1', 100.0)
    assert not held_claims.is_abandoned('k', 'n2', 300.0)


async def test_a_claim_is_not_run_after_a_long_pause(harness):
    engine = harness.make_engine()
    original = harness.state.transact

    def pause_and_transact(compares, writes):
        harness.manual_clock.advance(TIMES.max_claim_age_ms + 1.0)
        return original(compares, writes)

    harness.state.transact = pause_and_transact
    await assert_error(
        ErrorCode.DEADLINE_EXCEEDED,
        Verdict.NOT_RUN,
        engine.run_once(KEY, b'x', harness.call),
    )
    assert harness.runs == []


async def test_a_large_answer_is_not_stored(harness):
    async def call():
        return b'12345'

    engine = harness.make_engine()
    assert (await engine.run_once(KEY, b'x', call)).answer == b'12345'
    await assert_error(
        ErrorCode.ANSWER_NOT_KEPT,
        Verdict.RAN,
        engine.run_once(KEY, b'x', call),
    )


async def test_a_full_table_refuses(harness):
    engine = harness.make_engine()
    harness.lose('lost_replies')
    keys = [claim_records.ClaimKey('a', 's', name) for name in 'klm']
    for key in keys[:2]:
        with pytest.raises(errors.RequestError):
            await engine.run_once(key, b'x', harness.call)
    await assert_error(
        ErrorCode.OVERLOADED,
        Verdict.NOT_RUN,
        engine.run_once(keys[2], b'x', harness.call),
    )
    harness.recover()
    await engine.flush_pending()
    for key in keys:
        await engine.run_once(key, b'x', harness.call)
    assert len(harness.runs) == 3


async def test_claims_share_a_lease_and_end_with_it(harness):
    engine = harness.make_engine()
    for name in 'klm':
        key = claim_records.ClaimKey('a', 's', name)
        await engine.run_once(key, b'x', harness.call)
    assert harness.state.calls[keyvalue.Call.LEASE] == 1
    harness.manual_clock.advance(TIMES.retention_ms)
    store = keyvalue.MemoryKeyValue(harness.state)
    assert len(await store.get_prefix(claim_records.PREFIX)) == 3
    harness.manual_clock.advance(TIMES.ttl_ms - TIMES.retention_ms)
    assert await store.get_prefix(claim_records.PREFIX) == []


async def test_an_old_lease_serves_while_no_new_one_is_granted(harness):
    store = keyvalue.MemoryKeyValue(harness.state)
    lease = claim_leases.SharedLease(store, TIMES)
    first = await lease.acquire(0.0)
    harness.state.take_down()
    assert await lease.acquire(TIMES.span_ms) == first
    with pytest.raises(errors.StoreError):
        await lease.acquire(2 * TIMES.span_ms)
    harness.state.bring_up()
    assert await lease.acquire(TIMES.span_ms) != first


def finish(world, retries):
    """Repeat the call on the given slots, then clear all faults."""
    for slot in retries:
        world.send('k', b'x', slot)
        world.deliver(0, False)
        world.step(0, OpOutcome.DONE)
    world.drain()
    testing.assert_calls(world.events)
    assert world.count_pending() == 0


async def test_a_result_may_be_stored_after_the_reply(harness):
    limits = claims.ClaimLimits(is_save_awaited=False)
    engine = harness.make_engine(limits=limits)
    other = harness.make_engine('e2', 'i2')
    for is_repeat in (False, True):
        assert await engine.run_once(KEY, b'x', harness.call) == (
            claims.StoredAnswer(b'1', is_repeat)
        )
    with pytest.raises(claim_errors.ClaimHeldError):
        await other.run_once(KEY, b'x', harness.call)
    harness.state.take_down()
    with pytest.raises(errors.StoreError):
        await engine.flush_pending(jobs.run_concurrently)
    harness.state.bring_up()
    await engine.flush_pending(jobs.run_concurrently)
    assert engine.pending == 0
    assert (await other.run_once(KEY, b'x', harness.call)).answer == b'1'


@pytest.mark.parametrize('is_crash', [True, False])
@pytest.mark.parametrize('stop_outcome', OpOutcome)
@pytest.mark.parametrize('steps', range(7))
def test_a_stop_at_any_step_is_safe(is_crash, stop_outcome, steps):
    for outcomes in itertools.product(OpOutcome, repeat=min(steps, 2)):
        for retries in ([0], [1], [1, 0], [0, 1, 1]):
            world = claims_world.ClaimsWorld(is_save_awaited=steps > 2)
            world.send('k', b'x', 0)
            world.deliver(0, True)
            for place in range(steps):
                late = place - (steps - len(outcomes))
                world.step(0, outcomes[late] if late >= 0 else OpOutcome.DONE)
            if is_crash:
                world.crash(0, stop_outcome)
            else:
                world.cancel(0, stop_outcome)
            finish(world, retries)


@pytest.mark.parametrize('first', OpOutcome)
def test_any_operation_outcomes_are_safe(first):
    for outcomes in itertools.product(OpOutcome, repeat=4):
        world = claims_world.ClaimsWorld()
        world.send('k', b'x', 0)
        world.deliver(0, False)
        for outcome in (first, *outcomes):
            world.step(0, outcome)
        finish(world, [1])


def test_concurrent_calls_run_once():
    """Two routers send one key to two sidecars, in every interleaving."""
    for order in itertools.product((0, 1), repeat=9):
        world = claims_world.ClaimsWorld()
        for slot in (0, 1):
            world.send('k', b'x', slot)
            world.deliver(0, False)
        for pick in order:
            world.step(pick, OpOutcome.DONE)
        finish(world, [])
        runs = [
            event
            for event in world.events
            if isinstance(event, history.CallRan)
        ]
        assert len(runs) == 1


def test_a_removal_does_not_drop_a_later_claim():
    """A call fails while an earlier claim of its key is being removed."""
    world = claims_world.ClaimsWorld()
    world.send('k', b'x', 0)
    world.deliver(0, False)
    world.step(0, OpOutcome.DONE)
    world.cancel(0, OpOutcome.REPLY_LOST)
    world.flush_pending(0)
    world.send('k', b'x', 0)
    world.deliver(0, False)
    for _ in range(2):
        world.step(1, OpOutcome.DONE)
    world.step(1, OpOutcome.REFUSED)
    world.step(0, OpOutcome.DONE)
    world.step(0, OpOutcome.REFUSED)
    assert world.count_pending() == 1
    finish(world, [1])
