"""Load while a failure domain returns with engines that are still cold.

If returned engines count in the mean load at once, they lower it. The other
engines then exceed the load bound and redirect requests to the returned ones.
"""

import collections

from foxtailpick.bench import load
from foxtailpick.bench import load_runs
from foxtailpick.bench import tables

FLEET = load_runs.Fleet(24, 9, 8_000.0)
RETURNED = 8
SECOND_MS = 1_000.0


class ReturnSimulation(load_runs.Simulation):
    """A run in which a third of the engines returns after the warm-up.

    :param report_delay_ms: delay until returned engines report their load.
    """

    def __init__(self, report_delay_ms: float) -> None:
        super().__init__(FLEET, load.make_bounded(), True)
        self._returned = frozenset(self.names[-RETURNED:])
        self._report_from_ms = load_runs.WARM_UP_MS + report_delay_ms
        self._now_ms = 0.0
        self._starts: collections.Counter = collections.Counter()

    @property
    def max_starts_per_s(self) -> int:
        """Maximum number of requests per second at a returned engine."""
        return max(self._starts.values())

    def list_reporting_engines(self, now_ms: float) -> list[load_runs.Engine]:
        self._now_ms = now_ms
        if now_ms >= self._report_from_ms:
            return super().list_reporting_engines(now_ms)
        engines = super().list_reporting_engines(now_ms)
        return [e for e in engines if e.endpoint not in self._returned]

    def order_endpoints(self, chat, eligible, missing):
        if self._now_ms < load_runs.WARM_UP_MS:
            missing = missing | self._returned
        return super().order_endpoints(chat, eligible, missing)

    def place(
        self, engine: load_runs.Engine, arrival: load_runs.Arrival
    ) -> None:
        super().place(engine, arrival)
        if engine.endpoint in self._returned:
            second = int(arrival.now_ms / SECOND_MS)
            self._starts[engine.endpoint, second] += 1


def measure() -> list[tables.Table]:
    """Compare counting returned engines at once and once they are warm."""
    table = tables.Table(
        f'A domain of {RETURNED} of {FLEET.engines} engines returns, first '
        f'{FLEET.measured_ms / SECOND_MS:.0f} s, seed {load_runs.SEED}',
        (
            'returned engines count',
            'tries a request',
            'refused everywhere %',
            'most requests in a second at a returned engine',
        ),
    )
    for name, delay_ms in (('at once', 0.0), ('when warm', 10_000.0)):
        sim = ReturnSimulation(delay_ms)
        result = sim.run()
        table.add_row(
            name,
            result.attempts / result.requests,
            100.0 * result.refused / result.requests,
            sim.max_starts_per_s,
        )
    return [table]
