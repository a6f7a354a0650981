"""Callers of the soak: keep-alive clients that sometimes disconnect."""

import contextlib
import random
import socket

import trio

from foxtailpick.core.dispatch import model
from foxtailpick.core import types
from foxtailpick.gateway import client as client_lib
from foxtailpick.gateway import exchange
from foxtailpick.gateway import http1
from foxtailpick.platform import dialect
from foxtailpick.soak import events
from foxtailpick.soak import record as record_lib
from foxtailpick.soak import resumption
from foxtailpick.soak import world as world_lib

# Callers leave this long after the deadline of a call.
CALL_TIMEOUT_EXTRA_MS = 1_000.0
# Shares of calls on a route that was dropped, with a further key, and with
# one that was revoked.
DROPPED_ROUTE_SHARE = 0.15
KEY_SHARE = 0.1
REVOKED_KEY_SHARE = 0.15
# Share of the calls of the first account, if there are several.
FIRST_ACCOUNT_SHARE = 0.8
# Requests that are sent close behind each other.
MAX_PIPELINED = 4
MAX_PIPELINING_PAUSE_MS = 30.0
# Steady callers come back this long after a refusal.
REFUSED_PAUSE_MS = (100.0, 300.0)
# Slow callers read a part of a stream at this interval, with small buffers.
SLOW_READ_MS = 50.0
SLOW_BUFFER_BYTES = 4_096
# Includes a body that is too long to be forwarded in a single send.
BODY_BYTES = (0, 50, 40_000)


async def run_caller(world: world_lib.World, name: str, seed: int) -> None:
    """Send requests sequentially until cancelled.

    :param world: the gateways and routes, and the record of the calls.
    :param name: prefix of the request ids.
    :param seed: seed of the choices of this caller.
    """
    rng = random.Random(seed)
    conns: dict[str, client_lib.ClientConnection] = {}
    number = 0
    while True:
        number += 1
        gateway = rng.choice(world.gateways)
        call = _make_call(world, f'{name}-{number}', gateway.name, rng)
        world.record.calls.append(call)
        conn = conns.pop(gateway.name, None)
        if conn is not None and not conn.is_alive():
            conn.close()
            conn = None
        try:
            if conn is None:
                with trio.fail_after(1.0):
                    conn = await client_lib.ClientConnection.connect(
                        gateway.address
                    )
            await _send_call(world, call, conn, rng)
        except (OSError, trio.TooSlowError):
            # The record of the call shows what is missing.
            pass
        finally:
            call.ended_ms = world_lib.now_ms()
            if conn is not None:
                if call.is_complete and conn.is_clean:
                    conns[gateway.name] = conn
                else:
                    conn.close()
        await _take_up_broken(world, [call], rng)
        await trio.sleep(rng.uniform(0.0, 0.12))


async def run_steady_caller(
    world: world_lib.World, name: str, seed: int
) -> None:
    """Send requests on one connection until the gateway closes it.

    Some are sent close behind each other, before the answer to the first.

    :param world: the gateways and routes, and the record of the calls.
    :param name: prefix of the request ids.
    :param seed: seed of the choices of this caller.
    """
    rng = random.Random(seed)
    slow_share = world.plan.slow_share
    is_slow = slow_share > 0 and rng.random() < slow_share
    gateway = world.gateways[0]
    conn: client_lib.ClientConnection | None = None
    number = 0
    while True:
        if conn is not None and not conn.is_alive():
            conn.close()
            conn = None
        if conn is None:
            gateway = rng.choice(world.gateways)
            conn = await _connect(gateway, is_slow)
        if conn is not None:
            count = 1
            if rng.random() < world.plan.pipelined_share:
                count = rng.randint(2, MAX_PIPELINED)
            calls = []
            for _ in range(count):
                number += 1
                call = _make_call(world, f'{name}-{number}', gateway.name, rng)
                call.predecessor = calls[-1] if calls else None
                calls.append(call)
            pause_ms = SLOW_READ_MS if is_slow else 0.0
            await _send_calls(world, calls, conn, rng, pause_ms)
            await _take_up_broken(world, calls, rng)
            if calls[-1].status in record_lib.NOT_RUN_STATUSES:
                await pause(rng.uniform(*REFUSED_PAUSE_MS))
        await trio.sleep(rng.uniform(0.0, 0.12))


async def _connect(
    gateway: world_lib.Gateway, is_slow: bool
) -> client_lib.ClientConnection | None:
    try:
        with trio.fail_after(1.0):
            if is_slow:
                return await _connect_slowly(gateway)
            return await client_lib.ClientConnection.connect(gateway.address)
    except (OSError, trio.TooSlowError):
        # The gateway is restarting.
        return None


