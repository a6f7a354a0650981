"""Faults that the soak injects, each from outside the gateway processes."""

import base64
import contextlib
import random
import signal
import typing

import trio

from foxtailpick.core import types
from foxtailpick.platform import items
from foxtailpick.platform.standins import store_server
from foxtailpick.soak import callers
from foxtailpick.soak import proxy as proxy_lib
from foxtailpick.soak import record as record_lib
from foxtailpick.soak import world as world_lib

# Gateways may still show the effects of a fault for this long after it ends.
RESIDUAL_EFFECT_MS = 600.0
STORE_CHANGE_PAUSE_MS = 150.0
# Age of the copy from which the store is restored, and time until the
# operators and the endpoints have written again what it lacks.
MAX_COPY_AGE_MS = 3_000.0
MAX_REWRITE_MS = 1_500.0
# Requests that crash engines are sent for longer than it takes until they
# have to be contained.
MIN_CRASHING_MS = 7_000.0
MAX_CRASHING_MS = 8_500.0
CRASHING_INTERVAL_MS = 120.0
# Length of a silence of a sound endpoint, and the time between two of them.
MIN_SILENCE_MS = 800.0
MAX_SILENCE_MS = 1_600.0
MIN_SOUND_MS = 150.0
FULL_SHARE = 0.5
MAX_SILENCES = 3
# Rate that an endpoint names, and for how long: longer than the time until it
# has to be kept.
MIN_LIMIT_PER_S = 0.2
MAX_LIMIT_PER_S = 1.5
MIN_LIMITED_MS = 8_000.0
MAX_LIMITED_MS = 11_000.0
# Route timeouts and limits of callers' connections to choose from. The
# longer timeouts outlast a stream with a silence.
TIMEOUTS_MS = (3_500.0, 4_200.0, 5_000.0)
IDLE_TIMEOUTS_MS = (300.0, 1_000.0, 60_000.0)
HEADER_TIMEOUTS_MS = (200.0, 1_000.0, 10_000.0)
UNREADABLE_SETTINGS = (b'', b'\xff\xfe', b'node_name=x\nzone=\n')
# Evacuations outlast the bound on them, so that it is checked.
MIN_EVACUATION_MS = 5_300.0
MAX_EVACUATION_MS = 7_500.0

# How long a gateway is held up, and the number of signals to stop it.
MIN_HOLD_MS = 200.0
MAX_HOLD_MS = 1_000.0
HOLD_CHECK_MS = 10.0
MAX_REPEATED_STOPS = 4

FAULTY_BEHAVIORS = ('mute', 'cut', 'late', 'failing', 'breaking', 'full')

Fault = typing.Callable[
    [world_lib.World, random.Random], typing.Awaitable[None]
]


def _draw_duration_ms(rng: random.Random) -> float:
    return rng.uniform(200.0, 3_000.0)


def make_endpoint_key(endpoint: world_lib.Endpoint) -> str:
    """Return the key under which an endpoint is registered."""
    return items.make_endpoint_key(endpoint.id)


def record_disruption(
    world: world_lib.World, names: typing.Iterable[str], for_ms: float
) -> None:
    """Note that gateways are disrupted from now on.

    :param world: the world.
    :param names: the gateways.
    :param for_ms: length of the disruption.
    """
    now_ms = world_lib.now_ms()
    for name in names:
        world.record.record_disruption(
            name, now_ms, now_ms + for_ms + RESIDUAL_EFFECT_MS
        )


def _list_gateway_names(world: world_lib.World) -> list[str]:
    return [gateway.name for gateway in world.gateways]


async def kill_gateways(world: world_lib.World, rng: random.Random) -> None:
    """Send SIGKILL to one or more gateways at the same time."""
    count = rng.randint(1, len(world.gateways))
    for gateway in rng.sample(world.gateways, count):
        record_disruption(world, [gateway.name], 2_000.0)
        gateway.send(signal.SIGKILL)


