"""Tests of stops of gateways that do not get the processor in time."""

import dataclasses
import random
import subprocess
import sys

import trio

from foxtailpick.core.dispatch import model
from foxtailpick.soak import callers
from foxtailpick.soak import faults
from foxtailpick.soak import plan as plan_lib
from foxtailpick.soak import record as record_lib
from foxtailpick.soak import world as world_lib

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
