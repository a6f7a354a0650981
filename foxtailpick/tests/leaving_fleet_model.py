"""Simulation of routers while an engine announces that it leaves.

Virtual time. Routers place requests with the program's own tables and learn
of the departure from the heads of answers, from each other through the hub,
or from the store, which lists the engine for some time more.
"""

import dataclasses
import heapq
import itertools
import random
import types

from foxtailpick.core.dispatch import announcements
from foxtailpick.core.dispatch import crash_reports
from foxtailpick.core.dispatch import endpoint_table
from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import placing
from foxtailpick.gateway import announced
from foxtailpick.tests import gateway_harness

EXCHANGE_MS = 150.0
# Share of the messages between routers that get lost.
LOSS = 0.05
REQUESTS_PER_ENGINE_S = 7.5
DOCUMENTS = 200
STARTED_MS = 4_000.0
# Longest time from a change in the store until a router knows it.
STORE_DELAY_MS = 600.0
# How long an engine serves after the store knows that it leaves.
SERVES_MS = 2_200.0
SERVICE = model.Service('engine', 0, 0.0, 0.0)
LEAVING = 'e0'


@dataclasses.dataclass
class Counts:
    """Requests placed at the engine after the first router knew.

    :param reached: all of them.
    :param cut: those that it was still answering when it ended.
    :param late: those that came after its end, and were repeated.
    """

    reached: int = 0
    cut: int = 0
    late: int = 0


class Fleet:
    """Routers and engines, of which one leaves.

    :param routers: number of routers.
    :param engines: number of engines.
    :param tells: whether routers tell each other of the departure.
    :param listed_ms: how long the store lists the engine after its first
        announcement.
    :param serves_ms: how long it serves after that.
    :param seed: seed of the random draws.
    """

    def __init__(self, routers, engines, tells, listed_ms, serves_ms, seed=1):
        self.rng = random.Random(seed)
        self.tells = tells
        self.unlisted_ms = STARTED_MS + listed_ms
        self.ends_ms = self.unlisted_ms + serves_ms
        self.counts = Counts()
        self.known_ms = None
        self.tables = [endpoint_table.EndpointTable() for _ in range(routers)]
        for table in self.tables:
            for number in range(engines):
                self._list(table, f'e{number}')
        self._routers = routers
        self._rate = REQUESTS_PER_ENGINE_S * engines / 1_000
        self._hub = announcements.HubDepartures()
        self._pacers = [crash_reports.Pacer() for _ in range(routers + 1)]
        self._events = []
        self._numbers = itertools.count()

    def run(self):
        """Simulate until the engine has ended, and count."""
        self._at(self._draw_gap(), self._arrive)
        for router in range(self._routers):
            first_ms = self.rng.uniform(0, EXCHANGE_MS)
            self._at(first_ms, self._exchange, router)
            delay_ms = self.rng.uniform(0, STORE_DELAY_MS)
            self._at(self.unlisted_ms + delay_ms, self._unlist, router)
        self.now_ms = 0.0
        while self._events and self.now_ms < self.ends_ms + 1_000.0:
            self.now_ms, _, act, args = heapq.heappop(self._events)
            act(*args)
        return self.counts

    def _at(self, at_ms, act, *args):
        heapq.heappush(self._events, (at_ms, next(self._numbers), act, args))

    def _list(self, table, endpoint, is_draining=False):
        entry = gateway_harness.make_endpoint_entry(
            endpoint, slots=16, is_draining=is_draining
        )
        table.put(entry, 0.0)

    def _unlist(self, router):
        self._list(self.tables[router], LEAVING, is_draining=True)

    def _draw_gap(self):
        return self.rng.expovariate(self._rate)

    def _arrive(self):
        self._at(self.now_ms + self._draw_gap(), self._arrive)
        router = self.rng.randrange(self._routers)
        self._send(router, f'd{int(self.rng.paretovariate(0.6)) % DOCUMENTS}')

    def _send(self, router, prefix, tried=()):
        table = self.tables[router]
        query = placing.Query(
            SERVICE,
            prefix,
            frozenset(tried),
            self._routers,
            self.now_ms,
            table.compute_mean_load('engine'),
        )
        choice = placing.choose_endpoint(
            table.list_service('engine'), query, self.rng
        )
        item = choice.endpoint
        is_counted = item.id == LEAVING and self.known_ms is not None
        self.counts.reached += is_counted
        if item.id == LEAVING and self.now_ms >= self.ends_ms:
            self.counts.late += 1
            # Its closed port pauses it, as in the program.
            item.health.paused_until_ms = self.now_ms + 500.0
            self._send(router, prefix, (LEAVING,))
            return
        item.running += 1
        head_ms = self.now_ms + self.rng.uniform(30, 300)
        end_ms = head_ms + self.rng.uniform(100, 3_000)
        if item.id == LEAVING:
            if end_ms > self.ends_ms:
                self.counts.cut += is_counted
                end_ms = self.ends_ms
            if head_ms < self.ends_ms:
                self._at(head_ms, self._read_head, item)
        self._at(end_ms, self._end, item)

    def _end(self, item):
        item.running -= 1

    def _read_head(self, item):
        if self.now_ms >= STARTED_MS:
            item.announced.record_leaving(self.now_ms)
            if self.known_ms is None:
                self.known_ms = self.now_ms

    def _exchange(self, router):
        """Send the counts to the hub, router 0, or its totals to all."""
        self._at(self.now_ms + EXCHANGE_MS, self._exchange, router)
        self._report(router)
        if router == 0:
            self._send_totals()

    def _report(self, router):
        state = types.SimpleNamespace(table=self.tables[router])
        departures = announced.make_report(
            types.SimpleNamespace(state=state), self.now_ms
        )
        is_due = self._pacers[router].is_due(departures, self.now_ms)
        if self.tells and is_due and not self._is_lost(router):
            self._hub.record(router, departures or (), self.now_ms)

    def _send_totals(self):
        totals = self._hub.merge(self.now_ms)
        is_due = self._pacers[-1].is_due(totals, self.now_ms)
        loads = {}
        for table in self.tables:
            for item in table.list_all():
                loads[item.id] = loads.get(item.id, 0) + item.running
        for router, table in enumerate(self.tables):
            if not self._is_lost(router):
                for item in table.list_all():
                    remote = loads[item.id] - item.running
                    item.set_remote_load(remote, self.now_ms)
            if totals and is_due and not self._is_lost(router):
                table.get(LEAVING).announced.record_told(
                    self.now_ms - totals[0][2]
                )

    def _is_lost(self, router):
        return router > 0 and self.rng.random() < LOSS
