"""Simulation of a roll-out at many routers, in virtual time.

Routers send requests to endpoints of two versions, report what they saw to a
hub by messages that are late or lost, and write the state to a store.
"""

import dataclasses
import heapq
import itertools
import math
import random

from foxtailpick.core.dispatch import endpoint_table
from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import rollout_choice
from foxtailpick.core.dispatch import rollout_reports
from foxtailpick.core.dispatch import rollouts

STEP_MS = 10.0
EXCHANGE_MS = 150.0
LOSS = 0.05
SLOTS = 4
# Spread of the speeds of endpoints, and of the latencies of requests.
SPEED_SIGMA = 0.15
LATENCY_SIGMA = 0.4
# Share of the requests and latency of an idle endpoint, by route.
ROUTES = {'a': (0.55, 30.0), 'b': (0.37, 120.0), 'c': (0.08, 70.0)}
OLD, NEW = 'v1', 'v2'


@dataclasses.dataclass
class Load:
    """What is played.

    :param per_s: requests a second.
    :param routers: number of routers.
    :param duration_ms: time given by the order.
    :param endpoints: number of endpoints of each version.
    :param starts_ms: when the new endpoints are ready.
    :param store_ms: time of a call of the store.
    :param is_down: tells whether messages between routers are lost at a time.
    :param find_fault: returns 'fail', 'slow' or None for a request of the
        new version, by the source of random numbers, route, time, and load
        and number of the endpoint.
    :param find_common_fault: the same for requests of both versions.
    :param scale: returns the rate at a time, relative to the usual one.
    """

    per_s: float = 200.0
    routers: int = 4
    duration_ms: float = 40_000.0
    endpoints: int = 12
    new_endpoints: int = 12
    starts_ms: float = 2_000.0
    store_ms: float = 300.0
    keys: int = 300
    is_down: object = lambda now_ms: False
    find_fault: object = lambda rng, route, now_ms, load, number: None
    find_common_fault: object = lambda rng, route, now_ms, load, number: None
    scale: object = lambda now_ms: 1.0


