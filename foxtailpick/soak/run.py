"""Seeded runs of the soak."""

import pathlib
import random
import shutil
import tempfile
import time

import trio

from foxtailpick.core import types
from foxtailpick.soak import callers
from foxtailpick.soak import departures
from foxtailpick.soak import faults
from foxtailpick.soak import losses
from foxtailpick.soak import plan as plan_lib
from foxtailpick.soak import record as record_lib
from foxtailpick.soak import resumption
from foxtailpick.soak import waits
from foxtailpick.soak import world as world_lib

SERVICES = ('engine', 'plain')
# Limit on the start-up of all gateways.
START_TIMEOUT_S = 30.0
STALL_CHECK_MS = 20.0
MIN_STALL_MS = 50.0


def run_long_streams(seed: int) -> None:
    """Run the soak with restarts during long streams.

    :param seed: as of `run_seed`.
    :raises SoakError: as `run_seed`.
    """
    run_seed(seed, plan_lib.LONG_STREAMS, faults.LONG_STREAM_FAULTS)


def run_held_up_stops(seed: int) -> None:
    """Run with stops of gateways that do not get the processor in time.

    :param seed: as of `run_seed`.
    :raises SoakError: as `run_seed`.
    """
    run_seed(seed, plan_lib.HELD_UP_STOPS, faults.HELD_UP_FAULTS, ())


def run_silence(seed: int) -> None:
    """Run the soak with silences of sound endpoints during planned work.

    :param seed: as of `run_seed`.
    :raises SoakError: as `run_seed`.
    """
    run_seed(seed, plan_lib.SILENCE, faults.SILENCE_FAULTS, ())


def run_large_silence(seed: int) -> None:
    """Run `run_silence` with more gateways, endpoints and callers.

    :param seed: as of `run_seed`.
    :raises SoakError: as `run_seed`.
    """
    run_seed(seed, plan_lib.LARGE_SILENCE, faults.SILENCE_FAULTS, ())


def run_limits(seed: int) -> None:
    """Run with endpoints that limit the rate of their requests.

    :param seed: as of `run_seed`.
    :raises SoakError: as `run_seed`.
    """
    run_seed(seed, plan_lib.LIMITS, faults.LIMIT_FAULTS)


def run_versions(seed: int) -> None:
    """Run with engines of several versions, and streams that are taken up.

    :param seed: as of `run_seed`.
    :raises SoakError: as `run_seed`.
    """
    run_seed(seed, plan_lib.VERSIONS, faults.VERSION_FAULTS)


def run_large_versions(seed: int) -> None:
    """Run `run_versions` with more gateways, endpoints and callers.

    :param seed: as of `run_seed`.
    :raises SoakError: as `run_seed`.
    """
    run_seed(seed, plan_lib.LARGE_VERSIONS, faults.VERSION_FAULTS)


def run_departures(seed: int) -> None:
    """Run with departures beside faults that may hide them.

    :param seed: as of `run_seed`.
    :raises SoakError: as `run_seed`.
    """
    run_seed(
        seed,
        plan_lib.DEPARTURES,
        departures.DEPARTURE_FAULTS,
        departures.PLANNED,
    )


def run_large_departures(seed: int) -> None:
    """Run `run_departures` with more gateways, endpoints and callers.

    :param seed: as of `run_seed`.
    :raises SoakError: as `run_seed`.
    """
    run_seed(
        seed,
        plan_lib.LARGE_DEPARTURES,
        departures.DEPARTURE_FAULTS,
        departures.PLANNED,
    )


class SoakError(AssertionError):
    """A run violated an invariant."""


