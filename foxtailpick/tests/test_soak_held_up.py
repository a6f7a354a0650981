"""Tests of stops of gateways that do not get the processor in time."""

import contextlib
import dataclasses
import random
import subprocess
import sys

import pytest
import trio

from foxtailpick.core.dispatch import model
from foxtailpick.soak import callers
from foxtailpick.soak import faults
from foxtailpick.soak import losses
from foxtailpick.soak import plan as plan_lib
from foxtailpick.soak import record as record_lib
from foxtailpick.soak import run
from foxtailpick.soak import world as world_lib

# A run of about 30 s.
SHORT = dataclasses.replace(
    plan_lib.HELD_UP_STOPS, callers=20, faults=5, fault_window_ms=3_000.0
)
# Prints a line each 10 ms, and at last one for SIGTERM.
_TICK = """
import signal, time
def stop(*args):
    print('stopped', flush=True)
    raise SystemExit
signal.signal(signal.SIGTERM, stop)
while True:
    print('tick', flush=True)
    time.sleep(0.01)
"""


async def test_gateway_that_is_held_up_gets_a_signal_late(nursery, tmp_path):
    process = subprocess.Popen(
        [sys.executable, '-c', _TICK], stdout=subprocess.PIPE
    )
    log = (tmp_path / 'g1.log').open('wb')
    gateway = world_lib.Gateway(
        'g1', tmp_path / 'g1.boot', ('127.0.0.1', 1), None, log, process
    )
    with (
        process.stdout as output,
        world_lib.World(
            nursery, random.Random(1), tmp_path, plan_lib.HELD_UP_STOPS
        ) as world,
    ):
        world.gateways += [gateway, gateway]
        assert output.readline() == b'tick\n'
        world.record.starts['g1'].append(world_lib.now_ms())
        await faults.stop_held_up(world, random.Random(1))
        assert process.wait(5.0) == 0
        assert output.read().endswith(b'stopped\n')
        (stop_ms,) = world.record.stops['g1']
        ((from_ms, to_ms),) = world.record.holds['g1']
        assert from_ms <= stop_ms <= to_ms
        assert to_ms - from_ms >= faults.MIN_HOLD_MS
        assert not gateway.is_held_up
        assert not world.record.overruns
        nursery.cancel_scope.cancel()


async def test_slow_caller_gets_its_whole_answer(
    nursery, tmp_path, monkeypatch
):
    """Padding keeps a part of it in the sender until it is read."""
    call = record_lib.Call(
        'a1', 'g1', model.RequestKind.STREAMING, False, 'fixed', 0.0
    )
    plan = dataclasses.replace(plan_lib.HELD_UP_STOPS, slow_share=1.0)
    with world_lib.World(nursery, random.Random(1), tmp_path, plan) as world:
        endpoint = world.add_endpoint('engine')
        world.add_route('fixed', 'streaming', max_attempts=1)
        gateway = world_lib.Gateway(
            'g1', tmp_path, endpoint.proxy.address, None, None
        )
        made = callers._make_call(world, 'a1', 'g1', random.Random(1))
        conn = await callers._connect(gateway, is_slow=True)
        head = callers._format_call(world, made, random.Random(2))
        expects = b'X-Expect-Instance: %s\r\n\r\n' % endpoint.id.encode()
        await conn.send(head.replace(b'\r\n\r\n', b'\r\n' + expects, 1))
        monkeypatch.setattr(callers, 'SLOW_READ_MS', 1.0)
        with trio.fail_after(30.0):
            await callers._read_response(call, conn, 1.0)
        assert call.is_complete and call.body == made.expected
        assert len(made.expected) > 5 * plan.padding_bytes
        conn.close()
        nursery.cancel_scope.cancel()


async def ask(world, request, route, rng):
    """Send a request on a connection of its own, and record the call."""
    (gateway,) = world.gateways
    call = callers._make_call(world, request, gateway.name, rng)
    while call.route != route:
        call = callers._make_call(world, request, gateway.name, rng)
    conn = await callers._connect(gateway, is_slow=False)
    if conn is None:
        return call
    await callers._send_calls(world, [call], conn, rng, 0.0)
    conn.close()
    return call


