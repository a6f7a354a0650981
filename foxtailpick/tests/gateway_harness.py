"""Test harness: a gateway with stand-ins for the store and endpoints."""

import contextlib
import dataclasses
import random
import zlib

import trio

from foxtailpick.core import clock
from foxtailpick.core.dispatch import model
from foxtailpick.gateway import client as client_lib
from foxtailpick.gateway import daemon
from foxtailpick.gateway import decision_log
from foxtailpick.gateway import exchange
from foxtailpick.gateway import http1
from foxtailpick.gateway import settings
from foxtailpick.platform import items
from foxtailpick.platform import run
from foxtailpick.platform.standins import endpoint_server
from foxtailpick.platform.standins import store_server
from foxtailpick.platform import store as store_lib

ANY_PORT = ('127.0.0.1', 0)
HOST = 'chat.example'
KEY = 'key-1'
LIMIT_S = 20.0
MAX_PORT = 65_535


def make_route(name, prefix, kind, **fields):
    """Return a route in the format of the platform's store."""
    return {
        'name': name,
        'host': HOST,
        'prefix': prefix,
        'kind': kind,
        'timeout_ms': 3000,
        'target_latency_ms': 200,
        'priority': 1,
        'service': 'engine' if kind == 'streaming' else 'plain',
        'max_attempts': 2,
        'stream_resumption': False,
        **fields,
    }


def make_config(version=1, routes=None, **fields):
    """Return a configuration in the format of the platform's store."""
    return {
        'version': version,
        'routes': routes
        or [
            make_route('safe', '/safe/', 'safe'),
            make_route('unsafe', '/unsafe/', 'unsafe'),
            make_route('fixed', '/fixed/', 'streaming', max_attempts=1),
            make_route(
                'movable', '/movable/', 'streaming', stream_resumption=True
            ),
        ],
        'services': [
            {'name': 'engine', 'max_connections': 100},
            {'name': 'plain', 'max_connections': 100},
        ],
        'tenants': [{'name': 'guides', 'api_keys': [KEY]}],
        **fields,
    }


def make_entry(service, address, **fields):
    """Return the entry that a server registers for itself."""
    return {
        'service': service,
        'address': f'{address[0]}:{address[1]}',
        'zone': 'north',
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'warmup_left_ms': 0,
        'sequence': 1,
        'born': 1_700_000_000_000,
        **fields,
    }


@dataclasses.dataclass
class Answer:
    """A response as received by a caller."""

    status: int
    headers: dict
    body: bytes


def start_endpoint(nursery, store, endpoint, service, script, **fields):
    """Start an endpoint and register it in a store."""
    standin = endpoint_server.EndpointStandIn(script)
    sock = http1.listen(ANY_PORT, 64)
    nursery.start_soon(standin.serve, sock)
    entry = make_entry(service, sock.getsockname(), **fields)
    store.put(f'servers/{endpoint}', entry)
    return standin


class Harness:
    """A running gateway with its store and endpoints."""

    def __init__(self, nursery, gw, store, address, ready_address, stop):
        self.nursery = nursery
        self.gw = gw
        self.store = store
        self.address = address
        self.ready_address = ready_address
        self.stop = stop
        self.lines = []

    def add_endpoint(self, endpoint, service, script, **fields):
        """Start an endpoint and register it in the store."""
        return start_endpoint(
            self.nursery, self.store, endpoint, service, script, **fields
        )

    async def until(self, check):
        """Wait until a condition holds, at most `LIMIT_S`."""
        with trio.fail_after(LIMIT_S):
            while not check():
                await trio.sleep(0.005)

    async def until_known(self, *endpoints):
        """Wait until the gateway has its configuration and the endpoints."""
        await self.until(
            lambda: (
                self.gw.state.cfg is not None
                and all(self.gw.state.table.get(item) for item in endpoints)
            )
        )

    async def ask(self, path, method=b'GET', body=b'', **headers):
        """Send one request on a new connection; return the response."""
        conn = await self.send(path, method, body, **headers)
        try:
            return await read_answer(conn)
        finally:
            conn.close()

    async def send(self, path, method=b'GET', body=b'', **headers):
        """Send one request on a new connection; return the connection."""
        conn = await client_lib.ClientConnection.connect(self.address)
        await conn.send(format_ask(path, method, body, **headers))
        return conn


def format_ask(path, method=b'GET', body=b'', **headers):
    """Return an encoded request; None as a value omits a header."""
    fields = {
        'X_Attempt_Id': 'a1',
        'X_Deadline_Ms': '5000',
        'X_Key': KEY,
        **headers,
    }
    raw = [
        (name.replace('_', '-').encode(), value.encode())
        for name, value in fields.items()
        if value is not None
    ]
    head = http1.format_request(
        method, path.encode(), HOST.encode(), raw, len(body)
    )
    return head + body


async def read_answer(conn):
    """Read a complete response, within `LIMIT_S`."""
    with trio.fail_after(LIMIT_S):
        status, head, body = await exchange.read_response(conn)
    return Answer(status, dict(head.headers), body)


@contextlib.asynccontextmanager
async def open_harness(
    cfg=None, grace_ms=8_000.0, name='router-1', store=None
):
    """Run a gateway; an empty `cfg` leaves it without configuration.

    Gateways that share a store are routers of one fleet.
    """
    is_first = store is None
    store = store or store_server.PlatformStoreStandIn()
    if is_first and cfg != {}:
        store.put('op/config', cfg or make_config())
    store_sock = http1.listen(ANY_PORT, 64)
    now_ms = clock.Clock.from_trio().now
    log = decision_log.DecisionLog(now_ms, len)
    gw_cfg = settings.GatewaySettings(
        name,
        'north',
        ANY_PORT,
        ANY_PORT,
        ANY_PORT,
        ANY_PORT,
        store_sock.getsockname(),
        grace_ms=grace_ms,
    )
    gw = daemon.make_gateway(
        gw_cfg, run.DIALECT, log, now_ms, random.Random(1)
    )
    listeners = daemon.Listeners.from_settings(gw_cfg)
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(store.serve, store_sock)
        with store_lib.PlatformStore(gw_cfg.store) as client:
            nursery.start_soon(
                daemon.serve_gateway,
                gw,
                listeners,
                client,
                items.LAYOUT,
                run.make_registration(
                    dataclasses.replace(
                        gw_cfg, peers=listeners.peers.getsockname()
                    )
                ),
                stop.wait,
            )
            yield Harness(
                nursery,
                gw,
                store,
                listeners.callers.getsockname(),
                listeners.readiness.getsockname(),
                stop,
            )
            nursery.cancel_scope.cancel()


def make_endpoint_entry(endpoint, **fields):
    """Return a decoded endpoint entry for unit tests."""
    values = {
        'id': endpoint,
        'started': '1',
        'service': 'engine',
        # Only one process listens at an address.
        'address': ('127.0.0.1', 1 + zlib.crc32(endpoint.encode()) % MAX_PORT),
        'domain': 'north',
        'slots': 8,
        'is_draining': False,
        'warmup_left_ms': 0.0,
        **fields,
    }
    return model.EndpointEntry(**values)
