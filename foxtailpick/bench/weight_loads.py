"""Loads from the weight store: backoff, jitter, ranks and the schedule.

A failure domain returns and each of its endpoints loads a model, in virtual
time. The weight store refuses loads above its concurrency limit; a refused
endpoint backs off and retries.
"""

import random
import typing

from loguru import logger
import trio
import trio.testing

from foxtailpick.bench import tables
from foxtailpick.core import clock as clock_lib
from foxtailpick.core import types
from foxtailpick.core import weight_loads
from foxtailpick.standins import keyvalue
from foxtailpick.standins import weights

ENDPOINTS = 72
SIZES = (9, 18, 36, 72, 144)
LIMIT = 4
SHORTEST_LOAD_MS = 40_000.0
LONGEST_LOAD_MS = 60_000.0
RETRY_BASE_MS = 1_000.0
RETRY_MAX_MS = 60_000.0
STORE_DELAY_MS = 3.0
# Fraction of endpoints with a stale list that lacks some of the others.
STALE_FRACTION = 0.2
STALE_MISSING = 6
SEED = 5

OPTIONS = weight_loads.LoadOptions(LIMIT, LONGEST_LOAD_MS)

DelayStart = typing.Callable[[int], typing.Awaitable[None]]


class _Simulation:
    """One return of a failure domain.

    :param endpoints: number of endpoints that load.
    """

    def __init__(self, endpoints: int) -> None:
        self.endpoints = endpoints
        self.rng = random.Random(SEED)
        self.source = weights.WeightStoreState(LIMIT, 0.0)
        self.store = keyvalue.KeyValueState(clock_lib.Clock.from_trio().now)
        self.store.faults.delay_ms = STORE_DELAY_MS
        # Drawn in advance because the event loop decides the task order.
        self.load_times_ms = [
            self.rng.uniform(SHORTEST_LOAD_MS, LONGEST_LOAD_MS)
            for _ in range(endpoints)
        ]

    async def run(self, delay_start: DelayStart) -> float:
        """Load at all endpoints and return the time of the last one."""
        async with trio.open_nursery() as nursery:
            for number in range(self.endpoints):
                nursery.start_soon(self._load, number, delay_start)
        return trio.current_time() * types.SECOND_MS

    async def _load(self, number: int, delay_start: DelayStart) -> None:
        load_ms = self.load_times_ms[number]
        await delay_start(number)
        attempts = 0
        while True:
            try:
                await self.source.fetch(load_ms)
                return
            except weights.WeightsBusyError:
                limit_ms = min(RETRY_BASE_MS * 2.0**attempts, RETRY_MAX_MS)
                attempts += 1
                await clock_lib.sleep_ms(self.rng.uniform(0.0, limit_ms))

    async def start_at_once(self, number: int) -> None:
        """Baseline: load at once and back off if refused."""

    async def start_at_random(self, number: int) -> None:
        """Baseline: random start within the time that all loads take."""
        window_ms = self.endpoints * LONGEST_LOAD_MS / LIMIT
        await clock_lib.sleep_ms(self.rng.uniform(0.0, window_ms))

    async def start_by_rank(self, number: int) -> None:
        """Baseline: start determined by the rank in the membership list."""
        rank = number
        if self.rng.random() < STALE_FRACTION:
            rank = max(0, number - self.rng.randint(1, STALE_MISSING))
        await clock_lib.sleep_ms(rank // LIMIT * OPTIONS.span_ms)

    async def start_by_schedule(self, number: int) -> None:
        """Reserve a slot in the schedule for the longest load."""
        await self._reserve(number, LONGEST_LOAD_MS)

    async def start_by_mean_schedule(self, number: int) -> None:
        """Reserve a slot in the schedule for the mean load."""
        await self._reserve(number, (SHORTEST_LOAD_MS + LONGEST_LOAD_MS) / 2)

    async def _reserve(self, number: int, load_ms: float) -> None:
        schedule = weight_loads.WeightSchedule(
            keyvalue.MemoryKeyValue(self.store),
            'loads',
            weight_loads.LoadOptions(LIMIT, load_ms),
            clock_lib.Clock.from_trio(),
            random.Random(number),
        )
        endpoint = types.EndpointId(f'e{number}')
        span = await schedule.reserve(endpoint, self.endpoints)
        await schedule.wait_for_start(span)


APPROACHES = {
    'at once, back off when refused': _Simulation.start_at_once,
    'random start': _Simulation.start_at_random,
    'start by rank, lists differ': _Simulation.start_by_rank,
    'schedule, spans of the longest load': _Simulation.start_by_schedule,
    'schedule, spans of the mean load': _Simulation.start_by_mean_schedule,
}


def measure() -> list[tables.Table]:
    """Measure each approach, and the schedule by number of endpoints.

    :returns: comparison of the approaches, and costs of the schedule by size.
    """
    logger.disable('foxtailpick')
    by_approach = tables.Table(
        f'Loads of {ENDPOINTS} endpoints, {LIMIT} at once, 40 to 60 s each, '
        f'seed {SEED}',
        ('way', 'refused', 'last loaded (s)', 'ideal (s)', 'store calls'),
    )
    for name, approach in APPROACHES.items():
        by_approach.add_row(name, *_run_simulation(ENDPOINTS, approach))
    by_size = tables.Table(
        'The schedule by size, spans of the longest load',
        (
            'endpoints',
            'refused',
            'last loaded (s)',
            'ideal (s)',
            'store calls',
        ),
    )
    for endpoints in SIZES:
        cells = _run_simulation(endpoints, _Simulation.start_by_schedule)
        by_size.add_row(endpoints, *cells)
    logger.enable('foxtailpick')
    return [by_approach, by_size]


def _run_simulation(
    endpoints: int, approach: typing.Callable
) -> tuple[int, float, float, int]:
    async def run() -> tuple[int, float, float, int]:
        simulation = _Simulation(endpoints)
        last_ms = await simulation.run(
            lambda number: approach(simulation, number)
        )
        return (
            simulation.source.refused,
            last_ms / types.SECOND_MS,
            sum(simulation.load_times_ms) / LIMIT / types.SECOND_MS,
            simulation.store.calls.total(),
        )

    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(run, clock=clock)
