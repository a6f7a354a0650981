"""Limit policies for cold engines, on engines that fail on overload."""

import dataclasses
import heapq
import random

from loguru import logger

from foxtailpick.bench import tables
from foxtailpick.core import invariants
from foxtailpick.core import limit_policy
from foxtailpick.core import slow_start
from foxtailpick.core import types

SEEDS = range(4)
STEP_MS = 20.0
END_MS = 240.0 * types.SECOND_MS
CACHE_LOSS_MS = 150.0 * types.SECOND_MS
FIRST_TOKEN_MS = 250.0
ANSWER_MS = 10.0 * types.SECOND_MS
RATE_PER_S = 12.0
MAX_WAITING = 200
WARM_CAPACITY = 96.0
LOST_CACHE_CAPACITY = 24.0
LOST_CACHE_SLOWDOWN = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Profile:
    """Warm-up behaviour of an engine.

    :param cold_capacity: capacity for new requests when cold.
    :param warm_ms: warm-up time, zero if it warms up by requests.
    :param warm_requests: completed requests until it is warm, used if
        `warm_ms` is zero.
    :param overload_tolerance_ms: duration of overload until it fails.
    """

    cold_capacity: float
    warm_ms: float
    warm_requests: float
    overload_tolerance_ms: float


PROFILES = {
    'fast': Profile(8.0, 15_000.0, 0.0, 2_000.0),
    'slow': Profile(4.0, 90_000.0, 0.0, 2_000.0),
    'by work': Profile(6.0, 0.0, 300.0, 2_000.0),
    'fragile': Profile(3.0, 60_000.0, 0.0, 500.0),
}


class EngineStandIn:
    """An engine whose capacity grows as it warms up.

    The time to first token grows as the requests started since it went cold
    approach its capacity. Overload beyond its tolerance makes it fail: it
    loses all requests and restarts cold. An engine that lost its cache has
    more capacity than a fresh one but must process all prompts in full.

    :param profile: warm-up behaviour.
    """

    def __init__(self, profile: Profile) -> None:
        self._profile = profile
        self.failures = 0
        self.reset(0.0)

    def reset(self, now_ms: float, has_lost_cache: bool = False) -> None:
        """Restart the engine, or make it cold by the loss of its cache."""
        self._has_lost_cache = has_lost_cache
        self._cold_ms = now_ms
        self._completed = 0
        self._overload_ms = 0.0

    def count_completed(self) -> None:
        """Count a completed request."""
        self._completed += 1

    def compute_warm_up(self, now_ms: float) -> float:
        """Return the warm-up progress from zero to one."""
        profile = self._profile
        if profile.warm_ms:
            return min((now_ms - self._cold_ms) / profile.warm_ms, 1.0)
        return min(self._completed / profile.warm_requests, 1.0)

    def compute_capacity(self, now_ms: float) -> float:
        """Return the current capacity in requests."""
        cold = self._profile.cold_capacity
        if self._has_lost_cache:
            cold = LOST_CACHE_CAPACITY
        return cold + (WARM_CAPACITY - cold) * self.compute_warm_up(now_ms)

    def choose_first_token_ms(
        self, load: int, now_ms: float, rng: random.Random
    ) -> float:
        """Return the time to first token of a request that starts now."""
        utilization = load / self.compute_capacity(now_ms)
        slowdown = 1.0
        if self._has_lost_cache:
            cold = 1.0 - self.compute_warm_up(now_ms)
            slowdown += (LOST_CACHE_SLOWDOWN - 1.0) * cold
        return (
            FIRST_TOKEN_MS
            * rng.uniform(0.9, 1.1)
            * slowdown
            * (1 + utilization**4)
        )

    def advance(self, load: int, now_ms: float) -> bool:
        """Advance by one step.

        :returns: whether the engine fails from overload.
        """
        is_overloaded = load > self.compute_capacity(now_ms) * 1.1
        self._overload_ms = (
            self._overload_ms + STEP_MS if is_overloaded else 0.0
        )
        if self._overload_ms <= self._profile.overload_tolerance_ms:
            return False
        self.failures += 1
        self.reset(now_ms)
        return True


POLICIES: dict[str, limit_policy.LimitPolicy | None] = {
    'no slow start': None,
    'ramp over 30 s': limit_policy.make_ramp(2.0, WARM_CAPACITY, 30_000.0),
    'ramp over 120 s': limit_policy.make_ramp(2.0, WARM_CAPACITY, 120_000.0),
    'AIMD, gain 0.25': limit_policy.make_aimd(gain=0.25),
    'AIMD, gain 0.5': limit_policy.make_aimd(gain=0.5),
    'AIMD, gain 1': limit_policy.make_aimd(gain=1.0),
    'AIMD, gain 2': limit_policy.make_aimd(gain=2.0),
    'gradient': limit_policy.make_gradient(),
    'Vegas': limit_policy.make_vegas(),
}


