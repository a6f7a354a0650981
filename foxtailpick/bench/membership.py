"""Membership view against the plain list and against failure counting.

Simulates one router at the target fleet size in virtual time: 1,000 servers
in 14 failure domains of 5 regions, 21 requests per second spread evenly, and
a membership list that is read every second and shows changes 30 s late. An
attempt without an answer times out after 1.5 s.
"""

import dataclasses
import heapq
import itertools
import random
import time
import tracemalloc
import typing

from loguru import logger

from foxtailpick.adapters import base
from foxtailpick.bench import membership_ways
from foxtailpick.bench import tables
from foxtailpick.core import types

SERVERS = 1_000
DOMAINS = 14
REGIONS = 5
REQUESTS_PER_SECOND = 21
LIST_LAG_MS = 30_000.0
ANSWER_MS = 5.0
SILENCE_MS = 1_500.0
FAULT_AT_MS = 60_000.0
FAULT_MS = 60_000.0
END_MS = 180_000.0
PROBE_BYTES = 400
COST_SERVERS = (250, 500, 1_000, 2_000)
COST_ROUNDS = 50
SEED = 11

Reach = typing.Callable[[base.Member, float], bool]
Listing = typing.Callable[[float], list[base.Member]]


def _make_members(servers: int) -> list[base.Member]:
    return [
        base.Member(
            endpoint=types.EndpointId(f'e{number:04}'),
            incarnation=types.Incarnation('i1'),
            address='127.0.0.1:1',
            region=types.RegionId(f'r{number % DOMAINS % REGIONS}'),
            domain=types.FailureDomainId(f'd{number % DOMAINS}'),
            service=types.ServiceId('s'),
        )
        for number in range(servers)
    ]


