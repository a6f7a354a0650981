"""Deadline-based rejection under overload against other queues."""

import collections
import dataclasses
import random

from foxtailpick.bench import batching
from foxtailpick.bench import shares
from foxtailpick.bench import tables
from foxtailpick.core import account_queue
from foxtailpick.core import fair_share
from foxtailpick.core import types

SEED = 23
LIMIT = 88
CAPACITY_PER_S = 8.5
END_MS = 90.0 * types.SECOND_MS
SWEEP_MS = 100.0
TOKEN_MS = 33.0
MAX_WAIT_MS = 5.0 * types.SECOND_MS
WORKLOAD = shares.Workload(400, 300)


@dataclasses.dataclass(slots=True)
class _Counts:
    sent: int = 0
    in_time: int = 0
    late: int = 0
    refused_waits_ms: list[float] = dataclasses.field(default_factory=list)

    @property
    def refused_on_arrival(self) -> int:
        return sum(wait_ms == 0.0 for wait_ms in self.refused_waits_ms)


def measure() -> list[tables.Table]:
    """Measure the outcomes of requests at several loads."""
    return [_measure_load(load) for load in (0.9, 1.05, 1.3, 2.0)]


def _measure_load(load: float) -> tables.Table:
    table = tables.Table(
        f'Requests that may wait {MAX_WAIT_MS / types.SECOND_MS:g} s at '
        f'{100 * load:.0f} % load, ten accounts, {LIMIT} slots, seed {SEED}',
        (
            'policy',
            'sent',
            'answered in time',
            'answered late',
            'refused on arrival',
            'refused while waiting',
            'p95 wait of the refused (ms)',
        ),
    )
    options = fair_share.FairQueueOptions()
    for name, scheduler, has_deadlines in (
        ('FIFO', shares.Fifo(), False),
        (
            'fair queue without deadlines',
            fair_share.FairQueue(options, shares.SURGE_SHARES.__getitem__),
            False,
        ),
        (
            'fair queue with deadlines',
            fair_share.FairQueue(options, shares.SURGE_SHARES.__getitem__),
            True,
        ),
    ):
        counts = _run(scheduler, has_deadlines, load)
        waits_ms = sorted(counts.refused_waits_ms) or [0.0]
        table.add_row(
            name,
            counts.sent,
            counts.in_time,
            counts.late,
            counts.refused_on_arrival,
            len(counts.refused_waits_ms) - counts.refused_on_arrival,
            waits_ms[int(0.95 * (len(waits_ms) - 1))],
        )
    return table


def _run(
    scheduler: batching.Scheduler, has_deadlines: bool, load: float
) -> _Counts:
    rng = random.Random(SEED)
    engine = batching.BatchingEngine(
        scheduler, LIMIT, isinstance(scheduler, fair_share.FairQueue)
    )
    arrivals = collections.deque(_make_arrivals(load, has_deadlines, rng))
    deadlines_ms = {}
    counts = _Counts()
    last_sweep_ms = 0.0
    while engine.now_ms < END_MS:
        while arrivals and arrivals[0].arrived_ms <= engine.now_ms:
            job = arrivals.popleft()
            counts.sent += 1
            deadlines_ms[job.entry.attempt] = (
                job.arrived_ms + MAX_WAIT_MS + job.generate_tokens * TOKEN_MS
            )
            for _ in engine.submit(job):
                counts.refused_waits_ms.append(0.0)
        if has_deadlines and engine.now_ms - last_sweep_ms >= SWEEP_MS:
            last_sweep_ms = engine.now_ms
            for refusal in scheduler.sweep(engine.now_ms):
                job = engine.jobs[refusal.entry.attempt]
                wait_ms = engine.now_ms - job.arrived_ms
                counts.refused_waits_ms.append(wait_ms)
        engine.admit()
        if not engine.running:
            engine.now_ms += SWEEP_MS
            continue
        for served in engine.step():
            if served.job.generated < served.job.generate_tokens:
                continue
            due_ms = deadlines_ms[served.job.entry.attempt]
            counts.in_time += served.at_ms <= due_ms
            counts.late += served.at_ms > due_ms
    return counts


def _make_arrivals(
    load: float, has_deadlines: bool, rng: random.Random
) -> list[batching.Job]:
    arrivals = []
    at_ms = 0.0
    while at_ms < END_MS:
        at_ms += rng.expovariate(load * CAPACITY_PER_S) * types.SECOND_MS
        account = rng.choice(list(shares.SURGE_SHARES))
        prompt = int(rng.uniform(0.5, 1.5) * WORKLOAD.prompt_tokens)
        generate = int(rng.uniform(0.5, 1.5) * WORKLOAD.generate_tokens)
        service_ms = WORKLOAD.generate_tokens * TOKEN_MS
        due_ms = at_ms + MAX_WAIT_MS + service_ms
        entry = account_queue.QueueEntry(
            types.AttemptId(f'{len(arrivals)}'),
            types.AccountId(account),
            prompt_tokens=prompt,
            expected_tokens=WORKLOAD.generate_tokens,
            deadline_ms=due_ms if has_deadlines else float('inf'),
            service_ms=service_ms,
            is_pausable=True,
        )
        arrivals.append(batching.Job(entry, generate, at_ms, prompt))
    return arrivals
