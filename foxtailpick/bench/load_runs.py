"""Simulation of load policies on a fleet of engines, in virtual time.

A request counts with all its tokens until it ends. Loads are the actual
outstanding tokens of the engines.
"""

import bisect
import dataclasses
import heapq
import itertools
import random
import typing

from foxtailpick.adapters import base
from foxtailpick.core import decision
from foxtailpick.core import invariants
from foxtailpick.core import load_bound
from foxtailpick.core import load_gossip
from foxtailpick.core import load_view
from foxtailpick.core import mean_estimate
from foxtailpick.core import placement

SEED = 4
TOKEN_MS = 38.0
MEAN_ANSWER_TOKENS = 307.0
ANSWER_SIGMA = 0.8
PROMPT_TOKENS = 200.0
REQUESTS_PER_ENGINE_PER_S = 7.5
CHATS_PER_ENGINE = 200
HINT_FRACTION = 0.8
ZIPF_EXPONENT = 0.9
SURGE_CHATS = 30
SURGE_PREFIX = 'surge-'
SURGE_FRACTION = 0.15
SURGE_PERIOD_MS = 20_000.0
SURGE_MS = 8_000.0
WARM_UP_MS = 16_000.0
MISSING_FRACTION = 0.02
LIST_PERIOD_MS = 5_000.0
GOSSIP_LOSS_RATE = 0.05
MAX_ATTEMPTS = 4
MIN_REQUESTS_PER_SAMPLE = 20
UDP_HEADER_BYTES = 28


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """Dimensions of a run.

    :param engines: number of engines.
    :param routers: number of routers.
    :param measured_ms: measured time after the warm-up.
    :param surge_fraction: fraction of requests from the surging account
        during a surge.
    :param eligible_fraction: fraction of the engines that it may use.
    :param is_brief: whether to run only the main policies.
    """

    engines: int
    routers: int
    measured_ms: float
    surge_fraction: float = SURGE_FRACTION
    eligible_fraction: float = 1.0
    is_brief: bool = False


