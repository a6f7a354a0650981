"""Tests of requests that need room in the memory of an engine."""

import contextlib
import json
import random

import pytest
import trio

from foxtailpick.core.dispatch import endpoint_memory
from foxtailpick.core.dispatch import load_exchange
from foxtailpick.core.dispatch import memory_exchange
from foxtailpick.platform import items
from foxtailpick.tests import gateway_harness
from foxtailpick.tests import test_dispatch

CAPACITY = 120_000
LONG = 12_000
SHORT = 1_100
TICK_MS = 15.0
DRAWS = 3
MAX_WAIT_MS = 1_600.0
TARGET_MS = {LONG: 620.0, SHORT: 308.0}


class Fleet:
    """Routers that place long and short prompts at three engines."""

    def __init__(self, routers=1, has_limit=True, reserves=True, seed=1):
        self.tables = [test_dispatch.make_table(3) for _ in range(routers)]
        self.memories = [
            endpoint_memory.ServiceMemory() for _ in range(routers)
        ]
        self.has_limit = has_limit
        self.reserves = reserves
        self.sent = [memory_exchange.SentTokens() for _ in range(routers)]
        self.hub = load_exchange.HubReports()
        self.held = dict.fromkeys(('e0', 'e1', 'e2'), 0)
        self.above = 0
        self.waited_ms = {LONG: [], SHORT: []}
        self.refused = {LONG: 0, SHORT: 0}
        self.rng = random.Random(seed)

    def simulate(self, seconds=20, short_per_s=138):
        """Place 0.8 of what the memory of all engines takes."""
        waiting = []
        running = []
        number = 0
        for tick in range(int(seconds * 1_000 / TICK_MS)):
            now_ms = tick * TICK_MS
            for end_ms, router, name, size in list(running):
                if end_ms <= now_ms:
                    running.remove((end_ms, router, name, size))
                    item = self.tables[router].get(name)
                    item.running -= 1
                    item.held_tokens -= size
                    self.held[name] -= size
            if tick % 10 == 0:
                self._exchange(now_ms)
            for rate_per_s, size in ((6, LONG), (short_per_s, SHORT)):
                for _ in range(DRAWS):
                    chance = rate_per_s * TICK_MS / 1_000 / DRAWS
                    if self.rng.random() < chance:
                        number += 1
                        router = self.rng.randrange(len(self.tables))
                        waiting.append((now_ms, router, f'r{number}', size))
            for request in list(waiting):
                placed = self._try(*request, now_ms)
                if placed:
                    running.append(placed)
                if placed or now_ms - request[0] >= MAX_WAIT_MS:
                    waiting.remove(request)
                    endpoint_memory.end_wait(
                        self.memories[request[1]], request[2]
                    )
                    self.refused[request[3]] += not placed
        return self

    @property
    def count(self):
        """Number of requests that were placed."""
        return sum(len(waits) for waits in self.waited_ms.values())

    def _exchange(self, now_ms):
        for table in self.tables:
            for item in table.list_all():
                others = sum(
                    other.get(item.id).running
                    for other in self.tables
                    if other is not table
                )
                item.set_remote_load(others, now_ms)
        for number, table in enumerate(self.tables):
            memories = {'engine': self.memories[number]}
            report = self.sent[number].next_report(
                table, {'engine': CAPACITY}, memories, now_ms
            )
            self.hub.record(number, *report, now_ms)
        totals = self.hub.sum_counts(now_ms)
        for number, sequence in self.hub.list_routers():
            self.sent[number].apply_totals(
                self.tables[number], totals, sequence, now_ms
            )

    def _try(self, arrived_ms, router, name, size, now_ms):
        table, memory = self.tables[router], self.memories[router]
        found = table.list_service('engine')
        if self.has_limit:
            found = endpoint_memory.select_with_room(
                found, memory, name, size, CAPACITY, len(self.tables), now_ms
            )
        if not found:
            endpoint_memory.begin_wait(
                memory, name, size, TARGET_MS[size], MAX_WAIT_MS, now_ms
            )
            if not self.reserves:
                memory.waiters.clear()
            return None
        item = self.rng.choice(found)
        endpoint_memory.record_size(memory, size)
        self.waited_ms[size].append(now_ms - arrived_ms)
        item.running += 1
        item.held_tokens += size
        self.held[item.id] += size
        self.above += self.held[item.id] > CAPACITY
        takes_ms = 2_000 if size == LONG else 1_000
        return now_ms + takes_ms, router, item.id, size