async def _connect_slowly(
    gateway: world_lib.Gateway,
) -> client_lib.ClientConnection:
    """Connect with a receive buffer that a slow reader fills at once."""
    sock = trio.socket.socket()
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES)
        await sock.connect(gateway.address)
    except BaseException:
        sock.close()
        raise
    return client_lib.ClientConnection(sock)


async def _send_calls(
    world: world_lib.World,
    calls: list[record_lib.Call],
    conn: client_lib.ClientConnection,
    rng: random.Random,
    pause_ms: float,
) -> None:
    """Send calls on one connection, and then read their responses.

    :param world: the gateways and routes, and the record of the calls.
    :param calls: the calls.
    :param conn: the connection.
    :param rng: source of the choices of the caller.
    :param pause_ms: pause of the caller after each part that it reads.
    """
    timeout_s = _get_call_timeout_s(world)
    is_leaving = rng.random() < world.plan.disconnect_share
    if is_leaving:
        timeout_s = rng.uniform(0.0, timeout_s / 2)
    with trio.move_on_after(timeout_s) as scope:
        # The records of the calls show what is missing. Answers may still
        # arrive on a connection that takes no more requests.
        with contextlib.suppress(OSError):
            for call in calls:
                if call.predecessor is not None:
                    await pause(rng.uniform(0.0, MAX_PIPELINING_PAUSE_MS))
                call.sent_ms = world_lib.now_ms()
                world.record.calls.append(call)
                await conn.send(_format_call(world, call, rng))
                call.written_ms = world_lib.now_ms()
        with contextlib.suppress(OSError):
            for call in calls:
                await _read_response(call, conn, pause_ms)
                call.ended_ms = world_lib.now_ms()
    for call in calls:
        if not call.is_complete:
            call.has_disconnected = scope.cancelled_caught
            call.has_given_up = scope.cancelled_caught and not is_leaving
        call.ended_ms = call.ended_ms or world_lib.now_ms()
    if not calls[-1].is_complete:
        conn.close()
        conn.is_clean = False


async def _take_up_broken(
    world: world_lib.World,
    calls: list[record_lib.Call],
    rng: random.Random,
) -> None:
    """Take up the streams that broke off, if this is part of the run."""
    if not world.plan.takes_up:
        return

    async def send(
        call: record_lib.Call, conn: client_lib.ClientConnection
    ) -> None:
        await _send_call(world, call, conn, rng)

    for call in calls:
        if resumption.is_broken(call):
            await resumption.take_up(
                call,
                {item.name: item.address for item in world.gateways},
                world.count_version,
                world.record,
                send,
                rng,
            )


def _make_call(
    world: world_lib.World, request: str, gateway: str, rng: random.Random
) -> record_lib.Call:
    routes = world.routes
    if world.dropped_routes and rng.random() < DROPPED_ROUTE_SHARE:
        routes = world.dropped_routes
    route = rng.choice(list(routes))
    fields = routes[route]
    kind = model.RequestKind(fields['kind'])
    call = record_lib.Call(
        request,
        gateway,
        kind,
        bool(fields.get('stream_resumption')),
        route,
        world_lib.now_ms(),
    )
    call.key = _choose_key(world, rng)
    call.expected = world_lib.make_body(request)
    if kind is model.RequestKind.STREAMING:
        call.expected = b''.join(
            events.format_event(number, padding_bytes=world.plan.padding_bytes)
            for number in range(1, world_lib.count_events(request) + 1)
        )
    return call


def _choose_key(world: world_lib.World, rng: random.Random) -> str:
    drawn = rng.random()
    revoked = list(world.record.revoked_keys)
    if revoked and drawn < REVOKED_KEY_SHARE:
        return rng.choice(revoked)
    if world.keys and drawn < REVOKED_KEY_SHARE + KEY_SHARE:
        return rng.choice(world.keys)
    others = world.account_keys[1:]
    if others and rng.random() > FIRST_ACCOUNT_SHARE:
        return rng.choice(others)
    return world_lib.API_KEY


async def _send_call(
    world: world_lib.World,
    call: record_lib.Call,
    conn: client_lib.ClientConnection,
    rng: random.Random,
) -> None:
    data = _format_call(world, call, rng)
    timeout_s = _get_call_timeout_s(world)
    if rng.random() < world.plan.disconnect_share:
        timeout_s = rng.uniform(0.0, 0.3)
    with trio.move_on_after(timeout_s) as scope:
        await conn.send(data)
        call.written_ms = world_lib.now_ms()
        await _read_response(call, conn)
    call.has_disconnected = scope.cancelled_caught


