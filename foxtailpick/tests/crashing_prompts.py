"""Engines that crash when they begin to answer prompts with a certain part.

Requests with that part arrive at any gateway. Sound requests share their
account, their route and their other parts.
"""

import itertools
import random

import trio

from foxtailpick.gateway import http1
from foxtailpick.tests import gateway_harness

CRASHING_PART = 'bad'
# Time from the start of an answer until the engine ends.
CRASH_AFTER_MS = 30.0
DOWN_MS = 400.0
EVENTS = 4
EVENT_INTERVAL_MS = 15.0


class Fleet:
    """Gateways with a common store, and engines that may crash."""

    def __init__(self, harnesses, seed=1):
        self.harnesses = harnesses
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

    def add_engine(self, name):
        """Start an engine."""

        async def serve(exchange):
            await self._serve(standin, exchange)

        standin = self.harnesses[0].add_endpoint(name, 'engine', serve)
        self.engines[name] = standin

    async def _serve(self, standin, exchange):
        parts = exchange.received.headers[b'x-prefix-hash'].decode()
        is_bad = CRASHING_PART in parts
        if is_bad:
            self.bad_sent_ms.append(self.now_ms())
        await exchange.begin_stream()
        if is_bad:
            await trio.sleep(CRASH_AFTER_MS / 1_000)
            self.crashed_ms.append(self.now_ms())
            self.harnesses[0].nursery.start_soon(self._restart, standin)
            await trio.sleep_forever()
        for number in range(1, EVENTS + 1):
            await trio.sleep(EVENT_INTERVAL_MS / 1_000)
            await exchange.send_events(number, number)
        await exchange.end_stream()

    async def _restart(self, standin):
        """Crash an engine; it comes back as a new process."""
        standin.crash(DOWN_MS)
        await trio.sleep(DOWN_MS / 1_000)
        harness = self.harnesses[0]
        for name, item in self.engines.items():
            if item is standin:
                entry = gateway_harness.make_entry(
                    'engine',
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

    async def send(self, nursery, for_ms, every_ms, is_bad):
        """Send requests at random intervals."""
        until_ms = self.now_ms() + for_ms
        while self.now_ms() < until_ms:
            nursery.start_soon(self.ask, is_bad)
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


async def run_with_fleet(check, gateways, engines):
    """Run a check with gateways that know each other and all engines."""

    async def start(harnesses):
        if len(harnesses) < gateways:
            store = harnesses[0].store if harnesses else None
            async with gateway_harness.open_harness(
                name=f'router-{len(harnesses) + 1}', store=store
            ) as harness:
                await start([*harnesses, harness])
            return
        fleet = Fleet(harnesses)
        for number in range(engines):
            fleet.add_engine(f'e{number}')
        for harness in harnesses:
            await harness.until_known(*fleet.engines)
            await harness.until(
                lambda harness=harness: (
                    len(harness.gw.state.list_routers()) == gateways
                )
            )
        await check(fleet)

    await start([])
