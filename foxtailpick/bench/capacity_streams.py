"""Processor time and memory of router and sidecar by streams relayed."""

import trio

from foxtailpick.bench import path_processes
from foxtailpick.bench import tables
from foxtailpick.core import types
from foxtailpick.standins import caller as caller_lib
from foxtailpick.standins import engine_state

STREAMS = (1, 2, 4, 8)
STREAM_TOKENS = 400
TOKEN_MS = 10.0
IDLE_S = 20.0
WARM_UP_REQUESTS = 50
WARM_UP_TOKENS = 2
MAX_RUNNING = 64
ENGINE = engine_state.EngineSettings(
    warm_limit=MAX_RUNNING, token_ms=TOKEN_MS, token_batch_ms=0.0
)


def measure() -> list[tables.Table]:
    """Measure one router and one sidecar over loopback."""
    return trio.run(_measure)


async def _measure() -> list[tables.Table]:
    async with path_processes.open_path(ENGINE, MAX_RUNNING) as path:
        idle = await _measure_idle(path)
        await _warm_up(path)
        return [idle, await _measure_relay(path)]


async def _measure_idle(path: path_processes.Path) -> tables.Table:
    table = tables.Table(
        f'Processes without requests for {IDLE_S:g} s, one link',
        ('process', '% of a core', 'MB'),
    )
    processes = {'router': path.router, 'sidecar': path.sidecar}
    before_s = {
        name: path_processes.read_processor_s(process)
        for name, process in processes.items()
    }
    await trio.sleep(IDLE_S)
    for name, process in processes.items():
        used_s = path_processes.read_processor_s(process) - before_s[name]
        memory_mb = path_processes.read_memory_mb(process)
        table.add_row(name, 100 * used_s / IDLE_S, memory_mb)
    return table


async def _measure_relay(path: path_processes.Path) -> tables.Table:
    table = tables.Table(
        f'Streams of {STREAM_TOKENS} tokens, {TOKEN_MS:g} ms between tokens, '
        f'one caller each; processor time of each process',
        (
            'streams',
            'tokens/s',
            'router µs a token',
            'sidecar µs a token',
            'router MB',
            'sidecar MB',
        ),
    )
    for count in STREAMS:
        table.add_row(count, *await _measure_streams(path, count))
    return table


async def _warm_up(path: path_processes.Path) -> None:
    for number in range(WARM_UP_REQUESTS):
        await _ask(path, f'warm-{number % STREAMS[-1]}', WARM_UP_TOKENS)


async def _measure_streams(
    path: path_processes.Path, count: int
) -> tuple[float, ...]:
    processes = (path.router, path.sidecar)
    before_s = [path_processes.read_processor_s(item) for item in processes]
    began_s = trio.current_time()
    async with trio.open_nursery() as nursery:
        for number in range(count):
            name = f'streams-{count}-{number}'
            nursery.start_soon(_ask, path, name, STREAM_TOKENS)
    took_s = trio.current_time() - began_s
    after_s = [path_processes.read_processor_s(item) for item in processes]
    tokens = count * STREAM_TOKENS
    token_us = [
        (after - before) / tokens * types.SECOND_MS * types.SECOND_MS
        for before, after in zip(before_s, after_s)
    ]
    memory_mb = [path_processes.read_memory_mb(item) for item in processes]
    return (tokens / took_s, *token_us, *memory_mb)


async def _ask(path: path_processes.Path, chat: str, tokens: int) -> None:
    headers = caller_lib.make_request_headers(f'{chat}-{tokens}', chat)
    credential = path_processes.CREDENTIAL
    async with caller_lib.Caller(path.url, credential) as caller:
        answer = await caller.complete_chat(
            path_processes.MODEL, chat, tokens, headers
        )
    if len(answer.texts) != tokens:
        raise RuntimeError(f'expected {tokens} tokens, got {answer}')
