"""Tests of the driver, over the in-memory store and peers."""

import random

import pytest
import trio

from foxtailpick.core import clock as clock_lib
from foxtailpick.core import config_answers
from foxtailpick.core import config_store
from foxtailpick.core import config_writer
from foxtailpick.core import configuration
from foxtailpick.core import errors
from foxtailpick.core import propagation
from foxtailpick.node import config_driver
from foxtailpick.standins import keyvalue

DIGEST = '00' * 32
FIRST = configuration.Configuration.from_ini(
    f"""
[domain kandy-a]
region = central-hills
[partner a]
share = 1
[account guide]
partner = a
credential_digest = {DIGEST}
"""
)
PATCH = """
[patch]
base = 1
id = p1
author = op
reason = test
[domain kandy-a]
state = out-of-service
"""


class MemoryPeers(config_driver.ConfigPeers):
    """Peers in the same process; a name that is missing does not answer."""

    def __init__(self, name, drivers):
        self._name = name
        self._drivers = drivers

    def _find(self, peer):
        if peer not in self._drivers:
            raise errors.LinkError(errors.ErrorCode.LINK_LOST, 'gone')
        return self._drivers[peer]

    async def ask(self, peer, after):
        await trio.sleep(0.001)
        return self._find(peer).answer(after)

    async def ask_chunk(self, peer, index, digest):
        await trio.sleep(0.001)
        return self._find(peer).read().accounts.read_chunk(index)

    async def tell(self, peer, offer):
        await trio.sleep(0.001)
        self._find(peer).take(self._name, offer)


class World:
    """A store and some drivers that run in one nursery."""

    def __init__(self, nursery, monitor):
        self.clock = clock_lib.Clock.from_trio()
        self.state = keyvalue.KeyValueState(self.clock.now)
        self.kv = keyvalue.MemoryKeyValue(self.state)
        self.drivers = {}
        self._nursery = nursery
        self._monitor = monitor
        self.writer = config_writer.ConfigWriter(
            self.kv, self.clock, random.Random(1)
        )

    def start(self, name, peers):
        tracker = propagation.ConfigTracker(
            name, random.Random(name), self._monitor
        )
        driver = config_driver.ConfigDriver(
            tracker,
            config_store.ConfigReader(self.kv),
            self.kv,
            MemoryPeers(name, self.drivers),
            self.clock,
        )
        driver.set_peers([peer for peer in peers if peer != name], peers)
        self.drivers[name] = driver
        self._nursery.start_soon(driver.run)
        return driver


NAMES = ['a', 'b', 'c', 'd', 'e']


@pytest.fixture
async def world(nursery, monitor):
    world = World(nursery, monitor)
    assert await world.writer.create(FIRST)
    for name in NAMES:
        world.start(name, NAMES)
    await trio.sleep(1)
    return world


async def test_patch_reaches_all_though_the_store_goes_down(
    autojump_clock, world
):
    changes = []
    world.drivers['b'].on_change(lambda: changes.append('b'))
    answer = await world.writer.submit(PATCH)
    world.state.take_down()
    assert answer.outcome is config_answers.Outcome.ACCEPTED
    world.drivers['a'].take_answer(answer)
    await trio.sleep(1)
    for driver in world.drivers.values():
        assert driver.read_number() == 2
        assert not driver.read().is_domain_in_service('kandy-a')
        assert await driver.wait_admitted(1_000.0)
    assert changes == ['b']


async def test_watch_brings_a_patch_that_nobody_announced(
    autojump_clock, world
):
    await world.writer.submit(PATCH)
    await trio.sleep(1)
    assert {d.read_number() for d in world.drivers.values()} == {2}


async def test_new_node_starts_without_the_store(autojump_clock, world):
    await world.drivers['a'].load_account('guide')
    world.state.take_down()
    driver = world.start('f', NAMES)
    assert not driver.may_serve()
    assert await driver.wait_admitted(3_000.0)
    assert driver.read_number() == 1
    with trio.fail_after(60):
        await driver.load_account('guide')
    assert driver.read().accounts['guide'].partner == 'a'


async def test_node_that_reaches_nobody_admits_nothing(autojump_clock, world):
    world.state.take_down()
    for name in NAMES[1:]:
        del world.drivers[name]
    await trio.sleep(10)
    admitted = []

    async def wait():
        admitted.append(await world.drivers['a'].wait_admitted(5_000.0))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(wait)
        nursery.start_soon(wait)
    assert admitted == [False, False]


async def test_account_is_loaded_when_asked_for(autojump_clock, world):
    driver = world.drivers['c']
    with pytest.raises(errors.ConfigError):
        driver.read().accounts.get('guide')
    await driver.load_account('guide')
    assert driver.read().accounts['guide'].partner == 'a'
