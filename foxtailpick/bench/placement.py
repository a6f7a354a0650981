"""Prefix cache reuse of returning chats under churn; cost of a decision."""

import time
import typing

from foxtailpick.adapters import base
from foxtailpick.bench import reuse_runs
from foxtailpick.bench import tables
from foxtailpick.core import decision
from foxtailpick.core import load_bound
from foxtailpick.core import placement
from foxtailpick.core import ring
from foxtailpick.core import types

TIMED_DECISIONS = 3_000
TIMED_ENDPOINTS = 1_000


def choose_random(sim, chat, cost, table) -> str:
    """Choose a random engine."""
    sim.count_attempt()
    return sim.policy_rng.choice(list(sim.engines))


def choose_of_two(sim, chat, cost, table) -> str:
    """Choose the less loaded of two by the loads last seen."""
    sampled = sim.policy_rng.sample(list(sim.engines), 2)
    name = min(sampled, key=lambda endpoint: sim.seen_loads.get(endpoint, 0.0))
    sim.seen_loads[name] = sim.engines[name].load
    sim.count_attempt()
    return name


def choose_consistent(sim, chat, cost, table) -> str | None:
    """Choose the first live engine in placement order, whatever its load."""
    for name in _list_candidates(sim, chat, table):
        sim.count_attempt()
        if name in sim.engines:
            return name
    return None


def choose_bounded(sim, chat, cost, table) -> str | None:
    """Choose the first engine in placement order that admits the turn."""
    for name in _list_candidates(sim, chat, table):
        sim.count_attempt()
        engine = sim.engines.get(name)
        if engine is None:
            continue
        if engine.bound.admit(sim.attempt, None, cost, sim.now_ms).is_admitted:
            return name
    return None


def choose_oracle(sim, chat, cost, table) -> str:
    """Choose by longest cached prefix below the bound, then by least load."""
    sim.count_attempt()
    limit = load_bound.MULTIPLE * sim.mean
    names = [n for n, e in sim.engines.items() if e.load + cost <= limit]
    return max(
        names or sim.engines,
        key=lambda name: (
            sim.engines[name].cached.get(chat.name, (0, 0.0))[0],
            -sim.engines[name].load,
        ),
    )


def _list_candidates(
    sim: reuse_runs.Simulation,
    chat: reuse_runs.Chat,
    table: placement.PlacementTable,
) -> list[str]:
    req = decision.PlacementRequest(
        chat.name, 'svc', 'region', hint=chat.hint, wall_ms=sim.now_ms
    )
    placed = placement.choose_endpoints(table, req)
    return [candidate.endpoint for candidate in placed.candidates]


VARIANTS = (
    ('random', choose_random, 0.0, placement.FLAP_HOLD_MS),
    ('least of two, last seen', choose_of_two, 0.0, placement.FLAP_HOLD_MS),
    ('consistent hashing, no bound', choose_consistent, 0.0, 0.0),
    ('ours, no hints', choose_bounded, 0.0, placement.FLAP_HOLD_MS),
    ('ours, all return a hint', choose_bounded, 1.0, placement.FLAP_HOLD_MS),
    ('ours, all hints, no hold', choose_bounded, 1.0, 0.0),
    ('oracle', choose_oracle, 0.0, 0.0),
)
COLUMNS = (
    'policy',
    'context reused %',
    '% of the oracle',
    'max/mean load after an admission',
    'tries a request',
    'refused %',
)


def measure() -> list[tables.Table]:
    """Compare placement policies and the costs of ranking methods."""
    return [_measure_reuse(), _measure_cost()]


def _measure_reuse() -> tables.Table:
    minutes = (reuse_runs.END_MS - reuse_runs.WARM_UP_MS) / types.MINUTE_MS
    table = tables.Table(
        f'Cache reuse: {reuse_runs.ENGINES} engines, {reuse_runs.CHATS} '
        f'chats, {len(reuse_runs.REPLACEMENT_TIMES_MS)} engine replaced in '
        f'{minutes:.0f} minutes, a flap of {reuse_runs.FLAP_MS:.0f} ms a '
        f'minute, lists up to {max(reuse_runs.LIST_LAGS_MS):.0f} ms apart, '
        f'seed {reuse_runs.SEED}',
        COLUMNS,
    )
    results = {
        name: reuse_runs.Simulation(policy, hint_fraction, hold_ms).run()
        for name, policy, hint_fraction, hold_ms in VARIANTS
    }
    best = _get_reuse(results['oracle'])
    for name, result in results.items():
        table.add_row(
            name,
            100.0 * _get_reuse(result),
            100.0 * _get_reuse(result) / best,
            result.max_ratio,
            result.attempts / result.requests,
            100.0 * result.refused / result.requests,
        )
    return table


def _get_reuse(result: reuse_runs.Result) -> float:
    return result.reused / result.context


def _measure_cost() -> tables.Table:
    table = tables.Table(
        f'Cost of a decision, {TIMED_ENDPOINTS} endpoints in one region, '
        f'wall clock',
        ('way', 'µs a decision'),
    )
    members = [
        base.Member(
            f'ep-{i}',
            'inc',
            '127.0.0.1:1',
            'region',
            f'domain-{i % 14}',
            'svc',
        )
        for i in range(TIMED_ENDPOINTS)
    ]
    placement_table = placement.PlacementTable.from_members(members)
    capacities = {member.endpoint: 1.0 for member in members}
    names = list(capacities)
    small = frozenset(names[: placement.MAX_RENDEZVOUS_ENDPOINTS])
    large = frozenset(names[: TIMED_ENDPOINTS // 5])
    methods = {
        'rendezvous over all': lambda key: ring.rank_by_rendezvous(
            key, capacities
        ),
        'ours, all endpoints': lambda key: _choose(placement_table, key, None),
        f'ours, set of {len(large)}': lambda key: _choose(
            placement_table, key, large
        ),
        f'ours, set of {len(small)}': lambda key: _choose(
            placement_table, key, small
        ),
    }
    for name, choose in methods.items():
        table.add_row(name, _time_us(choose))
    return table


def _choose(table, key, allowed) -> decision.Decision:
    req = decision.PlacementRequest(key, 'svc', 'region', allowed=allowed)
    return placement.choose_endpoints(table, req)


def _time_us(choose: typing.Callable[[str], typing.Any]) -> float:
    choose('warm-up')
    start = time.perf_counter()
    for number in range(TIMED_DECISIONS):
        choose(f'chat-{number}')
    return (time.perf_counter() - start) / TIMED_DECISIONS * 1e6