def measure() -> list[tables.Table]:
    """Measure failures and completed requests per policy and engine."""
    title = (
        f'with a fresh engine that loses its cache at 150 s, '
        f'{RATE_PER_S:g} requests a second of '
        f'{ANSWER_MS / types.SECOND_MS:g} s, 240 s, {len(SEEDS)} seeds'
    )
    failures = tables.Table(f'Falls {title}', ('policy', *PROFILES))
    answered = tables.Table(f'Answers a run {title}', ('policy', *PROFILES))
    logger.disable('foxtailpick')
    for name, policy in POLICIES.items():
        runs = {
            profile: [
                _Run(PROFILES[profile], policy, seed).run() for seed in SEEDS
            ]
            for profile in PROFILES
        }
        failures.add_row(
            name,
            *(sum(run.engine.failures for run in runs[key]) for key in runs),
        )
        answered.add_row(
            name,
            *(
                sum(run.answered for run in runs[key]) // len(SEEDS)
                for key in runs
            ),
        )
    logger.enable('foxtailpick')
    return [failures, answered]


class _Run:
    """One engine behind a concurrency limit, with open arrivals."""

    def __init__(
        self,
        profile: Profile,
        policy: limit_policy.LimitPolicy | None,
        seed: int,
    ) -> None:
        self.engine = EngineStandIn(profile)
        self.answered = 0
        self._rng = random.Random(seed)
        self._is_limited = policy is not None
        self._limiter = slow_start.SlowStart.from_options(
            slow_start.SlowStartOptions(
                initial_limit=2.0,
                max_limit=WARM_CAPACITY,
                first_token_ms=FIRST_TOKEN_MS,
            ),
            invariants.Monitor(is_strict=self._is_limited),
            policy,
        )
        self._events: list[tuple[float, int, bool]] = []
        self._tickets: dict[int, slow_start.StartTicket] = {}
        self._started_before_loss: set[int] = set()
        self._waiting = 0
        self._next_ms = 0.0

    def run(self) -> '_Run':
        """Run the simulation and return this object."""
        steps = int(END_MS / STEP_MS)
        for step in range(1, steps):
            now_ms = step * STEP_MS
            if now_ms == CACHE_LOSS_MS:
                self.engine.reset(now_ms, has_lost_cache=True)
                self._started_before_loss = set(self._tickets)
            self._arrive(now_ms)
            self._finish_due(now_ms)
            self._start(now_ms)
            if self.engine.advance(self._count_load(), now_ms):
                self._fail_requests(now_ms)
        return self

    def _arrive(self, now_ms: float) -> None:
        while self._next_ms <= now_ms:
            self._waiting = min(self._waiting + 1, MAX_WAITING)
            gap_s = self._rng.expovariate(RATE_PER_S)
            self._next_ms += gap_s * types.SECOND_MS

    def _finish_due(self, now_ms: float) -> None:
        while self._events and self._events[0][0] <= now_ms:
            _, number, is_end = heapq.heappop(self._events)
            ticket = self._tickets.get(number)
            if ticket is None:
                continue
            if is_end:
                self._limiter.on_completed(ticket)
                self._started_before_loss.discard(number)
                del self._tickets[number]
                self.engine.count_completed()
                self.answered += 1
                continue
            self._limiter.on_first_token(ticket, now_ms)
            end_ms = now_ms + ANSWER_MS * self._rng.uniform(0.5, 1.5)
            heapq.heappush(self._events, (end_ms, number, True))

    def _start(self, now_ms: float) -> None:
        while self._waiting and len(self._tickets) < self._limit(now_ms):
            self._waiting -= 1
            first_ms = now_ms + self.engine.choose_first_token_ms(
                self._count_load() + 1, now_ms, self._rng
            )
            ticket = self._limiter.on_started(now_ms)
            self._tickets[ticket.number] = ticket
            heapq.heappush(self._events, (first_ms, ticket.number, False))

    def _limit(self, now_ms: float) -> float:
        if not self._is_limited:
            return WARM_CAPACITY
        return self._limiter.limit(now_ms)

    def _count_load(self) -> int:
        return len(self._tickets) - len(self._started_before_loss)

    def _fail_requests(self, now_ms: float) -> None:
        for ticket in self._tickets.values():
            self._limiter.on_completed(ticket)
        self._tickets.clear()
        self._started_before_loss.clear()
        self._limiter.on_engine_lost(now_ms)
