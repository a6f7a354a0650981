"""Model checking of what routers write about roll-outs.

Hypothesis explores sequences of orders, verdicts and faults in virtual time.
Several routers carry out the orders with the program's own client, mirror and
keeper; their verdicts are set by the steps. Writes may be lost or executed
late, and routers killed, frozen or cut off at any of them.
`ROLLOUT_EXAMPLES` sets the number of sequences.
"""

import base64
import collections
import contextlib
import dataclasses
import functools
import json
import os
import random

import hypothesis
from hypothesis import strategies as st
import pytest
import trio
import trio.testing

from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import rollouts as rollouts_lib
from foxtailpick.core import errors
from foxtailpick.gateway import daemon
from foxtailpick.gateway import decision_log
from foxtailpick.gateway import mirror
from foxtailpick.gateway import rollouts
from foxtailpick.gateway import settings
from foxtailpick.platform import items
from foxtailpick.platform.standins import rollout_operator
from foxtailpick.platform.standins import store_server
from foxtailpick.platform import store as store_lib
from foxtailpick.tests import gateway_harness
from foxtailpick.tests import store_harness

EXAMPLES = int(os.environ.get('ROLLOUT_EXAMPLES', '40'))
MAX_STEPS = 25
ROUTERS = 4
LARGE_FLEET = 68
SERVICE = 'plain'
VERSIONS = ('v2', 'v3')
# Longer than a run, so that only the steps decide.
DURATION_S = 3_600
MAX_AWAY_S = 2.0
MAX_REWRITE_S = 2.0
# A lost call may be executed this much later.
MAX_LATE_S = 6.0
# Until when all routers agree: what a copy lacks is kept for 10 s, and a
# watch that is forgotten waits 24 s.
AGREE_S = 45.0
FINAL = ('completed', 'rolled_back')


class FaultyStore:
    """A client of the store whose next write may go wrong.

    :param store: the client.
    :param rng: source of the durations.
    :param nursery: runs calls that are executed late.
    """

    def __init__(self, store, rng, nursery):
        self._store = store
        self._rng = rng
        self._nursery = nursery
        self.fault = None

    def __getattr__(self, name):
        return getattr(self._store, name)

    async def transact(self, compares, writes):
        """Write, as the next fault has it."""
        is_rollout = any(
            item.key.startswith(items.LAYOUT.rollout_prefix) for item in writes
        )
        if not is_rollout:
            return await self._store.transact(compares, writes)
        fault, self.fault = self.fault, None
        if fault == 'freeze':
            # Between its decision and its call.
            await trio.sleep(self._rng.uniform(0.1, MAX_LATE_S))
        if fault == 'late':
            self._nursery.start_soon(self._transact_late, compares, writes)
            raise self._make_error()
        result = await self._store.transact(compares, writes)
        if fault == 'lose':
            raise self._make_error()
        return result

    async def _transact_late(self, compares, writes):
        await trio.sleep(self._rng.uniform(0.1, MAX_LATE_S))
        with contextlib.suppress(errors.StoreError):
            # As the store does it by itself, whoever has called.
            with store_lib.PlatformStore(('store', 1)) as late:
                await late.transact(compares, writes)

    def _make_error(self):
        return errors.StoreError(
            errors.ErrorCode.STORE_OUTCOME_UNKNOWN,
            'expected an answer, got none',
        )


class Router:
    """A router that carries out orders.

    :param number: its number; the first one is the hub.
    :param seed: seed of its random numbers.
    """

    def __init__(self, number, seed):
        self.number = number
        self.name = f'r{number}'
        self.seed = seed
        self.verdict = None
        self.scope = None
        self.gw = None
        self.store = None
        self.keeper = None

    async def run(self, nursery):
        """Run until killed, and start again."""
        while True:
            with trio.CancelScope() as self.scope:
                await self._run_process(nursery)
            await trio.sleep(0.2)

    async def _run_process(self, outer):
        rng = random.Random(self.seed)
        log = decision_log.DecisionLog(store_harness.now_ms, len)
        any_port = gateway_harness.ANY_PORT
        cfg = settings.GatewaySettings(self.name, 'north', *[any_port] * 5)
        with store_lib.PlatformStore(('store', 1)) as client:
            self.verdict = None
            self.store = FaultyStore(client, rng, outer)
            self.gw = daemon.make_gateway(
                cfg, None, log, store_harness.now_ms, rng
            )
            follower = mirror.Mirror(
                self.store,
                self.gw.state,
                items.LAYOUT,
                store_harness.now_ms,
                log,
                rng,
            )
            self.keeper = rollouts.RolloutKeeper(
                self.gw,
                follower,
                self.store,
                items.LAYOUT,
                lambda: self.number == 0,
                store_harness.now_ms,
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    follower.run, items.make_router_key(self.name), b'{}'
                )
                nursery.start_soon(self.keeper.run)
                nursery.start_soon(self._expire)

    async def _expire(self):
        while True:
            await trio.sleep(store_harness.EXPIRY_INTERVAL_S)
            self.gw.state.expire()

    def list_agreed(self):
        """Return the final states that it knows, by order."""
        if self.keeper is None:
            return {}
        return {
            order: state.value
            for order, state in self.keeper.list_agreed().items()
        }


