"""Simulation of engines with continuous batching, in virtual time.

A small model of the engines as the operators' documentation describes
them: a limited number of requests run concurrently and the rest are queued
by priority. A decoding step takes longer the more requests run. Prompts are
processed in chunks between steps, and a cached prompt is not processed
again.
"""

import bisect
import collections
import dataclasses
import heapq
import math
import random

from foxtailpick.core.dispatch import account_usage
from foxtailpick.core.dispatch import admission_queue
from foxtailpick.core.dispatch import decayed_rate
from foxtailpick.core.dispatch import endpoint_table
from foxtailpick.core.dispatch import load_exchange
from foxtailpick.core.dispatch import load_limit
from foxtailpick.core.dispatch import pace_exchange
from foxtailpick.core.dispatch import placing
from foxtailpick.core.dispatch import refusal
from foxtailpick.tests import gateway_harness

# As documented for the operators' smaller deployments.
SLOTS = 64
STEP_MS = 3.55
STEP_MS_PER_REQUEST = 0.0462
PREFILL_TOKENS_PER_MS = 157.0
CACHED_PROMPTS = 80
TICK_MS = 5.0
# Engines are spread over this many failure domains.
DOMAINS = 3
# Guaranteed limit of an engine's load: a multiple of the mean load of all
# engines plus a number of requests.
LIMIT_MULTIPLE = 2
LIMIT_SLACK = 3
# Interval between load exchanges of the routers.
EXCHANGE_MS = 150.0
# Callers disconnect if the first event takes longer than this.
ABANDON_AFTER_MS = 2_000.0
# Time to fetch a cached prompt of 4,000 tokens from another engine.
FETCH_MS = 15.0
# Time until the routers pause an engine that is dark.
DARK_FOUND_MS = 1_000.0
# Maximum share of a tick spent on processing prompts.
PREFILL_SHARE = 0.7


@dataclasses.dataclass(eq=False)
class Run:
    """A request and its outcome."""

    arrived_ms: float
    prompt: str
    prompt_tokens: int
    tokens: int
    priority: int = 5
    account: str = 'a'
    router: int = 0
    engine: str = ''
    is_at_engine: bool = False
    holder: 'Engine | None' = None
    unprocessed_tokens: float = 0.0
    fetched_ms: float = 0.0
    tokens_left: float = 0.0
    first_ms: float | None = None
    done_ms: float = 0.0
    own_tokens: int = 0
    was_queued: bool = False
    is_rejected: bool = False
    rejected_ms: float = 0.0
    preempted_ms: float = 0.0
    is_done: bool = False
    kind: str = ''
    target_ms: float = 500.0
    deadline_ms: float = 10_000.0
    first_arrived_ms: float | None = None
    placed_ms: float = 0.0
    retry_ms: float | None = None
    caller: int = 0
    free_slots_elsewhere: int = 0
    is_above_limit: bool = False

    @property
    def delay_ms(self):
        """Time to the first token, infinite if there was none."""
        if self.first_ms is None:
            return float('inf')
        return self.first_ms - self.arrived_ms

    @property
    def token_ms(self):
        """Mean time of a token after the first, infinite if there was none."""
        if not self.is_done:
            return float('inf')
        return (self.done_ms - self.first_ms) / self.tokens

    @property
    def is_in_time(self):
        """Whether the caller got its first token within the target."""
        began_ms = self.first_arrived_ms or self.arrived_ms
        return self.is_done and self.first_ms <= began_ms + self.target_ms


