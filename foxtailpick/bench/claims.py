"""Store writes per booking and added latency of at-most-once designs."""

import dataclasses
import functools
import random
import typing

from hdrh import histogram
from loguru import logger
import trio

from foxtailpick.adapters import base
from foxtailpick.bench import tables
from foxtailpick.bench import virtual_time
from foxtailpick.core import claim_records
from foxtailpick.core import claims
from foxtailpick.core import clock as clock_lib
from foxtailpick.core import group_commit
from foxtailpick.core import invariants
from foxtailpick.core import jobs
from foxtailpick.core import tickets
from foxtailpick.core import types
from foxtailpick.standins import keyvalue

SEED = 7
STORE_DELAY_MS = 3.0
SERVICE_MS = 20.0
SIDECARS = 100
DEFAULT_FLUSH_INTERVAL_MS = 1_000.0
FINAL_FLUSH_WAIT_MS = 11_000.0
RATES_AND_SECONDS = ((15, 20), (150, 10), (750, 5))
MAX_DELAY_US = 60_000_000
MICROSECONDS_PER_MS = 1_000.0

RunBooking = typing.Callable[
    [claim_records.ClaimKey, claims.Call], typing.Awaitable[object]
]


@dataclasses.dataclass(frozen=True, slots=True)
class Design:
    """A design that runs a booking at most once.

    :param name: row label in the tables.
    :param commit_interval_ms: group commit interval, None for no group commit.
    :param burst: writes that may follow each other at once after idle time.
    :param flush_interval_ms: interval at which results are stored after the
        reply, None to store them before the reply.
    """

    name: str
    commit_interval_ms: float | None = None
    burst: int = 1
    flush_interval_ms: float | None = None


OWN_LEASE = Design('claim, result, own lease')
TICKET = Design('ticket')
DESIGNS = (
    OWN_LEASE,
    Design('claim, result, shared lease'),
    Design('paced 500 ms', 500.0),
    Design('paced 500 ms, burst 3', 500.0, 3),
    Design('paced 150 ms, burst 3, result after 1 s', 150.0, 3, 1_000.0),
    Design('paced 500 ms, burst 3, result after 1 s', 500.0, 3, 1_000.0),
    Design('paced 500 ms, burst 3, result after 5 s', 500.0, 3, 5_000.0),
    Design('paced 1 s, burst 3, result after 5 s', 1_000.0, 3, 5_000.0),
    TICKET,
)


@dataclasses.dataclass(slots=True)
class Result:
    """Results of a run.

    :param bookings: number of bookings.
    :param writes: store writes and lease calls.
    :param before_call: latency added before the call, in microseconds.
    :param total: latency added to the reply, in microseconds.
    """

    bookings: int
    writes: int
    before_call: histogram.HdrHistogram
    total: histogram.HdrHistogram


class _Run:
    """One run of a design at one request rate."""

    def __init__(self, design: Design, rate: int, seconds: int) -> None:
        self.design = design
        self.rate = rate
        self.seconds = seconds
        self.clock = clock_lib.Clock.from_trio()
        self.state = keyvalue.KeyValueState(self.clock.now)
        self.state.faults.delay_ms = STORE_DELAY_MS
        self.monitor = invariants.Monitor(is_strict=True)
        self.before_call = histogram.HdrHistogram(1, MAX_DELAY_US, 3)
        self.total = histogram.HdrHistogram(1, MAX_DELAY_US, 3)
        self.runs = 0

    async def perform(self) -> Result:
        rng = random.Random(SEED)
        count = self.rate * self.seconds
        async with trio.open_nursery() as services:
            run_bookings = [
                await self._start_sidecar(services, number)
                for number in range(SIDECARS)
            ]
            async with trio.open_nursery() as callers:
                for number in range(count):
                    await clock_lib.sleep_ms(
                        rng.expovariate(self.rate) * types.SECOND_MS
                    )
                    callers.start_soon(
                        self._book, rng.choice(run_bookings), number
                    )
            # The results still to be stored count towards the cost.
            await clock_lib.sleep_ms(FINAL_FLUSH_WAIT_MS)
            services.cancel_scope.cancel()
        calls = self.state.calls
        writes = calls[keyvalue.Call.WRITE] + calls[keyvalue.Call.LEASE]
        if self.runs != count:
            raise AssertionError(
                f'{self.runs} runs for {count} bookings; expected one each'
            )
        return Result(count, writes, self.before_call, self.total)

    async def _book(self, run_booking: RunBooking, number: int) -> None:
        start_ms = self.clock.now()

        async def call() -> bytes:
            self.runs += 1
            _record_ms(self.before_call, self.clock.now() - start_ms)
            await clock_lib.sleep_ms(SERVICE_MS)
            return b'booked %d' % number

        key = types.IdempotencyKey(f'k{number}')
        await run_booking(claim_records.ClaimKey('acc', 'svc', key), call)
        _record_ms(self.total, self.clock.now() - start_ms - SERVICE_MS)

    async def _start_sidecar(
        self, services: trio.Nursery, number: int
    ) -> RunBooking:
        owner = claim_records.ClaimOwner(f'e{number}', f'i{number}')
        kv: base.KeyValue = keyvalue.MemoryKeyValue(self.state)
        if self.design is OWN_LEASE:
            return functools.partial(_book_with_own_lease, kv, owner)
        if self.design is TICKET:
            ticket_table = tickets.TicketTable(owner, self.clock, self.monitor)
            return functools.partial(_book_with_ticket, ticket_table)
        if self.design.commit_interval_ms is not None:
            limits = group_commit.CommitLimits(
                self.design.commit_interval_ms, self.design.burst
            )
            kv = group_commit.GroupCommitter(kv, limits)
            await services.start(kv.run)
        engine = claims.ClaimEngine(
            kv,
            owner,
            self.clock,
            self.monitor,
            limits=claims.ClaimLimits(
                is_save_awaited=self.design.flush_interval_ms is None
            ),
        )
        flush_interval_ms = (
            self.design.flush_interval_ms or DEFAULT_FLUSH_INTERVAL_MS
        )
        services.start_soon(_flush_forever, engine, flush_interval_ms)
        return functools.partial(_book_with_claim, engine)


