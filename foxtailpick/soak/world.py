"""Gateways as processes, between stand-ins and proxies on loopback."""

import dataclasses
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import typing

import trio

from foxtailpick.core import types
from foxtailpick.gateway import http1
from foxtailpick.platform import boot
from foxtailpick.platform import items
from foxtailpick.platform.standins import endpoint_server
from foxtailpick.platform.standins import store_server
from foxtailpick.soak import proxy as proxy_lib
from foxtailpick.soak import record as record_lib

HOST = 'soak.example'
KEY = 'soak-key'
# The header tells endpoints who sent a request; it passes unchanged.
GATEWAY_HEADER = b'X-Soak-Gateway'
DOMAINS = ('north', 'south')
ANY_PORT = ('127.0.0.1', 0)
EVENT_PAUSE_S = 0.02
# Below the ports that systems give to connections that are opened.
PORT_RANGE = (20_000, 30_000)
_ROOT = pathlib.Path(__file__).parents[2]
# Settings of the deployments that are checked here.
_BOOT = """node_name={name}
zone={domain}
ip=127.0.0.1
listen.frontend=127.0.0.1:{ports[0]}
listen.readiness=127.0.0.1:{ports[1]}
internal_ports={ports[2]},{ports[3]}
limits.cpu_share=0.8
bounds.grace_s=4
bounds.retry_budget_ratio=0.2
bounds.retry_budget_extra=50
platform.address={store[0]}:{store[1]}
platform.ttl_min_ms=1000
"""


def now_ms() -> float:
    """Return the time of the run, in milliseconds."""
    return trio.current_time() * types.SECOND_MS