async def kill_all_gateways(
    world: world_lib.World, rng: random.Random
) -> None:
    """Send SIGKILL to all gateways at the same time."""
    record_disruption(world, _list_gateway_names(world), 2_000.0)
    for gateway in world.gateways:
        gateway.send(signal.SIGKILL)


async def release_version(world: world_lib.World, rng: random.Random) -> None:
    """Replace some engines, or all, by those of a new version.

    At times all gateways are killed as the last of the old ones leave.
    """
    version = f'v{rng.randrange(2, 10**6)}'
    old = [
        item
        for item in world.endpoints.values()
        if world.is_listed(item) and item.service == 'engine'
    ]
    count = rng.randint(1, len(old)) if rng.random() < 0.5 else len(old)
    for endpoint in old[:count]:
        world.add_endpoint('engine', version)
        await callers.pause(rng.uniform(0.0, 2 * STORE_CHANGE_PAUSE_MS))
        if world.is_listed(endpoint):
            world.remove_endpoint(endpoint)
    if rng.random() < 0.5:
        await callers.pause(rng.uniform(0.0, 1_000.0))
        await kill_all_gateways(world, rng)


async def crash_engines(world: world_lib.World, rng: random.Random) -> None:
    """Crash some engines, which start again a moment later."""
    engines = [
        item for item in world.endpoints.values() if item.service == 'engine'
    ]
    for endpoint in rng.sample(engines, rng.randint(1, len(engines) // 2)):
        world.crash_endpoint(endpoint)


async def pause_gateway(world: world_lib.World, rng: random.Random) -> None:
    """Suspend a gateway process with SIGSTOP and resume it."""
    gateway = rng.choice(world.gateways)
    for_ms = _draw_duration_ms(rng)
    record_disruption(world, [gateway.name], for_ms)
    gateway.send(signal.SIGSTOP)
    await callers.pause(for_ms)
    gateway.send(signal.SIGCONT)


async def roll_gateways(world: world_lib.World, rng: random.Random) -> None:
    """Send SIGTERM to all gateways, one shortly after another."""
    for gateway in rng.sample(world.gateways, len(world.gateways)):
        world.stop_gateway(gateway)
        await callers.pause(rng.uniform(100.0, 1_500.0))


async def reload_gateways(world: world_lib.World, rng: random.Random) -> None:
    """Send SIGHUP to all gateways after adding an unknown settings field."""
    for gateway in world.gateways:
        text = gateway.boot.read_text('utf-8')
        gateway.boot.write_text(text + 'some.new.field=1\n', 'utf-8')
        gateway.send(signal.SIGHUP)


async def disrupt_store_path(
    world: world_lib.World, rng: random.Random
) -> None:
    """Inject a network fault between some gateways and the store."""
    gateways = rng.sample(world.gateways, rng.randint(1, len(world.gateways)))
    fault = rng.choice(list(proxy_lib.Fault)[1:])
    for_ms = _draw_duration_ms(rng)
    record_disruption(world, [gateway.name for gateway in gateways], for_ms)
    for gateway in gateways:
        gateway.store_proxy.set_fault(fault, rng.uniform(20.0, 300.0))
    await callers.pause(for_ms)
    for gateway in gateways:
        gateway.store_proxy.set_fault(proxy_lib.Fault.NONE)


async def disrupt_store(world: world_lib.World, rng: random.Random) -> None:
    """Make the store reject requests while some registrations expire."""
    for_ms = _draw_duration_ms(rng)
    record_disruption(world, _list_gateway_names(world), for_ms)
    world.store.refuse_with = rng.choice((429, 503))
    expired = [
        item
        for item in world.endpoints.values()
        if world.is_listed(item) and rng.random() < 0.5
    ]
    for endpoint in expired:
        world.store.expire_without_history(
            items.make_endpoint_key(endpoint.id)
        )
    await callers.pause(for_ms)
    world.store.refuse_with = None
    await callers.pause(rng.uniform(100.0, 1_500.0))
    for endpoint in expired:
        if endpoint.id not in world.record.removed_ms:
            world.list_endpoint(endpoint)


async def restore_store(world: world_lib.World, rng: random.Random) -> None:
    """Take the store down, and bring it back from an older copy."""
    store = world.store
    copy = store.take_copy()
    await callers.pause(rng.uniform(0.0, MAX_COPY_AGE_MS))
    away_ms = rng.uniform(100.0, 1_500.0)
    rewrite_ms = rng.uniform(0.0, MAX_REWRITE_MS)
    record_disruption(world, _list_gateway_names(world), away_ms + rewrite_ms)
    store.refuse_with = 503
    await callers.pause(away_ms)
    async with world.operator_lock:
        wanted = _list_written_by_others(store.items)
        store.restore(copy)
        store.refuse_with = None
        await callers.pause(rewrite_ms)
        _write_again(store, copy, wanted)


def _write_again(
    store: store_server.PlatformStoreStandIn,
    copy: store_server.Copy,
    wanted: typing.Mapping[str, str],
) -> None:
    """Make the writes again that a copy lacks.

    :param store: the store, which was restored from the copy.
    :param copy: the copy.
    :param wanted: encoded values before the return, by key.
    """
    listed = _list_written_by_others(copy.items)
    for key in wanted.keys() | listed.keys():
        if wanted.get(key) == listed.get(key):
            continue
        if store.items.get(key) is not copy.items.get(key):
            # Changed since the return.
            continue
        if key in wanted:
            store.put(key, base64.b64decode(wanted[key]))
        else:
            store.remove(key)


def _list_written_by_others(
    entries: typing.Mapping[str, typing.Mapping[str, typing.Any]],
) -> dict[str, str]:
    """Return the encoded values of the operators' and endpoints' items."""
    prefixes = (items.OPERATOR_PREFIX, items.ENDPOINT_PREFIX)
    return {
        key: item['value']
        for key, item in entries.items()
        if key.startswith(prefixes)
    }


async def disrupt_endpoint_path(
    world: world_lib.World, rng: random.Random
) -> None:
    """Inject a network fault between the gateways and one endpoint."""
    endpoint = rng.choice(list(world.endpoints.values()))
    for_ms = _draw_duration_ms(rng)
    record_disruption(world, _list_gateway_names(world), for_ms)
    fault = rng.choice(list(proxy_lib.Fault)[1:])
    endpoint.proxy.set_fault(fault, rng.uniform(20.0, 300.0))
    await callers.pause(for_ms)
    endpoint.proxy.set_fault(proxy_lib.Fault.NONE)


async def degrade_endpoints(
    world: world_lib.World, rng: random.Random
) -> None:
    """Make some endpoints misbehave, each in a randomly chosen way."""
    endpoints = list(world.endpoints.values())
    degraded = rng.sample(endpoints, rng.randint(1, len(endpoints)))
    for_ms = _draw_duration_ms(rng)
    record_disruption(world, _list_gateway_names(world), for_ms)
    for endpoint in degraded:
        endpoint.behavior = rng.choice(FAULTY_BEHAVIORS)
    await callers.pause(for_ms)
    for endpoint in degraded:
        endpoint.behavior = 'sound'


async def replace_endpoint(world: world_lib.World, rng: random.Random) -> None:
    """Register a new endpoint and deregister an old one of its service."""
    listed = [
        item for item in world.endpoints.values() if world.is_listed(item)
    ]
    if not listed:
        # All registrations expired while the store rejected requests.
        return
    endpoint = rng.choice(listed)
    world.add_endpoint(endpoint.service, endpoint.version)
    await callers.pause(STORE_CHANGE_PAUSE_MS)
    if world.is_listed(endpoint):
        world.remove_endpoint(endpoint)


async def announce_leaving(world: world_lib.World, rng: random.Random) -> None:
    """Replace an endpoint that announces that it leaves.

    It stays registered, and serves what it gets.
    """
    staying = [
        item
        for item in world.endpoints.values()
        if world.is_listed(item) and not item.is_leaving
    ]
    if not staying:
        return
    endpoint = rng.choice(staying)
    world.add_endpoint(endpoint.service, endpoint.version)
    endpoint.is_leaving = True


async def announce_rest(world: world_lib.World, rng: random.Random) -> None:
    """Make an endpoint turn requests away and ask for a rest."""
    endpoint = rng.choice(list(world.endpoints.values()))
    endpoint.behavior = 'resting'
    await callers.pause(_draw_duration_ms(rng))
    endpoint.behavior = 'sound'


async def limit_rate(world: world_lib.World, rng: random.Random) -> None:
    """Make an endpoint name the rate that it takes from all gateways."""
    endpoint = rng.choice(list(world.endpoints.values()))
    if endpoint.rate_limit is not None:
        return
    limit = record_lib.RateLimit(
        endpoint.id,
        rng.uniform(MIN_LIMIT_PER_S, MAX_LIMIT_PER_S),
        world_lib.now_ms(),
    )
    world.record.rate_limits.append(limit)
    endpoint.rate_limit = limit
    await callers.pause(rng.uniform(MIN_LIMITED_MS, MAX_LIMITED_MS))
    endpoint.rate_limit = None
    limit.to_ms = world_lib.now_ms()


async def send_crashing_prompts(
    world: world_lib.World, rng: random.Random
) -> None:
    """Send requests with a part that crashes each engine that answers it."""
    part = f'{world_lib.CRASHING_PREFIX}{rng.randrange(10**6)}'
    until_ms = world_lib.now_ms() + rng.uniform(
        MIN_CRASHING_MS, MAX_CRASHING_MS
    )
    number = 0
    async with trio.open_nursery() as nursery:
        while world_lib.now_ms() < until_ms:
            number += 1
            nursery.start_soon(
                callers.send_crashing_prompt,
                world,
                part,
                f'{part}-{number}',
                rng,
            )
            await callers.pause(CRASHING_INTERVAL_MS * rng.uniform(0.5, 1.5))


async def send_crashing_requests(
    world: world_lib.World, rng: random.Random
) -> None:
    """Send one plain request again and again; it crashes each engine."""
    name = f'{world_lib.CRASHING_PREFIX}{rng.randrange(10**6)}'
    path = f'/{rng.choice(("safe", "unsafe"))}/{name}'
    until_ms = world_lib.now_ms() + rng.uniform(
        MIN_CRASHING_MS, MAX_CRASHING_MS
    )
    number = 0
    async with trio.open_nursery() as nursery:
        while world_lib.now_ms() < until_ms:
            number += 1
            nursery.start_soon(
                callers.send_crashing_request,
                world,
                path,
                f'{name}-{number}',
                rng,
            )
            await callers.pause(CRASHING_INTERVAL_MS * rng.uniform(0.5, 1.5))


async def evacuate(world: world_lib.World, rng: random.Random) -> None:
    """Take a failure domain out of service for a short time."""
    await _evacuate(world, rng, _draw_duration_ms(rng))


async def evacuate_for_long(
    world: world_lib.World, rng: random.Random
) -> None:
    """Take a failure domain out of service for longer than the bound."""
    for_ms = rng.uniform(MIN_EVACUATION_MS, MAX_EVACUATION_MS)
    await _evacuate(world, rng, for_ms)


async def _evacuate(
    world: world_lib.World, rng: random.Random, for_ms: float
) -> None:
    domain = rng.choice(world_lib.DOMAINS)
    key = items.EVACUATION_PREFIX + domain
    if key in world.store.items:
        return
    start_ms = world_lib.now_ms()
    async with world.operator_lock:
        world.store.put(key, {})
    await callers.pause(for_ms)
    async with world.operator_lock:
        if key in world.store.items:
            world.store.remove(key)
    world.record.evacuated.append((domain, start_ms, world_lib.now_ms()))


async def change_config(world: world_lib.World, rng: random.Random) -> None:
    """Add and remove routes in quick succession."""
    for _ in range(rng.randint(1, 5)):
        name = f'r{len(world.record.added_routes)}'
        world.add_route(name, rng.choice(('safe', 'unsafe')))
        old = [key for key in world.record.added_routes if key in world.routes]
        if len(old) > 1:
            dropped = rng.choice(old)
            world.dropped_routes[dropped] = world.routes.pop(dropped)
            world.record.dropped_routes[dropped] = world_lib.now_ms()
        world.record.added_routes[name] = world_lib.now_ms()
        world.write_config()
        await callers.pause(rng.uniform(0.0, STORE_CHANGE_PAUSE_MS))


async def change_keys(world: world_lib.World, rng: random.Random) -> None:
    """Add a key, and revoke another one later."""
    record = world.record
    key = f'key-{len(record.added_keys)}'
    async with world.operator_lock:
        record.added_keys[key] = world_lib.now_ms()
        world.keys.append(key)
        world.write_config()
    await callers.pause(_draw_duration_ms(rng))
    async with world.operator_lock:
        revoked = rng.choice(world.keys)
        world.keys.remove(revoked)
        world.write_config()
        record.revoked_keys[revoked] = world_lib.now_ms()


async def discard_history(world: world_lib.World, rng: random.Random) -> None:
    """Change the configuration, then discard the history of the store."""
    await change_config(world, rng)
    world.store.history_from = world.store.revision + 1
    world.store.revision += 1


async def slow_engines(world: world_lib.World, rng: random.Random) -> None:
    """Make all streams slower for a while."""
    world.slowness = rng.uniform(1.5, 2.5)
    await callers.pause(rng.uniform(4_000.0, 8_000.0))
    world.slowness = 1.0


async def silence_endpoints(
    world: world_lib.World, rng: random.Random
) -> None:
    """Let sound endpoints of a service fall silent, and then go on.

    The others of the service may turn requests away meanwhile.
    """
    service = rng.choice(('engine', 'engine', 'plain'))
    endpoints = [
        item
        for item in world.endpoints.values()
        if item.service == service and not item.is_silent
    ]
    if not endpoints:
        return
    silent = rng.sample(endpoints, rng.randint(1, len(endpoints)))
    others = [item for item in endpoints if item not in silent]
    if rng.random() > FULL_SHARE:
        others = []
    for endpoint in others:
        endpoint.behavior = 'full'
    async with trio.open_nursery() as nursery:
        for endpoint in silent:
            nursery.start_soon(
                _silence,
                world,
                endpoint,
                rng.uniform(MIN_SILENCE_MS, MAX_SILENCE_MS),
                rng.random() < 0.5,
            )
    for endpoint in others:
        endpoint.behavior = 'sound'


async def _silence(
    world: world_lib.World,
    endpoint: world_lib.Endpoint,
    for_ms: float,
    accepts: bool,
) -> None:
    endpoint.is_silent = True
    with contextlib.ExitStack() as stack:
        stack.enter_context(endpoint.standin.silence())
        start_ms = world_lib.now_ms()
        if accepts:
            await callers.pause(for_ms)
        else:
            async with endpoint.proxy.hold_connects():
                await callers.pause(for_ms)
    world.record.silences.append(
        record_lib.Silence(endpoint.id, accepts, start_ms, world_lib.now_ms())
    )
    await callers.pause(MIN_SOUND_MS)
    endpoint.is_silent = False


async def silence_repeatedly(
    world: world_lib.World, rng: random.Random
) -> None:
    """Let endpoints fall silent several times in a row."""
    for _ in range(rng.randint(2, MAX_SILENCES)):
        await silence_endpoints(world, rng)
        await callers.pause(rng.uniform(0.0, 300.0))


async def restart_in_silence(
    world: world_lib.World, rng: random.Random
) -> None:
    """Send SIGTERM to gateways while endpoints are silent."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(silence_endpoints, world, rng)
        await callers.pause(rng.uniform(0.0, MAX_SILENCE_MS))
        count = rng.randint(1, len(world.gateways) - 1)
        for gateway in rng.sample(world.gateways, count):
            world.stop_gateway(gateway)


async def restart_gateway(world: world_lib.World, rng: random.Random) -> None:
    """Send SIGTERM to one gateway."""
    world.stop_gateway(rng.choice(world.gateways))


async def reload_changed(world: world_lib.World, rng: random.Random) -> None:
    """Change settings of some gateways and send them SIGHUP."""
    count = rng.randint(1, len(world.gateways))
    for gateway in rng.sample(world.gateways, count):
        text = gateway.boot.read_text('utf-8', 'replace')
        if 'node_name' not in text:
            # Unreadable at the moment.
            continue
        extra = rng.randint(20, 80)
        line = f'bounds.retry_budget_extra={extra}\n'
        gateway.boot.write_text(text + line, 'utf-8')
        gateway.send(signal.SIGHUP)


async def reload_unreadable(
    world: world_lib.World, rng: random.Random
) -> None:
    """Send SIGHUP while the settings of a gateway can't be read."""
    gateway = rng.choice(world.gateways)
    data = gateway.boot.read_bytes()
    if data in UNREADABLE_SETTINGS:
        return
    gateway.boot.write_bytes(rng.choice(UNREADABLE_SETTINGS))
    gateway.send(signal.SIGHUP)
    await callers.pause(rng.uniform(100.0, 800.0))
    gateway.boot.write_bytes(data)
    gateway.send(signal.SIGHUP)


async def change_limits(world: world_lib.World, rng: random.Random) -> None:
    """Change the time limits of callers' connections."""
    world.limits = {
        'idle_timeout_ms': rng.choice(IDLE_TIMEOUTS_MS),
        'header_timeout_ms': rng.choice(HEADER_TIMEOUTS_MS),
    }
    world.write_config()


async def change_timeouts(world: world_lib.World, rng: random.Random) -> None:
    """Change the timeouts of routes, some in quick succession."""
    for _ in range(rng.randint(1, 3)):
        route = rng.choice(list(world.routes))
        world.set_timeout(route, rng.choice(TIMEOUTS_MS))
        world.write_config()
        await callers.pause(rng.uniform(0.0, STORE_CHANGE_PAUSE_MS))


async def stop_held_up(world: world_lib.World, rng: random.Random) -> None:
    """Send SIGTERM to gateways that do not get the processor just then.

    As on a busy machine: the rules excuse no request for it.
    """
    async with trio.open_nursery() as nursery:
        for gateway in _choose_some(world, rng):
            nursery.start_soon(
                _hold_up,
                world,
                gateway,
                rng.uniform(MIN_HOLD_MS, MAX_HOLD_MS),
            )
            await callers.pause(rng.uniform(0.0, MIN_HOLD_MS))
            world.stop_gateway(gateway)


async def hold_up_at_end(world: world_lib.World, rng: random.Random) -> None:
    """Send SIGTERM to gateways that are held up as their time runs out."""
    async with trio.open_nursery() as nursery:
        for gateway in _choose_some(world, rng):
            world.stop_gateway(gateway)
            nursery.start_soon(
                _hold_up_later,
                world,
                gateway,
                world.plan.grace_ms - rng.uniform(MIN_HOLD_MS, MAX_HOLD_MS),
                rng.uniform(MIN_HOLD_MS, MAX_HOLD_MS),
            )
            await callers.pause(rng.uniform(0.0, 1_000.0))


def _choose_some(
    world: world_lib.World, rng: random.Random
) -> list[world_lib.Gateway]:
    return rng.sample(world.gateways, rng.randint(1, len(world.gateways) - 1))


async def _hold_up_later(
    world: world_lib.World,
    gateway: world_lib.Gateway,
    after_ms: float,
    for_ms: float,
) -> None:
    process = gateway.process
    await callers.pause(after_ms)
    if gateway.process is process:
        await _hold_up(world, gateway, for_ms)


async def _hold_up(
    world: world_lib.World, gateway: world_lib.Gateway, for_ms: float
) -> None:
    """Take the processor from a gateway for a while, unless it is taken."""
    process = gateway.process
    if gateway.is_held_up or not gateway.is_running():
        return
    gateway.is_held_up = True
    from_ms = world_lib.now_ms()
    # The bounds other than on lost requests.
    record_disruption(world, [gateway.name], for_ms)
    process.send_signal(signal.SIGSTOP)
    try:
        with trio.move_on_after(for_ms / types.SECOND_MS):
            while process.poll() is None:
                await callers.pause(HOLD_CHECK_MS)
    finally:
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
        gateway.is_held_up = False
        world.record.holds[gateway.name].append((from_ms, world_lib.now_ms()))


async def stop_repeatedly(world: world_lib.World, rng: random.Random) -> None:
    """Send SIGTERM and SIGHUP several times to one gateway."""
    gateway = rng.choice(world.gateways)
    for _ in range(rng.randint(2, MAX_REPEATED_STOPS)):
        world.stop_gateway(gateway)
        await callers.pause(rng.uniform(0.0, 2_000.0))
        gateway.send(signal.SIGHUP)


async def break_streams(world: world_lib.World, rng: random.Random) -> None:
    """Let some engines break off streams, which others may continue."""
    engines = [
        item
        for item in world.endpoints.values()
        if item.service == 'engine' and item.behavior == 'sound'
    ]
    broken = rng.sample(engines, len(engines) // 2)
    for endpoint in broken:
        endpoint.behavior = 'breaking'
    await callers.pause(_draw_duration_ms(rng))
    for endpoint in broken:
        endpoint.behavior = 'sound'


# Stops of gateways that are held up, beside what makes streams last longer
# than those before.
HELD_UP_FAULTS: tuple[Fault, ...] = (
    stop_held_up,
    stop_held_up,
    stop_held_up,
    stop_held_up,
    hold_up_at_end,
    hold_up_at_end,
    roll_gateways,
    stop_repeatedly,
    slow_engines,
    slow_engines,
    slow_engines,
    break_streams,
    reload_changed,
    change_config,
)

# Silences of sound endpoints beside planned work.
SILENCE_FAULTS: tuple[Fault, ...] = (
    silence_endpoints,
    silence_endpoints,
    silence_endpoints,
    silence_repeatedly,
    silence_repeatedly,
    restart_in_silence,
    roll_gateways,
    restart_gateway,
    reload_changed,
    reload_unreadable,
    change_config,
    change_keys,
    change_limits,
    change_timeouts,
)

# Restarts while streams are long, and slower than those before.
# Limits of rates beside what changes the gateways that share them.
LIMIT_FAULTS: tuple[Fault, ...] = (
    limit_rate,
    limit_rate,
    limit_rate,
    kill_gateways,
    pause_gateway,
    roll_gateways,
    disrupt_store_path,
    degrade_endpoints,
    replace_endpoint,
    announce_leaving,
    evacuate,
    send_crashing_requests,
)

# Releases beside all that breaks streams off.
VERSION_FAULTS: tuple[Fault, ...] = (
    release_version,
    release_version,
    kill_all_gateways,
    kill_gateways,
    crash_engines,
    crash_engines,
    degrade_endpoints,
    pause_gateway,
    roll_gateways,
    disrupt_store_path,
    disrupt_store,
    disrupt_endpoint_path,
    restore_store,
    announce_leaving,
    change_config,
)

LONG_STREAM_FAULTS: tuple[Fault, ...] = (roll_gateways, slow_engines)

# Maintenance by operators. It runs once more after all faults have ended,
# when no disruption suspends the bounds.
PLANNED: tuple[Fault, ...] = (
    replace_endpoint,
    replace_endpoint,
    announce_leaving,
    announce_rest,
    evacuate,
    change_config,
    change_keys,
)

# Endpoint misbehavior has a higher weight: most invariants concern it.
FAULTS: tuple[Fault, ...] = (
    kill_gateways,
    pause_gateway,
    roll_gateways,
    reload_gateways,
    disrupt_store_path,
    disrupt_store,
    disrupt_endpoint_path,
    degrade_endpoints,
    degrade_endpoints,
    degrade_endpoints,
    replace_endpoint,
    evacuate,
    evacuate_for_long,
    restore_store,
    announce_leaving,
    announce_rest,
    send_crashing_prompts,
    send_crashing_requests,
    change_config,
    change_keys,
    change_keys,
    discard_history,
)
