"""Fair shares on an overloaded endpoint against FIFO and request counts."""

import collections
import dataclasses
import random
import typing

from foxtailpick.bench import batching
from foxtailpick.bench import tables
from foxtailpick.core import account_queue
from foxtailpick.core import fair_share
from foxtailpick.core import share_tree
from foxtailpick.core import types

SEED = 11
LIMIT = 88
WINDOW_MS = 10.0 * types.SECOND_MS
CHANGE_MS = 4 * WINDOW_MS
END_MS = 7 * WINDOW_MS
WAITING_PER_ACCOUNT = 60


@dataclasses.dataclass(frozen=True, slots=True)
class Workload:
    """Request sizes of an account.

    :param prompt_tokens: mean number of prompt tokens.
    :param generate_tokens: mean number of generated tokens.
    :param rate_per_s: requests per second for open arrivals.
    """

    prompt_tokens: int
    generate_tokens: int
    rate_per_s: float = 0.0


BACKLOGGED_WORKLOADS = {
    'a1': Workload(200, 60),
    'a2': Workload(800, 600),
    'a3': Workload(400, 300),
    'b1': Workload(100, 900),
    'b2': Workload(400, 300),
}
SHARES_BEFORE = {
    'a1': share_tree.Share('a', 50.0, 25.0),
    'a2': share_tree.Share('a', 50.0, 25.0),
    'a3': share_tree.Share('a', 50.0, 50.0),
    'b1': share_tree.Share('b', 50.0, 80.0),
    'b2': share_tree.Share('b', 50.0, 20.0),
}
SHARES_AFTER = {
    'a1': share_tree.Share('a', 70.0, 40.0),
    'a2': share_tree.Share('a', 70.0, 40.0),
    'a3': share_tree.Share('a', 70.0, 20.0),
    'b1': share_tree.Share('b', 30.0, 30.0),
    'b2': share_tree.Share('b', 30.0, 70.0),
}
SURGE_SHARES = {
    f'{partner}{number}': share_tree.Share(partner)
    for partner in 'ab'
    for number in range(1, 6)
}
SchedulerFactory = typing.Callable[
    [share_tree.ShareLookup], batching.Scheduler
]


class Fifo:
    """Baseline: FIFO queue."""

    def __init__(self) -> None:
        self._entries: collections.deque = collections.deque()

    def enqueue(self, entry, now_ms):
        """Add a request."""
        self._entries.append(entry)
        return ()

    def pop_next(self, now_ms):
        """Remove and return the oldest request."""
        return self._entries.popleft() if self._entries else None

    def record_generated(self, attempt, tokens, now_ms):
        """Do nothing; generated tokens are not counted."""

    def finish(self, attempt):
        """Do nothing; running requests are not tracked."""

    def apply_shares(self, share_of, now_ms):
        """Do nothing; FIFO order ignores shares."""


class RequestCount(Fifo):
    """Baseline: fair queue that charges each request the same cost.

    :param share_of: looks up the share of an account.
    """

    def __init__(self, share_of: share_tree.ShareLookup) -> None:
        self._entries = {}
        self._queue = make_queue_factory(0.0)(share_of)

    def enqueue(self, entry, now_ms):
        """Add a request with a cost of one token."""
        self._entries[entry.attempt] = entry
        unit_entry = dataclasses.replace(
            entry, prompt_tokens=1.0, expected_tokens=0.0
        )
        return self._queue.enqueue(unit_entry, now_ms)

    def pop_next(self, now_ms):
        """Remove and return the next request."""
        entry = self._queue.pop_next(now_ms)
        return entry and self._entries.pop(entry.attempt)

    def finish(self, attempt):
        """Record the end of a request."""
        self._queue.finish(attempt)

    def apply_shares(self, share_of, now_ms):
        """Apply new shares."""
        self._queue.apply_shares(share_of, now_ms)


