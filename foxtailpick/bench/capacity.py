"""Cost of a router's fleet view by size: memory, list and decisions."""

import dataclasses
import json
import random
import time
import tracemalloc
import typing

from loguru import logger
import trio

from foxtailpick.adapters import base
from foxtailpick.adapters import membership as membership_list
from foxtailpick.bench import costs
from foxtailpick.bench import tables
from foxtailpick.core import decision
from foxtailpick.core import invariants
from foxtailpick.core import membership
from foxtailpick.core import placement

SEED = 23
ENDPOINTS = (125, 250, 500, 1_000)
REGIONS = 5
DOMAINS = 14
MODELS = 5
LIST_ROUNDS = 50
CALLS = 2_000


def measure() -> list[tables.Table]:
    """Measure the fleet view at four sizes."""
    logger.disable('foxtailpick')
    try:
        return [trio.run(_measure_view)]
    finally:
        logger.enable('foxtailpick')


async def _measure_view() -> tables.Table:
    table = tables.Table(
        f"A router's view: {MODELS} models, {REGIONS} regions, {DOMAINS} "
        f'failure domains, all rings built, processor time, seed {SEED}',
        (
            'endpoints',
            'members KB',
            'placement and rings KB',
            'list B',
            'parse list ms',
            'take over list ms',
            'decision µs',
        ),
    )
    for count in ENDPOINTS:
        table.add_row(count, *await _measure_members(_make_members(count)))
    return table


def _make_members(count: int) -> list[base.Member]:
    return [
        base.Member(
            endpoint=f'endpoint-{number:04}',
            incarnation=f'incarnation-{number:06}',
            address=f'10.20.{number // 250}.{number % 250}:8090',
            region=f'region-{number % DOMAINS % REGIONS}',
            domain=f'domain-{number % DOMAINS:02}',
            service='malli-palvelin',
        )
        for number in range(count)
    ]


async def _measure_members(
    members: list[base.Member],
) -> tuple[float, ...]:
    models = {
        member.endpoint: frozenset([f'model-{number % MODELS}'])
        for number, member in enumerate(members)
    }
    tracemalloc.start()
    view = membership.MembershipView(invariants.Monitor(), random.Random(SEED))
    view.on_list(members, 0.0)
    members_kb = costs.read_traced_kb()
    placement_table = placement.PlacementTable(0.0)
    usable = [status.member for status in view.list_usable(0.0)]
    placement_table.update(usable, models, 0.0)
    _build_rings(placement_table)
    placement_kb = costs.read_traced_kb() - members_kb
    tracemalloc.stop()
    payload = json.dumps(
        {'members': [dataclasses.asdict(member) for member in members]}
    )
    return (
        members_kb,
        placement_kb,
        len(payload),
        await _time_list_ms(payload),
        costs.time_us(lambda _: view.on_list(members, 1.0), LIST_ROUNDS)
        / 1_000,
        costs.time_us(lambda number: _choose(placement_table, number), CALLS),
    )


def _build_rings(placement_table: placement.PlacementTable) -> None:
    for number in range(MODELS * REGIONS):
        _choose(placement_table, number)


def _choose(
    placement_table: placement.PlacementTable, number: int
) -> decision.Decision:
    req = decision.PlacementRequest(
        f'chat-{number}',
        'malli-palvelin',
        f'region-{number // MODELS % REGIONS}',
        model=f'model-{number % MODELS}',
    )
    return placement.choose_endpoints(placement_table, req)


class _ListClient:
    """HTTP client stub that returns the same payload for each call."""

    def __init__(self, payload: str) -> None:
        self._payload = payload

    async def call_json(self, *_args: object) -> typing.Any:
        return json.loads(self._payload)


async def _time_list_ms(payload: str) -> float:
    adapter = membership_list.HttpMembershipList(_ListClient(payload))
    start_s = time.process_time()
    for _ in range(LIST_ROUNDS):
        await adapter.list_members()
    return (time.process_time() - start_s) / LIST_ROUNDS * 1_000