@dataclasses.dataclass
class Gateway:
    """A gateway process.

    :param boot: its settings file.
    :param to_store: the proxy between it and the store.
    """

    name: str
    boot: pathlib.Path
    address: tuple[str, int]
    to_store: proxy_lib.Proxy
    log: typing.BinaryIO
    process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process."""
        env = {**os.environ, boot.BOOT_VARIABLE: str(self.boot)}
        self.process = subprocess.Popen(
            [sys.executable, '-m', 'foxtailpick.platform'],
            cwd=_ROOT,
            env=env,
            stdout=self.log,
            stderr=subprocess.STDOUT,
        )

    def is_running(self) -> bool:
        """Tell whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def send(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.is_running():
            self.process.send_signal(number)


@dataclasses.dataclass
class Endpoint:
    """A server of the stand-ins, behind a proxy."""

    id: str
    service: str
    domain: str
    proxy: proxy_lib.Proxy
    mood: str = 'sound'


class World:
    """Everything that a soak runs.

    :param nursery: where its tasks run.
    :param rng: source of random numbers.
    :param path: directory for settings and logs.
    """

    def __init__(
        self, nursery: trio.Nursery, rng: random.Random, path: pathlib.Path
    ) -> None:
        self.nursery = nursery
        self.rng = rng
        self.path = path
        self.record = record_lib.Record()
        self.store = store_server.FakePlatformStore()
        self.gateways: list[Gateway] = []
        self.endpoints: dict[str, Endpoint] = {}
        self.routes: dict[str, dict[str, typing.Any]] = {}
        self.version = 0
        self._store_sock = http1.listen(ANY_PORT, 64)
        self._born = 1_700_000_000_000
        # Ports may not repeat in runs at the same time, so no seed.
        self.ports_rng = random.Random()

    def __enter__(self) -> 'World':
        self.nursery.start_soon(self.store.serve, self._store_sock)
        return self

    def __exit__(self, *exc_info: typing.Any) -> None:
        for gateway in self.gateways:
            if gateway.is_running():
                gateway.process.kill()
                gateway.process.wait()
            gateway.log.close()

    def write_config(self) -> None:
        """Write the routes as a new version."""
        self.version += self.rng.randint(1, 4)
        self.store.put(
            items.CONFIG_KEY,
            {
                'version': self.version,
                'routes': list(self.routes.values()),
                'services': [
                    {'name': name, 'max_connections': 200}
                    for name in ('engine', 'plain')
                ],
                'tenants': [{'name': 'soak', 'api_keys': [KEY]}],
            },
        )

    def add_route(self, name: str, kind: str, **fields: typing.Any) -> None:
        """Add a route; `write_config` puts it in force."""
        self.routes[name] = {
            'name': name,
            'host': HOST,
            'prefix': f'/{name}/',
            'kind': kind,
            'timeout_ms': 2_500,
            'target_latency_ms': 200,
            'priority': 1,
            'service': 'engine' if kind == 'streaming' else 'plain',
            'max_attempts': 2,
            **fields,
        }

    def add_gateway(self, name: str) -> None:
        """Start a gateway."""
        store_proxy = proxy_lib.Proxy(self._store_sock.getsockname())
        self.nursery.start_soon(store_proxy.serve)
        ports = _find_ports(self.ports_rng)
        path = self.path / f'{name}.boot'
        path.write_text(
            _BOOT.format(
                name=name,
                domain=self.rng.choice(DOMAINS),
                ports=ports,
                store=store_proxy.address,
            ),
            'utf-8',
        )
        log = (self.path / f'{name}.log').open('ab')
        gateway = Gateway(
            name, path, ('127.0.0.1', ports[0]), store_proxy, log
        )
        gateway.start()
        self.gateways.append(gateway)

    def add_endpoint(self, service: str) -> Endpoint:
        """Start a server and list it in the store."""
        number = len(self.endpoints)
        sock = http1.listen(ANY_PORT, 256)
        endpoint = Endpoint(
            f'{service}-{number}',
            service,
            DOMAINS[number % len(DOMAINS)],
            proxy_lib.Proxy(sock.getsockname()),
        )
        self.endpoints[endpoint.id] = endpoint
        standin = endpoint_server.FakeEndpoint(
            lambda exchange: self._serve(endpoint, exchange)
        )
        self.nursery.start_soon(standin.serve, sock)
        self.nursery.start_soon(endpoint.proxy.serve)
        self.list_endpoint(endpoint)
        return endpoint

    def list_endpoint(self, endpoint: Endpoint) -> None:
        """Write the endpoint's entry into the store."""
        host, port = endpoint.proxy.address
        self.store.put(
            items.make_endpoint_key(endpoint.id),
            {
                'service': endpoint.service,
                'address': f'{host}:{port}',
                'zone': endpoint.domain,
                'slots': 16,
                'state': 'ready',
                'warmup_left_ms': 0,
                'sequence': 1,
                'born': self._born,
            },
        )

    def is_listed(self, endpoint: Endpoint) -> bool:
        """Tell whether the store lists an endpoint."""
        return items.make_endpoint_key(endpoint.id) in self.store.items

    def remove_endpoint(self, endpoint: Endpoint) -> None:
        """Take the endpoint out of the store; it goes on serving."""
        self.store.remove(items.make_endpoint_key(endpoint.id))
        self.record.removed_ms[endpoint.id] = now_ms()

    async def _serve(
        self, endpoint: Endpoint, exchange: endpoint_server.Exchange
    ) -> None:
        seen = exchange.received
        if not exchange.is_for(endpoint.id):
            await exchange.answer(421, b'', is_signed=False)
            return
        if endpoint.mood == 'full':
            await exchange.refuse()
            return
        run = record_lib.Run(
            seen.id,
            seen.headers[GATEWAY_HEADER.lower()].decode(),
            endpoint.id,
            endpoint.domain,
            seen.target.decode().split('/')[1],
            now_ms(),
        )
        self.record.runs.append(run)
        try:
            await self._run(endpoint, exchange)
        finally:
            run.ended_ms = now_ms()

    async def _run(
        self, endpoint: Endpoint, exchange: endpoint_server.Exchange
    ) -> None:
        signature = f'{endpoint.id}/{exchange.received.id}'.encode()
        mood = endpoint.mood if self.rng.random() < 0.5 else 'sound'
        headers = [(endpoint_server.SIGNATURE[0], signature)]
        if mood == 'mute':
            await trio.sleep_forever()
        if mood == 'cut':
            raise endpoint_server.AbortConnectionError
        if endpoint.service == 'plain':
            await trio.sleep(self.rng.uniform(0.01, 0.06))
            if mood == 'late':
                await exchange.answer(body=b'late', request='another')
            status = 500 if mood == 'failing' else 200
            await exchange.answer(
                status, make_body(exchange.received.id), headers, False
            )
            return
        last = int(exchange.received.headers.get(b'last-event-id', 0))
        events = count_events(exchange.received.id)
        await exchange.begin_stream(headers, False)
        for number in range(last + 1, events + 1):
            await trio.sleep(EVENT_PAUSE_S)
            if mood == 'breaking' and number == events // 2:
                event = endpoint_server.format_event(number)[:5]
                await http1.send_all(exchange.sock, http1.format_chunk(event))
                raise endpoint_server.AbortConnectionError
            await exchange.send_events(number, number)
        await exchange.end_stream()

    async def restart_gateways(self) -> None:
        """Start gateways that have ended, as the platform does."""
        while True:
            await trio.sleep(0.1)
            for gateway in self.gateways:
                if gateway.is_running():
                    continue
                at_ms = now_ms()
                # It has to start and to read the store.
                self.record.note_trouble(gateway.name, at_ms, at_ms + 1_500)
                gateway.start()

    def stop_gateway(self, gateway: Gateway) -> None:
        """Send SIGTERM, as planned work does."""
        if not gateway.is_running():
            return
        self.record.stops[gateway.name].append(now_ms())
        gateway.send(signal.SIGTERM)


def make_body(request: str) -> bytes:
    """Return the body that answers a plain request."""
    return f'answer to {request}'.encode() * 20


def count_events(request: str) -> int:
    """Return how many events answer a streaming request."""
    return 5 + sum(request.encode()) % 40


def _find_ports(rng: random.Random) -> list[int]:
    """Return four free ports in a row."""
    while True:
        first = rng.randrange(*PORT_RANGE)
        ports = list(range(first, first + 4))
        try:
            for port in ports:
                with socket.socket() as sock:
                    sock.bind((ANY_PORT[0], port))
        except OSError:
            # Another program has one of them.
            continue
        return ports
