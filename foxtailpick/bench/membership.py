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
ATTEMPT_TIMEOUT_MS = 1_500.0
FAULT_AT_MS = 60_000.0
FAULT_MS = 60_000.0
END_MS = 180_000.0
PROBE_BYTES = 400
COST_SERVERS = (250, 500, 1_000, 2_000)
COST_ROUNDS = 50
SEED = 11

IsReachable = typing.Callable[[base.Member, float], bool]
ReadList = typing.Callable[[float], list[base.Member]]


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
    :param is_reachable: whether a member answers at a given time.
    :param read_list: membership list read at a given time.
    """

    name: str
    is_reachable: IsReachable
    read_list: ReadList


@dataclasses.dataclass(slots=True)
class Result:
    """Results of a run.

    :param failed: number of failed attempts.
    :param detected_ms: time from the fault until no unreachable member was
        preferred.
    :param missing_member_ms: time without an offer, summed over the live
        members.
    :param changes: additions to and removals from the offer.
    :param probes: probes sent.
    """

    failed: int = 0
    detected_ms: float | None = None
    missing_member_ms: float = 0.0
    changes: int = 0
    probes: int = 0


class _Run:
    def __init__(self, approach: typing.Any, scenario: Scenario) -> None:
        self._approach = approach
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
                self._approach.on_list(
                    self._scenario.read_list(now_ms), now_ms
                )
                self._measure_offer(now_ms)
            self._deliver_outcomes(now_ms)
            for member in self._approach.take_due_probes(now_ms):
                self.result.probes += 1
                self._attempt(member, now_ms)
            offer = self._approach.offer(now_ms)
            if not self._attempt(self._rng.choice(offer.preferred), now_ms):
                self.result.failed += 1
        return self.result

    def _attempt(self, member: base.Member, now_ms: float) -> bool:
        is_success = self._scenario.is_reachable(member, now_ms)
        at_ms = now_ms + (ANSWER_MS if is_success else ATTEMPT_TIMEOUT_MS)
        item = (at_ms, next(self._order), member, is_success, now_ms)
        heapq.heappush(self._outcomes, item)
        return is_success

    def _deliver_outcomes(self, now_ms: float) -> None:
        while self._outcomes and self._outcomes[0][0] <= now_ms:
            at_ms, _, member, is_success, start_ms = heapq.heappop(
                self._outcomes
            )
            self._approach.on_outcome(member, is_success, start_ms, at_ms)

    def _measure_offer(self, now_ms: float) -> None:
        offer = self._approach.offer(now_ms)
        is_reachable = self._scenario.is_reachable
        missing = sum(
            is_reachable(item, now_ms) and item.endpoint not in offer.present
            for item in MEMBERS
        )
        self.result.missing_member_ms += missing * types.SECOND_MS
        if self._present:
            self.result.changes += len(self._present ^ offer.present)
        self._present = offer.present
        is_detected = all(
            is_reachable(item, now_ms) for item in offer.preferred
        )
        if now_ms <= FAULT_AT_MS or self.result.detected_ms is not None:
            return
        if is_detected:
            self.result.detected_ms = now_ms - FAULT_AT_MS


def _is_during_fault(now_ms: float) -> bool:
    return FAULT_AT_MS <= now_ms < FAULT_AT_MS + FAULT_MS


def _is_always_reachable(member: base.Member, now_ms: float) -> bool:
    return True


def _list_all(now_ms: float) -> list[base.Member]:
    return MEMBERS


def _make_permanent_failure(
    name: str, has_failed: typing.Callable
) -> Scenario:
    """Members fail permanently; the list drops them after its lag."""

    def is_reachable(member: base.Member, now_ms: float) -> bool:
        return now_ms < FAULT_AT_MS or not has_failed(member)

    def read_list(now_ms: float) -> list[base.Member]:
        if now_ms < FAULT_AT_MS + LIST_LAG_MS:
            return MEMBERS
        return [item for item in MEMBERS if not has_failed(item)]

    return Scenario(name, is_reachable, read_list)


def _make_broken_path(name: str, is_affected: typing.Callable) -> Scenario:
    """Live members are unreachable from this router for a minute."""

    def is_reachable(member: base.Member, now_ms: float) -> bool:
        return not (_is_during_fault(now_ms) and is_affected(member))

    return Scenario(name, is_reachable, _list_all)


def _make_short_list(name: str, is_missing: typing.Callable) -> Scenario:
    """Live members are missing from the list."""

    def read_list(now_ms: float) -> list[base.Member]:
        return [item for item in MEMBERS if not is_missing(item, now_ms)]

    return Scenario(name, _is_always_reachable, read_list)


def _number(member: base.Member) -> int:
    return int(member.endpoint[1:])


SCENARIOS = (
    _make_permanent_failure(
        '20 instances die', lambda item: _number(item) % 50 == 0
    ),
    _make_permanent_failure(
        'a failure domain dies', lambda item: item.domain == 'd3'
    ),
    _make_broken_path(
        'path to a region breaks for 60 s', lambda item: item.region == 'r2'
    ),
    _make_broken_path('router cut off for 60 s', lambda item: True),
    _make_short_list(
        '50 instances flap in the list for 60 s, 2 s out of 4',
        lambda item, now_ms: (
            _number(item) % 20 == 0
            and _is_during_fault(now_ms)
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
APPROACHES = {
    'list as it is': membership_ways.PlainList,
    'three failures in a row': membership_ways.FailureCounting,
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
        for name, approach in APPROACHES.items():
            result = _Run(approach(), scenario).run()
            _add_row(table, scenario, name, result)
    costs = _measure_costs()
    logger.enable('foxtailpick')
    return [table, costs]


def _add_row(
    table: tables.Table, scenario: Scenario, approach: str, result: Result
) -> None:
    detected = 'never'
    if scenario.is_reachable is _is_always_reachable:
        detected = '-'
    elif result.detected_ms is not None:
        detected = f'{result.detected_ms / types.SECOND_MS:.0f}'
    table.add_row(
        scenario.name,
        approach,
        result.failed,
        detected,
        int(result.missing_member_ms / types.SECOND_MS),
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
    approach = membership_ways.JoinedView(SEED)
    approach.on_list(members, 0.0)
    size_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    view = approach.view
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
    start_s = time.process_time()
    for _ in range(COST_ROUNDS):
        call()
    return (time.process_time() - start_s) / COST_ROUNDS * types.SECOND_MS