@dataclasses.dataclass(slots=True)
class Engine:
    """A simulated engine with the load bound of its sidecar."""

    endpoint: str
    bound: load_bound.LoadBound
    mean: mean_estimate.MeanEstimate
    peers: list[str]
    load: float = 0.0
    chats: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that arrives at a router.

    :param number: serial number.
    :param chat: chat id.
    :param cost: tokens by which it loads an engine.
    :param duration_ms: time for which it holds these tokens.
    :param router: index of the router.
    :param order: endpoints in order of preference.
    :param now_ms: time of arrival.
    :param eligible: endpoints that its account may use.
    """

    number: int
    chat: str
    cost: float
    duration_ms: float
    router: int
    order: tuple[str, ...]
    now_ms: float
    eligible: list[str]


@dataclasses.dataclass(slots=True)
class Result:
    """Counters of a run after the warm-up.

    :param requests: number of requests.
    :param attempts: placement attempts.
    :param refused: requests that no endpoint admitted.
    :param cold_returns: requests of returning chats on an engine without
        their prefix.
    :param max_ratio: highest ratio of a load to the mean.
    :param ratios: sampled ratios of the p99 load to the mean.
    :param gossip_bytes: bytes of load reports between sidecars.
    :param piggyback_bytes: bytes of load data in requests and replies.
    """

    requests: int = 0
    attempts: int = 0
    refused: int = 0
    cold_returns: int = 0
    max_ratio: float = 0.0
    ratios: list[float] = dataclasses.field(default_factory=list)
    gossip_bytes: int = 0
    piggyback_bytes: int = 0


class Simulation:
    """One run of a policy on a fleet, with fixed seeds.

    :param fleet: dimensions of the run.
    :param policy: function that chooses the engine of a request, None if
        all refuse.
    :param has_gossip: whether sidecars exchange load reports.
    """

    def __init__(
        self,
        fleet: Fleet,
        policy: typing.Callable[['Simulation', Arrival], Engine | None],
        has_gossip: bool,
    ) -> None:
        self.fleet = fleet
        self.policy = policy
        self.has_gossip = has_gossip
        self.rng = random.Random(SEED)
        self.gossip_rng = random.Random(SEED + 1)
        self.engines = _build_engines(fleet.engines)
        self.names = list(self.engines)
        eligible_count = round(fleet.eligible_fraction * fleet.engines)
        self.surge_endpoints = self.names[:eligible_count]
        self.table = _build_table(self.names)
        self.views = [load_view.LoadView() for _ in range(fleet.routers)]
        self.seen_loads = [{} for _ in range(fleet.routers)]
        self.total = 0.0
        self.result = Result()
        self._orders: dict[str, tuple[str, ...]] = {}
        self._last_endpoints: dict[str, str] = {}
        self._ends: list[tuple[float, int, Engine, float]] = []
        self._chats = _ZipfChats(fleet.engines * CHATS_PER_ENGINE)
        self._missing = [frozenset()] * fleet.routers
        self._is_measured = False

    @property
    def mean(self) -> float:
        return self.total / len(self.engines)

    def run(self) -> Result:
        end_ms = WARM_UP_MS + self.fleet.measured_ms
        rate = REQUESTS_PER_ENGINE_PER_S * self.fleet.engines / 1_000.0
        now_ms = next_gossip_ms = next_list_ms = 0.0
        requests_per_sample = max(
            MIN_REQUESTS_PER_SAMPLE, self.fleet.engines // 5
        )
        for number in itertools.count():
            now_ms += self.rng.expovariate(rate)
            if now_ms > end_ms:
                return self.result
            self._is_measured = now_ms > WARM_UP_MS
            if now_ms >= next_list_ms:
                self._redraw_missing()
                next_list_ms += LIST_PERIOD_MS
            if self.has_gossip and now_ms >= next_gossip_ms:
                self._exchange_reports(now_ms)
                next_gossip_ms += load_gossip.REPORT_INTERVAL_MS
            self._end_requests(now_ms)
            self._start_request(number, now_ms)
            if self._is_measured and number % requests_per_sample == 0:
                self._sample_loads()

    def place(self, engine: Engine, arrival: Arrival) -> None:
        """Start a request on an engine."""
        engine.load += arrival.cost
        self.total += arrival.cost
        end_ms = arrival.now_ms + arrival.duration_ms
        heapq.heappush(
            self._ends, (end_ms, arrival.number, engine, arrival.cost)
        )
        if self._is_measured:
            ratio = engine.load / self.mean
            self.result.max_ratio = max(self.result.max_ratio, ratio)
            is_returning = arrival.chat in self._last_endpoints
            is_cold = arrival.chat not in engine.chats
            self.result.cold_returns += is_returning and is_cold
        engine.chats.add(arrival.chat)
        self._last_endpoints[arrival.chat] = engine.endpoint

    def count_attempt(self, piggyback_bytes: int = 0) -> None:
        if self._is_measured:
            self.result.attempts += 1
            self.result.piggyback_bytes += piggyback_bytes

    def list_reporting_engines(self, now_ms: float) -> list[Engine]:
        """Return the engines whose sidecars report their load."""
        return list(self.engines.values())

    def _start_request(self, number: int, now_ms: float) -> None:
        chat = self._draw_chat(now_ms)
        eligible = self.names
        if chat.startswith(SURGE_PREFIX):
            eligible = self.surge_endpoints
        tokens = self.rng.lognormvariate(0.0, ANSWER_SIGMA)
        tokens *= MEAN_ANSWER_TOKENS / 1.377
        router = self.rng.randrange(self.fleet.routers)
        arrival = Arrival(
            number,
            chat,
            PROMPT_TOKENS + tokens,
            tokens * TOKEN_MS,
            router,
            self.order_endpoints(chat, eligible, self._missing[router]),
            now_ms,
            eligible,
        )
        engine = self.policy(self, arrival)
        if self._is_measured:
            self.result.requests += 1
            self.result.refused += engine is None
        if engine is not None:
            self.place(engine, arrival)

    def _draw_chat(self, now_ms: float) -> str:
        is_surge = now_ms % SURGE_PERIOD_MS < SURGE_MS
        if is_surge and self.rng.random() < self.fleet.surge_fraction:
            return f'{SURGE_PREFIX}{self.rng.randrange(SURGE_CHATS)}'
        return self._chats.draw(self.rng)

    def order_endpoints(
        self, chat: str, eligible: list[str], missing: frozenset[str]
    ) -> tuple[str, ...]:
        if chat not in self._orders:
            self._orders[chat] = self._compute_order(chat, eligible)
        order = [e for e in self._orders[chat] if e not in missing]
        last = self._last_endpoints.get(chat)
        if last is not None and self.rng.random() < HINT_FRACTION:
            order = [last, *order]
        return tuple(dict.fromkeys(order))

    def _compute_order(
        self, chat: str, eligible: list[str]
    ) -> tuple[str, ...]:
        req = decision.PlacementRequest(
            chat,
            'svc',
            'region',
            allowed=None if eligible is self.names else frozenset(eligible),
            max_candidates=MAX_ATTEMPTS + 2,
        )
        placed = placement.choose_endpoints(self.table, req)
        return tuple(candidate.endpoint for candidate in placed.candidates)

    def _redraw_missing(self) -> None:
        count = round(MISSING_FRACTION * len(self.names))
        self._missing = [
            frozenset(self.rng.sample(self.names, count))
            for _ in self._missing
        ]

    def _exchange_reports(self, now_ms: float) -> None:
        for engine in self.list_reporting_engines(now_ms):
            report = engine.bound.make_report(None, now_ms)
            size = len(load_gossip.encode_report(report)) + UDP_HEADER_BYTES
            peers = load_gossip.sample_peers(engine.peers, self.gossip_rng)
            for peer in peers:
                if self._is_measured:
                    self.result.gossip_bytes += size
                if self.gossip_rng.random() >= GOSSIP_LOSS_RATE:
                    self.engines[peer].mean.observe(report, now_ms)

    def _end_requests(self, now_ms: float) -> None:
        while self._ends and self._ends[0][0] <= now_ms:
            _end_ms, number, engine, cost = heapq.heappop(self._ends)
            engine.load -= cost
            self.total -= cost
            engine.bound.release(number)

    def _sample_loads(self) -> None:
        mean = self.mean
        loads = sorted(engine.load for engine in self.engines.values())
        highest = loads[-1] / mean
        self.result.max_ratio = max(self.result.max_ratio, highest)
        self.result.ratios.append(loads[int(0.99 * len(loads))] / mean)


class _ZipfChats:
    def __init__(self, count: int) -> None:
        weights = (rank**-ZIPF_EXPONENT for rank in range(1, count + 1))
        self._sums = list(itertools.accumulate(weights))

    def draw(self, rng: random.Random) -> str:
        point = rng.random() * self._sums[-1]
        return f'chat-{bisect.bisect(self._sums, point)}'


def _build_engines(count: int) -> dict[str, Engine]:
    monitor = invariants.Monitor(is_strict=True)
    names = [f'ep-{number}' for number in range(count)]
    engines = {}
    for name in names:
        bound = load_bound.LoadBound(
            name, 1.0, monitor, rng=random.Random(name)
        )
        mean = bound.set_pool(None, float(count))
        peers = [peer for peer in names if peer != name]
        engines[name] = Engine(name, bound, mean, peers)
    return engines


def _build_table(names: list[str]) -> placement.PlacementTable:
    return placement.PlacementTable.from_members(
        base.Member(
            name, 'inc', '127.0.0.1:1', 'region', f'domain-{i % 3}', 'svc'
        )
        for i, name in enumerate(names)
    )