def compute_late_share(fleets, size):
    """Return the share of the requests that waited beyond their target."""
    waits_ms = [wait for fleet in fleets for wait in fleet.waited_ms[size]]
    late = sum(wait > TARGET_MS[size] for wait in waits_ms)
    refused = sum(fleet.refused[size] for fleet in fleets)
    return (late + refused) / (len(waits_ms) + refused)


def test_memory_is_not_exceeded_by_long_prompts():
    before = Fleet(has_limit=False).simulate()
    assert before.above > 100
    fleet = Fleet().simulate()
    assert fleet.above == 0


@pytest.mark.parametrize('routers', [4, 10])
def test_routers_that_hear_late_seldom_exceed_the_memory(routers):
    """A request that is preempted is late: 95 in 100 are in time."""
    fleets = [
        Fleet(routers=routers, seed=seed).simulate(short_per_s=156)
        for seed in range(1, 4)
    ]
    above = sum(fleet.above for fleet in fleets)
    assert above <= 0.05 * sum(fleet.count for fleet in fleets)
    before = Fleet(routers=routers, has_limit=False).simulate()
    assert before.above > 0.05 * before.count


@pytest.mark.parametrize('routers', [4, 10])
def test_routers_together_never_exceed_the_memory(routers):
    """An endpoint gets nothing that its memory can't take."""
    fleet = Fleet(routers=routers).simulate(short_per_s=156)
    assert fleet.above == 0


@pytest.mark.parametrize('routers', [1, 4, 10])
def test_short_prompts_are_not_held_up_by_long_ones(routers):
    fleet = Fleet(routers=routers).simulate()
    assert compute_late_share([fleet], SHORT) <= 0.05
    assert fleet.refused[SHORT] == 0


def test_long_prompts_are_not_starved_by_short_ones():
    late = {}
    for reserves in (False, True):
        fleets = [
            Fleet(reserves=reserves, seed=seed).simulate(short_per_s=156)
            for seed in range(1, 4)
        ]
        late[reserves] = compute_late_share(fleets, LONG)
    assert late[True] <= 0.05
    assert late[True] <= 0.6 * late[False]


def test_reservation_ends_with_its_request():
    table = test_dispatch.make_table(1)
    item = table.get('e0')
    item.held_tokens = CAPACITY - SHORT
    memory = endpoint_memory.ServiceMemory()

    def select(name, tokens, now_ms):
        return endpoint_memory.select_with_room(
            [item], memory, name, tokens, CAPACITY, 1, now_ms
        )

    assert not select('a', LONG, 0.0)
    assert endpoint_memory.begin_wait(memory, 'a', LONG, 400, 800, 0.0) == 800
    # Short ones go on until it has waited for a while.
    assert select('b', SHORT, 50.0)
    assert not select('b', SHORT, 300.0)
    assert (
        endpoint_memory.begin_wait(memory, 'a', LONG, 400, 800, 300.0) == 500
    )
    endpoint_memory.end_wait(memory, 'a')
    assert select('b', SHORT, 300.0)


def test_requests_of_others_count_with_the_mean_size():
    table = test_dispatch.make_table(1)
    item = table.get('e0')
    memory = endpoint_memory.ServiceMemory()
    item.set_remote_load(3.0, 0.0)

    def compute_free(now_ms):
        return endpoint_memory.compute_free(item, memory, CAPACITY, now_ms)

    assert compute_free(0.0) == CAPACITY
    endpoint_memory.record_size(memory, LONG)
    assert compute_free(0.0) == 0.95 * CAPACITY - 3 * LONG
    # Until they tell what they hold, and again when that is old.
    sent = memory_exchange.SentTokens()
    assert sent.apply_totals(table, {'e0': 33, 'gone': 1}, 0, 100.0)
    assert compute_free(200.0) == 0.95 * CAPACITY - 3_300
    assert compute_free(900.0) == 0.95 * CAPACITY - 3 * LONG


@pytest.mark.parametrize(
    ('prompt', 'capacity', 'expected'),
    [
        (CAPACITY + 1, CAPACITY, True),
        (CAPACITY, CAPACITY, False),
        (10**9, 0, False),
    ],
)
def test_only_a_prompt_that_never_fits_is_too_large(
    prompt, capacity, expected
):
    assert endpoint_memory.is_too_large(prompt, capacity) is expected
    assert endpoint_memory.compute_need(prompt + 500, CAPACITY) == CAPACITY