def make_queue_factory(
    commit_tokens: float, **fields: float
) -> SchedulerFactory:
    """Build a factory of fair queues.

    :param commit_tokens: expected tokens charged ahead of generation.
    :param fields: other fields of `fair_share.FairQueueOptions`; by default
        no request is paused or held back.
    """
    unbounded = {
        'pause_lead_tokens': float('inf'),
        'max_unread_tokens': float('inf'),
        'burst_tokens': 0.0,
    }
    options = fair_share.FairQueueOptions(
        max_entries=100_000,
        commit_tokens=commit_tokens,
        **(unbounded | fields),
    )

    def make_scheduler(
        share_of: share_tree.ShareLookup,
    ) -> fair_share.FairQueue:
        return fair_share.FairQueue(options, share_of)

    return make_scheduler


DEFAULTS = {
    field.name: field.default
    for field in dataclasses.fields(fair_share.FairQueueOptions)
    if field.name != 'max_entries'
}
WITH_PAUSES = make_queue_factory(
    **DEFAULTS | {'max_unread_tokens': float('inf'), 'burst_tokens': 0.0}
)
WITH_UNREAD_LIMIT = make_queue_factory(**DEFAULTS | {'burst_tokens': 0.0})


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """A scheduling policy of an endpoint.

    :param make_scheduler: queue factory.
    :param is_pausing: whether running requests may be paused.
    """

    make_scheduler: SchedulerFactory
    is_pausing: bool = False


POLICIES = {
    'FIFO': Policy(lambda share_of: Fifo()),
    'request count': Policy(RequestCount),
    'tokens, all charged at the start': Policy(
        make_queue_factory(float('inf'))
    ),
    'tokens, 32 ahead': Policy(make_queue_factory(32.0)),
    'with pauses at a lead of 512': Policy(WITH_PAUSES, True),
    'and 128 unread tokens': Policy(WITH_UNREAD_LIMIT, True),
    'and a burst of 1024 (default)': Policy(
        make_queue_factory(**DEFAULTS), True
    ),
    'and a burst of 2048': Policy(
        make_queue_factory(**DEFAULTS | {'burst_tokens': 2_048.0}), True
    ),
}

SHARE_ERRORS_ONLY = frozenset(
    {'tokens, all charged at the start', 'and 128 unread tokens'}
)


def measure() -> list[tables.Table]:
    """Measure share errors and the effect of a surge on other accounts."""
    return [
        _measure_share_errors(),
        _measure_surge(0.25, 5.0),
        _measure_surge(0.6, 2.0),
    ]


def _measure_share_errors() -> tables.Table:
    table = tables.Table(
        f'Largest share error of 5 backlogged accounts, {LIMIT} slots, '
        f'shares changed at 40 s, seed {SEED}',
        (
            'policy',
            'first 10 s after start (pp)',
            '30-40 s (pp)',
            '10 s after change (pp)',
            '10-20 s after change (pp)',
            '20-30 s after change (pp)',
            'pauses a second',
        ),
    )
    for name, policy in POLICIES.items():
        windows, pauses = _run_backlogged(policy)
        table.add_row(
            name,
            *(
                _find_largest_error(windows[index], shares)
                for index, shares in (
                    (0, SHARES_BEFORE),
                    (3, SHARES_BEFORE),
                    (4, SHARES_AFTER),
                    (5, SHARES_AFTER),
                    (6, SHARES_AFTER),
                )
            ),
            pauses / END_MS * types.SECOND_MS,
        )
    return table


def _run_backlogged(policy: Policy) -> tuple[list[collections.Counter], int]:
    rng = random.Random(SEED)
    engine = batching.BatchingEngine(
        policy.make_scheduler(SHARES_BEFORE.__getitem__),
        LIMIT,
        policy.is_pausing,
    )
    waiting = collections.Counter()
    windows = [collections.Counter() for _ in range(int(END_MS / WINDOW_MS))]
    is_changed = False
    while engine.now_ms < END_MS:
        if not is_changed and engine.now_ms >= CHANGE_MS:
            engine.scheduler.apply_shares(
                SHARES_AFTER.__getitem__, engine.now_ms
            )
            is_changed = True
        _refill(engine, waiting, rng)
        for job in engine.admit():
            waiting[job.entry.account] -= not job.generated
        for served in engine.step():
            index = min(int(served.at_ms / WINDOW_MS), len(windows) - 1)
            windows[index][served.job.entry.account] += served.tokens
    return windows, engine.pauses