class Engine:
    """One simulated engine.

    :param slots: requests that it runs at once.
    :param max_waiting: requests that it queues; it rejects others.
    :param compute_pace: function of the time that returns its pace, if any.
    """

    def __init__(
        self, name, slots=SLOTS, max_waiting=math.inf, compute_pace=None
    ):
        self.name = name
        self.compute_pace = compute_pace
        self.slots = slots
        self.max_waiting = max_waiting
        self.running = []
        self.waiting = []
        self.cached = collections.OrderedDict()
        self._order = 0

    @property
    def load(self):
        """Running and queued requests."""
        return len(self.running) + len(self.waiting)

    def enqueue(self, run):
        """Queue a request."""
        self._order += 1
        run.engine = self.name
        run.is_at_engine = True
        run.tokens_left = run.tokens
        run.was_queued = self.load >= self.slots
        heapq.heappush(self.waiting, (run.priority, self._order, run))

    def drop_abandoned(self, now_ms):
        """Remove and return queued requests whose caller has left."""
        abandoned = [
            run
            for _, _, run in self.waiting
            if now_ms - max(run.arrived_ms, run.preempted_ms)
            > ABANDON_AFTER_MS
        ]
        if abandoned:
            kept = [item for item in self.waiting if item[2] not in abandoned]
            heapq.heapify(kept)
            self.waiting = kept
        return abandoned

    def advance(self, now_ms):
        """Simulate one tick; return the requests that ended."""
        while self.waiting:
            if len(self.running) >= self.slots and not self._preempt(now_ms):
                break
            _, _, run = heapq.heappop(self.waiting)
            if run.prompt in self.cached:
                run.unprocessed_tokens = 0
            elif run.holder and run.prompt in run.holder.cached:
                run.unprocessed_tokens = 0
                run.fetched_ms = now_ms + FETCH_MS
            else:
                run.unprocessed_tokens = run.prompt_tokens
            run.unprocessed_tokens += run.own_tokens
            self.running.append(run)
        tick_ms = TICK_MS
        if self.compute_pace is not None:
            tick_ms /= self.compute_pace(now_ms)
        budget = tick_ms * PREFILL_SHARE * PREFILL_TOKENS_PER_MS
        for run in self.running:
            part = min(run.unprocessed_tokens, budget)
            run.unprocessed_tokens -= part
            budget -= part
        prefill_ms = tick_ms * PREFILL_SHARE - budget / PREFILL_TOKENS_PER_MS
        step_ms = STEP_MS + STEP_MS_PER_REQUEST * len(self.running)
        generated = (tick_ms - prefill_ms) / step_ms
        ended = []
        for run in self.running:
            if run.unprocessed_tokens or run.fetched_ms > now_ms:
                continue
            if run.first_ms is None:
                run.first_ms = now_ms
                self._cache(run.prompt)
            run.tokens_left -= generated
            if run.tokens_left <= 0:
                run.is_done = now_ms <= run.arrived_ms + run.deadline_ms
                run.done_ms = now_ms
                ended.append(run)
        self.running = [run for run in self.running if run.tokens_left > 0]
        return ended

    def _preempt(self, now_ms):
        """Requeue the newest request of the lowest priority.

        Returns False if no running request is less urgent than the first
        one in the queue.
        """
        least = max(self.running, key=lambda run: run.priority)
        if least.priority <= self.waiting[0][0]:
            return False
        newest = [
            run for run in self.running if run.priority == least.priority
        ][-1]
        self.running.remove(newest)
        newest.preempted_ms = now_ms
        self._order += 1
        heapq.heappush(self.waiting, (newest.priority, self._order, newest))
        return True

    def _cache(self, prompt):
        self.cached[prompt] = None
        self.cached.move_to_end(prompt)
        while len(self.cached) > CACHED_PROMPTS:
            self.cached.popitem(last=False)


def make_runs(rate_per_s, length_s, seed=1, **fields):
    """Generate requests with skewed prompts and log-normal lengths."""
    rng = random.Random(seed)
    runs = []
    at_ms = 0.0
    while at_ms < length_s * 1_000:
        at_ms += rng.expovariate(rate_per_s) * 1_000
        values = {
            'prompt': f'p{int(160 * rng.random() ** 1.5)}',
            'prompt_tokens': 4_000,
            'tokens': round(rng.lognormvariate(5.2, 0.5)),
            'router': rng.randrange(4),
            **{
                key: value(rng) if callable(value) else value
                for key, value in fields.items()
            },
        }
        runs.append(Run(arrived_ms=at_ms, **values))
    return runs


