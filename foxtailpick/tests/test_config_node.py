"""Tests of `ConfigNode` with an in-memory store and in-memory links."""

import random

import pytest
import trio
from trio import testing

from foxtailpick.adapters import base
from foxtailpick.core import clock as clock_lib
from foxtailpick.core import config_answers
from foxtailpick.core import config_exchange
from foxtailpick.core import config_store
from foxtailpick.core import config_writer
from foxtailpick.core import configuration
from foxtailpick.core import errors
from foxtailpick.core import messages
from foxtailpick.core import propagation
from foxtailpick.node import config_node
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


class MemoryLink:
    """A link between two nodes of the same process."""

    def __init__(self, world, origin, address):
        self.address = address
        self._world = world
        self._origin = origin

    def send_soon(self, message):
        self._world.nursery.start_soon(self._carry, message)

    async def _carry(self, message):
        await trio.sleep(0.001)
        node = self._world.nodes.get(self.address)
        if node is not None:
            node.on_message(message, None, self._reply)

    def _reply(self, message):
        self._world.nodes[self._origin].on_message(
            message, self.address, self.send_soon
        )


class MemoryLinks:
    """Links of one node; a node removed from the world is unreachable."""

    def __init__(self, world, origin):
        self._world = world
        self._origin = origin

    async def acquire(self, address):
        await trio.sleep(0.001)
        if address not in self._world.nodes:
            raise errors.LinkError(errors.ErrorCode.LINK_LOST, 'gone')
        return MemoryLink(self._world, self._origin, address)


class World:
    """A store and nodes that run in one nursery."""

    def __init__(self, nursery, monitor):
        clock = clock_lib.Clock.from_trio()
        self.state = keyvalue.KeyValueState(clock.now)
        self.kv = keyvalue.MemoryKeyValue(self.state)
        self.nodes = {}
        self.nursery = nursery
        self._monitor = monitor
        self.writer = config_writer.ConfigWriter(
            self.kv, clock, random.Random(1)
        )

    def start(self, name, peers):
        node = config_node.ConfigNode(
            name,
            self.kv,
            config_store.Keys(),
            self._monitor,
            random.Random(name),
        )
        node.set_links(MemoryLinks(self, name))
        members = [
            base.Member(peer, 'i', peer, 'central-hills', 'kandy-a', 's')
            for peer in peers
        ]
        node.update_members(members, 'kandy-a')
        self.nodes[name] = node
        self.nursery.start_soon(node.run)
        return node


async def is_admitted(node, timeout_s):
    """Tell whether a node admits work before a timeout."""
    with trio.move_on_after(timeout_s):
        while node.check_admission() is not propagation.AdmissionCheck.ADMIT:
            await trio.sleep(0.01)
        return True
    return False


NAMES = ['a', 'b', 'c', 'd', 'e']


@pytest.fixture
async def world(nursery, monitor):
    world = World(nursery, monitor)
    assert await world.writer.create(FIRST)
    for name in NAMES:
        world.start(name, NAMES)
    await trio.sleep(1)
    return world


async def test_patch_reaches_all_nodes_during_a_store_outage(
    autojump_clock, world
):
    changes = []
    world.nodes['b'].add_change_listener(lambda: changes.append('b'))
    answer = await world.writer.submit(PATCH)
    world.state.take_down()
    assert answer.outcome is config_answers.Outcome.ACCEPTED
    world.nodes['a'].on_accepted(answer)
    await trio.sleep(1)
    for node in world.nodes.values():
        assert node.read_number() == 2
        assert not node.read().is_domain_in_service('kandy-a')
        assert await is_admitted(node, 1)
    assert changes == ['b']


async def test_watch_delivers_an_unannounced_patch(autojump_clock, world):
    await world.writer.submit(PATCH)
    await trio.sleep(1)
    assert {d.read_number() for d in world.nodes.values()} == {2}


async def test_new_node_starts_without_the_store(autojump_clock, world):
    await world.nodes['a'].require_account('guide')
    world.state.take_down()
    node = world.start('f', NAMES)
    assert not node.is_ready()
    assert await is_admitted(node, 3)
    assert node.read_number() == 1
    await node.require_account('guide')
    assert node.read().accounts['guide'].partner == 'a'


async def test_isolated_node_admits_nothing(autojump_clock, world):
    world.state.take_down()
    for name in NAMES[1:]:
        del world.nodes[name]
    await trio.sleep(10)
    assert not await is_admitted(world.nodes['a'], 5)


async def test_account_is_loaded_on_demand(autojump_clock, world):
    node = world.nodes['c']
    with pytest.raises(errors.ConfigError):
        node.read().accounts.get('guide')
    await node.require_account('guide')
    assert node.read().accounts['guide'].partner == 'a'


async def test_announcement_does_not_count_as_a_response(
    autojump_clock, world
):
    node = world.nodes['a']
    world.state.take_down()
    for name in NAMES[1:]:
        del world.nodes[name]
    await trio.sleep(10)
    # Buffered announcements arrive while requests are in flight.
    offer = config_exchange.Offer(node.read_number())
    for name in NAMES[1:]:
        node._pending_queries[100 + len(node._pending_queries)] = (
            name,
            node._clock.now(),
        )
        message = messages.ConfigOffer(
            offer.number, offer.encode(), messages.UNSOLICITED
        )
        node.on_message(message, name, lambda reply: None)
    assert node.check_admission() is propagation.AdmissionCheck.VERIFY


async def test_watch_does_not_replay_known_changes(world):
    changes = []
    watch = world.kv.watch

    def note(prefix, after):
        changes.append(after)
        return watch(prefix, after)

    world.kv.watch = note
    node = world.start('a', ['a'])
    await testing.wait_all_tasks_blocked()
    assert node.is_ready()
    assert changes and all(after > base.ABSENT for after in changes)


async def test_busy_node_renews_before_it_blocks_work(autojump_clock, world):
    node = world.nodes['a']
    assert await is_admitted(node, 1)
    for _ in range(2_000):
        await trio.sleep(0.01)
        assert node.check_admission() is propagation.AdmissionCheck.ADMIT


async def test_number_held_only_by_a_router_is_fetched_from_it(
    autojump_clock, world
):
    answer = await world.writer.submit(PATCH)
    world.state.take_down()
    router = world.start('r', ['r'])
    node = world.nodes['a']
    router.on_accepted(answer)

    def send(message):
        router.on_message(message, None, reply)

    def reply(message):
        node.on_message(message, 'connection/1', send)

    node.add_router('connection/1', send)
    node.observe_number(router.read_number(), 'connection/1')
    await trio.sleep(0.5)
    assert node.read_number() == 2
    node.remove_router('connection/1')
    node.observe_number(3, 'connection/1')
    await trio.sleep(0.5)
    assert node.read_number() == 2
