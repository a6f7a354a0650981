"""Cost of the request path: latency, time per token and memory."""

import signal
import subprocess

import trio

from foxtailpick.bench import path_processes
from foxtailpick.bench import tables
from foxtailpick.core import types
from foxtailpick.node import metrics as metrics_lib
from foxtailpick.standins import caller as caller_lib
from foxtailpick.standins import engine_state

REQUESTS = 200
STREAM_TOKENS = 1_000
MAX_RUNNING = 16
ENGINE = engine_state.EngineSettings(token_ms=0.0, token_batch_ms=0.0)


def measure() -> list[tables.Table]:
    """Measure the request path between processes over loopback."""
    return trio.run(_measure)


async def _measure() -> list[tables.Table]:
    async with path_processes.open_path(ENGINE, MAX_RUNNING) as path:
        memory = _measure_memory(path.router, path.sidecar)
        latency = await _measure_latency(path.url, path.engine_url)
        stop = await _measure_stop(path.url, path.router)
    return [latency, memory, stop]


def _measure_memory(
    router: subprocess.Popen, sidecar: subprocess.Popen
) -> tables.Table:
    table = tables.Table(
        'Resident memory of an idle process', ('process', 'MB')
    )
    table.add_row('router', path_processes.read_memory_mb(router))
    table.add_row('sidecar', path_processes.read_memory_mb(sidecar))
    return table


async def _measure_latency(url: str, engine_url: str) -> tables.Table:
    metrics = metrics_lib.Metrics()
    table = tables.Table(
        f'Path against a direct call, {REQUESTS} requests of one token, one '
        f'at a time, and one stream of {STREAM_TOKENS} tokens',
        ('way', 'p50 ms', 'p95 ms', 'p99 ms', 'µs a token'),
    )
    async with caller_lib.Caller(url, path_processes.CREDENTIAL) as caller:
        for route, target in (('direct', engine_url), ('routed', url)):
            caller.url = target
            await _time_requests(caller, metrics, route)
            token_us = await _time_stream(caller)
            percentiles = [
                metrics.get_percentile_ms(route, percentile)
                for percentile in metrics_lib.PERCENTILES
            ]
            table.add_row(route, *percentiles, token_us)
    return table


async def _time_requests(
    caller: caller_lib.Caller, metrics: metrics_lib.Metrics, route: str
) -> None:
    for index in range(REQUESTS):
        headers = caller_lib.make_request_headers(
            f'{route}-{index}', f'chat-{index}'
        )
        start_s = trio.current_time()
        answer = await caller.complete_chat(
            path_processes.MODEL, 'setbacks', 1, headers
        )
        elapsed_s = trio.current_time() - start_s
        metrics.record_ms(route, elapsed_s * types.SECOND_MS)
        if not answer.is_complete:
            raise RuntimeError(f'expected a complete answer, got {answer}')


async def _time_stream(caller: caller_lib.Caller) -> float:
    start_s = trio.current_time()
    answer = await caller.complete_chat(
        path_processes.MODEL, 'report', STREAM_TOKENS
    )
    elapsed_s = trio.current_time() - start_s
    if len(answer.texts) != STREAM_TOKENS:
        raise RuntimeError(f'expected {STREAM_TOKENS} tokens, got {answer}')
    return elapsed_s * 1e6 / STREAM_TOKENS


async def _measure_stop(url: str, router: subprocess.Popen) -> tables.Table:
    table = tables.Table(
        'A router told to stop with a stream in flight',
        ('tokens received', 'whole', 'exit status'),
    )
    answers: list[caller_lib.ChatAnswer] = []

    async def ask() -> None:
        async with caller_lib.Caller(url, path_processes.CREDENTIAL) as caller:
            answers.append(
                await caller.complete_chat(
                    path_processes.MODEL, 'long', STREAM_TOKENS
                )
            )

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask)
        await trio.sleep(0.1)
        router.send_signal(signal.SIGTERM)
    with trio.fail_after(path_processes.STOP_TIMEOUT_S):
        while router.poll() is None:
            await trio.sleep(0.05)
    answer = answers[0]
    table.add_row(len(answer.texts), answer.is_complete, router.returncode)
    return table
