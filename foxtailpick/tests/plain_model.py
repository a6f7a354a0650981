"""Simulation of plain endpoints that share their machines, in virtual time.

Endpoints run a few requests at once and queue the rest in order. Routers
place requests by counts and paces that they exchange through a hub, and learn
from answers how long work takes. The pace of an endpoint changes meanwhile.
"""

import collections
import dataclasses
import math
import random
import statistics

from foxtailpick.core.dispatch import endpoint_table
from foxtailpick.core.dispatch import load_exchange
from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import pace_exchange
from foxtailpick.core.dispatch import paced_load
from foxtailpick.core.dispatch import placing
from foxtailpick.core.dispatch import request_work
from foxtailpick.core.dispatch import response_timeout
from foxtailpick.tests import gateway_harness

TICK_MS = 5.0
SLOTS = 6
EXCHANGE_MS = 150.0
MEDIAN_WORK_MS = 80.0
TARGET_MS = 408.0
# Guaranteed limit of an endpoint's load: a multiple of the mean load of all
# endpoints plus a number of requests.
LIMIT_MULTIPLE = 2
LIMIT_SLACK = 3
SERVICE = model.Service('engine', 190, 0.0, 0.0)


@dataclasses.dataclass(eq=False)
class Request:
    """A request and its outcome."""

    arrived_ms: float
    work_ms: float
    router: int
    has_queued: bool = False
    done_ms: float = math.inf
    is_above_limit: bool = False
    is_safe: bool = False
    endpoints: list = dataclasses.field(default_factory=list)
    hedge_ms: float = math.inf

    @property
    def took_ms(self):
        """Time to the answer."""
        return self.done_ms - self.arrived_ms


class Server:
    """An endpoint that runs `SLOTS` requests at once."""

    def __init__(self, compute_pace):
        self.compute_pace = compute_pace
        # Work left of the requests that it holds, in order.
        self.held = {}

    def advance(self, now_ms):
        """Simulate one tick; return the requests that ended."""
        pace = self.compute_pace(now_ms)
        for request in list(self.held)[:SLOTS]:
            self.held[request] -= TICK_MS / pace
        return [request for request, left in self.held.items() if left <= 0]


class Router:
    """State of one simulated router."""

    def __init__(self, endpoints, seed):
        self.table = endpoint_table.EndpointTable()
        for name in endpoints:
            entry = gateway_harness.make_endpoint_entry(name, slots=SLOTS)
            self.table.put(entry, 0.0)
        self.rng = random.Random(seed)
        self.usual = request_work.UsualValue()
        self.first_byte = response_timeout.FirstByteEstimate()
        self.counts = load_exchange.SentCounts()
        self.paces = pace_exchange.SentPaces()


