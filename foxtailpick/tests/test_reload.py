"""Tests of changed settings while requests are in flight."""

import contextlib
import dataclasses
import os
import random
import signal
import subprocess
import sys
import threading

import trio

from foxtailpick.gateway import daemon
from foxtailpick.gateway import decision_log
from foxtailpick.gateway import settings
from foxtailpick.platform import boot
from foxtailpick.tests import gateway_harness

CFG = settings.GatewaySettings(
    'router-1', 'north', *[gateway_harness.ANY_PORT] * 5
)


def make_gateway():
    log = decision_log.DecisionLog(lambda: 0.0, len)
    return daemon.make_gateway(CFG, None, log, lambda: 0.0, random.Random(1))


@contextlib.asynccontextmanager
async def open_reload(gw, check_settings):
    """Run the task that reloads settings; yield its signals and its end."""
    send, receive = trio.open_memory_channel(10)
    stopped = trio.Event()

    async def wait():
        await daemon._wait_for_stop(gw, receive, check_settings)
        stopped.set()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(wait)
        with trio.fail_after(gateway_harness.LIMIT_S):
            yield send, stopped
        nursery.cancel_scope.cancel()


async def test_reading_the_settings_blocks_nothing():
    """The file is on a disk that does not answer for some time."""
    is_reading = threading.Event()
    goes_on = threading.Event()
    has_waited = []

    def check_settings():
        is_reading.set()
        has_waited.append(goes_on.wait(2.0))
        return CFG

    async with open_reload(make_gateway(), check_settings) as (send, stopped):
        await send.send(signal.SIGHUP)
        while not is_reading.is_set():
            await trio.sleep(0.01)
        # The signal to stop counts meanwhile.
        await send.send(signal.SIGTERM)
        await stopped.wait()
        goes_on.set()
        while not has_waited:
            await trio.sleep(0.01)
    assert has_waited == [True]


async def test_changed_settings_are_applied_after_a_signal():
    changed = dataclasses.replace(CFG, max_sockets=500)
    gw = make_gateway()
    async with open_reload(gw, lambda: changed) as (send, _):
        await send.send(signal.SIGHUP)
        while gw.cfg != changed:
            await trio.sleep(0.01)


async def test_identity_and_addresses_do_not_change_at_a_reload():
    """Sockets are bound and the registration is written at the start."""
    changed = dataclasses.replace(
        CFG,
        name='router-2',
        domain='south',
        listen=('127.0.0.1', 1),
        peers=('127.0.0.1', 2),
        max_sockets=500,
    )
    gw = make_gateway()
    async with open_reload(gw, lambda: changed) as (send, _):
        await send.send(signal.SIGHUP)
        while gw.cfg is CFG:
            await trio.sleep(0.01)
    assert gw.cfg == dataclasses.replace(CFG, max_sockets=500)


async def test_settings_do_not_change_once_the_gateway_stops():
    """A shorter grace period would cut requests off that it has accepted."""
    gw = make_gateway()
    changed = dataclasses.replace(CFG, grace_ms=500.0)
    checks = []

    def check_settings():
        checks.append(changed)
        return changed

    async with open_reload(gw, check_settings) as (send, stopped):
        await send.send(signal.SIGTERM)
        await stopped.wait()
        await send.send(signal.SIGHUP)
        await trio.sleep(0.1)
    assert checks == []
    assert gw.cfg is CFG


def test_signal_of_changed_settings_at_the_start_ends_no_process(tmp_path):
    """It comes before the process waits for signals."""
    path = tmp_path / 'settings'
    os.mkfifo(path)
    with subprocess.Popen(
        [sys.executable, '-m', 'foxtailpick.platform'],
        env={**os.environ, boot.BOOT_VARIABLE: str(path)},
        stderr=subprocess.DEVNULL,
    ) as process:
        # Opened once the process reads its settings.
        with path.open('w') as pipe:
            process.send_signal(signal.SIGHUP)
            pipe.write('no settings')
        process.wait(gateway_harness.LIMIT_S)
    # The settings are refused.
    assert process.returncode == 1
