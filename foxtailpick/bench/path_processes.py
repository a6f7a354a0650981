"""Runs a router and a sidecar in separate processes for measurements.

The platform stand-ins, the engine and the callers run in the measuring
process.
"""

import contextlib
import dataclasses
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import typing

import httpcore
import trio

from foxtailpick.adapters import base
from foxtailpick.core import configuration
from foxtailpick.core import invariants
from foxtailpick.core import types
from foxtailpick.standins import engine
from foxtailpick.standins import engine_state
from foxtailpick.standins import fleet as fleet_lib

LOOPBACK = '127.0.0.1'
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 40.0
KB_PER_PAGE = 4
MODEL = 'hill-species'
CREDENTIAL = 'bench:secret'
DIGEST = configuration.digest_credential(CREDENTIAL).hex()
CONFIG = f"""
[domain kandy-a]
region = central-hills
[partner railway]
share = 1
[model hill-species]
[service foxtail-pool]
kind = model
models = hill-species
[account bench]
partner = railway
credential_digest = {DIGEST}
"""
NODE_TEMPLATE = """
[node]
id = {name}
region = central-hills
failure_domain = kandy-a
[listen]
host = 127.0.0.1
port = {port}
admin_port = {admin_port}
[store]
urls = {store}
[membership]
url = {members}
"""
ENDPOINT_TEMPLATE = """
[endpoint]
service = foxtail-pool
kind = model
url = {engine}
models = hill-species
max_running = {max_running}
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Path:
    """A running router, sidecar and engine.

    :param router: router process.
    :param sidecar: sidecar process.
    :param url: URL of the router for callers.
    :param engine_url: URL of the engine for direct calls.
    """

    router: subprocess.Popen
    sidecar: subprocess.Popen
    url: str
    engine_url: str


@contextlib.asynccontextmanager
async def open_path(
    engine_settings: engine_state.EngineSettings, max_running: int
) -> typing.AsyncIterator[Path]:
    """Run a warm engine, its sidecar and a router until the context exits.

    :param engine_settings: settings of the simulated engine.
    :param max_running: maximum number of concurrent completions.
    """
    cfg = configuration.Configuration.from_ini(CONFIG)
    async with fleet_lib.open_fleet(cfg, invariants.Monitor()) as fleet:
        state = engine_state.EngineState(engine_settings)
        state.warm_up()
        engine_url = await fleet.serve('engine', engine.make_app(state))
        router_port, router_admin, port, admin_port = _find_free_ports(4)
        fleet.members.put(_make_member(port))
        endpoint = ENDPOINT_TEMPLATE.format(
            engine=engine_url, max_running=max_running
        )
        sidecar_text = _format_node(fleet, 'sidecar-1', port, admin_port)
        router_text = _format_node(
            fleet, 'router-1', router_port, router_admin
        )
        with (
            _run_process('sidecar', sidecar_text + endpoint) as sidecar,
            _run_process('router', router_text) as router,
        ):
            url = f'http://{LOOPBACK}:{router_port}'
            await _wait_ready(f'http://{LOOPBACK}:{admin_port}/ready')
            await _wait_ready(f'{url}/ready')
            yield Path(router, sidecar, url, engine_url)


def read_memory_mb(process: subprocess.Popen) -> float:
    """Return the resident set size of a process."""
    text = pathlib.Path(f'/proc/{process.pid}/statm').read_text()
    return int(text.split()[1]) * KB_PER_PAGE / 1_000


def read_processor_s(process: subprocess.Popen) -> float:
    """Return the processor time consumed by a process."""
    text = pathlib.Path(f'/proc/{process.pid}/stat').read_text()
    # The process name is in parentheses and may contain spaces.
    fields = text.rpartition(')')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf('SC_CLK_TCK')


def _find_free_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            sock = stack.enter_context(socket.socket())
            sock.bind((LOOPBACK, 0))
            ports.append(sock.getsockname()[1])
        return ports


def _format_node(
    fleet: fleet_lib.Fleet, name: str, port: int, admin_port: int
) -> str:
    return NODE_TEMPLATE.format(
        name=name,
        port=port,
        admin_port=admin_port,
        store=fleet.store_url,
        members=fleet.members_url,
    )


def _make_member(port: int) -> base.Member:
    return base.Member(
        endpoint=types.EndpointId('sidecar-1'),
        incarnation=types.Incarnation('unknown'),
        address=f'{LOOPBACK}:{port}',
        region=types.RegionId('central-hills'),
        domain=types.FailureDomainId('kandy-a'),
        service=types.ServiceId('foxtail-pool'),
    )


@contextlib.contextmanager
def _run_process(
    role: str, settings_text: str
) -> typing.Iterator[subprocess.Popen]:
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / f'{role}.ini'
        path.write_text(settings_text)
        command = [sys.executable, '-m', 'foxtailpick', role, str(path)]
        command += ['--log-level', 'ERROR']
        process = subprocess.Popen(command)
        try:
            yield process
        finally:
            process.terminate()
            process.wait(STOP_TIMEOUT_S)


async def _wait_ready(url: str) -> None:
    with trio.fail_after(START_TIMEOUT_S):
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                with contextlib.suppress(httpcore.NetworkError):
                    response = await pool.request('GET', url)
                    if response.status == 200:
                        return
                await trio.sleep(0.05)
