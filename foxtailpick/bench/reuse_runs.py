"""Simulation of returning chats on engines with prefix caches.

Engines keep the prefixes of chats in an LRU cache of limited size. Endpoints
are replaced and flap, and the membership lists of routers lag by different
times.
"""

import collections
import dataclasses
import heapq
import itertools
import random
import typing

from foxtailpick.adapters import base
from foxtailpick.core import decision
from foxtailpick.core import invariants
from foxtailpick.core import load_bound
from foxtailpick.core import placement

SEED = 11
ENGINES = 24
CACHE_TOKENS = 600_000
CHATS = 12_000
SHORT_PAUSE_MS = 180_000.0
LONG_PAUSE_MS = 1_800_000.0
LONG_PAUSE_FRACTION = 0.15
MEAN_TURNS = 10
PROMPT_TOKENS = 200
MEAN_ANSWER_TOKENS = 307.0
ANSWER_SIGMA = 0.8
# Several times the real time per token, so that a run with few requests has
# the concurrency of a large fleet.
TOKEN_MS = 285.0
WARM_UP_MS = 480_000.0
END_MS = 1_980_000.0
REPLACEMENT_TIMES_MS = (720_000.0,)
FLAP_PERIOD_MS = 60_000.0
FLAP_MS = 3_000.0
LIST_LAGS_MS = (0.0, 2_500.0, 5_000.0)
MEAN_PERIOD_MS = 500.0
MEAN_BIAS = 0.994
MEAN_SIGMA = 0.014


@dataclasses.dataclass(slots=True)
class Engine:
    """A simulated engine with a load bound and a prefix cache.

    :param bound: load bound of its sidecar.
    :param load: outstanding tokens.
    :param cached: prefix tokens and time of last use per chat, in LRU order.
    :param cached_tokens: total tokens in the cache.
    :param eviction_age_ms: idle time of the prefix evicted last.
    """

    bound: load_bound.LoadBound
    load: float = 0.0
    cached: collections.OrderedDict = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    cached_tokens: int = 0
    eviction_age_ms: float = LONG_PAUSE_MS

    def run(
        self, chat: str, context: int, new_context: int, now_ms: float
    ) -> int:
        """Run a turn and return the number of its cached context tokens."""
        known, _used_ms = self.cached.pop(chat, (0, 0.0))
        self.cached[chat] = (new_context, now_ms)
        self.cached_tokens += new_context - known
        while self.cached_tokens > CACHE_TOKENS:
            _chat, (tokens, used_ms) = self.cached.popitem(last=False)
            self.cached_tokens -= tokens
            self.eviction_age_ms = now_ms - used_ms
        return min(known, context)


@dataclasses.dataclass(slots=True)
class Chat:
    """State of a chat between two turns.

    :param name: chat id.
    :param context: tokens of the conversation so far.
    :param hint: location hint of the last turn.
    """

    name: str
    context: int = 0
    hint: decision.LocationHint | None = None


@dataclasses.dataclass(slots=True)
class Result:
    """Counters of a run after the warm-up.

    :param context: context tokens of all requests.
    :param reused: context tokens that were cached.
    :param requests: number of requests.
    :param attempts: placement attempts.
    :param refused: requests that no endpoint admitted.
    :param max_ratio: highest ratio of a load to the mean.
    """

    context: int = 0
    reused: int = 0
    requests: int = 0
    attempts: int = 0
    refused: int = 0
    max_ratio: float = 0.0


