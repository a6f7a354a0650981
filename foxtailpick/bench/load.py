"""Load skew, tries a request and control bytes, against baselines.

Requests hold their tokens for as long as they run. Loads are the true
outstanding tokens of the engines, looked at after every admission and at
short intervals between.
"""

import bisect
import dataclasses
import heapq
import itertools
import random
import typing

from foxtailpick.adapters import base
from foxtailpick.bench import tables
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
HINT_SHARE = 0.8
ZIPF_EXPONENT = 0.9
SURGE_CHATS = 30
SURGE_PREFIX = 'surge-'
SURGE_SHARE = 0.15
SURGE_PERIOD_MS = 20_000.0
SURGE_MS = 8_000.0
WARM_MS = 16_000.0
MISSING_SHARE = 0.02
LIST_PERIOD_MS = 5_000.0
LOST_GOSSIP_SHARE = 0.05
MAX_TRIES = 4
MIN_SCAN_EVENTS = 20
UDP_HEADER_BYTES = 28
MEAN_BYTES = 6
ADMISSION_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """Sizes of a run.

    :param engines: engines of the pool.
    :param routers: routers in front.
    :param measured_ms: time measured, after the warm-up.
    :param surge_share: share of requests that a surging account sends.
    :param set_share: share of the engines that this account may use.
    :param is_brief: whether to run only the main policies.
    """

    engines: int
    routers: int
    measured_ms: float
    surge_share: float = SURGE_SHARE
    set_share: float = 1.0
    is_brief: bool = False


