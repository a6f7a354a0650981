"""Fleet-wide shares with and without the correction of heavy accounts."""

import dataclasses
import random

from foxtailpick.bench import tables
from foxtailpick.core import types
from foxtailpick.core import usage

SEED = 17
ENDPOINTS = 100
ROUTERS = 36
REQUESTS_PER_S = 7.5
ENDPOINT_TOKENS_PER_S = 2_300.0
END_S = 300
LIGHT = [f'light-{number}' for number in range(20)]
WEIGHTS = {'heavy': 0.3} | dict.fromkeys(LIGHT, 0.7 / len(LIGHT))


@dataclasses.dataclass(slots=True)
class _Sidecar:
    accounts: tuple[str, ...]
    meter: usage.UsageMeter
    control: usage.MultiplierController
    budget: usage.ByteBudget
    multipliers: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class _Router:
    source: int
    fleet: usage.FleetUsage
    budget: usage.ByteBudget


def measure() -> list[tables.Table]:
    """Measure the heavy account's part of the fleet, and the bytes."""
    table = tables.Table(
        f'One account with 30 % agreed is backlogged on all {ENDPOINTS} '
        f'endpoints, {len(LIGHT)} others share 70 % and are backlogged on 5 '
        f'each, '
        f'{ROUTERS} routers, {REQUESTS_PER_S} requests a second and '
        f'endpoint, seed {SEED}',
        (
            'policy',
            'part after 60 s (%)',
            'after 120 s (%)',
            'after 300 s (%)',
            'B/s a router',
            'B/s a sidecar',
        ),
    )
    for name, bytes_per_s in (
        ('local queues only', 0.0),
        ('corrected, 200 B/s a node', 200.0),
        ('corrected, 1000 B/s a node', 1_000.0),
    ):
        table.add_row(name, *_run(bytes_per_s))
    return [table]


def _run(bytes_per_s: float) -> list[float]:
    rng = random.Random(SEED)
    sidecars = [
        _Sidecar(
            ('heavy', LIGHT[number % len(LIGHT)]),
            usage.UsageMeter(usage.SourceHash(number)),
            usage.MultiplierController(),
            usage.ByteBudget(bytes_per_s),
        )
        for number in range(ENDPOINTS)
    ]
    routers = [
        _Router(number, usage.FleetUsage(), usage.ByteBudget(bytes_per_s))
        for number in range(ROUTERS)
    ]
    parts = {}
    for second in range(END_S):
        now_ms = second * types.SECOND_MS
        parts[second] = _serve(sidecars, now_ms)
        _exchange(sidecars, routers, rng, now_ms)
    spent_by_routers = sum(router.budget.spent_bytes for router in routers)
    spent_by_sidecars = sum(sidecar.budget.spent_bytes for sidecar in sidecars)
    return [
        100 * parts[59],
        100 * parts[119],
        100 * parts[END_S - 1],
        spent_by_routers / ROUTERS / END_S,
        spent_by_sidecars / ENDPOINTS / END_S,
    ]


def _serve(sidecars: list[_Sidecar], now_ms: float) -> float:
    heavy = 0.0
    for sidecar in sidecars:
        weights = {
            account: WEIGHTS[account] / sidecar.multipliers.get(account, 1.0)
            for account in sidecar.accounts
        }
        total = sum(weights.values())
        for account, weight in weights.items():
            tokens = ENDPOINT_TOKENS_PER_S * weight / total
            sidecar.meter.record(account, tokens, now_ms)
            heavy += tokens * (account == 'heavy')
    return heavy / (ENDPOINT_TOKENS_PER_S * len(sidecars))


def _exchange(
    sidecars: list[_Sidecar],
    routers: list[_Router],
    rng: random.Random,
    now_ms: float,
) -> None:
    known = {
        router.source: router.fleet.summarize(router.source, 16, now_ms)
        for router in routers
    }
    for sidecar in rng.sample(sidecars, len(sidecars)):
        summary = sidecar.meter.summarize(now_ms)
        size_bytes = len(summary.encode())
        for _ in range(round(REQUESTS_PER_S + rng.random() - 0.5)):
            router = rng.choice(routers)
            fleet = known[router.source]
            if router.budget.try_spend(len(fleet.encode()), now_ms):
                sidecar.multipliers = dict(
                    sidecar.control.update(
                        fleet, sidecar.accounts, _find_agreed_rate, now_ms
                    )
                )
            if sidecar.budget.try_spend(size_bytes, now_ms):
                router.fleet.merge(summary, now_ms)


def _find_agreed_rate(account: str) -> float:
    return WEIGHTS[account] * ENDPOINT_TOKENS_PER_S * ENDPOINTS
