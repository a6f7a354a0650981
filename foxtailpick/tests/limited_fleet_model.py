"""Simulation of routers that share the rate of an endpoint, in virtual time.

Routers have requests for an endpoint that limits its rate, exchange what they
know through a hub, and may restart, be cut off from the hub, or come to the
fleet.
"""

import random

from foxtailpick.core.dispatch import rate_limits

STEP_MS = 10.0
EXCHANGE_MS = 150.0
# Share of the messages between routers that get lost.
LOSS = 0.05
ANSWER_MS = 60.0
# A restart excuses a router for this time, as the operators state it.
CONTACT_MS = 3_000.0
# When the endpoint begins to name its limit.
STARTED_MS = 1_000.0
ENDPOINT = ('e', '1')


class Router:
    """A router's share of the endpoint.

    :param weight: its share of the requests, relative to the others.
    """

    def __init__(self, weight):
        self.weight = weight
        self.limit = rate_limits.RateLimit()
        self.is_cut_off = False
        self.started_ms = -CONTACT_MS


class Fleet:
    """Routers with requests for one endpoint.

    :param routers: number of routers.
    :param per_s: rate that the endpoint names from a second on.
    :param wanted_per_s: requests that all routers have for it.
    :param seed: seed of the random draws.
    :param is_uneven: whether a quarter of the routers has most requests.
    """

    def __init__(self, routers, per_s, wanted_per_s, seed, is_uneven=False):
        self.rng = random.Random(seed)
        self.per_s = per_s
        self.wanted_per_s = wanted_per_s
        self.now_ms = 0.0
        self.sent_ms = []
        self.routers = [
            Router(9.0 if is_uneven and n % 4 == 0 else 1.0)
            for n in range(routers)
        ]
        self._known = routers
        self._hub = rate_limits.HubLimits()
        self._answers = []

    def restart(self, number):
        """Replace a router by one that knows nothing."""
        self.routers[number] = Router(self.routers[number].weight)
        self.routers[number].started_ms = self.now_ms

    def add(self, count):
        """Add routers that the others don't know of yet."""
        self.routers += [Router(1.0) for _ in range(count)]

    def run(self, until_ms):
        """Simulate until some time."""
        while self.now_ms < until_ms:
            self._read_answers()
            weights = [router.weight for router in self.routers]
            rate = self.wanted_per_s / 1_000 * STEP_MS
            count = int(rate + self.rng.random())
            for router in self.rng.choices(self.routers, weights, k=count):
                self.want(router)
            if self.now_ms % EXCHANGE_MS == 0:
                self._exchange()
            self.now_ms += STEP_MS

    def want(self, router):
        """Send a request of a router, unless the limit is reached."""
        limit = router.limit
        if not limit.is_limited:
            limit.wanted.record(self.now_ms)
        elif not rate_limits.admit(limit, self._known, self.now_ms, self.rng):
            return
        age_ms = self.now_ms - router.started_ms
        is_bound = limit.is_limited and age_ms >= CONTACT_MS
        self.sent_ms.append((self.now_ms, is_bound))
        self._answers.append((self.now_ms, router))

    def _read_answers(self):
        while self._answers and (
            self._answers[0][0] <= self.now_ms - ANSWER_MS
        ):
            sent_ms, router = self._answers.pop(0)
            named = self.per_s if self.now_ms >= STARTED_MS else None
            router.limit.record(named, sent_ms, self.now_ms)

    def _exchange(self):
        for number, router in enumerate(self.routers):
            statement = rate_limits.make_statement(
                ENDPOINT, router.limit, self.now_ms
            )
            if statement is not None and not self._is_lost(router):
                self._hub.record(number, [statement], self.now_ms)
        for statement in self._hub.merge(self.now_ms):
            for router in self.routers:
                if not self._is_lost(router):
                    rate_limits.apply_statement(
                        router.limit, statement, self.now_ms
                    )

    def _is_lost(self, router):
        return router.is_cut_off or self.rng.random() < LOSS

    def count_worst_window(self, window_ms=4_000.0):
        """Return the most requests of routers that are bound by the limit."""
        told = [at_ms for at_ms, is_bound in self.sent_ms if is_bound]
        return max(
            (
                sum(start <= at_ms < start + window_ms for at_ms in told)
                for start in told
            ),
            default=0,
        )