@pytest.mark.parametrize(
    ('engine', 'tokens'),
    [
        ({'slots': 64, 'kv_capacity': 657_098, 'kv_bytes': 1.0}, 657_098),
        ({'slots': 64}, 0),
        ({'kv_capacity': None}, 0),
        ({'kv_capacity': -5}, 0),
        (None, 0),
        ([], 0),
    ],
)
def test_capacity_is_read_from_the_configuration(engine, tokens):
    service = {'name': 'engine', 'engine': engine}
    cfg = gateway_harness.make_config(services=[service])
    decoded = items.decode_config(json.dumps(cfg).encode())
    assert decoded.services['engine'].memory_tokens == tokens


def make_config(capacity=CAPACITY):
    engine = {'name': 'engine', 'max_connections': 100}
    if capacity:
        engine['engine'] = {'slots': 64, 'kv_capacity': capacity}
    return gateway_harness.make_config(services=[engine])


def make_headers(tokens, number=1):
    return {
        'X_Token_Count': f'{tokens},100',
        'X_Prefix_Hash': f'ab:{tokens - 10},cd{number}:10',
        'X_Attempt_Id': f'a{number}',
    }


async def stream(exchange):
    await exchange.begin_stream()
    await exchange.send_events(1, 1)
    await exchange.end_stream()


@pytest.mark.parametrize(('capacity', 'status'), [(CAPACITY, 503), (0, 200)])
async def test_prompt_larger_than_any_memory_is_refused_at_once(
    capacity, status
):
    async with gateway_harness.open_harness(make_config(capacity)) as harness:
        endpoint = harness.add_endpoint('m1', 'engine', stream)
        await harness.until_known('m1')
        answer = await harness.ask('/fixed/x', **make_headers(CAPACITY + 1))
        assert answer.status == status
        assert b'retry-after' not in answer.headers
        assert bool(endpoint.received) is (status == 200)
    if status == 503:
        assert b'FTP-220' in answer.body


async def test_request_waits_for_room_and_is_sent_then():
    release = trio.Event()

    async def hold(exchange):
        await exchange.begin_stream()
        await exchange.send_events(1, 1)
        await release.wait()
        await exchange.end_stream()

    async with gateway_harness.open_harness(make_config()) as harness:
        endpoint = harness.add_endpoint('m1', 'engine', hold)
        await harness.until_known('m1')
        statuses = []

        async def ask(number, tokens):
            answer = await harness.ask(
                '/fixed/x', **make_headers(tokens, number)
            )
            statuses.append(answer.status)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask, 1, 90_000)
            await harness.until(lambda: len(endpoint.received) == 1)
            nursery.start_soon(ask, 2, 60_000)
            counters = harness.gw.metrics.counters
            await harness.until(
                lambda: counters['requests_waiting_for_memory']
            )
            # A short one is not held up.
            nursery.start_soon(ask, 3, 1_000)
            await harness.until(lambda: len(endpoint.received) == 2)
            assert endpoint.received[1].id == 'a3'
            release.set()
        assert statuses == [200, 200, 200]
        assert endpoint.received[2].id == 'a2'
        item = harness.gw.state.table.get('m1')
        await harness.until(lambda: not item.running)
        assert item.held_tokens == 0
        assert not harness.gw.memories['engine'].waiters


@pytest.mark.parametrize('reader', [0, 1])
async def test_gateways_tell_each_other_what_they_hold(reader):
    """One of the two is the hub."""

    async def hold(exchange):
        await exchange.begin_stream()
        await exchange.send_events(1, 1)
        await trio.sleep_forever()

    async with (
        gateway_harness.open_harness(make_config()) as first,
        gateway_harness.open_harness(
            name='router-2', store=first.store
        ) as second,
    ):
        first.add_endpoint('m1', 'engine', hold)
        harnesses = [first, second]
        for harness in harnesses:
            await harness.until_known('m1')
            await harness.until(lambda h=harness: h.gw.state.router_count == 2)
        holder, other = harnesses[reader], harnesses[1 - reader]
        conn = await holder.send('/fixed/x', **make_headers(90_000))
        with contextlib.closing(conn):
            item = other.gw.state.table.get('m1')
            await other.until(lambda: item.told_tokens > 0)
            assert item.told_tokens == 90_100
            # Nothing of 60,000 tokens fits beside it.
            answer = await other.ask(
                '/fixed/x', **make_headers(60_000, 2), X_Deadline_Ms='600'
            )
        assert answer.status == 503
        assert b'no-memory' in answer.body
