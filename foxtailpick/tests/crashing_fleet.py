"""Engines that crash when they begin to answer certain requests.

Either each request whose prompt has a certain part crashes them, or one
plain request that comes again and again. Such requests arrive at any gateway.
Sound requests share their account, their route and their other parts.
"""

import itertools
import random

import trio

from foxtailpick.gateway import http1
from foxtailpick.tests import gateway_harness

CRASHING_PART = 'bad'
CRASHING_QUERY = 'item=bad'
CRASHING_BODY = b'bad'
# Time from the start of an answer until the engine ends.
CRASH_AFTER_MS = 30.0
DOWN_MS = 400.0
EVENTS = 4
EVENT_INTERVAL_MS = 15.0


class Fleet:
    """Gateways with a common store, and engines that may crash.

    :param harnesses: the gateways.
    :param down_ms: time until an engine that crashed is back.
    """

    def __init__(self, harnesses, down_ms=DOWN_MS, seed=1):
        self.harnesses = harnesses
        self.down_ms = down_ms
        # An engine accepts connections for this time after it closed those
        # that it had.
        self.listens_ms = 0.0
        self.rng = random.Random(seed)
        self.engines = {}
        # Times of sends of crashing requests, and of the engines' ends.
        self.bad_sent_ms = []
        self.crashed_ms = []
        self.sound = []
        self.bad_answers = []
        self._numbers = itertools.count(1)
        self._born = itertools.count(1_700_000_000_001)

    def now_ms(self):
        """Return the time of the gateways."""
        return self.harnesses[0].gw.now_ms()

    def add_engine(self, name, service='engine'):
        """Start an engine; one of another service answers plain requests."""

        async def serve(exchange):
            if service == 'engine':
                await self._serve(standin, exchange)
            else:
                await self._serve_plain(standin, exchange)

        standin = self.harnesses[0].add_endpoint(name, service, serve)
        self.engines[name] = standin

    async def _serve(self, standin, exchange):
        parts = exchange.received.headers[b'x-prefix-hash'].decode()
        is_bad = (
            CRASHING_PART in parts or exchange.received.body == CRASHING_BODY
        )
        if is_bad:
            self.bad_sent_ms.append(self.now_ms())
        await exchange.begin_stream()
        if is_bad:
            await self._crash(standin, 'engine')
        for number in range(1, EVENTS + 1):
            await trio.sleep(EVENT_INTERVAL_MS / 1_000)
            await exchange.send_events(number, number)
        await exchange.end_stream()

    async def _serve_plain(self, standin, exchange):
        if CRASHING_QUERY.encode() in exchange.received.target:
            self.bad_sent_ms.append(self.now_ms())
            await self._crash(standin, 'plain')
        await trio.sleep(EVENT_INTERVAL_MS / 1_000)
        await exchange.answer()

    async def _crash(self, standin, service):
        await trio.sleep(CRASH_AFTER_MS / 1_000)
        self.crashed_ms.append(self.now_ms())
        nursery = self.harnesses[0].nursery
        nursery.start_soon(self._restart, standin, service)
        await trio.sleep_forever()

    async def _restart(self, standin, service):
        """Crash an engine; it comes back as a new process."""
        standin.crash(self.down_ms, self.listens_ms)
        await trio.sleep(self.down_ms / 1_000)
        harness = self.harnesses[0]
        for name, item in self.engines.items():
            if item is standin:
                entry = gateway_harness.make_entry(
                    service,
                    harness.gw.state.table.get(name).entry.address,
                    born=next(self._born),
                )
                harness.store.put(f'servers/{name}', entry)

    async def ask(self, is_bad, route='movable'):
        """Send a request to any gateway and record what became of it."""
        harness = self.rng.choice(self.harnesses)
        number = next(self._numbers)
        parts = [
            'route:700',
            CRASHING_PART + ':300' if is_bad else f'd{number % 7}:300',
            f'own{number}:20',
        ]
        began_ms = self.now_ms()
        try:
            answer = await harness.ask(
                f'/{route}/x',
                b'POST',
                b'data',
                X_Attempt_Id=f'r{number}',
                X_Prefix_Hash=','.join(parts),
            )
            status = answer.status
        except http1.BrokenConnectionError:
            # An answer that was broken off has no status here.
            status = 0
        results = self.bad_answers if is_bad else self.sound
        results.append((began_ms, status))

    async def ask_alike(self, is_bad):
        """Send a stream; all have parts in common, and differ in the body."""
        harness = self.rng.choice(self.harnesses)
        number = next(self._numbers)
        began_ms = self.now_ms()
        try:
            answer = await harness.ask(
                '/movable/x',
                b'POST',
                CRASHING_BODY if is_bad else b'data%d' % number,
                X_Attempt_Id=f'r{number}',
                X_Prefix_Hash=f'route:700,d{number % 2}:300,own{number}:20',
            )
            status = answer.status
        except http1.BrokenConnectionError:
            status = 0
        results = self.bad_answers if is_bad else self.sound
        results.append((began_ms, status))

    async def ask_plain(self, is_bad, route='safe'):
        """Send a plain request to any gateway and record its outcome."""
        harness = self.rng.choice(self.harnesses)
        number = next(self._numbers)
        query = CRASHING_QUERY if is_bad else f'item={number % 7}'
        began_ms = self.now_ms()
        method = b'POST' if route == 'unsafe' else b'GET'
        answer = await harness.ask(
            f'/{route}/x?{query}', method, X_Attempt_Id=f'r{number}'
        )
        results = self.bad_answers if is_bad else self.sound
        results.append((began_ms, answer.status))

    async def send(self, nursery, for_ms, every_ms, is_bad, ask=None):
        """Send requests at random intervals."""
        ask = ask or self.ask
        until_ms = self.now_ms() + for_ms
        while self.now_ms() < until_ms:
            nursery.start_soon(ask, is_bad)
            pause_ms = every_ms * self.rng.uniform(0.5, 1.5)
            await trio.sleep(pause_ms / 1_000)

    def count_sent_after(self, limit_ms):
        """Return the crashing requests that engines got from then on."""
        return sum(sent_ms > limit_ms for sent_ms in self.bad_sent_ms)

    def compute_sound_share(self, first_ms, last_ms):
        """Return the share of sound requests answered in a time span."""
        statuses = [
            status
            for began_ms, status in self.sound
            if first_ms <= began_ms <= last_ms
        ]
        return statuses.count(200) / len(statuses)


async def run_with_fleet(
    check, gateways, engines, service='engine', down_ms=DOWN_MS
):
    """Run a check with gateways that know each other and all engines."""

    async def start(harnesses):
        if len(harnesses) < gateways:
            store = harnesses[0].store if harnesses else None
            async with gateway_harness.open_harness(
                name=f'router-{len(harnesses) + 1}', store=store
            ) as harness:
                await start([*harnesses, harness])
            return
        fleet = Fleet(harnesses, down_ms)
        for number in range(engines):
            fleet.add_engine(f'e{number}', service)
        for harness in harnesses:
            await harness.until_known(*fleet.engines)
            await harness.until(
                lambda harness=harness: (
                    len(harness.gw.state.list_routers()) == gateways
                )
            )
        await check(fleet)

    await start([])
