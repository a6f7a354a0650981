"""Outcomes of bookings during store faults, with and without claims."""

import collections
import enum
import random
import typing

from hdrh import histogram
from loguru import logger
import trio

from foxtailpick.bench import tables
from foxtailpick.bench import virtual_time
from foxtailpick.core import claim_records
from foxtailpick.core import claims
from foxtailpick.core import clock as clock_lib
from foxtailpick.core import errors
from foxtailpick.core import group_commit
from foxtailpick.core import invariants
from foxtailpick.core import jobs
from foxtailpick.core import tickets
from foxtailpick.core import types
from foxtailpick.core import verdict
from foxtailpick.standins import keyvalue

SEED = 11
SIDECARS = 20
RATE = 30
SECONDS = 20
FAULT_BEGIN_MS = 5_000.0
FAULT_MS = 8_000.0
NORMAL_DELAY_MS = 3.0
SLOW_DELAY_MS = 400.0
UNLIMITED = 1_000_000
SERVICE_MS = 20.0
LOST_ANSWERS = 6
RETRY_MS = 1_000.0
MAX_ATTEMPTS = 15
MAX_REPLY_MS = 600_000


class Fault(enum.Enum):
    """Store fault that lasts `FAULT_MS`."""

    DOWN = 'down'
    SLOW = 'replies after 400 ms'
    LOSES_REPLIES = 'loses all replies to writes'


class Design(enum.Enum):
    """How a booking is prevented from running twice, if at all."""

    NONE = 'no claim, retry on any error'
    CLAIM = 'claim, paced 500 ms, burst 3'
    TICKET = 'ticket'


class _Run:
    """One run of a design under a fault."""

    def __init__(self, design: Design, fault: Fault) -> None:
        self.design = design
        self.fault = fault
        self.rng = random.Random(SEED)
        lost = self.rng.sample(range(RATE * SECONDS), LOST_ANSWERS)
        self.lost = {f'k{number}' for number in lost}
        self.clock = clock_lib.Clock.from_trio()
        self.state = keyvalue.KeyValueState(self.clock.now)
        self.state.faults.delay_ms = NORMAL_DELAY_MS
        self.monitor = invariants.Monitor(is_strict=True)
        self.runs: collections.Counter[str] = collections.Counter()
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.reply = histogram.HdrHistogram(1, MAX_REPLY_MS, 3)
        self.engines: list[claims.ClaimEngine] = []
        self.ticket_tables: list[tickets.TicketTable] = []

    async def perform(self) -> '_Run':
        async with trio.open_nursery() as services:
            for number in range(SIDECARS):
                await self._start_sidecar(services, number)
            services.start_soon(self._inject_fault)
            async with trio.open_nursery() as callers:
                for number in range(RATE * SECONDS):
                    callers.start_soon(self._book, f'k{number}')
                    await clock_lib.sleep_ms(
                        self.rng.expovariate(RATE) * types.SECOND_MS
                    )
            services.cancel_scope.cancel()
        return self

    async def _start_sidecar(
        self, services: trio.Nursery, number: int
    ) -> None:
        owner = claim_records.ClaimOwner(f'e{number}', f'i{number}')
        kv = group_commit.GroupCommitter(keyvalue.MemoryKeyValue(self.state))
        await services.start(kv.run)
        engine = claims.ClaimEngine(kv, owner, self.clock, self.monitor)
        self.engines.append(engine)
        self.ticket_tables.append(
            tickets.TicketTable(owner, self.clock, self.monitor)
        )
        services.start_soon(_flush_forever, engine)

    async def _inject_fault(self) -> None:
        faults = self.state.faults
        await clock_lib.sleep_ms(FAULT_BEGIN_MS)
        if self.fault is Fault.DOWN:
            faults.is_down = True
        elif self.fault is Fault.SLOW:
            faults.delay_ms = SLOW_DELAY_MS
        else:
            faults.lost_replies = UNLIMITED
        await clock_lib.sleep_ms(FAULT_MS)
        faults.is_down = False
        faults.delay_ms = NORMAL_DELAY_MS
        faults.lost_replies = 0

    async def _book(self, name: str) -> None:
        start_ms = self.clock.now()
        perform = self._make_booking(name)
        for _ in range(MAX_ATTEMPTS):
            try:
                await perform()
            except errors.FoxtailError as exc:
                if not self._may_retry(exc):
                    self.outcomes['unknown'] += 1
                    return
                self.outcomes['refusals'] += 1
                await clock_lib.sleep_ms(RETRY_MS)
                continue
            self.outcomes['answered'] += 1
            self.reply.record_value(max(1, int(self.clock.now() - start_ms)))
            return
        self.outcomes['refused'] += 1

    def _may_retry(self, exc: errors.FoxtailError) -> bool:
        return (
            self.design is Design.NONE
            or exc.verdict is verdict.Verdict.NOT_RUN
            or exc.code is errors.ErrorCode.CALL_IN_PROGRESS
        )

    def _make_booking(
        self, name: str
    ) -> typing.Callable[[], typing.Awaitable[object]]:
        async def call() -> bytes:
            return await self._call_service(name)

        if self.design is Design.NONE:
            return call
        if self.design is Design.TICKET:
            ticket_table = self.rng.choice(self.ticket_tables)
            key = claim_records.ClaimKey(
                'acc', 'svc', ticket_table.issue().key
            )
            return lambda: ticket_table.run_once(key, b'body', call)
        # Routers with different membership lists may retry at any sidecar.
        key = claim_records.ClaimKey('acc', 'svc', name)
        return lambda: self.rng.choice(self.engines).run_once(
            key, b'body', call
        )

    async def _call_service(self, name: str) -> bytes:
        await clock_lib.sleep_ms(SERVICE_MS)
        self.runs[name] += 1
        if name in self.lost and self.runs[name] == 1:
            raise errors.RequestError(
                errors.ErrorCode.ENDPOINT_FAILED,
                'connection lost',
                verdict.Verdict.MAY_HAVE_RUN,
            )
        return b'booked'


async def _flush_forever(engine: claims.ClaimEngine) -> None:
    while True:
        await clock_lib.sleep_ms(claims.FLUSH_INTERVAL_MS)
        try:
            await engine.flush_pending(jobs.run_concurrently)
        except errors.StoreError:
            continue


def measure() -> list[tables.Table]:
    """Measure all designs under all faults."""
    table = tables.Table(
        f'{RATE * SECONDS} bookings in {SECONDS} s at {SIDECARS} sidecars, '
        f'store at fault for {FAULT_MS / types.SECOND_MS:.0f} s, '
        f'{LOST_ANSWERS} answers lost by the service, retry each second, '
        f'seed {SEED}',
        (
            'store',
            'way',
            'answered',
            'unknown',
            'refused',
            'retries',
            'keys run twice',
            'reply p50 ms',
            'p95 ms',
        ),
    )
    logger.disable('foxtailpick')
    try:
        for fault in Fault:
            for design in Design:
                _add_row(table, design, fault)
    finally:
        logger.enable('foxtailpick')
    return [table]


def _add_row(table: tables.Table, design: Design, fault: Fault) -> None:
    async def main() -> _Run:
        return await _Run(design, fault).perform()

    run = virtual_time.run(main, SEED)
    table.add_row(
        fault.value,
        design.value,
        run.outcomes['answered'],
        run.outcomes['unknown'],
        run.outcomes['refused'],
        run.outcomes['refusals'],
        sum(count > 1 for count in run.runs.values()),
        run.reply.get_value_at_percentile(50),
        run.reply.get_value_at_percentile(95),
    )