class World:
    """The operators, the store and the routers.

    :param standin: the store.
    :param rng: source of the durations.
    :param seed: seed of the routers' random numbers.
    :param count: number of routers.
    """

    def __init__(self, standin, rng, seed, count=ROUTERS):
        self.standin = standin
        self.rng = rng
        self.operator = rollout_operator.RolloutOperator(standin)
        self.routers = [Router(n, seed + n) for n in range(count)]
        self.version = None
        # Final states by order, in each era.
        self.finals = {}
        standin.put('op/config', gateway_harness.make_config())
        for number, version in enumerate(('v1', *VERSIONS)):
            entry = gateway_harness.make_entry(
                SERVICE, ('127.0.0.1', 1 + number), version=version
            )
            standin.put(f'servers/{version}', entry)
        self.copy = standin.take_copy()
        self._put = standin.put
        standin.put = self.put

    def put(self, key, value, lease=0):
        """Write to the store, and check what routers write."""
        if key == items.LAYOUT.rollout_prefix + SERVICE:
            self.check_write(json.loads(value))
        self._put(key, value, lease)

    def check_write(self, record):
        """Check that an order has one outcome."""
        order, state = record['order'], record['state']
        finals = self.finals.setdefault(self.standin.era, {})
        before = finals.get(order)
        assert before is None, (order, before, state)
        if state in FINAL:
            finals[order] = state
        for router in self.routers:
            # What a router knew of an earlier era, and had the time to write.
            known = router.list_agreed().get(order, state)
            if state in FINAL:
                assert known == state, (order, router.name, known, state)

    def decide(self, original, rollout, now_ms):
        """Decide as the steps say."""
        decision = original(rollout, now_ms)
        if rollout.state is not model.RolloutState.IN_PROGRESS:
            return decision
        for router in self.routers:
            if router.gw and router.gw.rollouts.get(SERVICE) is rollout:
                if router.verdict == rollout.order.version + '-good':
                    return dataclasses.replace(
                        decision, action=rollouts_lib.Action.COMPLETE
                    )
                if router.verdict == rollout.order.version + '-bad':
                    return dataclasses.replace(
                        decision, action=rollouts_lib.Action.ROLL_BACK
                    )
        return decision

    async def do(self, step, choice):
        """Run one step.

        :param step: its name.
        :param choice: number that selects what it is done to.
        """
        router = self.routers[choice % ROUTERS]
        version = VERSIONS[choice % len(VERSIONS)]
        if step == 'order':
            self.version = version
            self.operator.order(SERVICE, version, DURATION_S)
        elif step == 'withdraw' and self.version is not None:
            self.version = None
            self.operator.withdraw(SERVICE)
        elif step in ('good', 'bad') and self.version is not None:
            router.verdict = f'{self.version}-{step}'
        elif step in ('lose', 'late', 'freeze') and router.store:
            router.store.fault = step
        elif step == 'kill' and router.scope:
            router.scope.cancel()
        elif step == 'copy':
            self.copy = self.standin.take_copy()
        elif step == 'drill':
            await self._drill()
        elif step == 'forget':
            self.standin.history_from = self.standin.revision
        elif step == 'refuse':
            self.standin.refuse_with = 503
            await trio.sleep(self.rng.uniform(0.1, MAX_AWAY_S))
            self.standin.refuse_with = None
        elif step == 'wait':
            await trio.sleep(choice / 2 + self.rng.random())

    async def _drill(self):
        self.standin.refuse_with = 503
        await trio.sleep(self.rng.uniform(0.1, MAX_AWAY_S))
        self.standin.restore(self.copy)
        self.standin.refuse_with = None
        await trio.sleep(self.rng.uniform(0.0, MAX_REWRITE_S))
        # The operators write again what they want.
        key = rollout_operator.ORDER_PREFIX + SERVICE
        if self.version is not None:
            self.operator.order(SERVICE, self.version, DURATION_S)
        elif key in self.standin.items:
            self.operator.withdraw(SERVICE)

    def check_agreement(self):
        """Check that all routers follow the record of the latest order."""
        key = rollout_operator.ORDER_PREFIX + SERVICE
        if key not in self.standin.items:
            return
        record = self._read(items.LAYOUT.rollout_prefix + SERVICE)
        revision = self.standin.items[key]['revision']
        assert record['order'].startswith(f'{revision}:'), record
        status = self._read(rollout_operator.STATUS_PREFIX + SERVICE)
        assert status == {'state': record['state'], 'to': record['version']}
        for router in self.routers:
            rollout = router.gw.rollouts[SERVICE]
            assert rollout.order.id == record['order']
            assert rollout.state.value == record['state'], router.name
            if router.verdict == rollout.order.version + '-bad':
                assert record['state'] in FINAL

    def _read(self, key):
        return json.loads(base64.b64decode(self.standin.items[key]['value']))