async def test_gateway_is_held_up_once_at_a_time(nursery, tmp_path):
    """The end of one hold would end another one early, too."""
    process = subprocess.Popen(
        [sys.executable, '-c', _TICK], stdout=subprocess.DEVNULL
    )
    log = (tmp_path / 'g1.log').open('wb')
    gateway = world_lib.Gateway(
        'g1', tmp_path / 'g1.boot', ('127.0.0.1', 1), None, log, process
    )
    with world_lib.World(
        nursery, random.Random(1), tmp_path, plan_lib.HELD_UP_STOPS
    ) as world:
        world.gateways.append(gateway)
        async with trio.open_nursery() as holds:
            holds.start_soon(faults._hold_up, world, gateway, 200.0)
            holds.start_soon(faults._hold_up, world, gateway, 50.0)
        assert len(world.record.holds['g1']) == 1
        nursery.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def open_world(nursery, path, rng):
    """Run a gateway with an endpoint of each service."""
    plan = plan_lib.Plan(
        grace_ms=5_000.0,
        deadline_ms=10_000.0,
        target_ms=500.0,
        event_interval_ms=170.0,
        disconnect_share=0.0,
        is_planned_only=True,
        plain_timeout_ms=1_500.0,
    )
    with world_lib.World(nursery, rng, path, plan) as world:
        world.add_route('safe', 'safe')
        world.add_route('unsafe', 'unsafe')
        world.add_route('fixed', 'streaming', max_attempts=1)
        world.write_config()
        world.add_endpoint('plain')
        world.add_endpoint('engine')
        world.add_gateway('g1')
        with trio.fail_after(30.0):
            while (await ask(world, 'a0', 'safe', rng)).status != 200:
                await trio.sleep(0.1)
        yield world


async def ask_after_late_stop(world, route, held_ms, rng):
    """Send a request more than 3 s after SIGTERM, which is handled late."""
    (gateway,) = world.gateways
    with trio.fail_after(20.0):
        async with trio.open_nursery() as early:
            # Keeps the process running, and may be cut off.
            early.start_soon(ask, world, 'a2', 'fixed', rng)
            await callers.pause(200.0)
            if held_ms:
                early.start_soon(faults._hold_up, world, gateway, held_ms)
                await callers.pause(1.0)
            world.stop_gateway(gateway)
            await callers.pause(3_050.0 + 0.7 * held_ms)
            return await ask(world, 'a1', route, rng)


@pytest.mark.parametrize('held_ms', [0.0, 300.0, 900.0])
async def test_stream_is_not_lost_at_a_gateway_that_handles_sigterm_late(
    nursery, tmp_path, held_ms
):
    """It is sent more than 3 s after SIGTERM, and outlasts the gateway."""
    rng = random.Random(1)
    async with open_world(nursery, tmp_path, rng) as world:
        call = await ask_after_late_stop(world, 'fixed', held_ms, rng)
        assert world_lib.count_events(call.id) > 30
        assert call.status in (200, 503)
        assert losses.find_lost(world.record) == []
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize('held_ms', [0.0, 300.0, 900.0])
async def test_request_is_not_lost_at_a_gateway_that_handles_sigterm_late(
    nursery, tmp_path, held_ms
):
    """Its endpoint falls silent for longer than its timeout."""
    rng = random.Random(1)
    async with open_world(nursery, tmp_path, rng) as world:
        (plain,) = (
            item
            for item in world.endpoints.values()
            if item.service == 'plain'
        )
        with plain.standin.silence():
            call = await ask_after_late_stop(world, 'unsafe', held_ms, rng)
        assert losses.find_lost(world.record) == []
        assert call.status in (503, 504)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize('seed', [1])
def test_seeded_run_with_held_up_stops(seed):
    run.run_seed(seed, SHORT, faults.HELD_UP_FAULTS, ())
