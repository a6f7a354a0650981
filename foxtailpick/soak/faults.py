"""Faults of the soak, each from outside the processes."""

import random
import signal
import typing

from foxtailpick.platform import items
from foxtailpick.soak import callers
from foxtailpick.soak import proxy as proxy_lib
from foxtailpick.soak import world as world_lib

# Time within which a harm still shows after its cause has ended.
ECHO_MS = 600.0
STORE_CHANGE_PAUSE_MS = 150.0

MOODS = ('mute', 'cut', 'late', 'failing', 'breaking', 'full')

Fault = typing.Callable[
    [world_lib.World, random.Random], typing.Awaitable[None]
]


def _draw_ms(rng: random.Random) -> float:
    return rng.uniform(200.0, 3_000.0)


def _harm(
    world: world_lib.World, names: typing.Iterable[str], for_ms: float
) -> None:
    now_ms = world_lib.now_ms()
    for name in names:
        world.record.note_trouble(name, now_ms, now_ms + for_ms + ECHO_MS)


def _list_names(world: world_lib.World) -> list[str]:
    return [gateway.name for gateway in world.gateways]


async def kill_gateways(world: world_lib.World, rng: random.Random) -> None:
    """SIGKILL one or several gateways at once."""
    count = rng.randint(1, len(world.gateways))
    for gateway in rng.sample(world.gateways, count):
        _harm(world, [gateway.name], 2_000.0)
        gateway.send(signal.SIGKILL)


async def pause_gateway(world: world_lib.World, rng: random.Random) -> None:
    """Stop a process and let it go on."""
    gateway = rng.choice(world.gateways)
    for_ms = _draw_ms(rng)
    _harm(world, [gateway.name], for_ms)
    gateway.send(signal.SIGSTOP)
    await callers.pause(for_ms)
    gateway.send(signal.SIGCONT)


async def roll_gateways(world: world_lib.World, rng: random.Random) -> None:
    """SIGTERM gateways in turn, one shortly after the other."""
    for gateway in rng.sample(world.gateways, len(world.gateways)):
        world.stop_gateway(gateway)
        await callers.pause(rng.uniform(100.0, 1_500.0))


async def reload_gateways(world: world_lib.World, rng: random.Random) -> None:
    """SIGHUP all gateways, with settings that changed or cannot be read."""
    for gateway in world.gateways:
        text = gateway.boot.read_text('utf-8')
        gateway.boot.write_text(text + 'some.new.field=1\n', 'utf-8')
        gateway.send(signal.SIGHUP)


async def harm_store_path(world: world_lib.World, rng: random.Random) -> None:
    """Harm the way between some gateways and the store."""
    gateways = rng.sample(world.gateways, rng.randint(1, len(world.gateways)))
    fault = rng.choice(list(proxy_lib.Fault)[1:])
    for_ms = _draw_ms(rng)
    _harm(world, [gateway.name for gateway in gateways], for_ms)
    for gateway in gateways:
        gateway.to_store.set_fault(fault, rng.uniform(20.0, 300.0))
    await callers.pause(for_ms)
    for gateway in gateways:
        gateway.to_store.set_fault(proxy_lib.Fault.NONE)


async def harm_store(world: world_lib.World, rng: random.Random) -> None:
    """Let the store refuse, and entries lapse meanwhile."""
    for_ms = _draw_ms(rng)
    _harm(world, _list_names(world), for_ms)
    world.store.refuse_with = rng.choice((429, 503))
    lapsed = [
        item
        for item in world.endpoints.values()
        if world.is_listed(item) and rng.random() < 0.5
    ]
    for endpoint in lapsed:
        world.store.expire_without_history(
            items.make_endpoint_key(endpoint.id)
        )
    await callers.pause(for_ms)
    world.store.refuse_with = None
    await callers.pause(rng.uniform(100.0, 1_500.0))
    for endpoint in lapsed:
        if endpoint.id not in world.record.removed_ms:
            world.list_endpoint(endpoint)


async def harm_endpoint_path(
    world: world_lib.World, rng: random.Random
) -> None:
    """Harm the way to one endpoint."""
    endpoint = rng.choice(list(world.endpoints.values()))
    for_ms = _draw_ms(rng)
    _harm(world, _list_names(world), for_ms)
    fault = rng.choice(list(proxy_lib.Fault)[1:])
    endpoint.proxy.set_fault(fault, rng.uniform(20.0, 300.0))
    await callers.pause(for_ms)
    endpoint.proxy.set_fault(proxy_lib.Fault.NONE)


async def spoil_endpoints(world: world_lib.World, rng: random.Random) -> None:
    """Let endpoints fail, refuse, or answer late or not at all."""
    endpoints = list(world.endpoints.values())
    spoiled = rng.sample(endpoints, rng.randint(1, len(endpoints)))
    for_ms = _draw_ms(rng)
    _harm(world, _list_names(world), for_ms)
    for endpoint in spoiled:
        endpoint.mood = rng.choice(MOODS)
    await callers.pause(for_ms)
    for endpoint in spoiled:
        endpoint.mood = 'sound'


async def replace_endpoint(world: world_lib.World, rng: random.Random) -> None:
    """List a new endpoint and take an old one out."""
    listed = [
        item for item in world.endpoints.values() if world.is_listed(item)
    ]
    if not listed:
        # All entries have lapsed with the store away.
        return
    endpoint = rng.choice(listed)
    world.add_endpoint(endpoint.service)
    await callers.pause(STORE_CHANGE_PAUSE_MS)
    if world.is_listed(endpoint):
        world.remove_endpoint(endpoint)


async def evacuate(world: world_lib.World, rng: random.Random) -> None:
    """Take a failure domain out and back."""
    domain = rng.choice(world_lib.DOMAINS)
    key = items.EVACUATION_PREFIX + domain
    if key in world.store.items:
        return
    start_ms = world_lib.now_ms()
    world.store.put(key, {})
    await callers.pause(_draw_ms(rng))
    world.store.remove(key)
    world.record.evacuated.append((domain, start_ms, world_lib.now_ms()))


async def change_config(world: world_lib.World, rng: random.Random) -> None:
    """Add and drop routes in quick succession."""
    for _ in range(rng.randint(1, 5)):
        name = f'r{len(world.record.added_routes)}'
        world.add_route(name, rng.choice(('safe', 'unsafe')))
        old = [key for key in world.record.added_routes if key in world.routes]
        if len(old) > 1:
            dropped = rng.choice(old)
            del world.routes[dropped]
            world.record.dropped_routes[dropped] = world_lib.now_ms()
        world.record.added_routes[name] = world_lib.now_ms()
        world.write_config()
        await callers.pause(rng.uniform(0.0, STORE_CHANGE_PAUSE_MS))


async def forget_history(world: world_lib.World, rng: random.Random) -> None:
    """Drop the store's history while changes are made."""
    await change_config(world, rng)
    world.store.history_from = world.store.revision + 1
    world.store.revision += 1


# Work that the operators plan; it is judged most strictly in calm times.
PLANNED: tuple[Fault, ...] = (
    replace_endpoint,
    replace_endpoint,
    evacuate,
    change_config,
)

# Spoiled endpoints stand here more often: most promises are about them.
FAULTS: tuple[Fault, ...] = (
    kill_gateways,
    pause_gateway,
    roll_gateways,
    reload_gateways,
    harm_store_path,
    harm_store,
    harm_endpoint_path,
    spoil_endpoints,
    spoil_endpoints,
    spoil_endpoints,
    replace_endpoint,
    evacuate,
    change_config,
    forget_history,
)
