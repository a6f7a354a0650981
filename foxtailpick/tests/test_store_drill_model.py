"""Model checking of routers that follow a store through drills.

Hypothesis explores sequences of writes, drills, outages and lost answers in
any order, in virtual time. Two routers follow the store with the program's
own client and mirror. `DRILL_EXAMPLES` sets the number of sequences.
"""

import contextlib
import functools
import os
import random

import hypothesis
from hypothesis import strategies as st
import pytest
import trio
import trio.testing

from foxtailpick.platform.standins import store_server
from foxtailpick.tests import gateway_harness
from foxtailpick.tests import store_harness

EXAMPLES = int(os.environ.get('DRILL_EXAMPLES', '40'))
MAX_STEPS = 25
ROUTERS = 2
DOMAINS = ('north', 'south')
ENDPOINTS = ('e0', 'e1', 'e2')
# Longest outage of a drill, and longest time until all is written again.
MAX_AWAY_S = 2.0
MAX_REWRITE_S = 2.0
# Until when all routers agree with a store that doesn't change any more:
# what a copy lacks is kept for 10 s, a watch that is forgotten waits 24 s.
AGREE_S = 30.0


class World:
    """What the operators and the endpoints want, and the store.

    :param standin: the store.
    :param rng: source of the durations.
    """

    def __init__(self, standin, rng):
        self.standin = standin
        self.rng = rng
        self.version = 1
        self.evacuated = set()
        self.states = dict.fromkeys(ENDPOINTS, 'ready')
        self.born = 1_700_000_000_000
        self.births = dict.fromkeys(ENDPOINTS, self.born)
        self.copy = None
        self.rewrite()
        self.copy = standin.take_copy()

    def rewrite(self):
        """Write all that is wanted, and remove the rest."""
        self.put_config()
        for domain in DOMAINS:
            self.put_evacuation(domain)
        for endpoint in ENDPOINTS:
            self.put_endpoint(endpoint)

    def put_config(self):
        cfg = gateway_harness.make_config(self.version)
        self.standin.put('op/config', cfg)

    def put_evacuation(self, domain):
        self._put(f'op/evacuate/{domain}', domain in self.evacuated, {})

    def put_endpoint(self, endpoint):
        state = self.states[endpoint]
        entry = gateway_harness.make_entry(
            'engine',
            ('127.0.0.1', 1 + ENDPOINTS.index(endpoint)),
            zone=DOMAINS[ENDPOINTS.index(endpoint) % 2],
            state=state or 'ready',
            born=self.births[endpoint],
        )
        self._put(f'servers/{endpoint}', state is not None, entry)

    def _put(self, key, is_wanted, value):
        if is_wanted:
            self.standin.put(key, value)
        elif key in self.standin.items:
            self.standin.remove(key)

    async def do(self, step, choice):
        """Run one step.

        :param step: its name.
        :param choice: number that selects what it is done to.
        """
        endpoint = ENDPOINTS[choice % len(ENDPOINTS)]
        domain = DOMAINS[choice % len(DOMAINS)]
        if step == 'configure':
            self.version += 1 + choice
            self.put_config()
        elif step == 'evacuate':
            self.evacuated ^= {domain}
            self.put_evacuation(domain)
        elif step == 'drain' and self.states[endpoint] == 'ready':
            self.states[endpoint] = 'draining'
            self.put_endpoint(endpoint)
        elif step == 'end':
            self.states[endpoint] = None
            self.put_endpoint(endpoint)
        elif step == 'start' and self.states[endpoint] is None:
            self.born += 1
            self.births[endpoint] = self.born
            self.states[endpoint] = 'ready'
            self.put_endpoint(endpoint)
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
        elif step == 'silence':
            self.standin.is_silent = True
            await trio.sleep(self.rng.uniform(0.1, MAX_AWAY_S))
            self.standin.is_silent = False
        elif step == 'wait':
            await trio.sleep(choice + self.rng.random())

    async def _drill(self):
        self.standin.refuse_with = 503
        await trio.sleep(self.rng.uniform(0.1, MAX_AWAY_S))
        self.standin.restore(self.copy)
        self.standin.refuse_with = None
        await trio.sleep(self.rng.uniform(0.0, MAX_REWRITE_S))
        self.rewrite()


STEPS = st.tuples(
    st.sampled_from(
        [
            'configure',
            'evacuate',
            'drain',
            'end',
            'start',
            'copy',
            'drill',
            'forget',
            'refuse',
            'silence',
            'wait',
            'wait',
        ]
    ),
    st.integers(0, 5),
)


class Observer:
    """Checks what a router believes after each change of virtual time."""

    def __init__(self, own, world):
        self.own = own
        self.world = world
        self.version = 0
        self.known = {}
        self.left = {}
        self.out = set()

    def list_usable(self):
        """Return the births of the endpoints that may get work, by id."""
        return {
            item.id: int(item.entry.started)
            for item in self.own.table.list_service('engine')
        }

    def check(self):
        """Check that nothing returns that the world has taken away."""
        version = self.own.cfg.number if self.own.cfg else 0
        assert version >= self.version
        self.version = version
        for endpoint, state in self.world.states.items():
            birth = self.world.births[endpoint]
            item = self.own.table.get(endpoint)
            is_usable = (
                item is not None
                and int(item.entry.started) == birth
                and not item.entry.is_draining
            )
            if is_usable:
                assert self.left.get(endpoint) != birth, endpoint
                self.known[endpoint] = birth
            elif state != 'ready' and self.known.get(endpoint) == birth:
                self.left[endpoint] = birth
        out = {
            domain
            for domain in self.world.evacuated
            if domain in self.own._evacuated
        }
        assert self.out & self.world.evacuated <= out
        self.out = out

    def check_agreement(self):
        """Check that the router agrees with the world."""
        assert self.own.cfg.number == self.world.version
        assert self.own._evacuated == self.world.evacuated
        assert self.list_usable() == {
            endpoint: self.world.births[endpoint]
            for number, endpoint in enumerate(ENDPOINTS)
            if self.world.states[endpoint] == 'ready'
            and DOMAINS[number % 2] not in self.world.evacuated
        }


async def explore(steps, seed):
    """Run a sequence of steps and check the routers throughout."""
    standin = store_server.PlatformStoreStandIn()
    standin.era = 1
    world = World(standin, random.Random(seed))
    observers = []
    with pytest.MonkeyPatch.context() as patch:
        async with contextlib.AsyncExitStack() as stack:
            for number in range(ROUTERS):
                _, store = await stack.enter_async_context(
                    store_harness.open_store(standin, patch)
                )
                own = await stack.enter_async_context(
                    store_harness.follow(
                        store, seed + number, router=f'r{number}'
                    )
                )
                observers.append(Observer(own, world))
            nursery = await stack.enter_async_context(trio.open_nursery())
            nursery.start_soon(watch, observers)
            for step, choice in steps:
                await world.do(step, choice)
            await trio.sleep(AGREE_S)
            for observer in observers:
                observer.check_agreement()
            nursery.cancel_scope.cancel()


async def watch(observers):
    """Check all routers again and again."""
    while True:
        for observer in observers:
            observer.check()
        await trio.sleep(0.02)


def test_no_drill_brings_back_what_was_taken_away(record_property):
    explored = 0

    @hypothesis.settings(max_examples=EXAMPLES, deadline=None)
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
        record_property('steps', explored)
