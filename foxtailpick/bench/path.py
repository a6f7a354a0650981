"""The cost of the path: latency, time a token, memory of the processes.

Router and sidecar run as processes of their own, as in a deployment; the
platform's stand-ins, the engine and the caller run here.
"""

import contextlib
import pathlib
import signal
import subprocess
import sys
import tempfile
import typing

import httpcore
import trio

from foxtailpick.adapters import base
from foxtailpick.bench import tables
from foxtailpick.core import configuration
from foxtailpick.core import invariants
from foxtailpick.core import types
from foxtailpick.router import metrics as metrics_lib
from foxtailpick.standins import caller as caller_lib
from foxtailpick.standins import engine
from foxtailpick.standins import engine_state
from foxtailpick.standins import fleet as fleet_lib

REQUESTS = 200
STREAM_TOKENS = 1_000
ROUTER_PORT = 18_080
SIDECAR_PORT = 18_090
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0
KB_PER_PAGE = 4
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
NODE = """
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
poll_interval = 200 ms
"""
ENDPOINT = """
[endpoint]
service = foxtail-pool
kind = model
url = {engine}
models = hill-species
max_running = 16
"""
ENGINE = engine_state.EngineSettings(token_ms=0.0, token_batch_ms=0.0)


def measure() -> list[tables.Table]:
    """Measure the path between processes over loopback."""
    return trio.run(_measure)


async def _measure() -> list[tables.Table]:
    cfg = configuration.Configuration.from_ini(CONFIG)
    monitor = invariants.Monitor()
    async with fleet_lib.open_fleet(cfg, monitor) as fleet:
        state = engine_state.EngineState(ENGINE)
        state.warm_up()
        engine_url = await fleet.serve('engine', engine.make_app(state))
        with tempfile.TemporaryDirectory() as folder:
            return await _measure_processes(
                fleet, engine_url, pathlib.Path(folder)
            )


async def _measure_processes(
    fleet: fleet_lib.Fleet, engine_url: str, folder: pathlib.Path
) -> list[tables.Table]:
    sidecar_path = folder / 'sidecar.ini'
    text = _format_node(fleet, 'sidecar-1', SIDECAR_PORT)
    sidecar_path.write_text(text + ENDPOINT.format(engine=engine_url))
    router_path = folder / 'router.ini'
    router_path.write_text(_format_node(fleet, 'router-1', ROUTER_PORT))
    fleet.members.put(_make_member())
    with (
        _run_process('sidecar', sidecar_path) as sidecar,
        _run_process('router', router_path) as router,
    ):
        await _wait_ready(f'http://127.0.0.1:{SIDECAR_PORT + 1}/ready')
        url = f'http://127.0.0.1:{ROUTER_PORT}'
        await _wait_ready(f'{url}/ready')
        memory = _measure_memory(router, sidecar)
        latency = await _measure_latency(url, engine_url)
        stop = await _measure_stop(url, router)
    return [latency, memory, stop]


def _format_node(fleet: fleet_lib.Fleet, name: str, port: int) -> str:
    return NODE.format(
        name=name,
        port=port,
        admin_port=port + 1,
        store=fleet.store_url,
        members=fleet.members_url,
    )


def _make_member() -> base.Member:
    return base.Member(
        endpoint=types.EndpointId('sidecar-1'),
        incarnation=types.Incarnation('unknown'),
        address=f'127.0.0.1:{SIDECAR_PORT}',
        region=types.RegionId('central-hills'),
        domain=types.FailureDomainId('kandy-a'),
        service=types.ServiceId('foxtail-pool'),
    )


@contextlib.contextmanager
def _run_process(
    role: str, path: pathlib.Path
) -> typing.Iterator[subprocess.Popen]:
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


def _measure_memory(
    router: subprocess.Popen, sidecar: subprocess.Popen
) -> tables.Table:
    table = tables.Table(
        'Resident memory of an idle process', ('process', 'MB')
    )
    table.add_row('router', _read_memory_mb(router.pid))
    table.add_row('sidecar', _read_memory_mb(sidecar.pid))
    return table


def _read_memory_mb(pid: int) -> float:
    pages = pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1]
    return int(pages) * KB_PER_PAGE / 1_000


async def _measure_latency(url: str, engine_url: str) -> tables.Table:
    found = metrics_lib.Metrics()
    table = tables.Table(
        f'Path against a direct call, {REQUESTS} requests of one token, one '
        f'at a time, and one stream of {STREAM_TOKENS} tokens',
        ('way', 'p50 ms', 'p95 ms', 'p99 ms', 'µs a token'),
    )
    async with caller_lib.Caller(url, CREDENTIAL) as caller:
        for way, target in (('direct', engine_url), ('routed', url)):
            caller.url = target
            await _time_requests(caller, found, way)
            token_us = await _time_stream(caller)
            percentiles = [
                found.get_percentile_ms(way, percentile)
                for percentile in metrics_lib.PERCENTILES
            ]
            table.add_row(way, *percentiles, token_us)
    return table


async def _time_requests(
    caller: caller_lib.Caller, found: metrics_lib.Metrics, way: str
) -> None:
    for index in range(REQUESTS):
        headers = caller_lib.make_request_headers(
            f'{way}-{index}', f'chat-{index}'
        )
        began_s = trio.current_time()
        answer = await caller.ask('hill-species', 'setbacks', 1, headers)
        took_s = trio.current_time() - began_s
        found.record_ms(way, took_s * types.SECOND_MS)
        if not answer.is_whole:
            raise RuntimeError(f'expected a whole answer, got {answer}')


async def _time_stream(caller: caller_lib.Caller) -> float:
    began_s = trio.current_time()
    answer = await caller.ask('hill-species', 'report', STREAM_TOKENS)
    took_s = trio.current_time() - began_s
    if len(answer.texts) != STREAM_TOKENS:
        raise RuntimeError(f'expected {STREAM_TOKENS} tokens, got {answer}')
    return took_s * 1e6 / STREAM_TOKENS


async def _measure_stop(url: str, router: subprocess.Popen) -> tables.Table:
    table = tables.Table(
        'A router told to stop with a stream in flight',
        ('tokens received', 'whole', 'exit status'),
    )
    answers: list[caller_lib.ChatAnswer] = []

    async def ask() -> None:
        async with caller_lib.Caller(url, CREDENTIAL) as caller:
            answers.append(
                await caller.ask('hill-species', 'long', STREAM_TOKENS)
            )

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask)
        await trio.sleep(0.1)
        router.send_signal(signal.SIGTERM)
    with trio.fail_after(STOP_TIMEOUT_S):
        while router.poll() is None:
            await trio.sleep(0.05)
    answer = answers[0]
    table.add_row(len(answer.texts), answer.is_whole, router.returncode)
    return table
