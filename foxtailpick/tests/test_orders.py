"""Tests of desired states and of the order applier, in virtual time."""

import random

import pytest
import trio
import trio.testing

from foxtailpick.adapters import base
from foxtailpick.core import clock as clock_lib
from foxtailpick.core import errors
from foxtailpick.core import invariants
from foxtailpick.core import leases
from foxtailpick.core import order_applier
from foxtailpick.core import orders
from foxtailpick.core import verdict
from foxtailpick.standins import engine_memory
from foxtailpick.standins import engine_state
from foxtailpick.standins import keyvalue

Kind = base.OrderKind
ENDPOINT = 'e1'
PREFIX = '/t/'
MAX_DELIVERY_MS = 2_000.0
PAUSE_S = 60.0
STEPS = 14


class Process:
    """A process that pauses before or after one of its calls."""

    def __init__(self, paused_step=None):
        self.steps = 0
        self.paused_step = paused_step
        self.resumes = 0.0
        self.paused = trio.Event()

    async def step(self):
        self.steps += 1
        if self.steps == self.paused_step:
            self.resumes = trio.current_time() + PAUSE_S
            self.paused.set()
        await trio.sleep_until(max(self.resumes, trio.current_time()))

    def wrap(self, target, names):
        for name in names:
            setattr(target, name, self._wrap_call(getattr(target, name)))
        return target

    def _wrap_call(self, call):
        async def paused_call(*args):
            await self.step()
            result = await call(*args)
            await self.step()
            return result

        return paused_call


class DelayedEngine(engine_memory.MemoryEngine):
    """Delivers an order with a delay, even if its sender was cancelled."""

    def __init__(self, state, nursery):
        super().__init__(state)
        self._nursery = nursery
        self.is_sent = trio.Event()

    async def send_order(self, order):
        self.is_sent.set()
        self._nursery.start_soon(self._deliver, order)
        await trio.sleep(MAX_DELIVERY_MS / 1_000.0)

    async def _deliver(self, order):
        await trio.sleep(MAX_DELIVERY_MS / 1_000.0 - 0.1)
        await super().send_order(order)


class World:
    """A store and the order appliers of one slot."""

    def __init__(self):
        self.store = keyvalue.KeyValueState(clock_lib.Clock.from_trio().now)
        self.order_store = orders.OrderStore(self.open_store(), PREFIX)
        self.monitor = invariants.Monitor(is_strict=True)

    def open_store(self):
        return keyvalue.MemoryKeyValue(self.store)

    def make_applier(self, holder, engine, process=None, is_checking=True):
        kv = self.open_store()
        if process:
            names = ['get', 'transact', 'grant_lease', 'renew_lease']
            kv = process.wrap(kv, [*names, 'revoke_lease'])
            engine = process.wrap(engine, ['send_order'])
        return order_applier.OrderApplier(
            ENDPOINT,
            holder,
            orders.OrderStore(kv, PREFIX),
            kv,
            engine,
            None,
            self.monitor,
            random.Random(1),
            order_applier.ApplyOptions(is_checking, MAX_DELIVERY_MS),
        )


@pytest.fixture
def world():
    return World()


def make_state(is_checking):
    settings = engine_state.EngineSettings(is_checking_fencing=is_checking)
    return engine_state.EngineState(settings)


async def set_role(order_store, role):
    await order_store.issue(ENDPOINT, Kind.SET_ROLE, role, 'op', f'set-{role}')


async def apply_until_done(applier):
    while True:
        try:
            if await applier.apply_once():
                return
        except errors.StoreError:
            await trio.sleep(5.0)


def assert_no_old_order(state):
    assert not any(item.is_outdated for item in state.orders)
    targets = [item.order.target for item in state.orders]
    assert targets == sorted(targets, key=['prefill', 'decode'].index)
    assert state.role == 'decode'


async def test_changes_accumulate_and_are_not_repeated(autojump_clock, world):
    await world.order_store.issue(ENDPOINT, Kind.LOAD_MODEL, 'm', 'op', 'c1')
    await world.order_store.issue(ENDPOINT, Kind.LOAD_ADAPTER, 'a', 'op', 'c2')
    again = await world.order_store.issue(
        ENDPOINT, Kind.LOAD_ADAPTER, 'a', 'op', 'c2'
    )
    assert again.number == 2
    assert orders.plan_steps(again, orders.DesiredState()) == [
        orders.Step(Kind.LOAD_MODEL, 'm'),
        orders.Step(Kind.LOAD_ADAPTER, 'a'),
    ]


@pytest.mark.parametrize('fault', ['lost_replies', 'lost_requests'])
async def test_lost_store_reply_changes_once(autojump_clock, world, fault):
    setattr(world.store.faults, fault, 1)
    await set_role(world.order_store, 'decode')
    assert (await world.order_store.read(ENDPOINT)).number == 1


async def test_store_down_was_not_issued(autojump_clock, world):
    world.store.take_down()
    with pytest.raises(errors.StoreError) as caught:
        await set_role(world.order_store, 'decode')
    assert caught.value.verdict is verdict.Verdict.NOT_RUN


async def test_concurrent_issuers_both_succeed(autojump_clock, world):
    async with trio.open_nursery() as nursery:
        for model in ('m1', 'm2', 'm3'):
            nursery.start_soon(
                world.order_store.issue,
                ENDPOINT,
                Kind.LOAD_MODEL,
                model,
                'op',
                model,
            )
    desired = await world.order_store.read(ENDPOINT)
    assert desired.models == {'m1', 'm2', 'm3'}
    assert desired.number == 3


