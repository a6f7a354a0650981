"""Configuration propagation: latency, control load, sizes and costs."""

import dataclasses
import statistics

from hdrh import histogram
from loguru import logger

from foxtailpick.bench import config_fleet
from foxtailpick.bench import tables
from foxtailpick.core import config_announcer
from foxtailpick.core import config_delta
from foxtailpick.core import freshness
from foxtailpick.core import poll_schedule
from foxtailpick.core import tracker_state
from foxtailpick.core import types

SEED = 20
SIZES = (45, 170, 340, 680, 1_360)
QUIET_SIZES = (45, 1_360)
WARM_UP_MS = 10_000.0
TRAFFIC_WARM_UP_MS = 3_000.0
STEADY_MS = 4_000.0
REACH_MS = 15_000.0
COOL_DOWN_MS = 500.0
STORE_MODES = ('up', 'slow', 'down')
MAX_MS = 60_000
SLOW_MS = 2_000.0
OUT_DOMAIN = 'domain-3'
OUT_LIMIT_MS = 3_000.0
OUT_SEEDS = (1, 2, 3)
OUT_ROUNDS = 400
OUT_ROUND_MS = 50.0

NO_ANNOUNCEMENTS = config_announcer.AnnouncerOptions(
    fanout=0, router_fanout=0, accept_fanout=0
)
POLL_ONLY = tracker_state.TrackerOptions(
    announce=NO_ANNOUNCEMENTS,
    poll=poll_schedule.PollOptions(store_polls_per_s=float('inf')),
)


def measure() -> list[tables.Table]:
    """Measure propagation against polling and one watch per node."""
    logger.disable('foxtailpick')
    try:
        return _measure_all()
    finally:
        logger.enable('foxtailpick')