@dataclasses.dataclass(slots=True)
class Engine:
    """A fake engine with its sidecar's bound."""

    endpoint: str
    bound: load_bound.LoadBound
    mean: mean_estimate.MeanEstimate
    peers: list[str]
    load: float = 0.0
    chats: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request as it reaches a router."""

    number: int
    chat: str
    cost: float
    hold_ms: float
    router: int
    order: tuple[str, ...]
    now_ms: float
    eligible: list[str]


@dataclasses.dataclass(slots=True)
class Result:
    """What a run counted."""

    requests: int = 0
    tries: int = 0
    refused: int = 0
    cold: int = 0
    max_ratio: float = 0.0
    ratios: list[float] = dataclasses.field(default_factory=list)
    gossip_bytes: int = 0
    rider_bytes: int = 0


class Simulation:
    """One run of a policy on a fleet, with fixed seeds.

    :param fleet: the sizes.
    :param policy: function that runs one request, returns its engine.
    :param gossips: whether sidecars exchange samples.
    """

    def __init__(self, fleet: Fleet, policy, gossips: bool) -> None:
        self.fleet = fleet
        self.policy = policy
        self.gossips = gossips
        self.rng = random.Random(SEED)
        self.gossip_rng = random.Random(SEED + 1)
        self.engines = _build_engines(fleet.engines)
        self.names = list(self.engines)
        set_size = round(fleet.set_share * fleet.engines)
        self.set_names = self.names[:set_size]
        self.table = _build_table(self.names)
        self.views = [load_view.LoadView() for _ in range(fleet.routers)]
        self.seen = [{} for _ in range(fleet.routers)]
        self.total = 0.0
        self.result = Result()
        self._orders: dict[str, tuple[str, ...]] = {}
        self._last_places: dict[str, str] = {}
        self._ends: list[tuple[float, int, Engine, float]] = []
        self._chats = _ZipfChats(fleet.engines * CHATS_PER_ENGINE)
        self._missing = [frozenset()] * fleet.routers
        self._is_measured = False

    @property
    def mean(self) -> float:
        return self.total / len(self.engines)

    def run(self) -> Result:
        end_ms = WARM_MS + self.fleet.measured_ms
        rate = REQUESTS_PER_ENGINE_PER_S * self.fleet.engines / 1_000.0
        now_ms = gossip_ms = list_ms = 0.0
        scan_events = max(MIN_SCAN_EVENTS, self.fleet.engines // 5)
        for number in itertools.count():
            now_ms += self.rng.expovariate(rate)
            if now_ms > end_ms:
                return self.result
            self._is_measured = now_ms > WARM_MS
            if now_ms >= list_ms:
                self._redraw_lists()
                list_ms += LIST_PERIOD_MS
            if self.gossips and now_ms >= gossip_ms:
                self._exchange_reports(now_ms)
                gossip_ms += load_gossip.PERIOD_MS
            self._end_requests(now_ms)
            self._start_request(number, now_ms)
            if self._is_measured and number % scan_events == 0:
                self._scan_loads()

    def place(self, engine: Engine, arrival: Arrival) -> None:
        """Let an engine run a request."""
        engine.load += arrival.cost
        self.total += arrival.cost
        end_ms = arrival.now_ms + arrival.hold_ms
        heapq.heappush(
            self._ends, (end_ms, arrival.number, engine, arrival.cost)
        )
        if self._is_measured:
            ratio = engine.load / self.mean
            self.result.max_ratio = max(self.result.max_ratio, ratio)
            is_returning = arrival.chat in self._last_places
            is_cold = arrival.chat not in engine.chats
            self.result.cold += is_returning and is_cold
        engine.chats.add(arrival.chat)
        self._last_places[arrival.chat] = engine.endpoint

    def count_try(self, rider_bytes: int = 0) -> None:
        if self._is_measured:
            self.result.tries += 1
            self.result.rider_bytes += rider_bytes

    def list_reporting(self, now_ms: float) -> list[Engine]:
        """Return the engines whose sidecars tell their load."""
        return list(self.engines.values())

    def _start_request(self, number: int, now_ms: float) -> None:
        chat = self._draw_chat(now_ms)
        eligible = self.names
        if chat.startswith(SURGE_PREFIX):
            eligible = self.set_names
        tokens = self.rng.lognormvariate(0.0, ANSWER_SIGMA)
        tokens *= MEAN_ANSWER_TOKENS / 1.377
        router = self.rng.randrange(self.fleet.routers)
        arrival = Arrival(
            number,
            chat,
            PROMPT_TOKENS + tokens,
            tokens * TOKEN_MS,
            router,
            self.list_order(chat, eligible, self._missing[router]),
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
        if is_surge and self.rng.random() < self.fleet.surge_share:
            return f'{SURGE_PREFIX}{self.rng.randrange(SURGE_CHATS)}'
        return self._chats.draw(self.rng)

    def list_order(
        self, chat: str, eligible: list[str], missing: frozenset[str]
    ) -> tuple[str, ...]:
        if chat not in self._orders:
            self._orders[chat] = self._compute_order(chat, eligible)
        order = [e for e in self._orders[chat] if e not in missing]
        last = self._last_places.get(chat)
        if last is not None and self.rng.random() < HINT_SHARE:
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
            max_candidates=MAX_TRIES + 2,
        )
        made = placement.choose_endpoints(self.table, req)
        return tuple(candidate.endpoint for candidate in made.candidates)

    def _redraw_lists(self) -> None:
        count = round(MISSING_SHARE * len(self.names))
        self._missing = [
            frozenset(self.rng.sample(self.names, count))
            for _ in self._missing
        ]

    def _exchange_reports(self, now_ms: float) -> None:
        for engine in self.list_reporting(now_ms):
            report = engine.bound.make_report(None, now_ms)
            size = len(load_gossip.encode_report(report)) + UDP_HEADER_BYTES
            peers = load_gossip.draw_peers(engine.peers, self.gossip_rng)
            for peer in peers:
                if self._is_measured:
                    self.result.gossip_bytes += size
                if self.gossip_rng.random() >= LOST_GOSSIP_SHARE:
                    self.engines[peer].mean.observe(report, now_ms)

    def _end_requests(self, now_ms: float) -> None:
        while self._ends and self._ends[0][0] <= now_ms:
            _end_ms, number, engine, cost = heapq.heappop(self._ends)
            engine.load -= cost
            self.total -= cost
            engine.bound.release(number)

    def _scan_loads(self) -> None:
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


def run_random(sim: Simulation, arrival: Arrival) -> Engine:
    """Any engine."""
    sim.count_try()
    return sim.engines[sim.rng.choice(arrival.eligible)]


def run_two_choices(sim: Simulation, arrival: Arrival) -> Engine:
    """The one of two that the router saw last with the lower load."""
    seen = sim.seen[arrival.router]
    drawn = sim.rng.sample(arrival.eligible, 2)
    name = min(drawn, key=lambda endpoint: seen.get(endpoint, 0.0))
    engine = sim.engines[name]
    seen[name] = engine.load + arrival.cost
    sim.count_try(ADMISSION_BYTES)
    return engine


def run_consistent(sim: Simulation, arrival: Arrival) -> Engine:
    """The first in the computed order, whatever its load."""
    sim.count_try()
    return sim.engines[arrival.order[0]]


def run_router_bound(sim: Simulation, arrival: Arrival) -> Engine:
    """The first in order that the router's own view has below the bound."""
    seen = sim.seen[arrival.router]
    mean = sum(seen.values()) / len(seen) if seen else 0.0
    limit = max(mean, load_bound.FLOOR_TOKENS) * load_bound.MULTIPLE
    fits = [n for n in arrival.order if seen.get(n, 0.0) <= limit]
    engine = sim.engines[fits[0] if fits else arrival.order[0]]
    seen[engine.endpoint] = engine.load + arrival.cost
    sim.count_try(ADMISSION_BYTES)
    return engine


