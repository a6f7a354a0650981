"""Simulation of routers that share the rate of an endpoint, in virtual time.

Routers have requests for an endpoint that limits its rate, and exchange what
they know through a hub. Each selects the hub by itself. Routers may restart,
be cut off from the others, or come to the fleet.
"""

import random

from foxtailpick.core.dispatch import load_exchange
from foxtailpick.core.dispatch import rate_limits

STEP_MS = 10.0
# Share of the messages between routers that get lost.
LOSS = 0.05
ANSWER_MS = 60.0
# A restart excuses a router for this time, as the operators state it.
CONTACT_MS = 3_000.0
# When the endpoint begins to name its limit.
STARTED_MS = 1_000.0
WINDOW_MS = 4_000.0
ENDPOINT = ('e', '1')


class Router:
    """A router's share of the endpoint.

    :param name: its id.
    :param weight: its share of the requests, relative to the others.
    :param now_ms: when it starts.
    """

    def __init__(self, name, weight, now_ms=-CONTACT_MS):
        self.name = name
        self.weight = weight
        self.limit = rate_limits.RateLimit()
        self.selector = load_exchange.HubSelector()
        self.reports = load_exchange.HubReports()
        self.hub_limits = rate_limits.HubLimits()
        self.is_cut_off = False
        self.started_ms = now_ms
        self.sends_at_ms = max(0.0, now_ms)

    def is_up(self, now_ms):
        """Whether its process runs."""
        return self.started_ms <= now_ms


class Fleet:
    """Routers with requests for one endpoint.

    :param routers: number of routers.
    :param per_s: rate that the endpoint names from a second on.
    :param wanted_per_s: requests that all routers have for it.
    :param seed: seed of the random draws.
    :param is_uneven: whether a quarter of the routers has most requests.
    :param loss: share of the messages between routers that get lost.
    """

    def __init__(
        self,
        routers,
        per_s,
        wanted_per_s,
        seed,
        is_uneven=False,
        loss=LOSS,
    ):
        self.rng = random.Random(seed)
        self._loss = loss
        self.per_s = per_s
        self.wanted_per_s = wanted_per_s
        self.now_ms = 0.0
        # Time, router, and whether it knew of the limit.
        self.sent = []
        self.routers = [
            Router(f'router-{n}', 9.0 if is_uneven and n % 4 == 0 else 1.0)
            for n in range(routers)
        ]
        self._listed = [router.name for router in self.routers]
        self._answers = []

    @property
    def hub(self):
        """Number of the router that most routers report to."""
        hubs = [router.selector.hub for router in self.routers]
        hub = max(sorted(set(filter(None, hubs))), key=hubs.count)
        return [router.name for router in self.routers].index(hub)

    def restart(self, number, down_ms=0.0):
        """Replace a router by one that knows nothing.

        :param number: its number.
        :param down_ms: time until it runs again.
        """
        before = self.routers[number]
        self.routers[number] = Router(
            before.name, before.weight, self.now_ms + down_ms
        )

    def add(self, count):
        """Add routers that the others don't know of yet."""
        self.routers += [
            Router(f'new-{n}', 1.0, self.now_ms) for n in range(count)
        ]

    def run(self, until_ms):
        """Simulate until some time."""
        while self.now_ms < until_ms:
            self._read_answers()
            up = [item for item in self.routers if item.is_up(self.now_ms)]
            weights = [router.weight for router in up]
            rate = self.wanted_per_s / 1_000 * STEP_MS
            count = int(rate + self.rng.random())
            for router in self.rng.choices(up, weights, k=count):
                self.want(router)
            for router in up:
                if router.sends_at_ms <= self.now_ms:
                    router.sends_at_ms += (
                        load_exchange.INTERVAL_MS * self.rng.uniform(0.9, 1.1)
                    )
                    self._send(router)
            self.now_ms += STEP_MS

    def want(self, router):
        """Send a request of a router, unless the limit is reached."""
        limit = router.limit
        if not limit.is_limited:
            limit.wanted.record(self.now_ms)
        elif not rate_limits.admit(
            limit, len(self._listed), self.now_ms, self.rng
        ):
            return
        self.sent.append((self.now_ms, router, limit.is_limited))
        self._answers.append((self.now_ms, router))

    def _read_answers(self):
        while self._answers and (
            self._answers[0][0] <= self.now_ms - ANSWER_MS
        ):
            sent_ms, router = self._answers.pop(0)
            named = self.per_s if self.now_ms >= STARTED_MS else None
            router.limit.record(named, sent_ms, self.now_ms)

    def _send(self, router):
        statement = rate_limits.make_statement(
            ENDPOINT, router.limit, self.now_ms
        )
        statements = [] if statement is None else [statement]
        listed = dict.fromkeys([*self._listed, router.name], 1.0)
        name = router.selector.choose(listed, router.name, self.now_ms)
        if name != router.name:
            hub = self._find(name)
            if hub is not None and not self._is_lost(router, hub):
                self._receive(hub, router, statements)
            return
        router.selector.record_message(self.now_ms)
        self._receive(router, router, statements)
        router.reports.sum_counts(self.now_ms)
        totals = router.hub_limits.merge(self.now_ms)
        for name, _ in router.reports.list_routers():
            other = self._find(name)
            if other is None or self._is_lost(router, other):
                continue
            if other.selector.hub != router.name:
                continue
            other.selector.record_message(self.now_ms)
            for statement in totals:
                rate_limits.apply_statement(
                    other.limit,
                    statement,
                    router.hub_limits.router_count,
                    self.now_ms,
                )

    def _receive(self, hub, router, statements):
        hub.reports.record(router.name, 0, {}, self.now_ms)
        if statements or hub is router:
            hub.hub_limits.record(router.name, statements, self.now_ms)
        if hub.selector.hub not in (None, hub.name) and not self._is_lost(
            router, hub
        ):
            router.selector.record_redirect(hub.name, hub.selector.hub)

    def _find(self, name):
        for router in self.routers:
            if router.name == name and router.is_up(self.now_ms):
                return router
        return None

    def _is_lost(self, router, other):
        if router is other:
            return False
        is_cut = router.is_cut_off or other.is_cut_off
        return is_cut or self.rng.random() < self._loss

    def count_worst_window(self, after_ms=0.0):
        """Return the most requests in a window that the limit applies to.

        A router that started shortly before the end of a window doesn't
        count.

        :param after_ms: windows that begin before are passed over.
        """
        told = [
            (at_ms, router.started_ms + CONTACT_MS)
            for at_ms, router, is_told in self.sent
            if is_told and at_ms >= after_ms
        ]
        return max(
            (_count_window(told, end_ms) for end_ms, _ in told), default=0
        )


def _count_window(told, end_ms):
    return sum(
        end_ms - WINDOW_MS < at_ms <= end_ms and bound_ms <= end_ms
        for at_ms, bound_ms in told
    )