class Simulation:
    """Routers that share plain endpoints.

    :param paces: function of the time by endpoint, which returns its pace.
    :param learns: whether routers learn paces.
    :param mean_run_ms: run time by which requests are placed.
    :param hedges_early: whether safe requests are sent elsewhere to be in
        time, and not only if they take far longer than others.
    """

    def __init__(
        self,
        paces,
        routers=10,
        learns=True,
        hedges_early=True,
        mean_run_ms=MEDIAN_WORK_MS,
    ):
        self.servers = {
            f'e{number}': Server(pace) for number, pace in enumerate(paces)
        }
        self.routers = [Router(self.servers, seed) for seed in range(routers)]
        self.learns = learns
        self.hedges_early = hedges_early
        self.mean_run_ms = mean_run_ms
        self._hub_counts = load_exchange.HubReports()
        self._hub_paces = pace_exchange.HubPaces()
        rng = random.Random(routers)
        self._due_ms = [rng.uniform(0, EXCHANGE_MS) for _ in self.routers]

    def run(self, requests):
        """Simulate requests until the last has ended; return them."""
        pending = collections.deque(requests)
        now_ms = 0.0
        while pending or any(item.held for item in self.servers.values()):
            self._exchange(now_ms)
            while pending and pending[0].arrived_ms <= now_ms:
                self._place(pending.popleft(), now_ms)
            for name, server in self.servers.items():
                for request in server.advance(now_ms):
                    self._end(request, name, now_ms)
            self._hedge(now_ms)
            now_ms += TICK_MS
        return requests

    def _exchange(self, now_ms):
        for number, router in enumerate(self.routers):
            if now_ms < self._due_ms[number]:
                continue
            self._due_ms[number] += EXCHANGE_MS
            sequence, counts = router.counts.next_counts(router.table)
            self._hub_counts.record(number, sequence, counts, now_ms)
            sequence, paces = router.paces.next_report(router.table, now_ms)
            self._hub_paces.record(number, sequence, paces, now_ms)
            if number == 0:
                self._send_totals(now_ms)

    def _send_totals(self, now_ms):
        sums = self._hub_counts.sum_counts(now_ms)
        for number, sequence in self._hub_counts.list_routers():
            router = self.routers[number]
            router.counts.apply_counts(router.table, sums, sequence, now_ms)
        paces = self._hub_paces.merge(now_ms)
        for number, sequence in self._hub_paces.list_routers():
            router = self.routers[number]
            router.paces.apply_totals(router.table, paces, sequence, now_ms)

    def _place(self, request, now_ms):
        router = self.routers[request.router]
        query = placing.Query(
            SERVICE,
            None,
            frozenset(request.endpoints),
            len(self.routers),
            now_ms,
            router.table.compute_mean_load(SERVICE.name),
            mean_run_ms=self.mean_run_ms,
        )
        endpoint = placing.choose_endpoint(
            router.table.list_service(SERVICE.name), query, router.rng
        ).endpoint
        request.has_queued = endpoint.load >= SLOTS
        endpoint.running += 1
        server = self.servers[endpoint.id]
        loads = [len(item.held) for item in self.servers.values()]
        request.is_above_limit = len(server.held) > (
            LIMIT_MULTIPLE * statistics.mean(loads) + LIMIT_SLACK
        )
        server.held[request] = request.work_ms
        request.endpoints.append(endpoint.id)
        if request.is_safe and len(request.endpoints) == 1:
            hedge_ms = router.first_byte.compute_timeout_ms(TARGET_MS, False)
            if self.hedges_early:
                early_ms = response_timeout.compute_hedge_ms(
                    router.usual, TARGET_MS
                )
                hedge_ms = min(hedge_ms, early_ms or hedge_ms)
            request.hedge_ms = now_ms + hedge_ms

    def _hedge(self, now_ms):
        due = {
            request
            for server in self.servers.values()
            for request in server.held
            if now_ms >= request.hedge_ms and len(request.endpoints) == 1
        }
        for request in due:
            self._place(request, now_ms)

    def _end(self, request, name, now_ms):
        router = self.routers[request.router]
        request.done_ms = min(request.done_ms, now_ms)
        for other in request.endpoints:
            if self.servers[other].held.pop(request, None) is not None:
                router.table.get(other).running -= 1
        sent_ms = request.arrived_ms
        if name != request.endpoints[0]:
            sent_ms = request.hedge_ms
        took_ms = max(TICK_MS, now_ms - sent_ms)
        router.first_byte.observe(took_ms)
        if self.learns and not request.has_queued:
            paced_load.record_answer(
                router.usual,
                router.table.get(name),
                router.table.list_all(),
                took_ms,
                now_ms,
            )


def make_noise(seed, share=0.15, multiple=2.5, every_ms=600.0):
    """Return a pace that is drawn anew at intervals."""
    rng = random.Random(seed)
    drawn = []

    def compute(now_ms):
        while len(drawn) <= now_ms / every_ms:
            drawn.append(multiple if rng.random() < share else 1.0)
        return drawn[int(now_ms / every_ms)]

    return compute


def make_slow(multiple=5.0, from_ms=5_000.0, until_ms=11_500.0):
    """Return a pace that is slow for a while."""
    return lambda now_ms: multiple if from_ms <= now_ms < until_ms else 1.0


def make_requests(
    rate_per_s, seed, length_s=16, routers=10, clump=3, safe_share=0.0
):
    """Generate requests that come in clumps, with log-normal work."""
    rng = random.Random(seed)
    requests = []
    at_ms = 0.0
    while at_ms < length_s * 1_000:
        at_ms += rng.expovariate(rate_per_s / clump) * 1_000
        for _ in range(clump):
            work_ms = rng.lognormvariate(math.log(MEDIAN_WORK_MS), 0.5)
            router = rng.randrange(routers)
            is_safe = rng.random() < safe_share
            requests.append(Request(at_ms, work_ms, router, is_safe=is_safe))
    return requests


def compute_late_share(requests):
    """Return the share of the requests that were answered too late."""
    late = sum(request.took_ms > TARGET_MS for request in requests)
    return late / len(requests)