class Router:
    """State and queue of one simulated router."""

    def __init__(
        self, engines, seed, evacuated=(), domains=DOMAINS, slots=SLOTS
    ):
        self.table = endpoint_table.EndpointTable()
        self.sent = load_exchange.SentCounts()
        self.paces = pace_exchange.SentPaces()
        self.rate = decayed_rate.DecayedRate()
        for number, name in enumerate(engines):
            entry = gateway_harness.make_endpoint_entry(
                name, slots=slots, domain=f'd{number % domains}'
            )
            self.table.put(entry, 0.0)
        self.table.set_evacuated(evacuated, {}, 0.0)
        self.rng = random.Random(seed)
        self.usage = account_usage.AccountUsage()
        self.queue = admission_queue.AdmissionQueue()
        self.rejected = []

    @property
    def is_waiting(self):
        """Whether requests wait here."""
        return bool(self.queue.items)

    def record_placed(self, run):
        """Note a request that is sent; not in this order."""

    def exchange_sums(self, routers, now_ms):
        """Learn what waits at the other routers; not in this order."""

    def reject(self, run, expected_ms, now_ms):
        """Reject a request and tell its caller when to return."""
        run.is_rejected = True
        run.rejected_ms = now_ms
        self.rejected.append(run)
        run.retry_ms = refusal.compute_retry_after_ms(
            placing.Obstacle.ALL_FULL,
            run.priority,
            run.arrived_ms + run.deadline_ms - now_ms,
            self.rng,
            expected_ms,
        )

    def admit(self, run, now_ms):
        """Tell whether to dispatch a request now; else queue or reject it."""
        cost = account_usage.estimate_cost(run.prompt_tokens, run.tokens)
        account_usage.record_request(self.usage, run.account, cost, now_ms)
        ratio = account_usage.compute_share_ratio(self.usage, run.account)
        utilization = self.queue.utilization
        if not account_usage.is_above_share(ratio, utilization, self.rng):
            return True
        max_wait_ms = admission_queue.compute_max_wait_ms(
            ABANDON_AFTER_MS, run.deadline_ms
        )
        expected_ms = admission_queue.estimate_wait_ms(self.queue, now_ms)
        if expected_ms > max_wait_ms:
            self.reject(run, expected_ms, now_ms)
        else:
            until_ms = now_ms + max_wait_ms
            admission_queue.add(
                self.queue, run.priority, run, until_ms, now_ms
            )
        return False

    def release(self, routers, now_ms):
        """Return the queued requests that are admitted now."""
        endpoints = self.table.list_all()
        admission_queue.update_utilization(self.queue, endpoints, now_ms)
        free = admission_queue.count_free_slots(
            endpoints, routers, now_ms, self.rng
        )
        admitted = admission_queue.pop_admitted(self.queue, free, now_ms)
        for run in admission_queue.pop_hopeless(self.queue, now_ms):
            expected_ms = admission_queue.estimate_wait_ms(self.queue, now_ms)
            self.reject(run, expected_ms, now_ms)
        return admitted


