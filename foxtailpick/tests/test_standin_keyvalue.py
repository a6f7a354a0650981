"""Tests of the in-memory key-value stand-in."""

import pytest

from foxtailpick.adapters import base
from foxtailpick.core import errors
from foxtailpick.standins import keyvalue


@pytest.fixture
def state(manual_clock):
    return keyvalue.KeyValueState(manual_clock.now)


@pytest.fixture
def store(state):
    return keyvalue.MemoryKeyValue(state)


async def test_put_if_absent_wins_once(store):
    first = await store.put_if_absent('k', b'1')
    second = await store.put_if_absent('k', b'2')
    assert first.is_applied
    assert not second.is_applied
    assert second.current[0].value == b'1'


async def test_lost_reply_takes_effect(state, store):
    state.faults.lost_replies = 1
    with pytest.raises(errors.StoreError) as caught:
        await store.put_if_absent('k', b'1')
    assert caught.value.code is errors.ErrorCode.STORE_OUTCOME_UNKNOWN
    assert (await store.get('k')).value == b'1'


async def test_lost_request_has_no_effect(state, store):
    state.faults.lost_requests = 1
    with pytest.raises(errors.StoreError):
        await store.put_if_absent('k', b'1')
    assert await store.get('k') is None


async def test_expired_lease_removes_its_keys(manual_clock, store):
    lease = await store.grant_lease(100.0)
    await store.put_if_absent('k', b'1', lease)
    manual_clock.advance(101.0)
    assert await store.get('k') is None
    with pytest.raises(errors.StoreError) as caught:
        await store.renew_lease(lease)
    assert caught.value.code is errors.ErrorCode.LEASE_LOST


async def test_watch_replays_and_ends_with_an_outage(state, store):
    await store.put_if_absent('a/1', b'1')
    async with store.watch('a/', base.ABSENT) as changes:
        change = await anext(changes)
        state.take_down()
        with pytest.raises(errors.StoreError):
            await anext(changes)
    assert change.entry.value == b'1'
    with pytest.raises(errors.StoreError):
        await store.get('a/1')