async def _flush_forever(
    engine: claims.ClaimEngine, interval_ms: float
) -> None:
    while True:
        await clock_lib.sleep_ms(interval_ms)
        await engine.flush_pending(jobs.run_concurrently)


async def _book_with_claim(
    engine: claims.ClaimEngine, key: claim_records.ClaimKey, call: claims.Call
) -> None:
    await engine.run_once(key, b'body', call)


async def _book_with_ticket(
    ticket_table: tickets.TicketTable,
    key: claim_records.ClaimKey,
    call: claims.Call,
) -> None:
    ticket = ticket_table.issue()
    key = claim_records.ClaimKey(key.account, key.service, ticket.key)
    await ticket_table.run_once(key, b'body', call)


async def _book_with_own_lease(
    kv: base.KeyValue,
    owner: claim_records.ClaimOwner,
    key: claim_records.ClaimKey,
    call: claims.Call,
) -> None:
    claim = claim_records.Claim(
        claim_records.ClaimState.CLAIMED, key.key, b'digest', owner
    )
    lease = await kv.grant_lease(types.MINUTE_MS)
    claimed = await kv.put_if_absent(key.path, claim.encode(), lease)
    await call()
    await kv.transact(
        [base.Compare(key.path, claimed.revision)],
        [base.Put(key.path, claim.encode(), lease)],
    )


def _record_ms(hist: histogram.HdrHistogram, value_ms: float) -> None:
    hist.record_value(max(1, int(value_ms * MICROSECONDS_PER_MS)))


def _read_ms(hist: histogram.HdrHistogram, percentile: float) -> float:
    return hist.get_value_at_percentile(percentile) / MICROSECONDS_PER_MS


def _run_design(design: Design, rate: int, seconds: int) -> Result:
    async def main() -> Result:
        return await _Run(design, rate, seconds).perform()

    return virtual_time.run(main, SEED)


def measure() -> list[tables.Table]:
    """Measure all designs at all rates, one table per rate."""
    logger.disable('foxtailpick')
    try:
        return [
            _measure_rate(rate, seconds) for rate, seconds in RATES_AND_SECONDS
        ]
    finally:
        logger.enable('foxtailpick')


def _measure_rate(rate: int, seconds: int) -> tables.Table:
    table = tables.Table(
        f'Claims: {rate} bookings/s at {SIDECARS} sidecars, store reply '
        f'{STORE_DELAY_MS:.0f} ms, {seconds} s, seed {SEED}',
        (
            'way',
            'writes a booking',
            'writes/s',
            'before the call p50 ms',
            'p95 ms',
            'p99 ms',
            'reply p50 ms',
            'p95 ms',
            'p99 ms',
        ),
    )
    for design in DESIGNS:
        result = _run_design(design, rate, seconds)
        table.add_row(
            design.name,
            result.writes / result.bookings,
            result.writes / seconds,
            *(
                _read_ms(result.before_call, percentile)
                for percentile in (50, 95, 99)
            ),
            *(
                _read_ms(result.total, percentile)
                for percentile in (50, 95, 99)
            ),
        )
    return table
