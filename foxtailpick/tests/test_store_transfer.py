"""Tests of reading a large configuration over a slow link, in virtual time.

Figures of inc2 of kandurata-route-grown: 4,249 routes over 5 Mbit/s.
"""

import pytest
import trio

from foxtailpick.core.dispatch import store_pacing
from foxtailpick.core import errors
from foxtailpick.platform import items
from foxtailpick.platform.standins import store_server
from foxtailpick.tests import gateway_harness
from foxtailpick.tests import store_harness

ROUTES = 4_249
BYTES_PER_S = 5_000_000 / 8
# `config_apply_ms` of the deployment.
CONFIG_APPLY_MS = 3_000.0
CHANGE_GAP_MS = store_pacing.compute_change_gap_ms(CONFIG_APPLY_MS)
# Until when a response that fell silent has to be given up, so that there
# is time for another call within the bound.
MAX_SILENCE_MS = 1_500.0
PREFIX = items.OPERATOR_PREFIX


def make_large_config(version, count=ROUTES):
    routes = [
        gateway_harness.make_route(f'r-{number}', f'/a{number}/', 'safe')
        for number in range(count)
    ]
    return gateway_harness.make_config(version, routes)


def open_slow_store(monkeypatch):
    """Return a context with a store behind a slow link, and its client."""
    standin = store_server.PlatformStoreStandIn()
    standin.bytes_per_s = BYTES_PER_S
    return store_harness.open_store(standin, monkeypatch)


async def test_large_configuration_is_read_over_a_slow_link(
    autojump_clock, monkeypatch
):
    async with open_slow_store(monkeypatch) as (standin, store):
        standin.put('op/config', make_large_config(2))
        began_ms = store_harness.now_ms()
        snapshot = await store.read_snapshot(PREFIX)
        # The link alone takes over 1.5 s.
        assert 1_500 < store_harness.now_ms() - began_ms < CONFIG_APPLY_MS
    assert [entry.key for entry in snapshot.entries] == ['op/config']


async def test_large_change_at_the_end_of_a_watch_is_read(
    autojump_clock, monkeypatch
):
    async with open_slow_store(monkeypatch) as (standin, store):
        snapshot = await store.read_snapshot(PREFIX)
        found = []

        async def watch():
            found.extend(
                await store.poll_changes(PREFIX, snapshot.position, 5_000.0)
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            await trio.sleep(4.99)
            standin.put('op/config', make_large_config(2))
    changes, _ = found
    assert [change.key for change in changes] == ['op/config']


@pytest.mark.parametrize('is_history_lost', [False, True])
async def test_large_configuration_is_in_force_in_time(
    autojump_clock, monkeypatch, is_history_lost
):
    """A change may come at any time of a watch."""
    late = []
    for at_s in range(1, 28, 2):
        async with open_slow_store(monkeypatch) as (standin, store):
            standin.put('op/config', gateway_harness.make_config(1))
            async with store_harness.follow(store, at_s) as gateway_state:
                await trio.sleep(at_s)
                standin.put('op/config', make_large_config(2))
                if is_history_lost:
                    standin.history_from = standin.revision
                await trio.sleep(CONFIG_APPLY_MS / 1_000)
                if gateway_state.cfg.number != 2:
                    late.append(at_s)
    assert late == []


async def test_configurations_in_quick_succession_are_in_force_in_time(
    autojump_clock, monkeypatch
):
    """Simulates trouble-1 of levant-moodboard-grown, seed 923856934751.

    Callers take half of the link.
    """
    late = []
    async with open_slow_store(monkeypatch) as (standin, store):
        standin.bytes_per_s = BYTES_PER_S / 2
        standin.put('op/config', make_large_config(1, 250))
        async with store_harness.follow(store, 1, CHANGE_GAP_MS) as own:
            await trio.sleep(5)
            written_ms = {}
            for version in range(2, 90):
                standin.put('op/config', make_large_config(version, 250))
                written_ms[version] = store_harness.now_ms()
                await trio.sleep(0.235)
                due = [
                    number
                    for number, at_ms in written_ms.items()
                    if store_harness.now_ms() - at_ms > CONFIG_APPLY_MS
                ]
                if due and own.cfg.number < due[-1]:
                    late.append(version)
    assert late == []


async def test_newest_changes_are_read_while_a_follower_is_behind(
    autojump_clock, monkeypatch
):
    """Removals among the superseded changes take effect too."""
    async with open_slow_store(monkeypatch) as (standin, store):
        standin.put('op/config', make_large_config(1, 250))
        standin.put(items.EVACUATION_PREFIX + 'north', {})
        async with store_harness.follow(store, 1, CHANGE_GAP_MS) as own:
            await trio.sleep(5)
            for version in range(2, 30):
                standin.put('op/config', make_large_config(version, 250))
                await trio.sleep(0.1)
            standin.remove(items.EVACUATION_PREFIX + 'north')
            standin.put(items.EVACUATION_PREFIX + 'south', {})
            await trio.sleep(CONFIG_APPLY_MS / 1_000)
            assert own.cfg.number == 29
            assert own._evacuated == {'south'}
            # It watches again, and sees a single change at once.
            await trio.sleep(2)
            standin.put('op/config', make_large_config(30, 250))
            await trio.sleep(0.5)
            assert own.cfg.number == 30


async def test_response_that_falls_silent_is_given_up(
    autojump_clock, monkeypatch
):
    async with open_slow_store(monkeypatch) as (standin, store):
        standin.put('op/config', make_large_config(2))
        standin.stop_after_bytes = 500_000
        with pytest.raises(errors.StoreError) as caught:
            await store.read_snapshot(PREFIX)
        given_up_ms = store_harness.now_ms() - 500_000 / BYTES_PER_S * 1_000
    assert caught.value.code is errors.ErrorCode.STORE_UNAVAILABLE
    assert given_up_ms <= MAX_SILENCE_MS + 100