def _format_call(
    world: world_lib.World, call: record_lib.Call, rng: random.Random
) -> bytes:
    body = b'b' * rng.choice(BODY_BYTES)
    headers = [
        *dialect.encode_caller(call.id, call.key, world.plan.deadline_ms),
        (world_lib.GATEWAY_HEADER, call.gateway.encode()),
    ]
    if call.resumes:
        headers.append((world_lib.RESUMES_HEADER, call.resumes.encode()))
        headers.append((b'Last-Event-Id', b'%d' % call.last_event))
    if call.kind is model.RequestKind.STREAMING:
        parts = (
            model.PromptPart(types.PartId(f'p{rng.randrange(9)}'), 100),
            model.PromptPart(types.PartId('x'), 10),
        )
        headers.extend(dialect.encode_prompt(parts, 50))
    head = http1.format_request(
        b'POST',
        f'/{call.route}/x'.encode(),
        world_lib.HOST.encode(),
        headers,
        len(body),
    )
    return head + body


async def _read_response(
    call: record_lib.Call,
    conn: client_lib.ClientConnection,
    pause_ms: float = 0.0,
) -> None:
    head = await conn.next_event()
    assert isinstance(head, client_lib.ResponseHead)
    call.status = head.status
    call.begun_ms = world_lib.now_ms()
    meta = dialect.decode_response(head.headers)
    if meta.signature is not None:
        call.signature = meta.signature[1].decode('latin-1')
    if not head.is_reusable:
        conn.is_clean = False
    if head.status != 200:
        await exchange.read_body(conn)
        call.is_complete = True
        return
    while (event := await conn.next_event()) is not client_lib.END:
        call.body += event
        if pause_ms:
            await pause(pause_ms)
    call.is_complete = True


async def send_crashing_prompt(
    world: world_lib.World, part: str, request: str, rng: random.Random
) -> None:
    """Send a request that crashes the engine that answers it.

    :param world: the gateways.
    :param part: the part of its prompt that does so.
    :param request: id of the request.
    :param rng: source of the choice of route and gateway.
    """
    gateway = rng.choice(world.gateways)
    parts = (
        model.PromptPart(types.PartId(f'p{rng.randrange(9)}'), 100),
        model.PromptPart(types.PartId(part), 50),
        model.PromptPart(types.PartId(request), 10),
    )
    headers = [
        *dialect.encode_caller(
            request, world_lib.API_KEY, world.plan.deadline_ms
        ),
        (world_lib.GATEWAY_HEADER, gateway.name.encode()),
        *dialect.encode_prompt(parts, 50),
    ]
    head = http1.format_request(
        b'POST',
        f'/{rng.choice(("fixed", "movable"))}/x'.encode(),
        world_lib.HOST.encode(),
        headers,
        0,
    )
    await _send_crashing(world, gateway, head)


async def send_crashing_request(
    world: world_lib.World, path: str, request: str, rng: random.Random
) -> None:
    """Send a plain request that crashes the engine that runs it.

    :param world: the gateways.
    :param path: its path.
    :param request: id of the request.
    :param rng: source of the choice of gateway.
    """
    gateway = rng.choice(world.gateways)
    headers = [
        *dialect.encode_caller(
            request, world_lib.API_KEY, world.plan.deadline_ms
        ),
        (world_lib.GATEWAY_HEADER, gateway.name.encode()),
    ]
    head = http1.format_request(
        b'GET', path.encode(), world_lib.HOST.encode(), headers, 0
    )
    await _send_crashing(world, gateway, head)


async def _send_crashing(
    world: world_lib.World, gateway: world_lib.Gateway, head: bytes
) -> None:
    with trio.move_on_after(_get_call_timeout_s(world)):
        try:
            conn = await client_lib.ClientConnection.connect(gateway.address)
        except OSError:
            # The gateway is restarting.
            return
        try:
            await conn.send(head)
            await exchange.read_response(conn)
        except OSError:
            # Broken off, as is to be expected.
            return
        finally:
            conn.close()


def _get_call_timeout_s(world: world_lib.World) -> float:
    timeout_ms = world.plan.deadline_ms + CALL_TIMEOUT_EXTRA_MS
    return timeout_ms / types.SECOND_MS


async def pause(delay_ms: float) -> None:
    """Sleep for a number of milliseconds."""
    await trio.sleep(delay_ms / types.SECOND_MS)