def _refill(
    engine: batching.BatchingEngine,
    waiting: collections.Counter,
    rng: random.Random,
) -> None:
    for account, workload in BACKLOGGED_WORKLOADS.items():
        while waiting[account] < WAITING_PER_ACCOUNT:
            waiting[account] += 1
            engine.submit(_make_job(account, workload, engine.now_ms, rng))


def _make_job(
    account: str, workload: Workload, now_ms: float, rng: random.Random
) -> batching.Job:
    prompt = int(rng.uniform(0.5, 1.5) * workload.prompt_tokens)
    generate = int(rng.uniform(0.5, 1.5) * workload.generate_tokens)
    entry = account_queue.QueueEntry(
        f'{account}-{rng.getrandbits(64):x}',
        account,
        prompt_tokens=prompt,
        expected_tokens=workload.generate_tokens,
        is_pausable=True,
    )
    return batching.Job(entry, generate, now_ms, prompt)


def _find_largest_error(
    window: collections.Counter, shares: dict[str, share_tree.Share]
) -> float:
    total = sum(window.values())
    partners = {
        share.partner: share.partner_weight for share in shares.values()
    }
    errors = []
    for account, share in shares.items():
        siblings = sum(
            other.account_weight
            for other in shares.values()
            if other.partner == share.partner
        )
        agreed = (
            share.partner_weight
            / sum(partners.values())
            * share.account_weight
            / siblings
        )
        errors.append(abs(window[account] / total - agreed))
    return 100 * max(errors)


def _measure_surge(rate_per_s: float, moderate_per_s: float) -> tables.Table:
    table = tables.Table(
        f'p95 first token (ms) of nine accounts at {rate_per_s:g} requests '
        f'a second each while the tenth goes to 16, {LIMIT} slots, '
        f'seed {SEED}',
        (
            'policy',
            f'tenth at {rate_per_s:g}',
            f'tenth at {moderate_per_s:g}',
            'in surge',
            'p50 in surge',
            'pauses a second',
        ),
    )
    for name, policy in POLICIES.items():
        if name in SHARE_ERRORS_ONLY:
            continue
        quiet, _ = _run_open(policy, rate_per_s, rate_per_s)
        moderate, _ = _run_open(policy, rate_per_s, moderate_per_s)
        surge, pauses = _run_open(policy, rate_per_s, 16.0)
        table.add_row(
            name,
            _find_quantile(quiet, 0.95),
            _find_quantile(moderate, 0.95),
            _find_quantile(surge, 0.95),
            _find_quantile(surge, 0.5),
            pauses / (6 * WINDOW_MS) * types.SECOND_MS,
        )
    return table


def _run_open(
    policy: Policy, rate_per_s: float, surge_rate_per_s: float
) -> tuple[list[float], int]:
    rng = random.Random(SEED)
    engine = batching.BatchingEngine(
        policy.make_scheduler(SURGE_SHARES.__getitem__),
        LIMIT,
        policy.is_pausing,
    )
    rates = dict.fromkeys(SURGE_SHARES, rate_per_s)
    rates['b1'] = surge_rate_per_s
    arrivals = _make_arrivals(rates, rng)
    first_tokens = []
    while engine.now_ms < 6 * WINDOW_MS:
        while arrivals and arrivals[-1].arrived_ms <= engine.now_ms:
            engine.submit(arrivals.pop())
        engine.admit()
        if not engine.running:
            engine.now_ms = arrivals[-1].arrived_ms
            continue
        for served in engine.step():
            job = served.job
            if served.is_first_token and job.entry.account != 'b1':
                first_tokens.append(served.at_ms - job.arrived_ms)
    return first_tokens, engine.pauses


def _make_arrivals(
    rates: dict[str, float], rng: random.Random
) -> list[batching.Job]:
    arrivals = []
    workload = Workload(400, 300)
    for account, rate_per_s in rates.items():
        account_rng = random.Random(f'{SEED}-{account}')
        at_ms = 0.0
        while at_ms < 6 * WINDOW_MS:
            at_ms += account_rng.expovariate(rate_per_s) * types.SECOND_MS
            arrivals.append(_make_job(account, workload, at_ms, account_rng))
    return sorted(arrivals, key=lambda job: -job.arrived_ms)


def _find_quantile(values: list[float], quantile: float) -> float:
    ordered = sorted(values)
    return ordered[int(quantile * (len(ordered) - 1))]
