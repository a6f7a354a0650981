"""Tests of when a gateway stops if its event loop is busy."""

import os
import random
import signal
import time

import pytest
import trio

from foxtailpick.core import clock
from foxtailpick.gateway import client as client_lib
from foxtailpick.gateway import daemon
from foxtailpick.gateway import decision_log
from foxtailpick.gateway import server
from foxtailpick.gateway import settings
from foxtailpick.gateway import watchdog
from foxtailpick.tests import gateway_harness
from foxtailpick.tests import gateway_scripts

GRACE_MS = 8_000.0
ROUNDS = 8
TURNS = 20
TIMEOUT_MS = 1_000
# A final answer is due this long after the time-out of its route.
FINAL_ANSWER_MS = 500.0


def make_gateway():
    """Return a gateway that isn't connected to anything."""
    now_ms = clock.Clock.from_trio().now
    return daemon.make_gateway(
        settings.GatewaySettings(
            'r',
            'north',
            *[gateway_harness.ANY_PORT] * 5,
            grace_ms=GRACE_MS,
        ),
        None,
        decision_log.DecisionLog(now_ms, len),
        now_ms,
        random.Random(1),
    )


async def run_turns(block_ms, turns):
    """Occupy the event loop in each of its turns."""
    for _ in range(turns):
        time.sleep(block_ms / 1_000)
        await trio.lowlevel.checkpoint()


async def plan_shutdown(gw, held_up_ms, block_ms):
    """Return when a signal was sent to a gateway that plans its end.

    :param held_up_ms: how long the process does not run from then on.
    :param block_ms: length of the turns of the event loop after that.
    """
    callers = server.CallerServer(gw)
    caller = server.Caller(None, gw.now_ms)
    caller.open_requests = 1
    callers._callers.add(caller)

    async def stop(signals):
        await daemon._wait_for_stop(gw, signals, lambda: gw.cfg)
        await daemon._drain(gw, callers)

    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watchdog.watch_attempts, gw)
            nursery.start_soon(stop, signals)
            if not held_up_ms:
                # The gateway runs, with long turns, as the signal comes.
                nursery.start_soon(run_turns, block_ms, TURNS)
            await trio.sleep(0.2)
            sent_ms = gw.now_ms()
            os.kill(os.getpid(), signal.SIGTERM)
            if held_up_ms:
                time.sleep(held_up_ms / 1_000)
                nursery.start_soon(run_turns, block_ms, TURNS)
            with trio.fail_after(gateway_harness.LIMIT_S):
                while not gw.is_stopping:
                    await trio.lowlevel.checkpoint()
            nursery.cancel_scope.cancel()
    return sent_ms


@pytest.mark.parametrize(
    'held_up_ms, block_ms', [(500.0, 0.0), (500.0, 60.0), (0.0, 300.0)]
)
async def test_shutdown_counts_from_the_signal_while_the_loop_is_busy(
    held_up_ms, block_ms
):
    """Requests that came meanwhile wait when the process runs again."""
    end_ms = []
    # Tasks run in random order in each turn.
    for _ in range(ROUNDS):
        gw = make_gateway()
        sent_ms = await plan_shutdown(gw, held_up_ms, block_ms)
        complete_ms = gw.shutdown_complete_ms - sent_ms
        end_ms.append(complete_ms + daemon.FINAL_ANSWERS_MS)
    # The platform kills the process then.
    assert max(end_ms) <= GRACE_MS


async def test_deadline_counts_from_the_arrival_while_held_up():
    """A request waits in its socket while the gateway does not run."""
    routes = [
        gateway_harness.make_route(
            'unsafe', '/unsafe/', 'unsafe', timeout_ms=TIMEOUT_MS
        )
    ]
    async with gateway_harness.open_harness(
        gateway_harness.make_config(routes=routes)
    ) as harness:
        harness.add_endpoint('p1', 'plain', gateway_scripts.hang)
        await harness.until_known('p1')
        conn = await client_lib.ClientConnection.connect(harness.address)
        await trio.sleep(0.2)
        sent_ms = harness.gw.now_ms()
        await conn.send(
            gateway_harness.format_ask(
                '/unsafe/x', b'POST', X_Deadline_Ms=str(TIMEOUT_MS)
            )
        )
        time.sleep(0.9)
        answer = await gateway_harness.read_answer(conn)
        took_ms = harness.gw.now_ms() - sent_ms
        conn.close()
    assert answer.status == 504
    assert took_ms <= TIMEOUT_MS + FINAL_ANSWER_MS