class Simulation:
    """Routers that dispatch requests with stale counts of each other.

    :param has_shares: whether accounts have equal shares of a full service.
    :param evacuated: failure domains whose engines get no requests.
    :param domains: number of failure domains.
    :param has_hub: whether the first router sums the counts that the others
        report to it, as in the program; otherwise all routers know each
        other's counts at the same moment.
    :param paces: function of the time by engine, which returns its pace.
    :param states_paces: whether engines state it in their responses.
    :param slots: slots of an engine.
    :param max_waiting: requests that an engine queues.
    :param make_router: makes a router, with its own order of requests.
    :param repeat: called with a rejected request and the time; returns the
        request with which its caller comes again, None if it doesn't.
    :param dark_from_ms: since when engines are dark, by name.
    """

    def __init__(
        self,
        service,
        has_shares=True,
        engines=6,
        routers=4,
        evacuated=(),
        domains=DOMAINS,
        has_hub=False,
        paces=(),
        states_paces=True,
        slots=SLOTS,
        max_waiting=math.inf,
        make_router=Router,
        repeat=lambda run, now_ms: None,
        dark_from_ms=None,
    ):
        self.service = service
        self.has_shares = has_shares
        self.engines = {
            f'e{n}': Engine(f'e{n}', slots, max_waiting)
            for n in range(engines)
        }
        for engine, pace in zip(self.engines.values(), paces, strict=False):
            engine.compute_pace = pace
        self.states_paces = states_paces
        self.routers = [
            make_router(self.engines, seed, evacuated, domains, slots)
            for seed in range(routers)
        ]
        self.repeat = repeat
        self.dark_from_ms = dark_from_ms or {}
        self.has_hub = has_hub
        self._reports = load_exchange.HubReports()
        self._hub_paces = pace_exchange.HubPaces()
        # Routers send at different moments.
        rng = random.Random(routers)
        self._report_ms = [rng.uniform(0, EXCHANGE_MS) for _ in self.routers]
        self.now_ms = 0.0

    def run(self, runs):
        """Simulate requests until the last has ended; return them."""
        pending = collections.deque(
            sorted(runs, key=lambda run: run.arrived_ms)
        )
        runs = list(runs)
        while pending or self._is_busy():
            if self.has_hub:
                self._report()
            elif self.now_ms % EXCHANGE_MS == 0:
                _exchange([router.table for router in self.routers], 0.0)
            if self.now_ms % EXCHANGE_MS == 0:
                for router in self.routers:
                    router.exchange_sums(self.routers, self.now_ms)
            while pending and pending[0].arrived_ms <= self.now_ms:
                run = pending.popleft()
                router = self.routers[run.router]
                if not self.has_shares or router.admit(run, self.now_ms):
                    self._place(run)
            self._pause_dark()
            if self.now_ms % admission_queue.CHECK_INTERVAL_MS == 0:
                self._release()
            self._advance()
            for run in self._list_repeats():
                runs.append(run)
                bisect.insort(pending, run, key=lambda run: run.arrived_ms)
            self.now_ms += TICK_MS
        return runs

    def _list_repeats(self):
        again = []
        for router in self.routers:
            rejected, router.rejected = router.rejected, []
            again += [self.repeat(run, self.now_ms) for run in rejected]
        return [run for run in again if run is not None]

    def _is_busy(self):
        engines = self.engines.values()
        return any(
            engine.load and not self._is_dark(engine) for engine in engines
        ) or any(router.is_waiting for router in self.routers)

    def _is_dark(self, engine):
        return self.now_ms >= self.dark_from_ms.get(engine.name, math.inf)

    def _pause_dark(self):
        """Pause engines as the routers do that hear nothing of them."""
        for name, from_ms in self.dark_from_ms.items():
            if self.now_ms < from_ms + DARK_FOUND_MS:
                continue
            for router in self.routers:
                item = router.table.get(name)
                item.health.paused_until_ms = math.inf
                item.running = 0

    def _report(self):
        for number, router in enumerate(self.routers):
            if self.now_ms < self._report_ms[number]:
                continue
            self._report_ms[number] += self._compute_interval_ms(router)
            sequence, counts = router.sent.next_counts(router.table)
            self._reports.record(number, sequence, counts, self.now_ms)
            sequence, paces = router.paces.next_report(
                router.table, self.now_ms
            )
            self._hub_paces.record(number, sequence, paces, self.now_ms)
            if number == 0:
                self._send_totals()

    def _compute_interval_ms(self, router):
        name = self.service.name
        mean = router.table.compute_mean_load(name)
        usable = router.table.list_service(name)
        usable_mean = sum(item.load for item in usable) / len(usable)
        return load_exchange.compute_interval_ms(
            len(self.routers),
            load_limit.needs_fresh_counts(usable_mean, mean),
        )

    def _send_totals(self):
        sums = self._reports.sum_counts(self.now_ms)
        for number, sequence in self._reports.list_routers():
            router = self.routers[number]
            router.sent.apply_counts(router.table, sums, sequence, self.now_ms)
        paces = self._hub_paces.merge(self.now_ms)
        for number, sequence in self._hub_paces.list_routers():
            router = self.routers[number]
            router.paces.apply_totals(
                router.table, paces, sequence, self.now_ms
            )

    def _release(self):
        for router in self.routers:
            for run in router.release(len(self.routers), self.now_ms):
                self._place(run)

    def _place(self, run):
        router = self.routers[run.router]
        query = placing.Query(
            self.service,
            run.prompt,
            frozenset(),
            len(self.routers),
            self.now_ms,
            router.table.compute_mean_load(self.service.name),
            rate_per_s=router.rate.compute_per_s(self.now_ms),
            mean_run_ms=router.queue.mean_run_ms,
        )
        router.rate.record(self.now_ms)
        choice = placing.choose_endpoint(
            router.table.list_service(self.service.name), query, router.rng
        )
        engine = self.engines[choice.endpoint.id]
        run.free_slots_elsewhere = sum(
            max(0, item.slots - item.load)
            for item in self.engines.values()
            if item is not engine and not self._is_dark(item)
        )
        if engine.load >= engine.slots + engine.max_waiting:
            router.reject(run, 0.0, self.now_ms)
            return
        choice.endpoint.running += 1
        run.placed_ms = self.now_ms
        router.record_placed(run)
        if choice.holder is not None:
            run.holder = self.engines[choice.holder.id]
        loads = [item.load for item in self.engines.values()]
        run.is_above_limit = engine.load > (
            LIMIT_MULTIPLE * sum(loads) / len(loads) + LIMIT_SLACK
        )
        engine.enqueue(run)

    def _advance(self):
        for engine in self.engines.values():
            if self._is_dark(engine):
                continue
            abandoned = engine.drop_abandoned(self.now_ms)
            unanswered = [run for run in engine.running if not run.first_ms]
            ended = engine.advance(self.now_ms)
            self._state_pace(engine, unanswered)
            for run in [*abandoned, *ended]:
                run.is_at_engine = False
                router = self.routers[run.router]
                router.table.get(engine.name).running -= 1
                if run.is_done:
                    admission_queue.record_run(
                        router.queue, self.now_ms - run.placed_ms
                    )

    def _state_pace(self, engine, runs):
        """Tell the routers of requests that have begun to be answered."""
        if engine.compute_pace is None or not self.states_paces:
            return
        for run in runs:
            if run.first_ms is not None:
                table = self.routers[run.router].table
                table.get(engine.name).pace.record_stated(
                    engine.compute_pace(self.now_ms), self.now_ms
                )


def _exchange(tables, now_ms):
    for table in tables:
        for item in table.list_all():
            others = sum(
                other.get(item.id).running
                for other in tables
                if other is not table
            )
            item.set_remote_load(others, now_ms)
