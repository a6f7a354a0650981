"""Randomised runs of concurrent patches and of nodes that apply them."""

import random

import trio

from foxtailpick.bench import faulty_store
from foxtailpick.bench import virtual_time
from foxtailpick.core import clock as clock_lib
from foxtailpick.core import config_answers
from foxtailpick.core import config_exchange
from foxtailpick.core import config_store
from foxtailpick.core import config_writer
from foxtailpick.core import configuration
from foxtailpick.core import errors
from foxtailpick.core import invariants
from foxtailpick.core import node_config
from foxtailpick.core import types
from foxtailpick import patch_history
from foxtailpick.standins import keyvalue
from foxtailpick import testing

OPERATORS = 4
NODES = 4
PATCHES_PER_OPERATOR = 8
MAX_SUBMISSIONS = 3
THINK_MS = 400.0
POLL_MS = 150.0
FAULT_RATES = (0.0, 0.1, 0.5)
RUN_MS = 30_000.0
FINAL_POLLS = 3
INITIAL_CONFIG = """
[domain kandy-a]
region = central-hills
[domain peradeniya-b]
region = central-hills
[partner a]
share = 1
"""
PATCH_TEMPLATE = """
[patch]
base = {base}
id = {patch}
author = {operator}
reason = soak
[domain {operator}]
region = region-{index}
"""


class _Run:
    """One run: operators, nodes and the history of their observations."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.fault_rate = self.rng.choice(FAULT_RATES)
        self.clock = clock_lib.Clock.from_trio()
        self.monitor = invariants.Monitor(is_strict=True)
        self.state = keyvalue.KeyValueState(self.clock.now)
        self.events: list[patch_history.PatchEvent] = []
        self.nodes = {
            f'n{index}': node_config.NodeConfig(f'n{index}', self.monitor)
            for index in range(NODES)
        }

    async def perform(self) -> None:
        await self._make_writer(keyvalue.MemoryKeyValue(self.state)).create(
            configuration.Configuration.from_ini(INITIAL_CONFIG)
        )
        with trio.move_on_after(RUN_MS / types.SECOND_MS):
            async with trio.open_nursery() as nursery:
                kv = faulty_store.FaultyKeyValue(
                    self.state, self.rng, self.fault_rate, nursery
                )
                for name in self.nodes:
                    nursery.start_soon(self._poll_config, name, kv)
                for index in range(OPERATORS):
                    nursery.start_soon(self._submit_patches, f'op{index}', kv)
        await self._check_convergence()

    def _make_writer(
        self, kv: faulty_store.FaultyKeyValue | keyvalue.MemoryKeyValue
    ) -> config_writer.ConfigWriter:
        wall = clock_lib.Clock.from_wall()
        return config_writer.ConfigWriter(kv, wall, self.rng)

    async def _submit_patches(
        self, operator: str, kv: faulty_store.FaultyKeyValue
    ) -> None:
        for index in range(PATCHES_PER_OPERATOR):
            await clock_lib.sleep_ms(self.rng.uniform(0.0, THINK_MS))
            writer = self._make_writer(kv)
            try:
                found = await writer.reader.read_head()
            except errors.StoreError:
                continue
            patch = types.PatchId(f'{operator}-{index}')
            await self._submit(writer, operator, patch, found[0].number)

    async def _submit(
        self,
        writer: config_writer.ConfigWriter,
        operator: str,
        patch: types.PatchId,
        number: types.ConfigNumber,
    ) -> None:
        text = PATCH_TEMPLATE.format(
            base=number,
            patch=patch,
            operator=operator,
            index=self.rng.randint(1, 9),
        )
        self._record(patch_history.PatchInvoked, patch, number)
        for _ in range(MAX_SUBMISSIONS):
            answer = await writer.submit(text)
            if answer.outcome is not config_answers.Outcome.UNKNOWN:
                break
        is_accepted = answer.outcome is config_answers.Outcome.ACCEPTED
        self._record(
            patch_history.PatchReturned,
            patch,
            answer.number if is_accepted else None,
            answer.outcome is not config_answers.Outcome.UNKNOWN,
            answer.code is errors.ErrorCode.PATCH_OUTDATED,
        )

    async def _poll_config(
        self, name: str, kv: faulty_store.FaultyKeyValue
    ) -> None:
        node = self.nodes[name]
        while True:
            await clock_lib.sleep_ms(self.rng.uniform(0.0, POLL_MS))
            if self.rng.random() < 0.5:
                peer = self.rng.choice(list(self.nodes.values()))
                offer = peer.make_offer(node.fetch_after)
                # Both nodes may change while the reply is in flight.
                await clock_lib.sleep_ms(self.rng.uniform(0.0, POLL_MS))
            else:
                offer = await self._fetch(node, kv)
            if offer is not None:
                node.apply_offer(offer, self.clock.now())
            self._record_number(name)

    async def _fetch(
        self,
        node: node_config.NodeConfig,
        kv: faulty_store.FaultyKeyValue | keyvalue.MemoryKeyValue,
    ) -> config_exchange.Offer | None:
        reader = config_store.ConfigReader(kv)
        try:
            head, _ = await reader.read_head()
            return await reader.fetch_offer(head, node.fetch_after)
        except errors.FoxtailError:
            return None

    async def _check_convergence(self) -> None:
        kv = keyvalue.MemoryKeyValue(self.state)
        for name, node in self.nodes.items():
            for _ in range(FINAL_POLLS):
                offer = await self._fetch(node, kv)
                if offer is not None:
                    node.apply_offer(offer, self.clock.now())
            self._record_number(name)
        numbers = {node.number for node in self.nodes.values()}
        if len(numbers) != 1:
            raise AssertionError(
                'expected all nodes at one configuration number, '
                f'got {sorted(numbers)}'
            )
        if not self.fault_rate and numbers == {1}:
            raise AssertionError(
                'expected an accepted patch in a run without faults, got none'
            )

    def _record_number(self, name: str) -> None:
        number = self.nodes[name].number
        if number:
            self._record(patch_history.NumberSeen, name, number)

    def _record(self, event_type: type, *fields: object) -> None:
        self.events.append(event_type(float(len(self.events)), *fields))


def run(seed: int) -> None:
    """Run concurrent patches under faults.

    :param seed: seed of all random choices.
    :raises AssertionError: if the history violates a rule, or a node does not
        reach the newest number.
    """

    async def main() -> list[patch_history.PatchEvent]:
        one = _Run(seed)
        await one.perform()
        return one.events

    events = virtual_time.run(main, seed)
    testing.assert_patches(events, types.ConfigNumber(1))
