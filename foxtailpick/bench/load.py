"""Load skew, attempts per request and control bytes against baselines.

Loads are sampled after each admission and at short intervals in between.
"""

import typing

from foxtailpick.bench import load_runs
from foxtailpick.bench import tables
from foxtailpick.core import decision
from foxtailpick.core import load_bound

MEAN_BYTES = 6
ADMISSION_BYTES = 16


def choose_random(
    sim: load_runs.Simulation, arrival: load_runs.Arrival
) -> load_runs.Engine:
    """Choose a random engine."""
    sim.count_attempt()
    return sim.engines[sim.rng.choice(arrival.eligible)]


def choose_of_two(
    sim: load_runs.Simulation, arrival: load_runs.Arrival
) -> load_runs.Engine:
    """Choose the less loaded of two by the loads last seen at the router."""
    seen_loads = sim.seen_loads[arrival.router]
    sampled = sim.rng.sample(arrival.eligible, 2)
    name = min(sampled, key=lambda endpoint: seen_loads.get(endpoint, 0.0))
    engine = sim.engines[name]
    seen_loads[name] = engine.load + arrival.cost
    sim.count_attempt(ADMISSION_BYTES)
    return engine


def choose_consistent(
    sim: load_runs.Simulation, arrival: load_runs.Arrival
) -> load_runs.Engine:
    """Choose the first engine in placement order regardless of load."""
    sim.count_attempt()
    return sim.engines[arrival.order[0]]


def choose_router_bound(
    sim: load_runs.Simulation, arrival: load_runs.Arrival
) -> load_runs.Engine:
    """Choose the first engine in order below the bound the router sees."""
    seen_loads = sim.seen_loads[arrival.router]
    mean = sum(seen_loads.values()) / len(seen_loads) if seen_loads else 0.0
    limit = max(mean, load_bound.FLOOR_TOKENS) * load_bound.MULTIPLE
    below_limit = [n for n in arrival.order if seen_loads.get(n, 0.0) <= limit]
    engine = sim.engines[below_limit[0] if below_limit else arrival.order[0]]
    seen_loads[engine.endpoint] = engine.load + arrival.cost
    sim.count_attempt(ADMISSION_BYTES)
    return engine


def make_bounded(
    uses_view: bool = False,
    uses_true_mean: bool = False,
    uses_hints: bool = True,
    avoids_full: bool = True,
    remembers_locations: bool = True,
) -> typing.Callable[
    [load_runs.Simulation, load_runs.Arrival], load_runs.Engine | None
]:
    """Build a policy that enforces the load bound at the sidecar.

    :param uses_view: whether the mean load comes from the router's view.
    :param uses_true_mean: whether an oracle supplies the exact mean load.
    :param uses_hints: whether the first hint of a rejection is tried next.
    :param avoids_full: whether engines that rejected recently are tried last.
    :param remembers_locations: whether routers remember the engine of a
        redirected chat.
    """

    def run(
        sim: load_runs.Simulation, arrival: load_runs.Arrival
    ) -> load_runs.Engine | None:
        view = sim.views[arrival.router]
        full = view.list_full(arrival.now_ms) if avoids_full else {}
        order = list(arrival.order)
        location = view.get_location(arrival.chat, arrival.now_ms)
        if location is not None and remembers_locations:
            order = list(dict.fromkeys([location.endpoint, *order]))
        remaining = sorted(order, key=lambda name: name in full)
        for _ in range(load_runs.MAX_ATTEMPTS):
            if not remaining:
                return None
            name = remaining.pop(0)
            engine = sim.engines[name]
            if uses_true_mean:
                engine.mean.observe_router_view(sim.mean, arrival.now_ms)
            elif uses_view:
                mean = view.get_mean_tokens('svc', arrival.now_ms) or 0.0
                engine.mean.observe_router_view(mean, arrival.now_ms)
            admission = engine.bound.admit(
                arrival.number, None, arrival.cost, arrival.now_ms, remaining
            )
            sim.count_attempt(MEAN_BYTES + ADMISSION_BYTES)
            view.observe('svc', name, admission, arrival.now_ms)
            if admission.is_admitted:
                if location is not None or name != order[0]:
                    hint = decision.LocationHint(name, 'inc')
                    view.record_location(arrival.chat, hint, arrival.now_ms)
                return engine
            if uses_hints:
                hints = [e for e in admission.hints if e in arrival.eligible]
                remaining = list(dict.fromkeys([*hints[:1], *remaining]))
        return None

    return run


VARIANTS = (
    ('random', choose_random, False),
    ('least of two, last seen', choose_of_two, False),
    ('consistent hashing', choose_consistent, False),
    ('bound at the router', choose_router_bound, False),
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
    (
        'bound at the sidecar, true mean',
        make_bounded(uses_true_mean=True),
        False,
    ),
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
    load_runs.Fleet(10, 3, 60_000.0),
    load_runs.Fleet(100, 36, 16_000.0),
    load_runs.Fleet(1_000, 360, 4_000.0, is_brief=True),
    load_runs.Fleet(
        100, 36, 16_000.0, surge_fraction=0.3, eligible_fraction=0.25
    ),
)


def measure() -> list[tables.Table]:
    """Measure all policies on all fleets."""
    return [_measure_fleet(fleet) for fleet in FLEETS]


def _measure_fleet(fleet: load_runs.Fleet) -> tables.Table:
    table = tables.Table(
        f'Load skew: {fleet.engines} engines, {fleet.routers} routers, '
        f'Zipf {load_runs.ZIPF_EXPONENT} chats, '
        f'surges of {fleet.surge_fraction:.0%} from accounts on '
        f'{fleet.eligible_fraction:.0%} of the engines, '
        f'lists lacking {load_runs.MISSING_FRACTION:.0%}, '
        f'seed {load_runs.SEED}',
        COLUMNS,
    )
    for name, policy, has_gossip in VARIANTS:
        if fleet.is_brief and name not in MAIN_VARIANTS:
            continue
        result = load_runs.Simulation(fleet, policy, has_gossip).run()
        _add_result(table, name, fleet, result)
    return table


def _add_result(
    table: tables.Table,
    name: str,
    fleet: load_runs.Fleet,
    result: load_runs.Result,
) -> None:
    seconds = fleet.measured_ms / 1_000.0
    table.add_row(
        name,
        result.max_ratio,
        max(result.ratios),
        result.attempts / result.requests,
        100.0 * result.refused / result.requests,
        100.0 * result.cold_returns / result.requests,
        result.gossip_bytes / seconds / fleet.engines,
        result.piggyback_bytes / seconds / fleet.routers,
    )