class Fleet:
    """Routers that move a service to another version.

    :param load: what is played.
    :param seed: seed of the random draws.
    """

    def __init__(self, load, seed):
        self.load = load
        self.rng = random.Random(seed)
        self.now_ms = 0.0
        self.order = model.RolloutOrder('o1', 's', NEW, load.duration_ms)
        self.routers = [self._make_rollout() for _ in range(load.routers)]
        self.hub = rollout_reports.HubRollouts()
        self.old = [self._make_endpoint(OLD, n) for n in range(load.endpoints)]
        self.new = [
            self._make_endpoint(NEW, n) for n in range(load.new_endpoints)
        ]
        self._speeds = {
            item.id: math.exp(self.rng.gauss(0.0, SPEED_SIGMA))
            for item in [*self.old, *self.new]
        }
        self.state = model.RolloutState.IN_PROGRESS
        self.written_ms = None
        self.decision = None
        self.sent_ms = []
        self.sent_new_ms = []
        self.bad_ms = []
        self._events = []
        self._numbers = itertools.count()

    def _make_rollout(self):
        return rollouts.Rollout.from_order(self.order, 0.0)

    def _make_endpoint(self, version, number):
        entry = model.EndpointEntry(
            f'{version}-{number}', '1', 's', ('h', number), 'd', SLOTS,
            False, 0.0, version,
        )  # fmt: skip
        return endpoint_table.Endpoint(entry)

    def restart(self, number):
        """Replace a router by one that knows the order only."""
        self.routers[number] = self._make_rollout()

    def run(self, until_ms=None, actions=()):
        """Play until some time, or until the deadline and its margin.

        :param actions: pairs of a time and a function.
        """
        actions = sorted(actions, key=lambda item: item[0])
        last_ms = until_ms or self.load.duration_ms * 1.3
        while self.now_ms < last_ms:
            while actions and actions[0][0] <= self.now_ms:
                actions.pop(0)[1]()
            while self._events and self._events[0][0] <= self.now_ms:
                heapq.heappop(self._events)[2]()
            wanted = self.load.per_s * self.load.scale(self.now_ms) / 1_000
            for _ in range(int(wanted * STEP_MS + self.rng.random())):
                self._send()
            if self.now_ms % EXCHANGE_MS == 0:
                self._exchange()
            self.now_ms += STEP_MS
        return self

    def later(self, delay_ms, call):
        """Call a function after some time."""
        at_ms = self.now_ms + delay_ms
        heapq.heappush(self._events, (at_ms, next(self._numbers), call))

    def list_endpoints(self):
        """Return the endpoints that accept work."""
        if self.state is model.RolloutState.COMPLETED:
            return self.new
        if self.now_ms < self.load.starts_ms:
            return self.old
        return [*self.old, *self.new]

    def _send(self):
        rng = self.rng
        rollout = rng.choice(self.routers)
        weights = [share for share, _ in ROUTES.values()]
        (route,) = rng.choices(list(ROUTES), weights)
        key = (
            None if route == 'c' else f'{route}{rng.randrange(self.load.keys)}'
        )
        found = rollout_choice.select_endpoints(
            rollout, self.list_endpoints(), key, self.now_ms, rng, route
        )
        if not found:
            return
        pair = rng.sample(found, min(2, len(found)))
        endpoint = min(pair, key=lambda item: item.running)
        version = endpoint.entry.version
        rollouts.record_sent(rollout, version, self.now_ms)
        self.sent_ms.append(self.now_ms)
        number = int(endpoint.id.split('-')[1])
        fault = self._find_fault(route, version, endpoint, number)
        if version == NEW:
            self.sent_new_ms.append(self.now_ms)
        busy = endpoint.running / SLOTS
        took_ms = ROUTES[route][1] * math.exp(rng.gauss(0.0, LATENCY_SIGMA))
        took_ms *= self._speeds[endpoint.id]
        took_ms *= 1 + 3 * min(1.0, max(0.0, busy - 0.5))
        if fault == 'slow':
            took_ms *= 4
        endpoint.running += 1
        is_failure = fault == 'fail'

        def end():
            endpoint.running -= 1
            if version == NEW and fault is not None:
                self.bad_ms.append(self.now_ms)
            rollouts.record_outcome(
                rollout, route, version, is_failure, took_ms, self.now_ms,
                endpoint.id,
            )  # fmt: skip

        self.later(took_ms, end)

    def _find_fault(self, route, version, endpoint, number):
        load = endpoint.running / SLOTS
        args = self.rng, route, self.now_ms, load, number
        common = self.load.find_common_fault(*args)
        if version == OLD or common is not None:
            return common
        return self.load.find_fault(*args)

    def _exchange(self):
        for number, rollout in enumerate(self.routers):
            report = rollout_reports.make_report(rollout, self.now_ms)
            for entry in report:
                self._post(self.hub.record, f'r{number}', entry)
        for entry in self.hub.merge(self.now_ms):
            for number in range(len(self.routers)):
                self._post(self._apply_totals, number, entry)
        for rollout in self.routers:
            rollout_choice.observe_endpoints(
                rollout, self.list_endpoints(), len(self.routers), self.now_ms
            )
            decision = rollouts.decide(rollout, self.now_ms)
            if decision.action is not rollouts.Action.WAIT:
                self.later(self.load.store_ms, self._make_write(decision))

    def _post(self, receive, receiver, entry):
        # A router talks to itself without messages.
        is_self = receiver in (0, 'r0')
        is_lost = self.rng.random() < LOSS or self.load.is_down(self.now_ms)
        if is_lost and not is_self:
            return
        message = rollout_reports.decode_reports([entry])
        delay_ms = self.rng.uniform(1.0, 150.0)
        self.later(delay_ms, lambda: receive(receiver, message, self.now_ms))

    def _apply_totals(self, number, message, now_ms):
        rollout_reports.apply_totals(self.routers[number], message, now_ms)

    def _make_write(self, decision):
        states = {
            rollouts.Action.COMPLETE: model.RolloutState.COMPLETED,
            rollouts.Action.ROLL_BACK: model.RolloutState.ROLLED_BACK,
        }

        def write():
            if self.state is not model.RolloutState.IN_PROGRESS:
                return
            self.state = states[decision.action]
            self.written_ms = self.now_ms
            self.decision = decision
            self.later(self.load.store_ms, self._apply_state)

        return write

    def _apply_state(self):
        for rollout in self.routers:
            rollouts.apply_state(rollout, self.state)

    def count_excess(self, share, slack):
        """Return requests of the new version beyond what is tolerated."""
        end_ms = self.load.duration_ms
        sent = sum(at_ms <= end_ms for at_ms in self.sent_ms)
        new = sum(at_ms <= end_ms for at_ms in self.sent_new_ms)
        return new - share * sent - slack

    def count_late(self, limit=50, rollback_ms=5_000.0):
        """Return requests sent too long after so many bad answers."""
        if len(self.bad_ms) < limit:
            return 0
        end_ms = sorted(self.bad_ms)[limit - 1] + rollback_ms
        return sum(at_ms > end_ms for at_ms in self.sent_new_ms)