STEPS = st.tuples(
    st.sampled_from(
        [
            'order',
            'order',
            'withdraw',
            'good',
            'good',
            'bad',
            'bad',
            'lose',
            'late',
            'freeze',
            'kill',
            'copy',
            'drill',
            'forget',
            'refuse',
            'wait',
            'wait',
        ]
    ),
    st.integers(0, 5),
)


async def explore(steps, seed):
    """Run a sequence of steps; routers' writes are checked throughout."""
    standin = store_server.PlatformStoreStandIn()
    standin.era = 1
    world = World(standin, random.Random(seed), seed)
    original = rollouts_lib.decide
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(
            rollouts_lib,
            'decide',
            functools.partial(world.decide, original),
        )
        async with (
            store_harness.open_store(standin, patch),
            trio.open_nursery() as nursery,
        ):
            for router in world.routers:
                nursery.start_soon(router.run, nursery)
            await trio.sleep(1)
            for step, choice in steps:
                await world.do(step, choice)
            await trio.sleep(AGREE_S)
            world.check_agreement()
            nursery.cancel_scope.cancel()


def run_examples(examples, record_property=None):
    """Explore sequences of steps."""
    explored = 0

    @hypothesis.settings(max_examples=examples, deadline=None)
    @hypothesis.given(
        st.lists(STEPS, min_size=5, max_size=MAX_STEPS), st.integers(0, 999)
    )
    def run(steps, seed):
        nonlocal explored
        explored += len(steps)
        trio.run(
            functools.partial(explore, steps, seed),
            clock=trio.testing.MockClock(autojump_threshold=0),
        )

    try:
        run()
    finally:
        if record_property is not None:
            record_property('steps', explored)


def test_an_order_has_one_outcome(record_property):
    run_examples(EXAMPLES, record_property)


async def transact_always(store, compares, writes):
    """Write without the conditions."""
    return await TRANSACT(store, [], writes)


TRANSACT = store_lib.PlatformStore.transact


# One router finds the version good, and its write is executed late; another
# one finds it bad.
CONTRADICTION = [
    ('order', 0),
    ('wait', 1),
    ('late', 0),
    ('good', 0),
    ('wait', 0),
    ('bad', 1),
    ('wait', 5),
    ('wait', 5),
]


def explore_contradiction(seed):
    """Run the sequence in which two routers contradict each other.

    Both write at the same moment, without the time to leave old endpoints.
    """
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(rollouts_lib, 'LEAVE_PART', 0.0)
        trio.run(
            functools.partial(explore, CONTRADICTION, seed),
            clock=trio.testing.MockClock(autojump_threshold=0),
        )


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_first_verdict_stays(seed):
    explore_contradiction(seed)


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_write_without_its_condition_is_found(monkeypatch, seed):
    monkeypatch.setattr(store_lib.PlatformStore, 'transact', transact_always)
    with pytest.raises(BaseException) as found:
        explore_contradiction(seed)
    assert found.group_contains(AssertionError)


async def count_calls(kind):
    """Return the calls of a large fleet for an order, by kind.

    :param kind: verdict of all routers, at the same moment.
    """
    standin = store_server.PlatformStoreStandIn()
    standin.era = 1
    world = World(standin, random.Random(1), 1, LARGE_FLEET)
    original = rollouts_lib.decide
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(
            rollouts_lib, 'decide', functools.partial(world.decide, original)
        )
        async with (
            store_harness.open_store(standin, patch),
            trio.open_nursery() as nursery,
        ):
            for router in world.routers:
                nursery.start_soon(router.run, nursery)
            await trio.sleep(8)
            calls = collections.Counter(standin.calls)
            await world.do('order', 0)
            await trio.sleep(3)
            for router in world.routers:
                router.verdict = f'{world.version}-{kind}'
            await trio.sleep(10)
            world.check_agreement()
            after = collections.Counter(standin.calls)
            nursery.cancel_scope.cancel()
    after.subtract(calls)
    return after


@pytest.mark.parametrize('kind', ['good', 'bad'])
def test_large_fleet_calls_the_store_rarely(kind):
    calls = trio.run(
        count_calls,
        kind,
        clock=trio.testing.MockClock(autojump_threshold=0),
    )
    # The hub writes both states; few others try before they see it.
    assert 2 <= calls['kv-txn'] <= 2 + LARGE_FLEET // 10
    assert calls['kv-key'] <= 2 * calls['kv-txn'] + LARGE_FLEET // 10
    # A watch of the records and one of the orders, each asked anew after the
    # order, the first record and the final one, and once without a change.
    assert calls['kv-watch'] <= 5 * LARGE_FLEET