def test_corrupt_state_is_reported():
    with pytest.raises(errors.StoreError) as caught:
        orders.DesiredState.decode(b'\x01')
    assert caught.value.code is errors.ErrorCode.CONFIG_CORRUPT


async def test_steps_cover_every_call(autojump_clock, world):
    state = make_state(True)
    process = Process()
    await set_role(world.order_store, 'decode')
    engine = engine_memory.MemoryEngine(state)
    await apply_until_done(world.make_applier('a', engine, process))
    assert STEPS <= process.steps < STEPS + 2
    assert state.role == 'decode'


async def resume_paused_holder(paused_step):
    """Pause a lease holder at a step until its successor has finished."""
    world = World()
    state = make_state(True)
    process = Process(paused_step)
    await set_role(world.order_store, 'prefill')
    older, newer = (engine_memory.MemoryEngine(state) for _ in range(2))
    async with trio.open_nursery() as nursery:
        paused = world.make_applier('a', older, process)
        nursery.start_soon(apply_until_done, paused)
        await process.paused.wait()
        await trio.sleep(15.0)
        await set_role(world.order_store, 'decode')
        await apply_until_done(world.make_applier('b', newer))
        assert state.role == 'decode'
    assert_no_old_order(state)


async def replace_stopped_sidecar(stop_step):
    """Stop a sidecar at a step; its endpoint ignores fencing numbers."""
    world = World()
    state = make_state(False)
    process = Process(stop_step)
    await set_role(world.order_store, 'prefill')
    async with trio.open_nursery() as network:
        engine = DelayedEngine(state, network)
        async with trio.open_nursery() as nursery:
            stopped = world.make_applier('a', engine, process, False)
            nursery.start_soon(apply_until_done, stopped)
            await process.paused.wait()
            nursery.cancel_scope.cancel()
        await set_role(world.order_store, 'decode')
        fast = engine_memory.MemoryEngine(state)
        successor = world.make_applier('b', fast, is_checking=False)
        await apply_until_done(successor)
    assert_no_old_order(state)


async def stop_with_order_in_flight(_step):
    """Stop a sidecar, which revokes its lease, before its order arrives."""
    world = World()
    state = make_state(False)
    await set_role(world.order_store, 'prefill')
    async with trio.open_nursery() as network:
        delayed = DelayedEngine(state, network)
        async with trio.open_nursery() as nursery:
            stopped = world.make_applier('a', delayed, None, False)
            nursery.start_soon(apply_until_done, stopped)
            await delayed.is_sent.wait()
            nursery.cancel_scope.cancel()
        await set_role(world.order_store, 'decode')
        fast = engine_memory.MemoryEngine(state)
        successor = world.make_applier('b', fast, is_checking=False)
        await apply_until_done(successor)
    assert_no_old_order(state)
    assert len(state.orders) == 2


CASES = [
    *((resume_paused_holder, step) for step in range(1, STEPS + 1)),
    *((replace_stopped_sidecar, step) for step in range(1, STEPS + 1)),
    (stop_with_order_in_flight, 1),
]


@pytest.mark.parametrize(('scenario', 'step'), CASES)
async def test_no_old_order_after_a_newer(autojump_clock, scenario, step):
    await scenario(step)


def ignore_fencing(patch):
    patch.setattr(leases.Lease, 'fencing', 10**9, raising=False)
    patch.setattr(leases.Lease, '__init__', make_without_fencing)


def make_without_fencing(self, key, fencing, valid_until_ms):
    self.key = key
    self.valid_until_ms = valid_until_ms


def ignore_lease_check(patch):
    ignore_fencing(patch)
    patch.setattr(leases.Lease, 'is_valid', lambda self, now_ms: True)


def skip_second_read(patch):
    ignore_fencing(patch)
    patch.setattr(orders.DesiredState, '__eq__', lambda self, other: True)


def skip_wait_for_older_orders(patch):
    async def wait(self):
        pass

    patch.setattr(order_applier.OrderApplier, '_wait_for_older_orders', wait)


@pytest.mark.parametrize(
    ('defect', 'expected'),
    [
        (ignore_fencing, {('resume_paused_holder', 9)}),
        (
            ignore_lease_check,
            {('resume_paused_holder', 8), ('resume_paused_holder', 9)},
        ),
        (
            skip_second_read,
            {('resume_paused_holder', 2), ('resume_paused_holder', 9)},
        ),
        (skip_wait_for_older_orders, {('stop_with_order_in_flight', 1)}),
    ],
)
def test_defect_is_detected(monkeypatch, defect, expected):
    defect(monkeypatch)
    found = {
        (scenario.__name__, step)
        for scenario, step in CASES
        if is_broken(scenario, step)
    }
    assert found >= expected


def is_broken(scenario, step):
    clock = trio.testing.MockClock(autojump_threshold=0)
    is_found = False
    try:
        trio.run(scenario, step, clock=clock)
    except* (AssertionError, errors.InvariantError):
        is_found = True
    return is_found


async def test_unknown_outcome_keeps_the_lease_for_a_flight(
    autojump_clock, world
):
    class LostEngine(engine_memory.MemoryEngine):
        async def send_order(self, order):
            raise errors.RequestError(
                errors.ErrorCode.ENDPOINT_FAILED,
                'lost',
                verdict.Verdict.MAY_HAVE_RUN,
            )

    await set_role(world.order_store, 'decode')
    applier = world.make_applier('a', LostEngine(make_state(True)))
    started_s = trio.current_time()
    assert not await applier.apply_once()
    assert trio.current_time() - started_s >= MAX_DELIVERY_MS / 1_000.0
    assert applier.applied.role == ''
