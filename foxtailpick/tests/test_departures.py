"""Tests of how soon a departure ends requests, in virtual time.

A router follows the store with the program's own client and mirror. The
bounds are those that the deployments state: a router is held to `drain_ms`
and `config_apply_ms` again `contact_ms` after the store has returned.
"""

import dataclasses

import pytest
import trio

from foxtailpick.core.dispatch import store_pacing
from foxtailpick.platform.standins import store_server
from foxtailpick.tests import gateway_harness
from foxtailpick.tests import store_harness

ENDPOINTS = tuple(f'e{number}' for number in range(8))
SETTLE_S = 5.0
# Time between two looks at what a router would use.
LOOK_S = 0.02


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Bounds of a deployment, in s.

    :param contact_s: undisturbed time after which a router is held to them.
    :param change_s: time in which a change has to be in force.
    """

    contact_s: float
    change_s: float


EACH_BOUNDS = pytest.mark.parametrize(
    'bounds', [Bounds(3.0, 2.0), Bounds(4.0, 3.0)], ids=['2s', '3s']
)


def put_endpoint(standin, endpoint, **fields):
    """Write the entry of an endpoint."""
    address = ('127.0.0.1', 1 + ENDPOINTS.index(endpoint))
    entry = gateway_harness.make_entry('engine', address, **fields)
    standin.put(f'servers/{endpoint}', entry)


def depart(standin, endpoint, is_announced):
    """Let an endpoint leave; some only remove their entry."""
    if is_announced:
        put_endpoint(standin, endpoint, state='draining', sequence=9)
    else:
        standin.remove(f'servers/{endpoint}')


def list_usable(own):
    """Return the ids of the endpoints that may get work."""
    return {item.id for item in own.table.list_service('engine')}


def open_store(monkeypatch):
    """Return a context with a store that lists the endpoints."""
    standin = store_server.PlatformStoreStandIn()
    standin.put('op/config', gateway_harness.make_config(1))
    for endpoint in ENDPOINTS:
        put_endpoint(standin, endpoint)
    return store_harness.open_store(standin, monkeypatch)


def follow(store, bounds, seed=1):
    """Return a context with a router that follows a store."""
    bound_ms = bounds.change_s * 1_000
    gap_ms = store_pacing.compute_change_gap_ms(bound_ms)
    return store_harness.follow(store, seed, gap_ms, change_bound_ms=bound_ms)


async def be_silent(standin, silence_s):
    """Lose each call and reply of the store for some time."""
    standin.is_silent = True
    await trio.sleep(silence_s)
    standin.is_silent = False


async def expect_unused(own, endpoint, for_s):
    """Check that an endpoint gets nothing for some time."""
    until_s = trio.current_time() + for_s
    while trio.current_time() < until_s:
        assert endpoint not in list_usable(own)
        await trio.sleep(LOOK_S)


@EACH_BOUNDS
@pytest.mark.parametrize('is_announced', [True, False])
@pytest.mark.parametrize('silence_s', [0.1, 1.0, 2.0])
async def test_silence_of_the_store_hides_no_later_departure(
    autojump_clock, monkeypatch, bounds, is_announced, silence_s
):
    """The silence is shorter than the interval of lease renewals."""
    async with open_store(monkeypatch) as (standin, store):
        async with follow(store, bounds) as own:
            await trio.sleep(SETTLE_S)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(be_silent, standin, silence_s)
                await trio.sleep(silence_s / 2)
                # The watch reports this one, and its reply is lost.
                put_endpoint(standin, 'e7', warmup_left_ms=900, sequence=2)
            await trio.sleep(bounds.contact_s)
            depart(standin, 'e1', is_announced)
            await trio.sleep(bounds.change_s)
            await expect_unused(own, 'e1', 20.0)


@EACH_BOUNDS
@pytest.mark.parametrize('silence_s', [0.1, 1.0, 2.0])
async def test_silence_of_the_store_hides_no_later_configuration(
    autojump_clock, monkeypatch, bounds, silence_s
):
    async with open_store(monkeypatch) as (standin, store):
        async with follow(store, bounds) as own:
            await trio.sleep(SETTLE_S)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(be_silent, standin, silence_s)
                await trio.sleep(silence_s / 2)
                standin.put('op/config', gateway_harness.make_config(2))
            await trio.sleep(bounds.contact_s)
            standin.put('op/config', gateway_harness.make_config(3))
            await trio.sleep(bounds.change_s)
            assert own.cfg.number == 3


@EACH_BOUNDS
@pytest.mark.parametrize('is_announced', [True, False])
@pytest.mark.parametrize('silence_s', [1.0, 4.5, 7.0])
async def test_departure_just_before_a_silence_is_known_after_it(
    autojump_clock, monkeypatch, bounds, is_announced, silence_s
):
    """The change is collected with others while the store falls silent."""
    async with open_store(monkeypatch) as (standin, store):
        async with follow(store, bounds) as own:
            await trio.sleep(SETTLE_S)
            put_endpoint(standin, 'e7', warmup_left_ms=900, sequence=2)
            await trio.sleep(0.1)
            depart(standin, 'e1', is_announced)
            await be_silent(standin, silence_s)
            await trio.sleep(bounds.contact_s)
            await expect_unused(own, 'e1', 5.0)


@EACH_BOUNDS
@pytest.mark.parametrize('is_announced', [True, False])
async def test_departure_in_a_compaction_is_known_after_it(
    autojump_clock, monkeypatch, bounds, is_announced
):
    """Watches report nothing for a second and are cut."""
    async with open_store(monkeypatch) as (standin, store):
        async with follow(store, bounds) as own:
            await trio.sleep(SETTLE_S)
            standin.is_compacting = True
            depart(standin, 'e1', is_announced)
            await trio.sleep(1.0)
            standin.drop_history()
            await trio.sleep(bounds.change_s - 1.0)
            await expect_unused(own, 'e1', 5.0)


@EACH_BOUNDS
@pytest.mark.parametrize('gone', [1, 2])
async def test_departure_beside_lapsed_entries_is_known_in_time(
    autojump_clock, monkeypatch, bounds, gone
):
    """Entries that lapse in an outage are written again after it."""
    async with open_store(monkeypatch) as (standin, store):
        async with follow(store, bounds) as own:
            await trio.sleep(SETTLE_S)
            standin.is_silent = True
            for endpoint in ENDPOINTS[1:]:
                standin.remove(f'servers/{endpoint}')
            await trio.sleep(5.0)
            standin.is_silent = False
            for number, endpoint in enumerate(ENDPOINTS[1 + gone :]):
                assert endpoint in list_usable(own)
                await trio.sleep(0.2)
                put_endpoint(standin, endpoint, sequence=20 + number)
            await trio.sleep(bounds.contact_s - 0.2 * (7 - gone))
            for endpoint in ENDPOINTS[1 : 1 + gone]:
                assert endpoint not in list_usable(own)
            assert len(list_usable(own)) == len(ENDPOINTS) - gone


@EACH_BOUNDS
@pytest.mark.parametrize('is_removed', [True, False])
async def test_late_write_does_not_end_a_departure(
    autojump_clock, monkeypatch, bounds, is_removed
):
    """A write without a reply may be executed seconds later."""
    async with open_store(monkeypatch) as (standin, store):
        async with follow(store, bounds) as own:
            await trio.sleep(SETTLE_S)
            depart(standin, 'e1', True)
            await trio.sleep(1.5)
            if is_removed:
                standin.remove('servers/e1')
                await trio.sleep(1.0)
            put_endpoint(standin, 'e1', state='ready', sequence=8)
            await expect_unused(own, 'e1', 5.0)
            # A new start is not bound by the departure of the one before.
            put_endpoint(standin, 'e1', born=1_700_000_009_000)
            await trio.sleep(bounds.change_s)
            assert 'e1' in list_usable(own)


async def test_placed_request_is_not_sent_to_an_endpoint_that_drains(
    autojump_clock, monkeypatch
):
    """The departure is read while the connection is opened."""
    async with open_store(monkeypatch) as (standin, store):
        async with follow(store, Bounds(3.0, 2.0)) as own:
            await trio.sleep(SETTLE_S)
            endpoints = [own.table.get(name) for name in ('e1', 'e2')]
            for endpoint, is_announced in zip(endpoints, (True, False)):
                assert own.table.is_sendable(endpoint, 0.0)
                depart(standin, endpoint.id, is_announced)
            await trio.sleep(2.0)
            for endpoint in endpoints:
                assert not own.table.is_sendable(endpoint, 0.0)


async def test_router_that_starts_after_a_departure_knows_it(
    autojump_clock, monkeypatch
):
    async with open_store(monkeypatch) as (standin, store):
        depart(standin, 'e1', True)
        depart(standin, 'e2', False)
        async with follow(store, Bounds(3.0, 2.0)) as own:
            await expect_unused(own, 'e1', 3.0)
            assert list_usable(own) == set(ENDPOINTS) - {'e1', 'e2'}


@EACH_BOUNDS
async def test_late_write_does_not_end_an_unannounced_departure(
    autojump_clock, monkeypatch, bounds
):
    """It looks like an endpoint that lapsed and is back."""
    async with open_store(monkeypatch) as (standin, store):
        async with follow(store, bounds) as own:
            await trio.sleep(SETTLE_S)
            depart(standin, 'e1', False)
            await trio.sleep(1.5)
            put_endpoint(standin, 'e1', state='ready', sequence=8)
            await trio.sleep(bounds.change_s - 1.5)
            await expect_unused(own, 'e1', 5.0)


async def test_endpoint_without_a_start_may_be_ready_again(
    autojump_clock, monkeypatch
):
    """Its next process has the same name to the router."""
    async with open_store(monkeypatch) as (standin, store):
        async with follow(store, Bounds(3.0, 2.0)) as own:
            await trio.sleep(SETTLE_S)
            for state in ('draining', 'ready'):
                put_endpoint(standin, 'e1', state=state, born=None)
                await trio.sleep(1.0)
                assert ('e1' in list_usable(own)) is (state == 'ready')