def run_seed(
    seed: int,
    plan: plan_lib.Plan = plan_lib.Plan(),
    kinds: tuple[faults.Fault, ...] = faults.FAULTS,
    planned: tuple[faults.Fault, ...] = faults.PLANNED,
) -> None:
    """Run the soak once; settings and logs are kept only if it fails.

    :param seed: determines the faults and callers, and their timing.
    :param plan: parameters of the run.
    :param kinds: the faults to choose from.
    :param planned: work of operators at the end.
    :raises SoakError: with the first violations; all are in the file
        `breaches` beside the logs, and the calls without a success, of runs
        with planned work only, in the file `cases`.
    """
    path = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
    log: list[str] = []
    record = trio.run(_run, seed, path, log, plan, kinds, planned)
    breaches = record.check()
    if plan.takes_up:
        breaches.extend(resumption.check(record))
        print(f'seed {seed}: {resumption.format_summary(record)}')
    if plan.is_planned_only:
        lines = losses.read_lines(path.glob('*.log'))
        record.logged = set(lines)
        breaches.extend(losses.check(record))
        breaches.extend(waits.check(record, lines))
        losses.write_cases(record, lines, path / 'cases')
        print(f'seed {seed}: {losses.format_summary(record, lines)}')
    if breaches:
        lines = [f'{item.rule.value}: {item.detail}' for item in breaches]
        (path / 'breaches').write_text('\n'.join([*log, *lines]), 'utf-8')
        raise SoakError(
            f'soak with seed {seed} failed, logs in {path}: '
            + '; '.join(lines[:5])
        )
    shutil.rmtree(path)


async def _run(
    seed: int,
    path: pathlib.Path,
    log: list[str],
    plan: plan_lib.Plan,
    kinds: tuple[faults.Fault, ...],
    planned: tuple[faults.Fault, ...],
) -> record_lib.Record:
    rng = random.Random(seed)
    run_caller = callers.run_caller
    if plan.keeps_connections:
        run_caller = callers.run_steady_caller
    async with trio.open_nursery() as nursery:
        with world_lib.World(nursery, rng, path, plan) as world:
            world.record.wall_offset_ms = losses.compute_wall_offset_ms(
                time.time(), trio.current_time()
            )
            await _start(world)
            start_ms = world_lib.now_ms()
            nursery.start_soon(world.restart_gateways)
            nursery.start_soon(_record_stalls, world.record)
            for number in range(plan.callers):
                nursery.start_soon(
                    run_caller, world, f'c{number}', rng.random()
                )
            async with trio.open_nursery() as fault_nursery:
                for at_s in sorted(
                    rng.uniform(0.5, plan.fault_window_ms / types.SECOND_MS)
                    for _ in range(plan.faults)
                ):
                    fault = rng.choice(kinds)
                    log.append(f'{at_s:.2f} s {fault.__name__}')
                    fault_nursery.start_soon(
                        _inject,
                        world,
                        fault,
                        random.Random(rng.random()),
                        start_ms / types.SECOND_MS + at_s,
                    )
            await callers.pause(plan.settling_ms)
            world.record.recovery_from_ms = world_lib.now_ms()
            for fault in planned:
                nursery.start_soon(fault, world, random.Random(rng.random()))
            await callers.pause(plan.planned_ms)
            world.record.calls = [
                call for call in world.record.calls if call.ended_ms
            ]
            nursery.cancel_scope.cancel()
    return world.record


async def _record_stalls(record: record_lib.Record) -> None:
    while True:
        due_ms = world_lib.now_ms() + STALL_CHECK_MS
        await callers.pause(STALL_CHECK_MS)
        now_ms = world_lib.now_ms()
        if now_ms - due_ms > MIN_STALL_MS:
            record.stalls.append((due_ms, now_ms))


async def _start(world: world_lib.World) -> None:
    world.add_route('safe', 'safe')
    world.add_route('unsafe', 'unsafe')
    world.add_route('fixed', 'streaming', max_attempts=1)
    world.add_route('movable', 'streaming', stream_resumption=True)
    world.write_config()
    for service in SERVICES:
        for _ in range(world.plan.endpoints):
            world.add_endpoint(service)
    for number in range(world.plan.gateways):
        world.add_gateway(f'g{number}')
    with trio.fail_after(START_TIMEOUT_S):
        for gateway in world.gateways:
            while not await _is_listening(gateway):
                await trio.sleep(0.05)
    await trio.sleep(0.5)


async def _is_listening(gateway: world_lib.Gateway) -> bool:
    sock = trio.socket.socket()
    with sock:
        try:
            await sock.connect(gateway.address)
        except OSError:
            return False
    return True


async def _inject(
    world: world_lib.World,
    fault: faults.Fault,
    rng: random.Random,
    at_s: float,
) -> None:
    await trio.sleep_until(at_s)
    await fault(world, rng)
