"""Tests of a store that returns from an older copy, in virtual time."""

import pytest
import trio

from foxtailpick.core.dispatch import restored_store
from foxtailpick.gateway import mirror
from foxtailpick.platform.standins import store_server
from foxtailpick.tests import gateway_harness
from foxtailpick.tests import store_harness

DOMAINS = ('north', 'south')
ENDPOINTS = ('e0', 'e1', 'e2')
# `seed_lag_s` of the deployments: a change is known after this time.
SETTLE_S = 3.0
# Until when all routers agree with a store that doesn't change any more.
AGREE_S = 15.0


def make_entry(endpoint, **fields):
    """Return the entry of an endpoint; the last one is in the south."""
    zone = 'south' if endpoint == ENDPOINTS[-1] else 'north'
    return gateway_harness.make_entry(
        'engine', ('127.0.0.1', 1), zone=zone, **fields
    )


def list_usable(own):
    """Return the ids of the endpoints that may get work."""
    return {item.id for item in own.table.list_service('engine')}


def open_drill(monkeypatch):
    """Return a context with a store that has endpoints and an era."""
    standin = store_server.PlatformStoreStandIn()
    standin.era = 3
    standin.put('op/config', gateway_harness.make_config(1))
    for endpoint in ENDPOINTS:
        standin.put(f'servers/{endpoint}', make_entry(endpoint))
    return store_harness.open_store(standin, monkeypatch)


async def test_change_with_a_reused_revision_is_read(
    autojump_clock, monkeypatch
):
    """The revision exists again, so a watch from it gets no 410."""
    async with open_drill(monkeypatch) as (standin, store):
        async with store_harness.follow(store) as own:
            await trio.sleep(SETTLE_S)
            copy = standin.take_copy()
            standin.put('op/config', gateway_harness.make_config(2))
            await trio.sleep(SETTLE_S)
            standin.restore(copy)
            standin.put('op/config', gateway_harness.make_config(3))
            # Found with the next renewal of the lease at the latest.
            await trio.sleep(mirror.LEASE_RENEWAL_INTERVAL_MS / 1_000 + 1)
            assert own.cfg.number == 3


async def test_older_configuration_of_a_copy_is_not_applied(
    autojump_clock, monkeypatch
):
    async with open_drill(monkeypatch) as (standin, store):
        async with store_harness.follow(store) as own:
            await trio.sleep(SETTLE_S)
            copy = standin.take_copy()
            cfg = gateway_harness.make_config(2, tenants=[])
            standin.put('op/config', cfg)
            await trio.sleep(SETTLE_S)
            standin.restore(copy)
            await trio.sleep(AGREE_S)
            assert own.cfg.number == 2
            assert gateway_harness.KEY not in own.cfg.accounts


@pytest.mark.parametrize('is_written_again', [True, False])
async def test_evacuation_outlasts_a_copy_without_it(
    autojump_clock, monkeypatch, is_written_again
):
    """The domain returns to service only if it stays unlisted."""
    async with open_drill(monkeypatch) as (standin, store):
        async with store_harness.follow(store) as own:
            await trio.sleep(SETTLE_S)
            copy = standin.take_copy()
            standin.put('op/evacuate/south', {})
            await trio.sleep(SETTLE_S)
            standin.restore(copy)
            standin.put('op/config', gateway_harness.make_config(2))
            for _ in range(60):
                await trio.sleep(0.1)
                assert list_usable(own) == {'e0', 'e1'}
            assert own.cfg.number == 2
            if is_written_again:
                standin.put('op/evacuate/south', {})
            await trio.sleep(AGREE_S)
            assert ('e2' in list_usable(own)) is not is_written_again


async def test_evacuation_taken_back_after_the_return_ends_at_once(
    autojump_clock, monkeypatch
):
    async with open_drill(monkeypatch) as (standin, store):
        async with store_harness.follow(store) as own:
            await trio.sleep(SETTLE_S)
            standin.put('op/evacuate/south', {})
            copy = standin.take_copy()
            await trio.sleep(SETTLE_S)
            standin.restore(copy)
            await trio.sleep(SETTLE_S)
            standin.remove('op/evacuate/south')
            await trio.sleep(SETTLE_S)
            assert 'e2' in list_usable(own)


