"""Retry policies when a third of the endpoints fails at the same time."""

import collections
import dataclasses
import heapq
import random
import typing

from foxtailpick.bench import tables
from foxtailpick.core import retry
from foxtailpick.core import types
from foxtailpick.core import verdict

SEED = 3
ENDPOINTS = 30
ROUTERS = 10
SLOTS = 16
SERVICE_MS = 1_000.0
FAIL_MS = 10.0 * types.SECOND_MS
LISTS_UPDATED_MS = 15.0 * types.SECOND_MS
END_MS = 40.0 * types.SECOND_MS
DEADLINE_MS = 4.0 * types.SECOND_MS
SERVICE = types.ServiceId('model')

Plan = typing.Callable[[retry.FailedAttempt, int, float], retry.RetryPlan]


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Results of a run, over the requests sent after the failure.

    :param amplification: attempts per request.
    :param worst_amplification: attempts per request in the worst second.
    :param answered: fraction of requests answered, also after their deadline.
    :param answered_after_update: the same for requests sent after the
        membership lists were updated.
    """

    amplification: float
    worst_amplification: float
    answered: float
    answered_after_update: float


def _plan_no_retry(
    failed: retry.FailedAttempt, router: int, now_ms: float
) -> retry.RetryPlan:
    return retry.RetryPlan(retry.RetryReason.ATTEMPTS_USED)


def _make_immediate(max_attempts: int) -> Plan:
    def plan(
        failed: retry.FailedAttempt, router: int, now_ms: float
    ) -> retry.RetryPlan:
        if failed.attempts >= max_attempts or now_ms > failed.deadline_ms:
            return retry.RetryPlan(retry.RetryReason.ATTEMPTS_USED)
        return retry.RetryPlan(retry.RetryReason.ALLOWED)

    return plan


def _make_backoff(max_attempts: int) -> Plan:
    return _make_budgeted(
        retry.RetryOptions(
            budget_ratio=1.0, budget_burst=1e9, max_attempts=max_attempts
        )
    )


def _make_budgeted(options: retry.RetryOptions) -> Plan:
    budgets = [retry.RetryBudget(options) for _ in range(ROUTERS)]
    rng = random.Random(SEED)

    def plan(
        failed: retry.FailedAttempt, router: int, now_ms: float
    ) -> retry.RetryPlan:
        if failed.attempts == 0:
            budgets[router].deposit(SERVICE)
            return retry.RetryPlan(retry.RetryReason.ALLOWED)
        return retry.plan_retry(failed, budgets[router], options, rng, now_ms)

    return plan


POLICIES: dict[str, typing.Callable[[], Plan]] = {
    'no retry': lambda: _plan_no_retry,
    'at once, 3 attempts': lambda: _make_immediate(3),
    'at once, 10 attempts': lambda: _make_immediate(10),
    'backoff and jitter, 3 attempts': lambda: _make_backoff(3),
    'with a budget of 10 %': lambda: _make_budgeted(
        retry.RetryOptions(budget_ratio=0.1)
    ),
    'with a budget of 15 %, burst of 2 (default)': lambda: _make_budgeted(
        retry.RetryOptions()
    ),
    'with a budget of 15 %, burst of 5': lambda: _make_budgeted(
        retry.RetryOptions(budget_ratio=0.15, budget_burst=5.0)
    ),
    'with a budget of 15 %, burst of 20': lambda: _make_budgeted(
        retry.RetryOptions(budget_ratio=0.15, budget_burst=20.0)
    ),
    'with a budget of 20 %': lambda: _make_budgeted(
        retry.RetryOptions(budget_ratio=0.2)
    ),
}


def measure() -> list[tables.Table]:
    """Measure all policies at several loads."""
    return [_measure_load(load) for load in (0.4, 0.6, 0.8, 0.95)]


def _measure_load(load: float) -> tables.Table:
    table = tables.Table(
        f'{ENDPOINTS // 3} of {ENDPOINTS} endpoints go at once at '
        f'{100 * load:.0f} % load, lists catch up after 5 s, seed {SEED}',
        (
            'policy',
            'attempts per request',
            'in the worst second',
            'answered in time (%)',
            'after 5 s (%)',
        ),
    )
    for name, make_plan in POLICIES.items():
        result = _Run(make_plan(), load).run()
        table.add_row(
            name,
            result.amplification,
            result.worst_amplification,
            100 * result.answered,
            100 * result.answered_after_update,
        )
    return table


@dataclasses.dataclass(frozen=True, slots=True)
class _Request:
    number: int
    arrived_ms: float
    router: int


class _Run:
    """Routers with stale membership lists and endpoints with few slots."""

    def __init__(self, plan: Plan, load: float) -> None:
        self._plan = plan
        self._rate_per_ms = load * ENDPOINTS * SLOTS / SERVICE_MS
        self._rng = random.Random(SEED)
        self._busy = collections.Counter()
        self._events: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._serial = 0
        self._now_ms = 0.0
        self._requests = collections.Counter()
        self._attempts = collections.Counter()
        self._answered = collections.Counter()

    def run(self) -> Result:
        """Run the simulation and return its results."""
        self._schedule(0.0, self._arrive)
        while self._events:
            self._now_ms, _, action = heapq.heappop(self._events)
            action()
        return self._compute_result()

    def _schedule(
        self, delay_ms: float, action: typing.Callable[[], None]
    ) -> None:
        self._serial += 1
        at_ms = self._now_ms + delay_ms
        heapq.heappush(self._events, (at_ms, self._serial, action))

    def _arrive(self) -> None:
        if self._now_ms > END_MS:
            return
        request = _Request(
            self._serial, self._now_ms, self._rng.randrange(ROUTERS)
        )
        self._requests[self._get_second(request)] += 1
        self._plan(
            self._make_failed_attempt(request, 0, None),
            request.router,
            self._now_ms,
        )
        self._start_attempt(request, 1)
        self._schedule(self._rng.expovariate(self._rate_per_ms), self._arrive)

    def _start_attempt(self, request: _Request, attempts: int) -> None:
        self._attempts[self._get_second(request)] += 1
        failed_count = ENDPOINTS // 3
        first = failed_count if self._now_ms >= LISTS_UPDATED_MS else 0
        endpoint = self._rng.randrange(first, ENDPOINTS)
        if self._now_ms >= FAIL_MS and endpoint < failed_count:
            self._schedule(2.0, lambda: self._fail(request, attempts, None))
        elif self._busy[endpoint] >= SLOTS:
            self._schedule(2.0, lambda: self._fail(request, attempts, 100.0))
        else:
            self._busy[endpoint] += 1
            self._schedule(
                self._rng.expovariate(1 / SERVICE_MS),
                lambda: self._complete(request, endpoint),
            )

    def _complete(self, request: _Request, endpoint: int) -> None:
        self._busy[endpoint] -= 1
        self._answered[self._get_second(request)] += 1

    def _fail(
        self,
        request: _Request,
        attempts: int,
        retry_after_ms: float | None,
    ) -> None:
        failed = self._make_failed_attempt(request, attempts, retry_after_ms)
        plan = self._plan(failed, request.router, self._now_ms)
        if plan.is_allowed:
            self._schedule(
                plan.delay_ms,
                lambda: self._start_attempt(request, attempts + 1),
            )

    def _make_failed_attempt(
        self,
        request: _Request,
        attempts: int,
        retry_after_ms: float | None,
    ) -> retry.FailedAttempt:
        return retry.FailedAttempt(
            SERVICE,
            attempts,
            verdict.Verdict.NOT_RUN,
            False,
            request.arrived_ms + DEADLINE_MS,
            retry_after_ms,
            SERVICE_MS,
        )

    def _get_second(self, request: _Request) -> int:
        return int(request.arrived_ms / types.SECOND_MS)

    def _compute_result(self) -> Result:
        first = int(FAIL_MS / types.SECOND_MS)
        listed = int(LISTS_UPDATED_MS / types.SECOND_MS)
        seconds = [s for s in self._requests if s >= first]
        late = [s for s in seconds if s >= listed]
        return Result(
            _compute_ratio(self._attempts, self._requests, seconds),
            max(
                _compute_ratio(self._attempts, self._requests, [s])
                for s in seconds
            ),
            _compute_ratio(self._answered, self._requests, seconds),
            _compute_ratio(self._answered, self._requests, late),
        )


def _compute_ratio(
    counts: typing.Mapping[int, int],
    totals: typing.Mapping[int, int],
    seconds: list[int],
) -> float:
    return sum(counts[s] for s in seconds) / sum(totals[s] for s in seconds)
