"""Departures of endpoints, and the faults that may hide them."""

import random

import trio

from foxtailpick.core import types
from foxtailpick.soak import callers
from foxtailpick.soak import faults
from foxtailpick.soak import world as world_lib

# Shorter than the interval in which gateways renew their leases, too.
MIN_SILENCE_MS = 100.0
MAX_SILENCE_MS = 4_000.0
COMPACTION_MS = 1_000.0
# An endpoint is removed so long after it has said that it leaves.
MIN_DRAINING_MS = 500.0
MAX_DRAINING_MS = 3_000.0
LATE_WRITE_SHARE = 0.5
# Silences without another fault end so long before the next departures.
MAX_LONE_SILENCE_MS = 2_000.0
CONTACT_MS = 3_700.0
BURST_CALLERS = 20
BURST_MS = 2_000.0


async def drain_endpoint(world: world_lib.World, rng: random.Random) -> None:
    """Replace an endpoint that says it drains and is removed later.

    A heartbeat from before may be executed meanwhile.
    """
    staying = [
        item
        for item in world.endpoints.values()
        if world.is_listed(item) and item.id not in world.record.removed_ms
    ]
    if not staying:
        return
    endpoint = rng.choice(staying)
    world.add_endpoint(endpoint.service, endpoint.version)
    await callers.pause(faults.STORE_CHANGE_PAUSE_MS)
    world.list_endpoint(endpoint, 'draining', 9)
    world.record.removed_ms[endpoint.id] = world_lib.now_ms()
    await callers.pause(rng.uniform(MIN_DRAINING_MS, MAX_DRAINING_MS))
    if rng.random() < LATE_WRITE_SHARE:
        world.list_endpoint(endpoint, 'ready', 8)
        await callers.pause(rng.uniform(MIN_DRAINING_MS, MAX_DRAINING_MS))
    if world.is_listed(endpoint):
        world.store.remove(faults.make_endpoint_key(endpoint))


async def silence_store(world: world_lib.World, rng: random.Random) -> None:
    """Lose all calls and replies of the store for a while."""
    for_ms = rng.uniform(MIN_SILENCE_MS, MAX_SILENCE_MS)
    faults.record_disruption(
        world, [gateway.name for gateway in world.gateways], for_ms
    )
    world.store.is_silent = True
    await callers.pause(for_ms)
    world.store.is_silent = False


async def depart_after_silence(
    world: world_lib.World, rng: random.Random
) -> None:
    """Lose the report of a change, and let endpoints leave later."""
    for_ms = rng.uniform(MIN_SILENCE_MS, MAX_LONE_SILENCE_MS)
    faults.record_disruption(
        world, [gateway.name for gateway in world.gateways], for_ms
    )
    world.store.is_silent = True
    await callers.pause(for_ms / 2)
    world.add_endpoint('engine')
    await callers.pause(for_ms / 2)
    world.store.is_silent = False
    await callers.pause(CONTACT_MS)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(drain_endpoint, world, rng)
        nursery.start_soon(faults.replace_endpoint, world, rng)


async def compact_store(world: world_lib.World, rng: random.Random) -> None:
    """Let watches report nothing, then drop the history and cut them."""
    world.store.is_compacting = True
    await callers.pause(COMPACTION_MS)
    world.store.drop_history()


async def burst(world: world_lib.World, rng: random.Random) -> None:
    """Let more callers come for a while."""
    with trio.move_on_after(BURST_MS / types.SECOND_MS):
        async with trio.open_nursery() as nursery:
            for number in range(BURST_CALLERS):
                name = f'b{rng.randrange(10**6)}-{number}'
                nursery.start_soon(
                    callers.run_caller, world, name, rng.random()
                )


DEPARTURE_FAULTS: tuple[faults.Fault, ...] = (
    drain_endpoint,
    drain_endpoint,
    drain_endpoint,
    faults.replace_endpoint,
    faults.replace_endpoint,
    faults.announce_leaving,
    silence_store,
    silence_store,
    silence_store,
    compact_store,
    compact_store,
    burst,
    faults.disrupt_store,
    faults.disrupt_store_path,
    faults.disrupt_endpoint_path,
    faults.restore_store,
    faults.kill_gateways,
    faults.pause_gateway,
    faults.roll_gateways,
    faults.degrade_endpoints,
)

PLANNED: tuple[faults.Fault, ...] = (
    depart_after_silence,
    faults.announce_leaving,
    faults.change_config,
)
