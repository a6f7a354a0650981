"""Configuration of 29,000 accounts: memory, time and bytes written."""

import dataclasses
import hashlib
import random
import time
import tracemalloc
import typing

from loguru import logger
import trio

from foxtailpick.adapters import base
from foxtailpick.bench import config_fleet
from foxtailpick.bench import costs
from foxtailpick.bench import tables
from foxtailpick.core import account_table
from foxtailpick.core import clock
from foxtailpick.core import config_store
from foxtailpick.core import config_writer
from foxtailpick.core import configuration
from foxtailpick.core import types
from foxtailpick.standins import keyvalue

SEED = 20
ACCOUNTS = 29_000
PATCHES = 50
PEERS = 1_359
CALLS = 2_000


def measure() -> list[tables.Table]:
    """Measure costs by number of accounts, and costs of one tracker."""
    logger.disable('foxtailpick')
    try:
        return [trio.run(_measure_size), _measure_tracker()]
    finally:
        logger.enable('foxtailpick')


def _measure_tracker() -> tables.Table:
    table = tables.Table(
        f'Cost of one tracker with {PEERS} peers, times of this machine',
        ('what', 'value'),
    )
    names = [f's{i}' for i in range(PEERS)]
    tracemalloc.start()
    fleet = config_fleet.Fleet(2, SEED, has_traffic=False)
    fleet.run(types.SECOND_MS)
    tracker = fleet.sidecars[0].tracker
    before_kb = costs.read_traced_kb()
    tracker.set_peers(list(names))
    table.add_row('memory of the peers KB', costs.read_traced_kb() - before_kb)
    tracemalloc.stop()
    now_ms = fleet.now_ms
    calls = {
        'hear a frame us': lambda: tracker.observe_number(1, 's7', now_ms),
        'check admission us': lambda: tracker.check_admission(now_ms),
        'next action, nothing to do us': lambda: tracker.next_action(now_ms),
    }
    while tracker.next_action(now_ms).__class__.__name__ != 'Wait':
        pass
    for what, call in calls.items():
        _, elapsed_ms = _time_ms(lambda c=call: [c() for _ in range(CALLS)])
        table.add_row(what, elapsed_ms / CALLS * types.SECOND_MS)
    change = config_fleet.make_domain_change(
        'domain-3', types.DomainState.OUT_OF_SERVICE
    )
    fleet.accept(fleet.routers[0], change)
    offer = fleet.routers[0].tracker.make_offer(1)
    _, elapsed_ms = _time_ms(
        lambda: tracker.on_offer('r0', offer, None, now_ms)
    )
    table.add_row('apply a delta us', elapsed_ms * types.SECOND_MS)
    return table


def _make_accounts(count: int) -> configuration.Configuration:
    partners = ''.join(f'[partner p{i}]\nshare = 0.05\n' for i in range(20))
    domains = ''.join(f'[domain d{i}]\nregion = r\n' for i in range(14))
    models = ''.join(f'[model m{i}]\n' for i in range(5))
    cfg = configuration.Configuration.from_ini(partners + domains + models)
    accounts = {
        f'account-{i:05d}': configuration.AccountConfig(
            types.AccountId(f'account-{i:05d}'),
            types.PartnerId(f'p{i % 20}'),
            hashlib.sha256(str(i).encode()).digest(),
        )
        for i in range(count)
    }
    table = account_table.AccountTable.from_mapping(accounts)
    return dataclasses.replace(cfg, accounts=table)


async def _measure_size() -> tables.Table:
    table = tables.Table(
        f'Cost by accounts, processor times of this machine, seed {SEED}',
        (
            'accounts',
            'encode all ms',
            'load index ms',
            'load all chunks ms',
            'memory, index only KB',
            'memory, all KB',
            'memory, decoded KB',
            'lookup us',
            'submit ms',
            'written B a patch',
            'reads a patch',
        ),
    )
    for count in (1_000, 5_000, 10_000, ACCOUNTS):
        table.add_row(count, *await _measure_accounts(count))
    return table


async def _measure_accounts(count: int) -> typing.Sequence[float]:
    cfg, encode_ms = _time_ms(lambda: _make_accounts(count))
    state = _CountingState(clock.Clock.from_trio().now)
    kv = keyvalue.MemoryKeyValue(state)
    wall = clock.Clock.from_wall()
    writer = config_writer.ConfigWriter(kv, wall, random.Random(SEED))
    await writer.create(cfg)
    reader = config_store.ConfigReader(kv)
    head, _ = await reader.read_head()
    tracemalloc.start()
    index_only = await reader.load_index(head)
    index_kb = costs.read_traced_kb()
    complete = await reader.load_chunks(index_only)
    all_kb = costs.read_traced_kb()
    decoded = dict(complete.accounts)
    decoded_kb = costs.read_traced_kb() - all_kb
    tracemalloc.stop()
    start = time.perf_counter()
    index_only = await reader.load_index(head)
    index_ms = (time.perf_counter() - start) * types.SECOND_MS
    start = time.perf_counter()
    complete = await reader.load_chunks(index_only)
    chunks_ms = (time.perf_counter() - start) * types.SECOND_MS
    names = list(decoded)[:1_000]
    _, lookup_ms = _time_ms(
        lambda: [complete.accounts[name] for name in names]
    )
    submit_ms, written, reads = await _measure_patches(state, writer, names)
    return (
        encode_ms,
        index_ms,
        chunks_ms,
        index_kb,
        all_kb,
        decoded_kb,
        lookup_ms / len(names) * types.SECOND_MS,
        submit_ms,
        written,
        reads,
    )


async def _measure_patches(
    state: '_CountingState',
    writer: config_writer.ConfigWriter,
    names: list[str],
) -> tuple[float, float, float]:
    reads = state.calls[keyvalue.Call.READ]
    written = state.written
    start = time.perf_counter()
    for number in range(PATCHES):
        answer = await writer.submit(
            f'[patch]\nbase = {number + 1}\nid = b{number}\nauthor = op\n'
            f'reason = bench\n[account {names[number]}]\nshare = 2\n'
        )
        if answer.number != number + 2:
            raise RuntimeError(f'expected {number + 2}, got {answer}')
    elapsed_ms = (time.perf_counter() - start) * types.SECOND_MS
    return (
        elapsed_ms / PATCHES,
        (state.written - written) / PATCHES,
        (state.calls[keyvalue.Call.READ] - reads) / PATCHES,
    )


class _CountingState(keyvalue.KeyValueState):
    """A store state that counts written bytes and copies values on read.

    The copies make readers allocate memory as they would over a network.
    """

    written = 0

    def read(self, key: str) -> base.Entry | None:
        entry = super().read(key)
        if entry is None:
            return None
        copied = bytes(bytearray(entry.value))
        return dataclasses.replace(entry, value=copied)

    def _apply(self, write: typing.Any) -> None:
        self.written += len(getattr(write, 'value', b''))
        super()._apply(write)


def _time_ms(
    call: typing.Callable[[], typing.Any],
) -> tuple[typing.Any, float]:
    start = time.perf_counter()
    result = call()
    return result, (time.perf_counter() - start) * types.SECOND_MS