def make_bounded(
    uses_view: bool = False,
    uses_truth: bool = False,
    uses_hints: bool = True,
    avoids_full: bool = True,
    keeps_places: bool = True,
) -> typing.Callable[[Simulation, Arrival], Engine | None]:
    """Build a policy with the bound at the sidecar.

    :param uses_view: whether the mean comes from the router's view.
    :param uses_truth: whether the mean is the true one, by an oracle.
    :param uses_hints: whether a hint goes before the computed order.
    :param avoids_full: whether routers skip what refused a moment ago.
    :param keeps_places: whether routers remember where a refused chat went.
    """

    def run(sim: Simulation, arrival: Arrival) -> Engine | None:
        view = sim.views[arrival.router]
        full = view.list_full(arrival.now_ms) if avoids_full else {}
        order = list(arrival.order)
        place = view.get_place(arrival.chat, arrival.now_ms)
        if place is not None and keeps_places:
            order = list(dict.fromkeys([place.endpoint, *order]))
        waiting = sorted(order, key=lambda name: name in full)
        for _ in range(MAX_TRIES):
            if not waiting:
                return None
            name = waiting.pop(0)
            engine = sim.engines[name]
            if uses_truth:
                engine.mean.observe_router_view(sim.mean, arrival.now_ms)
            elif uses_view:
                mean = view.get_mean_tokens('svc', arrival.now_ms) or 0.0
                engine.mean.observe_router_view(mean, arrival.now_ms)
            made = engine.bound.admit(
                arrival.number, None, arrival.cost, arrival.now_ms, waiting
            )
            sim.count_try(MEAN_BYTES + ADMISSION_BYTES)
            view.observe('svc', name, made, arrival.now_ms)
            if made.is_admitted:
                if place is not None or name != order[0]:
                    hint = decision.LocationHint(name, 'inc')
                    view.remember_place(arrival.chat, hint, arrival.now_ms)
                return engine
            if uses_hints:
                hints = [e for e in made.hints if e in arrival.eligible]
                waiting = list(dict.fromkeys([*hints[:1], *waiting]))
        return None

    return run


VARIANTS = (
    ('random', run_random, False),
    ('least of two, last seen', run_two_choices, False),
    ('consistent hashing', run_consistent, False),
    ('bound at the router', run_router_bound, False),
    (
        'bound at the sidecar, mean of the router',
        make_bounded(uses_view=True, uses_hints=False),
        False,
    ),
    (
        'bound at the sidecar, gossip, no hint',
        make_bounded(uses_hints=False),
        True,
    ),
    ('ours: bound at the sidecar, gossip, hint', make_bounded(), True),
    ('bound at the sidecar, true mean', make_bounded(uses_truth=True), False),
)
MAIN_VARIANTS = (
    'least of two, last seen',
    'consistent hashing',
    'ours: bound at the sidecar, gossip, hint',
)
COLUMNS = (
    'policy',
    'max/mean over time',
    'p99/mean, highest',
    'tries a request',
    'refused %',
    'returns to a cold engine %',
    'gossip B/s a sidecar, out',
    'riders B/s a router',
)
FLEETS = (
    Fleet(10, 3, 60_000.0),
    Fleet(100, 36, 16_000.0),
    Fleet(1_000, 360, 4_000.0, is_brief=True),
    Fleet(100, 36, 16_000.0, surge_share=0.3, set_share=0.25),
)


def measure() -> list[tables.Table]:
    """Run all policies on all fleets."""
    return [_measure_fleet(fleet) for fleet in FLEETS]


def _measure_fleet(fleet: Fleet) -> tables.Table:
    table = tables.Table(
        f'Load skew: {fleet.engines} engines, {fleet.routers} routers, '
        f'Zipf {ZIPF_EXPONENT} chats, surges of {fleet.surge_share:.0%} from '
        f'accounts on {fleet.set_share:.0%} of the engines, '
        f'lists lacking {MISSING_SHARE:.0%}, seed {SEED}',
        COLUMNS,
    )
    for name, policy, gossips in VARIANTS:
        if fleet.is_brief and name not in MAIN_VARIANTS:
            continue
        result = Simulation(fleet, policy, gossips).run()
        _add_result(table, name, fleet, result)
    return table


def _add_result(
    table: tables.Table, name: str, fleet: Fleet, result: Result
) -> None:
    seconds = fleet.measured_ms / 1_000.0
    table.add_row(
        name,
        result.max_ratio,
        max(result.ratios),
        result.tries / result.requests,
        100.0 * result.refused / result.requests,
        100.0 * result.cold / result.requests,
        result.gossip_bytes / seconds / fleet.engines,
        result.rider_bytes / seconds / fleet.routers,
    )