MEMBERS = _make_members(SERVERS)


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A fault scenario.

    :param name: description for the table.
    :param reach: whether a member answers at a given time.
    :param listing: membership list read at a given time.
    """

    name: str
    reach: Reach
    listing: Listing


@dataclasses.dataclass(slots=True)
class Result:
    """Results of a run.

    :param failed: number of failed attempts.
    :param detected_ms: time until no unreachable member was preferred.
    :param lost_member_ms: total time for which live members were not offered.
    :param changes: additions to and removals from the offer.
    :param probes: probes sent.
    """

    failed: int = 0
    detected_ms: float | None = None
    lost_member_ms: float = 0.0
    changes: int = 0
    probes: int = 0


class _Run:
    def __init__(self, way: typing.Any, scenario: Scenario) -> None:
        self._way = way
        self._scenario = scenario
        self._rng = random.Random(SEED)
        self._order = itertools.count()
        self._outcomes: list[tuple[float, int, base.Member, bool, float]] = []
        self._present: set[types.EndpointId] = set()
        self.result = Result()

    def run(self) -> Result:
        step_ms = types.SECOND_MS / REQUESTS_PER_SECOND
        steps = int(END_MS / step_ms)
        for step in range(steps):
            now_ms = step * step_ms
            if step % REQUESTS_PER_SECOND == 0:
                self._way.on_list(self._scenario.listing(now_ms), now_ms)
                self._observe(now_ms)
            self._deliver(now_ms)
            for member in self._way.take_due_probes(now_ms):
                self.result.probes += 1
                self._attempt(member, now_ms)
            offer = self._way.offer(now_ms)
            if not self._attempt(self._rng.choice(offer.preferred), now_ms):
                self.result.failed += 1
        return self.result

    def _attempt(self, member: base.Member, now_ms: float) -> bool:
        ok = self._scenario.reach(member, now_ms)
        at_ms = now_ms + (ANSWER_MS if ok else SILENCE_MS)
        item = (at_ms, next(self._order), member, ok, now_ms)
        heapq.heappush(self._outcomes, item)
        return ok

    def _deliver(self, now_ms: float) -> None:
        while self._outcomes and self._outcomes[0][0] <= now_ms:
            at_ms, _, member, ok, began_ms = heapq.heappop(self._outcomes)
            self._way.on_outcome(member, ok, began_ms, at_ms)

    def _observe(self, now_ms: float) -> None:
        offer = self._way.offer(now_ms)
        reach = self._scenario.reach
        lost = sum(
            reach(item, now_ms) and item.endpoint not in offer.present
            for item in MEMBERS
        )
        self.result.lost_member_ms += lost * types.SECOND_MS
        if self._present:
            self.result.changes += len(self._present ^ offer.present)
        self._present = offer.present
        is_clean = all(reach(item, now_ms) for item in offer.preferred)
        if now_ms <= FAULT_AT_MS or self.result.detected_ms is not None:
            return
        if is_clean:
            self.result.detected_ms = now_ms - FAULT_AT_MS


def _is_during(now_ms: float) -> bool:
    return FAULT_AT_MS <= now_ms < FAULT_AT_MS + FAULT_MS


def _reach_always(member: base.Member, now_ms: float) -> bool:
    return True


def _show_all(now_ms: float) -> list[base.Member]:
    return MEMBERS


def _make_death(name: str, is_dead: typing.Callable) -> Scenario:
    """Members fail permanently; the list drops them after its lag."""

    def reach(member: base.Member, now_ms: float) -> bool:
        return now_ms < FAULT_AT_MS or not is_dead(member)

    def listing(now_ms: float) -> list[base.Member]:
        if now_ms < FAULT_AT_MS + LIST_LAG_MS:
            return MEMBERS
        return [item for item in MEMBERS if not is_dead(item)]

    return Scenario(name, reach, listing)


def _make_broken_path(name: str, is_behind: typing.Callable) -> Scenario:
    """Live members are unreachable from this router for a minute."""

    def reach(member: base.Member, now_ms: float) -> bool:
        return not (_is_during(now_ms) and is_behind(member))

    return Scenario(name, reach, _show_all)


def _make_short_list(name: str, is_missing: typing.Callable) -> Scenario:
    """Live members are missing from the list."""

    def listing(now_ms: float) -> list[base.Member]:
        return [item for item in MEMBERS if not is_missing(item, now_ms)]

    return Scenario(name, _reach_always, listing)


def _number(member: base.Member) -> int:
    return int(member.endpoint[1:])


SCENARIOS = (
    _make_death('20 instances die', lambda item: _number(item) % 50 == 0),
    _make_death('a failure domain dies', lambda item: item.domain == 'd3'),
    _make_broken_path(
        'path to a region breaks for 60 s', lambda item: item.region == 'r2'
    ),
    _make_broken_path('router cut off for 60 s', lambda item: True),
    _make_short_list(
        '50 instances flap in the list for 60 s, 2 s out of 4',
        lambda item, now_ms: (
            _number(item) % 20 == 0
            and _is_during(now_ms)
            and now_ms % 4_000 < 2_000
        ),
    ),
    _make_short_list(
        'list loses half its members for 30 s',
        lambda item, now_ms: (
            _number(item) % 2 == 0
            and FAULT_AT_MS <= now_ms < FAULT_AT_MS + 30_000
        ),
    ),
)
WAYS = {
    'list as it is': membership_ways.ListAsIs,
    'three failures in a row': membership_ways.CountedFailures,
    'joined view': lambda: membership_ways.JoinedView(SEED),
}


def measure() -> list[tables.Table]:
    """Run all scenarios with each approach.

    :returns: results of each approach, and costs of the membership view.
    """
    logger.disable('foxtailpick')
    table = tables.Table(
        'Membership: 1,000 servers, 21 requests/s, list 30 s late, 180 s, '
        f'seed {SEED}',
        (
            'fault',
            'way',
            'failed attempts',
            'until none unreachable is preferred (s)',
            'live members not offered (member-s)',
            'changes of the offer',
            'probes (B/s)',
        ),
    )
    for scenario in SCENARIOS:
        for name, way in WAYS.items():
            result = _Run(way(), scenario).run()
            _add_row(table, scenario, name, result)
    costs = _measure_costs()
    logger.enable('foxtailpick')
    return [table, costs]


def _add_row(
    table: tables.Table, scenario: Scenario, way: str, result: Result
) -> None:
    detected = 'never'
    if scenario.reach is _reach_always:
        detected = '-'
    elif result.detected_ms is not None:
        detected = f'{result.detected_ms / types.SECOND_MS:.0f}'
    table.add_row(
        scenario.name,
        way,
        result.failed,
        detected,
        int(result.lost_member_ms / types.SECOND_MS),
        result.changes,
        int(result.probes * PROBE_BYTES / (END_MS / types.SECOND_MS)),
    )


def _measure_costs() -> tables.Table:
    table = tables.Table(
        'Membership view: cost by size, one reading of the list a second',
        (
            'servers',
            'reading without a change (ms)',
            'list of usable members (ms)',
            'answer noted (us)',
            'bytes a server',
        ),
    )
    for servers in COST_SERVERS:
        table.add_row(servers, *_measure_cost(_make_members(servers)))
    return table


def _measure_cost(members: list[base.Member]) -> tuple[float, ...]:
    tracemalloc.start()
    way = membership_ways.JoinedView(SEED)
    way.on_list(members, 0.0)
    size_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    view = way.view
    member = members[0]
    return (
        _time_ms(lambda: view.on_list(members, 1.0)),
        _time_ms(lambda: view.list_usable(1.0)),
        _time_ms(
            lambda: view.on_success(member.endpoint, member.incarnation, 1.0)
        )
        * types.SECOND_MS,
        size_bytes / len(members),
    )


def _time_ms(call: typing.Callable[[], object]) -> float:
    began_s = time.process_time()
    for _ in range(COST_ROUNDS):
        call()
    return (time.process_time() - began_s) / COST_ROUNDS * types.SECOND_MS
