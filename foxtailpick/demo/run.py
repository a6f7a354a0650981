"""Runs the demo and prints its results."""

import random

import trio

from foxtailpick.core import invariants
from foxtailpick.demo import deployment
from foxtailpick.demo import events as events_lib
from foxtailpick.demo import report
from foxtailpick.demo import traffic as traffic_lib
from foxtailpick.standins import fleet as fleet_lib

SEED = 7
ROUTERS = 3
SAMPLE_INTERVAL_S = 0.1
PROGRESS_INTERVAL_S = 1.0
TIMEOUT_S = 58.0
EXIT_VIOLATED = 1


def main() -> int:
    """Run the demo; return 1 if an invariant was violated."""
    return trio.run(_run)


async def _run() -> int:
    monitor = invariants.Monitor()
    cfg = deployment.load_configuration()
    with trio.fail_after(TIMEOUT_S):
        async with fleet_lib.open_fleet(cfg, monitor) as fleet:
            return await _run_deployment(fleet)


async def _run_deployment(fleet: fleet_lib.Fleet) -> int:
    for spec in deployment.list_endpoints():
        await fleet.start_endpoint(spec, deployment.ENGINE)
    routers = await _start_routers(fleet)
    urls = [fleet.get(name).url for name in routers]
    contexts = [fleet.get(name).ctx for name in routers]
    began_s = trio.current_time()

    def print_line(text: str) -> None:
        print(f'{trio.current_time() - began_s:5.1f} s  {text}', flush=True)

    traffic = traffic_lib.Traffic(fleet, urls, random.Random(SEED))
    events = events_lib.Events(fleet, routers, urls, print_line)
    skew = report.LoadSkew()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(traffic.run)
        async with trio.open_nursery() as watchers:
            watchers.start_soon(_sample_loads, fleet, skew)
            watchers.start_soon(_show_progress, traffic, events, print_line)
            await events.run(lambda: traffic.tally.chats)
            watchers.cancel_scope.cancel()
        traffic.is_stopped = True
    duration_s = trio.current_time() - began_s
    control_bytes = sum(ctx.links.meter.control_bytes for ctx in contexts)
    checks = report.make_checks(fleet, traffic, events.results)
    _print_tables(
        report.make_invariant_table(checks),
        report.make_measurement_table(
            traffic,
            events.results,
            skew,
            control_bytes / len(contexts) / duration_s,
        ),
    )
    is_satisfied = all(check.is_satisfied for check in checks)
    return 0 if is_satisfied else EXIT_VIOLATED


async def _start_routers(fleet: fleet_lib.Fleet) -> list[str]:
    names = [f'router-{index + 1}' for index in range(ROUTERS)]
    for name, domain in zip(names, deployment.DOMAINS):
        await fleet.start_router(name, deployment.REGION, domain)
    return names


async def _sample_loads(fleet: fleet_lib.Fleet, skew: report.LoadSkew) -> None:
    while True:
        await trio.sleep(SAMPLE_INTERVAL_S)
        names = set(fleet.list_names()) & set(fleet.engines)
        gates = [fleet.get(name).worker.gate for name in names]
        skew.sample([gate.pool.load for gate in gates if gate.accepts_work()])


async def _show_progress(
    traffic: traffic_lib.Traffic,
    events: events_lib.Events,
    print_line: events_lib.PrintLine,
) -> None:
    while True:
        await trio.sleep(PROGRESS_INTERVAL_S)
        numbers = events.list_config_numbers()
        newest = max(numbers)
        print_line(
            f'  chats {traffic.tally.chats}, '
            f'bookings {traffic.tally.bookings}, number {newest} in force '
            f'at {numbers.count(newest)} of {len(numbers)}'
        )


def _print_tables(*shown: report.tables.Table) -> None:
    print()
    for table in shown:
        print('\n'.join(table.format_lines()))
