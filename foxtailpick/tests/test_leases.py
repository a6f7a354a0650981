"""Tests of leases in virtual time."""

import pytest
import trio

from foxtailpick.core import clock as clock_lib
from foxtailpick.core import errors
from foxtailpick.core import leases
from foxtailpick.standins import keyvalue

OPTIONS = leases.LeaseOptions(ttl_ms=9_000.0, guard_ms=1_000.0)


@pytest.fixture
def state():
    return keyvalue.KeyValueState(lambda: trio.current_time() * 1_000.0)


@pytest.fixture
def hold(state):
    def hold(holder):
        return leases.hold_lease(
            keyvalue.MemoryKeyValue(state),
            'slot',
            holder,
            clock_lib.Clock.from_trio(),
            OPTIONS,
        )

    return hold


def now_ms():
    return trio.current_time() * 1_000.0


async def test_one_holder_at_a_time_and_numbers_grow(autojump_clock, hold):
    async with hold('a') as first:
        with pytest.raises(errors.StoreError) as caught:
            async with hold('b'):
                pass
    assert caught.value.code is errors.ErrorCode.STORE_REFUSED
    async with hold('b') as second:
        assert second.fencing > first.fencing


async def test_renewed_while_held(autojump_clock, hold):
    async with hold('a') as lease:
        await trio.sleep(60.0)
        lease.require_valid(now_ms())


async def test_lost_reply_is_resolved_by_the_nonce(
    autojump_clock, state, hold
):
    state.faults.lost_replies = 2
    async with hold('a') as lease:
        assert lease.is_valid(now_ms())


async def test_holder_stops_before_the_lease_expires(
    autojump_clock, state, hold
):
    async with hold('a') as lease:
        began_ms = now_ms()
        state.take_down()
        while lease.is_valid(now_ms()):
            await trio.sleep(0.1)
        assert now_ms() - began_ms <= OPTIONS.ttl_ms - OPTIONS.guard_ms + 100
        with pytest.raises(errors.StoreError) as caught:
            lease.require_valid(now_ms())
    assert caught.value.code is errors.ErrorCode.LEASE_LOST


async def test_lease_expired_in_the_store_is_detected(
    autojump_clock, state, hold
):
    async with hold('a') as lease:
        for lease_id in list(state._leases):
            state.revoke_lease(lease_id)
        await trio.sleep(OPTIONS.ttl_ms / 3_000.0 + 0.1)
        assert not lease.is_valid(now_ms())


def test_guard_must_fit_the_lease():
    with pytest.raises(ValueError, match='guard'):
        leases.LeaseOptions(ttl_ms=1_000.0, guard_ms=500.0)