@pytest.mark.parametrize('is_removed', [True, False])
async def test_endpoint_that_left_before_the_return_stays_away(
    autojump_clock, monkeypatch, is_removed
):
    async with open_drill(monkeypatch) as (standin, store):
        async with store_harness.follow(store) as own:
            await trio.sleep(SETTLE_S)
            copy = standin.take_copy()
            standin.put('servers/e0', make_entry('e0', state='draining'))
            await trio.sleep(SETTLE_S)
            if is_removed:
                standin.remove('servers/e0')
                await trio.sleep(SETTLE_S)
            standin.restore(copy)
            for _ in range(80):
                await trio.sleep(0.1)
                assert 'e0' not in list_usable(own)
            if is_removed:
                standin.remove('servers/e0')
            # The endpoint starts again under its id.
            standin.put('servers/e0', make_entry('e0', born=1_700_000_009_000))
            await trio.sleep(SETTLE_S)
            assert 'e0' in list_usable(own)


async def test_endpoint_written_again_unseen_is_used(
    autojump_clock, monkeypatch
):
    """Its write falls into history that is lost before it is read.

    It counts as removed, so it is used when all has been written again.
    """
    async with open_drill(monkeypatch) as (standin, store):
        async with store_harness.follow(store) as own:
            await trio.sleep(SETTLE_S)
            copy = standin.take_copy()
            standin.put('servers/e0', make_entry('e0', born=1_700_000_000_001))
            await trio.sleep(SETTLE_S)
            standin.restore(copy)
            # The new era is found after 1 s, and the grace period ends.
            await trio.sleep(7.0)
            assert 'e0' not in list_usable(own)
            standin.put('servers/e0', make_entry('e0', born=1_700_000_000_001))
            standin.history_from = standin.revision
            await trio.sleep(restored_store.REWRITE_MS / 1_000 - 6 + 0.2)
            assert 'e0' in list_usable(own)


async def test_removed_endpoint_that_stays_listed_is_used_later(
    autojump_clock, monkeypatch
):
    async with open_drill(monkeypatch) as (standin, store):
        async with store_harness.follow(store) as own:
            await trio.sleep(SETTLE_S)
            copy = standin.take_copy()
            standin.remove('servers/e0')
            await trio.sleep(SETTLE_S)
            standin.restore(copy)
            await trio.sleep(SETTLE_S)
            assert 'e0' not in list_usable(own)
            await trio.sleep(AGREE_S)
            assert 'e0' in list_usable(own)


async def test_endpoint_that_the_copy_lacks_stays_for_a_while(
    autojump_clock, monkeypatch
):
    async with open_drill(monkeypatch) as (standin, store):
        async with store_harness.follow(store) as own:
            await trio.sleep(SETTLE_S)
            copy = standin.take_copy()
            standin.put('servers/e3', make_entry('e3'))
            await trio.sleep(SETTLE_S)
            standin.restore(copy)
            standin.put('servers/e4', make_entry('e4'))
            # Its lease is renewed, which shows the new era, 1 s later.
            await trio.sleep(1.5)
            assert list_usable(own) >= {'e3', 'e4'}
            standin.put('servers/e3', make_entry('e3'))
            await trio.sleep(SETTLE_S)
            assert 'e3' in list_usable(own)


async def test_router_registers_again_in_the_new_era(
    autojump_clock, monkeypatch
):
    """The number of its lease belongs to another lease now."""
    async with open_drill(monkeypatch) as (standin, store):
        copy = standin.take_copy()
        async with store_harness.follow(store):
            await trio.sleep(SETTLE_S)
            (lease,) = standin.leases
            standin.restore(copy)
            standin.leases[lease] = 12_000
            await trio.sleep(mirror.LEASE_RENEWAL_INTERVAL_MS / 1_000 + 1)
            keys = [key for key in standin.items if 'servers' not in key]
            assert len(keys) == 2
            assert standin.items[keys[1]]['lease'] != lease