def _measure_all() -> list[tables.Table]:
    reach = tables.Table(
        f'Time from acceptance to in force, seed {SEED}; "down" is right '
        f'after acceptance, for {REACH_MS:.0f} ms',
        (
            'way',
            'nodes',
            'store',
            'reached',
            'p50 ms',
            'p99 ms',
            'max ms',
        ),
    )
    load = tables.Table(
        f'Control load at rest, seed {SEED}, frames as at the peak',
        (
            'way',
            'nodes',
            'frames/s',
            'store reads/s',
            'watches',
            'B/s a node, mean',
            'B/s a node, max',
            'B a patch a node',
        ),
    )
    tracker_loads = [_measure_tracker(size, reach, load) for size in SIZES]
    _measure_baselines(reach, load)
    return [
        reach,
        load,
        _fit_slopes(tracker_loads),
        _measure_fanout(),
        _measure_domain_out(),
        _measure_offers(),
    ]


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Control load of one run.

    :param nodes: number of nodes.
    :param reads: store reads per second.
    :param watches: number of open watches.
    :param mean_bytes: mean bytes per second and node, sent and received.
    """

    nodes: int
    reads: float
    watches: int
    mean_bytes: float


def _measure_tracker(
    size: int, reach: tables.Table, load: tables.Table
) -> Load:
    fleet = config_fleet.Fleet(size, SEED, has_traffic=False)
    fleet.run(WARM_UP_MS)
    fleet.start_traffic()
    fleet.run(TRAFFIC_WARM_UP_MS)
    measured = _measure_run('ours', fleet, reach, load)
    if size in QUIET_SIZES:
        quiet = config_fleet.Fleet(size, SEED, has_traffic=False)
        quiet.run(WARM_UP_MS)
        _measure_reach('ours, no requests', quiet, reach)
    return measured


def _measure_baselines(reach: tables.Table, load: tables.Table) -> None:
    for size in (SIZES[0], SIZES[-1]):
        polls = config_fleet.Fleet(
            size, SEED, False, POLL_ONLY, lambda name, sidecars: []
        )
        polls.run(WARM_UP_MS)
        _measure_run('poll only', polls, reach, load)
        watches = config_fleet.Fleet(
            size, SEED, False, POLL_ONLY, lambda name, sidecars: [name]
        )
        watches.run(WARM_UP_MS)
        _measure_run('a watch a node', watches, reach, load)


def _measure_run(
    approach: str,
    fleet: config_fleet.Fleet,
    reach: tables.Table,
    load: tables.Table,
) -> Load:
    nodes = list(fleet.nodes.values())
    before = [node.bytes_transferred for node in nodes]
    reads = fleet.store.reads
    frames = fleet.frames
    fleet.run(STEADY_MS)
    seconds = STEADY_MS / types.SECOND_MS
    transferred = [
        (node.bytes_transferred - old) / seconds
        for node, old in zip(nodes, before)
    ]
    measured = Load(
        len(nodes),
        (fleet.store.reads - reads) / seconds,
        len(fleet.store.watchers),
        statistics.fmean(transferred),
    )
    frames_per_s = (fleet.frames - frames) / seconds
    patch_bytes = _measure_reach(approach, fleet, reach)
    load.add_row(
        approach,
        measured.nodes,
        frames_per_s,
        measured.reads,
        measured.watches,
        measured.mean_bytes,
        max(transferred),
        patch_bytes,
    )
    return measured


def _measure_reach(
    approach: str, fleet: config_fleet.Fleet, reach: tables.Table
) -> float:
    """Add a row per store state; return the bytes per patch and node."""
    patch_bytes = 0.0
    state = types.DomainState.IN_SERVICE
    for mode in STORE_MODES:
        state = (
            types.DomainState.OUT_OF_SERVICE
            if state is types.DomainState.IN_SERVICE
            else types.DomainState.IN_SERVICE
        )
        fleet.store.delay_ms = config_fleet.STORE_LATENCY_MS
        if mode == 'slow':
            fleet.store.delay_ms = SLOW_MS
        before = _sum_bytes(fleet)
        start_ms = fleet.now_ms
        change = config_fleet.make_domain_change(OUT_DOMAIN, state)
        number = fleet.accept(fleet.routers[0], change)
        fleet.store.is_down = mode == 'down'
        fleet.run(REACH_MS, number)
        if mode == 'up':
            patch_bytes = (_sum_bytes(fleet) - before) / len(fleet.nodes)
        _add_reach_row(approach, mode, fleet, start_ms, reach)
        fleet.store.is_down = False
        fleet.run(COOL_DOWN_MS)
    return patch_bytes


def _sum_bytes(fleet: config_fleet.Fleet) -> int:
    return sum(node.bytes_transferred for node in fleet.nodes.values())


def _add_reach_row(
    approach: str,
    mode: str,
    fleet: config_fleet.Fleet,
    start_ms: float,
    reach: tables.Table,
) -> None:
    times = histogram.HdrHistogram(1, MAX_MS, 3)
    for at_ms in fleet.reached_ms.values():
        times.record_value(max(int(at_ms - start_ms), 1))
    reach.add_row(
        approach,
        len(fleet.nodes),
        mode,
        len(fleet.reached_ms),
        times.get_value_at_percentile(50),
        times.get_value_at_percentile(99),
        times.get_max_value(),
    )


def _fit_slopes(tracker_loads: list[Load]) -> tables.Table:
    table = tables.Table(
        'Slopes of ours over all sizes, least squares',
        ('what', 'at 0 nodes', 'per 1,000 nodes', 'at 1,360', 'limit'),
    )
    limits = {'reads': 500.0, 'watches': 500.0, 'mean_bytes': 3_000.0}
    sizes = [load.nodes for load in tracker_loads]
    for name, limit in limits.items():
        values = [float(getattr(load, name)) for load in tracker_loads]
        slope, base = statistics.linear_regression(sizes, values)
        at_size = base + slope * SIZES[-1]
        table.add_row(name, base, slope * 1_000, at_size, limit)
    return table


def _measure_fanout() -> tables.Table:
    table = tables.Table(
        f'Announcements alone: 1,360 nodes, no requests, store down, 3 '
        f'patches, seed {SEED}',
        ('peers told', 'missed after 1 s, mean', 'B a patch a node'),
    )
    for fanout in (2, 4, 6, 8):
        announce = config_announcer.AnnouncerOptions(fanout=fanout)
        options = tracker_state.TrackerOptions(announce=announce)
        fleet = config_fleet.Fleet(SIZES[-1], SEED, False, options)
        fleet.run(WARM_UP_MS / 2)
        fleet.store.is_down = True
        missed = []
        transferred = []
        state = types.DomainState.OUT_OF_SERVICE
        for round_number in range(3):
            before = _sum_bytes(fleet)
            change = config_fleet.make_domain_change(
                f'domain-{round_number}', state
            )
            number = fleet.accept(fleet.routers[0], change)
            fleet.run(types.SECOND_MS, number)
            missed.append(len(fleet.nodes) - len(fleet.reached_ms))
            transferred.append((_sum_bytes(fleet) - before) / len(fleet.nodes))
            fleet.run(COOL_DOWN_MS)
        table.add_row(fanout, statistics.fmean(missed), min(transferred))
    return table


def _measure_domain_out() -> tables.Table:
    table = tables.Table(
        f'Failure domain taken out: 60 nodes, stale routers that keep '
        f'sending, one sidecar paused for 10 s, seeds {OUT_SEEDS}',
        ('way', 'store', 'admitted after 3 s', 'last admitted after ms'),
    )
    unverified = tracker_state.TrackerOptions(
        fresh=freshness.FreshnessOptions(
            fresh_ms=float('inf'), renew_ms=float('inf')
        )
    )
    approaches = {
        'sidecar trusts what it holds': unverified,
        'ours': tracker_state.TrackerOptions(),
    }
    for approach, options in approaches.items():
        for mode in STORE_MODES:
            times = [
                time_ms
                for seed in OUT_SEEDS
                for time_ms in _simulate_admissions(options, mode, seed)
            ]
            late = sum(time_ms > OUT_LIMIT_MS for time_ms in times)
            table.add_row(approach, mode, late, max(times, default=0.0))
    return table


def _simulate_admissions(
    options: tracker_state.TrackerOptions, mode: str, seed: int
) -> list[float]:
    """Return the admission times in the domain, relative to acceptance."""
    fleet = config_fleet.Fleet(60, seed, options=options)
    fleet.run(WARM_UP_MS)
    domain_sidecars = [n for n in fleet.sidecars if n.domain == OUT_DOMAIN]
    stale_routers = fleet.routers[1:]
    for node in [*stale_routers, domain_sidecars[0]]:
        fleet.pause(node)
    if mode == 'slow':
        fleet.store.delay_ms = SLOW_MS
    fleet.admitted.clear()
    start_ms = fleet.now_ms
    change = config_fleet.make_domain_change(
        OUT_DOMAIN, types.DomainState.OUT_OF_SERVICE
    )
    fleet.accept(fleet.routers[0], change)
    fleet.store.is_down = mode == 'down'
    for round_number in range(OUT_ROUNDS):
        for sidecar in domain_sidecars:
            fleet.send_work(
                stale_routers[round_number % len(stale_routers)], sidecar
            )
        fleet.run(OUT_ROUND_MS)
        if round_number == OUT_ROUNDS // 2:
            fleet.resume(domain_sidecars[0])
    return [at - start_ms for at, d in fleet.admitted if d == OUT_DOMAIN]


def _measure_offers() -> tables.Table:
    table = tables.Table(
        'Bytes that bring a node up to date, 29,000 accounts, no chunks',
        ('numbers behind', 'deltas B', 'index B', 'sent B'),
    )
    fleet = config_fleet.Fleet(2, SEED, has_traffic=False)
    fleet.run(types.SECOND_MS)
    router = fleet.routers[0]
    for round_number in range(60):
        state = list(types.DomainState)[round_number % 2]
        change = config_fleet.make_domain_change(OUT_DOMAIN, state)
        fleet.accept(router, change)
    index = len(config_delta.encode_index(fleet.cfg))
    one = len(router.tracker.make_offer(fleet.cfg.number - 1).encode())
    for behind in (1, 10, 54):
        offer = router.tracker.make_offer(fleet.cfg.number - behind)
        table.add_row(behind, one * behind, index, len(offer.encode()))
    return table
