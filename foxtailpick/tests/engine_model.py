"""Engines that work in batches, in virtual time, for replays of loads.

A small model of what the operators' pages tell of engines: a limited
number of requests run at once and the rest wait by rank; each step takes
longer the more requests run; prompts are read in chunks between steps,
and a prompt that is still cached is not read again.
"""

import collections
import dataclasses
import heapq
import random

from foxtailpick.core.dispatch import endpoint_table
from foxtailpick.core.dispatch import placing
from foxtailpick.tests import gateway_stage

# As the pages of the operators' smaller deployments say.
SLOTS = 64
STEP_MS = 3.55
STEP_MS_PER_REQUEST = 0.0462
READ_TOKENS_PER_MS = 157.0
CACHED_PROMPTS = 80
TICK_MS = 5.0
# Age of the counts that routers have of each other's requests.
EXCHANGE_MS = 150.0
# Time to fetch a cached prompt of 4,000 tokens from another engine.
FETCH_MS = 15.0
# Part of a tick that may go to reading prompts.
READ_SHARE = 0.7


@dataclasses.dataclass(eq=False)
class Run:
    """A request and what became of it."""

    at_ms: float
    prompt: str
    prompt_tokens: int
    tokens: int
    rank: int = 5
    account: str = 'a'
    router: int = 0
    engine: str = ''
    holder: 'Engine | None' = None
    unread: float = 0.0
    fetched_ms: float = 0.0
    left: float = 0.0
    first_ms: float | None = None
    had_to_wait: bool = False
    places_elsewhere: int = 0

    @property
    def delay_ms(self):
        """Time to the first token, endless if there was none."""
        if self.first_ms is None:
            return float('inf')
        return self.first_ms - self.at_ms


class Engine:
    """One engine."""

    def __init__(self, name, slots=SLOTS):
        self.name = name
        self.slots = slots
        self.running = []
        self.waiting = []
        self.cached = collections.OrderedDict()
        self._order = 0

    @property
    def load(self):
        """Requests that it runs or holds."""
        return len(self.running) + len(self.waiting)

    def take(self, run):
        """Let a request wait for a place."""
        self._order += 1
        run.engine = self.name
        run.had_to_wait = self.load >= self.slots
        heapq.heappush(self.waiting, (run.rank, self._order, run))

    def advance(self, now_ms):
        """Work for one tick; return the requests that ended."""
        while self.waiting and len(self.running) < self.slots:
            _, _, run = heapq.heappop(self.waiting)
            run.left = run.tokens
            if run.prompt in self.cached:
                run.unread = 0
            elif run.holder and run.prompt in run.holder.cached:
                run.unread = 0
                run.fetched_ms = now_ms + FETCH_MS
            else:
                run.unread = run.prompt_tokens
            self.running.append(run)
        budget = TICK_MS * READ_SHARE * READ_TOKENS_PER_MS
        for run in self.running:
            part = min(run.unread, budget)
            run.unread -= part
            budget -= part
        read_ms = TICK_MS * READ_SHARE - budget / READ_TOKENS_PER_MS
        step_ms = STEP_MS + STEP_MS_PER_REQUEST * len(self.running)
        made = (TICK_MS - read_ms) / step_ms
        ended = []
        for run in self.running:
            if run.unread or run.fetched_ms > now_ms:
                continue
            if run.first_ms is None:
                run.first_ms = now_ms
                self._cache(run.prompt)
            run.left -= made
            if run.left <= 0:
                ended.append(run)
        self.running = [run for run in self.running if run.left > 0]
        return ended

    def _cache(self, prompt):
        self.cached[prompt] = None
        self.cached.move_to_end(prompt)
        while len(self.cached) > CACHED_PROMPTS:
            self.cached.popitem(last=False)


def make_runs(rate_per_s, length_s, seed=1, **fields):
    """Draw requests: prompts of unequal frequency, lengths of a sheet."""
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
        runs.append(Run(at_ms=at_ms, **values))
    return runs


def replay(
    runs, service, choose=placing.choose_endpoint, engines=6, routers=4
):
    """Place requests at engines as routers with old counts would.

    :param choose: the decision that is replayed.
    """
    fleet = {f'e{n}': Engine(f'e{n}') for n in range(engines)}
    tables = []
    for _ in range(routers):
        table = endpoint_table.EndpointTable()
        for name in fleet:
            entry = gateway_stage.make_endpoint_entry(name, slots=SLOTS)
            table.put(entry, 0.0)
        tables.append(table)
    rng = random.Random(7)
    pending = collections.deque(sorted(runs, key=lambda run: run.at_ms))
    now_ms = 0.0
    told_ms = 0.0
    while pending or any(engine.load for engine in fleet.values()):
        if now_ms - told_ms >= EXCHANGE_MS:
            told_ms = now_ms
            _exchange(tables, now_ms)
        while pending and pending[0].at_ms <= now_ms:
            run = pending.popleft()
            table = tables[run.router]
            query = placing.Query(
                service, run.prompt, frozenset(), routers, now_ms
            )
            choice = choose(table.list_service(service.name), query, rng)
            choice.endpoint.running += 1
            engine = fleet[choice.endpoint.id]
            if choice.holder is not None:
                run.holder = fleet[choice.holder.id]
            engine.take(run)
            run.places_elsewhere = sum(
                max(0, other.slots - other.load) for other in fleet.values()
            )
        for engine in fleet.values():
            for run in engine.advance(now_ms):
                tables[run.router].get(engine.name).running -= 1
        now_ms += TICK_MS
    return runs


def _exchange(tables, now_ms):
    for table in tables:
        for item in table.list_all():
            others = sum(
                other.get(item.id).running
                for other in tables
                if other is not table
            )
            item.note_others(others, now_ms)