class Simulation:
    """One run of a policy, with fixed seeds.

    :param policy: function that chooses the engine of a turn.
    :param hint_fraction: fraction of turns that return the location hint.
    :param hold_ms: how long placement tables keep an absent endpoint.
    """

    def __init__(
        self,
        policy: typing.Callable,
        hint_fraction: float = 0.0,
        hold_ms: float = placement.FLAP_HOLD_MS,
    ) -> None:
        self.policy = policy
        self.hint_fraction = hint_fraction
        self.rng = random.Random(SEED)
        self.policy_rng = random.Random(SEED + 1)
        self.monitor = invariants.Monitor(is_strict=True)
        self.engines: dict[str, Engine] = {}
        self.members: dict[str, base.Member] = {}
        self.total = 0.0
        self.now_ms = 0.0
        self.attempt = 0
        self.result = Result()
        self.seen_loads: dict[str, float] = {}
        self._names = itertools.count()
        self._events = itertools.count()
        self._queue: list[tuple[float, int, typing.Callable]] = []
        for _ in range(ENGINES):
            self._add_engine()
        self.tables = [
            placement.PlacementTable.from_members(
                self.members.values(), flap_hold_ms=hold_ms
            )
            for _ in LIST_LAGS_MS
        ]

    @property
    def mean(self) -> float:
        return self.total / len(self.engines)

    def run(self) -> Result:
        for number in range(CHATS):
            chat = Chat(f'chat-{number}')
            self._schedule(
                self.rng.random() * LONG_PAUSE_MS / 5.0, self._run_turn, chat
            )
        for at_ms in REPLACEMENT_TIMES_MS:
            self._schedule(at_ms, self._replace_engine)
        self._schedule(FLAP_PERIOD_MS, self._flap)
        self._schedule(0.0, self._update_means)
        while self.now_ms < END_MS:
            self.now_ms, _number, action = heapq.heappop(self._queue)
            action()
        return self.result

    def _schedule(self, delay_ms: float, action, *args) -> None:
        event = (
            self.now_ms + delay_ms,
            next(self._events),
            (lambda: action(*args)) if args else action,
        )
        heapq.heappush(self._queue, event)

    def _add_engine(self) -> None:
        name = f'ep-{next(self._names)}'
        bound = load_bound.LoadBound(name, 1.0, self.monitor)
        bound.set_pool(None, float(ENGINES))
        self.engines[name] = Engine(bound)
        domain = f'domain-{len(self.members) % 3}'
        self.members[name] = base.Member(
            name, f'inc-{name}', '127.0.0.1:1', 'region', domain, 'svc'
        )

    def _replace_engine(self) -> None:
        name = next(iter(self.engines))
        self.total -= self.engines.pop(name).load
        del self.members[name]
        self._add_engine()
        self._publish(list(self.members.values()))

    def _flap(self) -> None:
        absent = self.rng.choice(list(self.members))
        listed = [m for m in self.members.values() if m.endpoint != absent]
        self._publish(listed)
        self._schedule(FLAP_MS, self._end_flap)
        self._schedule(FLAP_PERIOD_MS, self._flap)

    def _end_flap(self) -> None:
        self._publish(list(self.members.values()))

    def _publish(self, members: list[base.Member]) -> None:
        for table, lag_ms in zip(self.tables, LIST_LAGS_MS, strict=True):
            self._schedule(lag_ms, self._update, table, members)

    def _update(self, table, members) -> None:
        table.update(members, None, self.now_ms)

    def _update_means(self) -> None:
        for table in self.tables:
            table.expire_absent(self.now_ms)
        for engine in self.engines.values():
            error = self.policy_rng.gauss(MEAN_BIAS, MEAN_SIGMA)
            mean = engine.bound.set_pool(None, float(ENGINES))
            mean.observe_router_view(self.mean * error, self.now_ms)
        self._schedule(MEAN_PERIOD_MS, self._update_means)

    def _run_turn(self, chat: Chat) -> None:
        tokens = self.rng.lognormvariate(0.0, ANSWER_SIGMA)
        tokens *= MEAN_ANSWER_TOKENS / 1.377
        cost = PROMPT_TOKENS + tokens
        new_context = chat.context + round(cost)
        hinted = dataclasses.replace(chat)
        if self.rng.random() >= self.hint_fraction:
            hinted.hint = None
        self.attempt += 1
        router = self.rng.randrange(len(self.tables))
        name = self.policy(self, hinted, cost, self.tables[router])
        self._count(chat, name, new_context)
        if name is not None:
            self._start(name, cost, tokens * TOKEN_MS)
            chat.context = new_context
            chat.hint = decision.LocationHint(
                name,
                self.members[name].incarnation,
                self.now_ms + self.engines[name].eviction_age_ms,
            )
        if self.rng.random() < 1.0 / MEAN_TURNS:
            chat = Chat(f'chat-{next(self._names)}')
        self._schedule(self._draw_pause_ms(), self._run_turn, chat)

    def _count(self, chat: Chat, name: str | None, new_context: int) -> None:
        reused = 0
        if name is not None:
            reused = self.engines[name].run(
                chat.name, chat.context, new_context, self.now_ms
            )
        if self.now_ms > WARM_UP_MS:
            self.result.requests += 1
            self.result.refused += name is None
            self.result.context += chat.context
            self.result.reused += reused

    def _start(self, name: str, cost: float, hold_ms: float) -> None:
        engine = self.engines[name]
        engine.load += cost
        self.total += cost
        if self.now_ms > WARM_UP_MS:
            ratio = engine.load / self.mean
            self.result.max_ratio = max(self.result.max_ratio, ratio)
        self._schedule(hold_ms, self._finish, name, engine, cost, self.attempt)

    def _finish(
        self, name: str, engine: Engine, cost: float, attempt: int
    ) -> None:
        engine.bound.release(attempt)
        if self.engines.get(name) is engine:
            engine.load -= cost
            self.total -= cost

    def _draw_pause_ms(self) -> float:
        is_long = self.rng.random() < LONG_PAUSE_FRACTION
        mean_ms = LONG_PAUSE_MS if is_long else SHORT_PAUSE_MS
        return self.rng.expovariate(1.0 / mean_ms)

    def count_attempt(self) -> None:
        if self.now_ms > WARM_UP_MS:
            self.result.attempts += 1
