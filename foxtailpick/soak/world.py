"""Test environment of the soak: gateway processes, stand-ins and proxies.

Everything runs on loopback sockets.
"""

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

from foxtailpick.core.dispatch import model
from foxtailpick.core import types
from foxtailpick.gateway import http1
from foxtailpick.platform import boot
from foxtailpick.platform import items
from foxtailpick.platform.standins import endpoint_server
from foxtailpick.platform.standins import store_server
from foxtailpick.soak import events
from foxtailpick.soak import plan as plan_lib
from foxtailpick.soak import proxy as proxy_lib
from foxtailpick.soak import record as record_lib

HOST = 'soak.example'
API_KEY = 'soak-key'
# Module that runs as a gateway process.
GATEWAY_MODULE = 'foxtailpick.platform'
# Names the gateway that a caller used; gateways forward it unchanged.
GATEWAY_HEADER = b'X-Soak-Gateway'
# Names the call whose stream is taken up.
RESUMES_HEADER = b'Resumes'
DOMAINS = ('north', 'south')
ANY_PORT = ('127.0.0.1', 0)
# Rest that an endpoint asks for.
REST_S = 2
# Prefix of prompt parts, and of paths within a route, that crash engines, time
# from the start of an answer until the engine ends, and time until it has
# started again.
CRASHING_PREFIX = 'crash'
CRASH_AFTER_MS = 20.0
CRASH_DOWN_MS = 300.0
# Below the ephemeral ports of common systems.
FIRST_PORT = 20_000
PORT_BLOCKS = 100
PORTS_PER_BLOCK = 80
# A run holds one of these ports to reserve the block of the same number.
FIRST_GUARD_PORT = 19_900
_ROOT = pathlib.Path(__file__).parents[2]
# Gateway settings of the deployments under test.
_BOOT = """node_name={name}
zone={domain}
ip=127.0.0.1
listen.frontend=127.0.0.1:{ports[0]}
listen.readiness=127.0.0.1:{ports[1]}
internal_ports={ports[2]},{ports[3]}
limits.cpu_share=0.8
bounds.grace_s={grace_s:.0f}
bounds.retry_budget_ratio=0.2
bounds.retry_budget_extra=50
platform.address={store[0]}:{store[1]}
platform.ttl_min_ms=1000
"""


def now_ms() -> float:
    """Return the current time of the trio clock, in milliseconds."""
    return trio.current_time() * types.SECOND_MS


@dataclasses.dataclass
class Gateway:
    """A gateway process.

    :param name: node name.
    :param boot: path of its settings file.
    :param address: address of its frontend listener.
    :param store_proxy: proxy between the gateway and the store.
    :param log: file that receives its output.
    :param process: the process, None before the first start.
    :param is_held_up: whether the process does not get the processor.
    """

    name: str
    boot: pathlib.Path
    address: tuple[str, int]
    store_proxy: proxy_lib.Proxy
    log: typing.BinaryIO
    process: subprocess.Popen | None = None
    is_held_up: bool = False

    def start(self) -> None:
        """Start the process, or a new one after it has exited."""
        env = {**os.environ, boot.BOOT_VARIABLE: str(self.boot)}
        self.process = subprocess.Popen(
            [sys.executable, '-m', GATEWAY_MODULE],
            cwd=_ROOT,
            env=env,
            stdout=self.log,
            stderr=subprocess.STDOUT,
        )

    def is_running(self) -> bool:
        """Tell whether the process is running."""
        return self.process is not None and self.process.poll() is None

    def send(self, number: int) -> None:
        """Send a signal to the process if it is running.

        :param number: signal number.
        """
        if self.is_running():
            self.process.send_signal(number)


@dataclasses.dataclass
class Endpoint:
    """An endpoint stand-in behind a proxy.

    :param id: endpoint id.
    :param service: `engine` for streams, `plain` for other requests.
    :param domain: its failure domain.
    :param proxy: proxy between gateways and the stand-in.
    :param behavior: how it responds. `sound` is normal, `full` rejects every
        request, `resting` also asks for a rest; the others affect about
        half of the requests: `mute` never responds, `cut` closes the
        connection, `late` first sends a response to another request (plain
        only), `failing` responds with status 500 (plain only) and
        `breaking` closes the connection in the middle of a stream.
    :param is_leaving: whether it announces in its responses that it leaves.
    :param starts: number of its starts after the first.
    :param is_silent: whether it reads and sends nothing.
    :param rate_limit: the rate that it names in its responses, if any.
    :param version: version of its software.
    """

    id: str
    service: str
    domain: str
    proxy: proxy_lib.Proxy
    standin: endpoint_server.EndpointStandIn | None = None
    behavior: str = 'sound'
    is_leaving: bool = False
    starts: int = 0
    is_silent: bool = False
    rate_limit: record_lib.RateLimit | None = None
    version: str = events.FIRST_VERSION

    def make_limit_headers(self, gateway: str) -> list[model.RawHeader]:
        """Return the header that names its limit to a gateway, if any."""
        if self.rate_limit is None:
            return []
        self.rate_limit.told_ms.setdefault(gateway, now_ms())
        return [(b'Server-Limit', b'%.2f' % self.rate_limit.per_s)]


class World:
    """Store, endpoints, gateways and configuration of a soak run.

    :param nursery: runs the tasks of stand-ins and proxies.
    :param rng: seeded random number generator.
    :param path: directory for settings files and logs.
    :param plan: parameters of the run.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        rng: random.Random,
        path: pathlib.Path,
        plan: plan_lib.Plan,
    ) -> None:
        self.nursery = nursery
        self.rng = rng
        self.path = path
        self.plan = plan
        # Factor on the time between two events of a stream.
        self.slowness = 1.0
        self.record = record_lib.Record(plan)
        self.store = store_server.PlatformStoreStandIn()
        self.store.era = 1
        self.gateways: list[Gateway] = []
        self.endpoints: dict[str, Endpoint] = {}
        self.routes: dict[str, dict[str, typing.Any]] = {}
        # Routes and keys that are no longer valid, to be tried by callers.
        self.dropped_routes: dict[str, dict[str, typing.Any]] = {}
        self.keys: list[str] = []
        # Limits of callers' connections, beside the defaults.
        self.limits: dict[str, float] = {}
        self.version = 0
        # Held while the operators write again after a return of the store.
        self.operator_lock = trio.Lock()
        self._store_sock = http1.listen(ANY_PORT, 64)
        self._created_ms = 1_700_000_000_000
        self._ports_guard, self._ports = _reserve_ports()

    def __enter__(self) -> 'World':
        self.nursery.start_soon(self.store.serve, self._store_sock)
        return self

    def __exit__(self, *exc_info: typing.Any) -> None:
        for gateway in self.gateways:
            if gateway.is_running():
                gateway.process.kill()
                gateway.process.wait()
            gateway.log.close()
        self._ports_guard.close()

    @property
    def account_keys(self) -> list[str]:
        """The first key of each client account."""
        others = range(1, self.plan.accounts)
        return [API_KEY, *(f'{API_KEY}-{number}' for number in others)]

    def write_config(self) -> None:
        """Store the routes as a new version of the configuration."""
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
                'tenants': [
                    {'name': 'soak', 'api_keys': [API_KEY, *self.keys]},
                    *(
                        {'name': f'soak-{number}', 'api_keys': [key]}
                        for number, key in enumerate(self.account_keys[1:], 1)
                    ),
                ],
                'limits': self.limits,
            },
        )

    def add_route(self, name: str, kind: str, **fields: typing.Any) -> None:
        """Add a route, which takes effect with the next `write_config`.

        :param name: name of the route and first segment of its paths.
        :param kind: value of `model.RequestKind`.
        :param fields: overrides of the default route fields.
        """
        self.routes[name] = {
            'name': name,
            'host': HOST,
            'prefix': f'/{name}/',
            'kind': kind,
            'timeout_ms': self._get_timeout_ms(kind),
            'target_latency_ms': self.plan.target_ms,
            'priority': 1,
            'service': 'engine' if kind == 'streaming' else 'plain',
            'max_attempts': 2,
            **fields,
        }
        self.set_timeout(name, self.routes[name]['timeout_ms'])

    def _get_timeout_ms(self, kind: str) -> float:
        plain_ms = self.plan.plain_timeout_ms
        if kind == 'streaming' or plain_ms is None:
            return self.plan.deadline_ms
        return plain_ms

    def set_timeout(self, name: str, timeout_ms: float) -> None:
        """Set the timeout of a route, as of the next `write_config`."""
        self.routes[name]['timeout_ms'] = timeout_ms
        self.record.timeouts_ms[name].append((now_ms(), timeout_ms))

    def add_gateway(self, name: str) -> None:
        """Start a gateway process behind a store proxy of its own."""
        store_proxy = proxy_lib.Proxy(self._store_sock.getsockname())
        self.nursery.start_soon(store_proxy.serve)
        ports = _find_ports(self._ports)
        path = self.path / f'{name}.boot'
        path.write_text(
            _BOOT.format(
                name=name,
                domain=self.rng.choice(DOMAINS),
                ports=ports,
                store=store_proxy.address,
                grace_s=self.plan.grace_ms / types.SECOND_MS,
            ),
            'utf-8',
        )
        log = (self.path / f'{name}.log').open('ab')
        gateway = Gateway(
            name, path, ('127.0.0.1', ports[0]), store_proxy, log
        )
        gateway.start()
        self.record.starts[name].append(now_ms())
        self.gateways.append(gateway)

    def add_endpoint(
        self, service: str, version: str = events.FIRST_VERSION
    ) -> Endpoint:
        """Start an endpoint and register it in the store."""
        number = len(self.endpoints)
        sock = http1.listen(ANY_PORT, 256)
        endpoint = Endpoint(
            f'{service}-{number}',
            service,
            DOMAINS[number % len(DOMAINS)],
            proxy_lib.Proxy(sock.getsockname()),
            version=version,
        )
        self.endpoints[endpoint.id] = endpoint
        endpoint.standin = endpoint_server.EndpointStandIn(
            lambda exchange: self._serve(endpoint, exchange)
        )
        self.nursery.start_soon(endpoint.standin.serve, sock)
        self.nursery.start_soon(endpoint.proxy.serve)
        self.list_endpoint(endpoint)
        return endpoint

    def list_endpoint(
        self, endpoint: Endpoint, state: str = 'ready', sequence: int = 1
    ) -> None:
        """Write the registration of an endpoint to the store.

        :param endpoint: the endpoint.
        :param state: what it says of itself.
        :param sequence: number of its heartbeat.
        """
        host, port = endpoint.proxy.address
        self.store.put(
            items.make_endpoint_key(endpoint.id),
            {
                'service': endpoint.service,
                'address': f'{host}:{port}',
                'zone': endpoint.domain,
                'version': endpoint.version,
                'slots': self.plan.slots,
                'state': state,
                'warmup_left_ms': 0,
                'sequence': sequence,
                'born': self._created_ms + endpoint.starts,
            },
        )

    def is_listed(self, endpoint: Endpoint) -> bool:
        """Tell whether an endpoint is registered in the store."""
        return items.make_endpoint_key(endpoint.id) in self.store.items

    def count_version(self, version: str) -> int:
        """Return how many engines of a version serve."""
        return sum(
            item.version == version
            and item.service == 'engine'
            and self.is_listed(item)
            and item.behavior == 'sound'
            and not item.is_leaving
            for item in self.endpoints.values()
        )

    def remove_endpoint(self, endpoint: Endpoint) -> None:
        """Deregister an endpoint, which keeps serving requests."""
        self.store.remove(items.make_endpoint_key(endpoint.id))
        self.record.removed_ms[endpoint.id] = now_ms()

    async def _serve(
        self, endpoint: Endpoint, exchange: endpoint_server.Exchange
    ) -> None:
        seen = exchange.received
        if not exchange.is_for(endpoint.id):
            await exchange.answer(421, b'', is_signed=False)
            return
        gateway = seen.headers[GATEWAY_HEADER.lower()].decode()
        at_ms = now_ms() - seen.held_ms
        self.record.arrivals.append((gateway, endpoint.id, at_ms))
        self.record.passed_on[seen.id].append((endpoint.id, at_ms))
        if endpoint.behavior == 'full':
            await exchange.refuse(endpoint.make_limit_headers(gateway))
            return
        if endpoint.behavior == 'resting':
            rest = (b'Retry-After', b'%d' % REST_S)
            limit_headers = endpoint.make_limit_headers(gateway)
            await exchange.refuse([rest, *limit_headers])
            at_ms = now_ms()
            self.record.rests.append(
                record_lib.Rest(
                    gateway,
                    endpoint.id,
                    at_ms,
                    at_ms + REST_S * types.SECOND_MS,
                )
            )
            return
        run = record_lib.Run(
            seen.id,
            gateway,
            endpoint.id,
            endpoint.domain,
            seen.target.decode().split('/')[1],
            at_ms,
            start=endpoint.starts,
        )
        self.record.runs.append(run)
        try:
            part = _find_crashing_part(exchange)
            path = seen.target.decode().rpartition('/')[2]
            if path.startswith(CRASHING_PREFIX):
                part = path
                self.record.crashing_parts[
                    part
                ].crashes_to_learn = record_lib.CRASHES_OF_REQUEST_TO_LEARN
            if part is not None:
                await self._crash(endpoint, exchange, gateway, part)
                return
            await self._run(endpoint, exchange, gateway, run)
        finally:
            run.ended_ms = now_ms()

    async def _crash(
        self,
        endpoint: Endpoint,
        exchange: endpoint_server.Exchange,
        gateway: str,
        part: str,
    ) -> None:
        """Begin to answer a stream, and crash the endpoint."""
        seen = self.record.crashing_parts[part]
        seen.arrivals.append((gateway, now_ms()))
        if exchange.received.headers.get(b'x-prefix-hash'):
            await exchange.begin_stream()
        await trio.sleep(CRASH_AFTER_MS / types.SECOND_MS)
        seen.crashes_ms.append(now_ms())
        self.crash_endpoint(endpoint)

    def crash_endpoint(self, endpoint: Endpoint) -> None:
        """End the process of an endpoint; it starts again after a moment."""
        self.record.crashes_ms[endpoint.id].append(now_ms())
        endpoint.starts += 1
        endpoint.proxy.crash(CRASH_DOWN_MS)
        self.nursery.start_soon(self._list_again, endpoint)

    async def _list_again(self, endpoint: Endpoint) -> None:
        await trio.sleep(CRASH_DOWN_MS / types.SECOND_MS)
        # A restored store may list an engine that has left.
        if (
            self.is_listed(endpoint)
            and endpoint.id not in self.record.removed_ms
        ):
            self.list_endpoint(endpoint)

    async def _run(
        self,
        endpoint: Endpoint,
        exchange: endpoint_server.Exchange,
        gateway: str,
        run: record_lib.Run,
    ) -> None:
        signature = f'{endpoint.id}/{exchange.received.id}'.encode()
        behavior = endpoint.behavior if self.rng.random() < 0.5 else 'sound'
        headers = [(endpoint_server.SIGNATURE[0], signature)]
        is_leaving = endpoint.is_leaving
        if is_leaving:
            headers.append((b'Server-Leaving', b'1'))
        headers.extend(endpoint.make_limit_headers(gateway))
        if behavior == 'mute':
            await trio.sleep_forever()
        if behavior == 'cut':
            raise endpoint_server.AbortConnectionError
        if endpoint.service == 'plain':
            await trio.sleep(self.rng.uniform(0.01, 0.06))
            if behavior == 'late':
                await exchange.answer(body=b'late', request='another')
            status = 500 if behavior == 'failing' else 200
            await exchange.answer(
                status, make_body(exchange.received.id), headers, False
            )
            if is_leaving:
                self._record_leaving(endpoint, gateway, run.start)
            return
        last = int(exchange.received.headers.get(b'last-event-id', 0))
        resumed = exchange.received.headers.get(RESUMES_HEADER.lower(), b'')
        count = count_events(resumed.decode() or exchange.received.id)
        await exchange.begin_stream(headers, False)
        if is_leaving:
            self._record_leaving(endpoint, gateway, run.start)
        for number in range(last + 1, count + 1):
            pause_ms = self.plan.event_interval_ms * self.slowness
            await trio.sleep(pause_ms / types.SECOND_MS)
            if behavior == 'breaking' and number == count // 2:
                event = self._format_event(number, endpoint)[:5]
                await http1.send_all(exchange.sock, http1.format_chunk(event))
                run.is_broken = True
                raise endpoint_server.AbortConnectionError
            await exchange.send_data(self._format_event(number, endpoint))
        await exchange.end_stream()

    def _format_event(self, number: int, endpoint: Endpoint) -> bytes:
        padding_bytes = self.plan.padding_bytes
        return events.format_event(number, endpoint.version, padding_bytes)

    def _record_leaving(
        self, endpoint: Endpoint, gateway: str, start: int
    ) -> None:
        key = gateway, endpoint.id, start
        self.record.leaving_ms.setdefault(key, now_ms())

    async def restart_gateways(self) -> None:
        """Restart gateways that have exited, as the platform does."""
        while True:
            await trio.sleep(0.1)
            for gateway in self.gateways:
                if gateway.is_running():
                    continue
                at_ms = now_ms()
                # Allows for start-up and the first read of the store.
                self.record.record_disruption(
                    gateway.name, at_ms, at_ms + 1_500
                )
                gateway.start()
                self.record.starts[gateway.name].append(now_ms())

    def stop_gateway(self, gateway: Gateway) -> None:
        """Send SIGTERM to a gateway, as planned maintenance does.

        It gets SIGKILL if it still runs after the grace period. A further
        SIGTERM to the same process is no stop of its own.
        """
        if not gateway.is_running():
            return
        stops = self.record.stops[gateway.name]
        if not stops or stops[-1] < self.record.starts[gateway.name][-1]:
            stops.append(now_ms())
            self.nursery.start_soon(
                self._end_grace, gateway, gateway.process, stops[-1]
            )
        gateway.send(signal.SIGTERM)

    async def _end_grace(
        self, gateway: Gateway, process: subprocess.Popen, stop_ms: float
    ) -> None:
        """Kill a process that outlives its grace period."""
        end_ms = stop_ms + self.plan.grace_ms
        await trio.sleep_until(end_ms / types.SECOND_MS)
        if process.poll() is None:
            self.record.overruns.append((gateway.name, now_ms()))
            process.kill()


def _find_crashing_part(exchange: endpoint_server.Exchange) -> str | None:
    prompt = exchange.received.headers.get(b'x-prefix-hash', b'').decode()
    for part in prompt.split(','):
        if part.startswith(CRASHING_PREFIX):
            return part.partition(':')[0]
    return None


def make_body(request: str) -> bytes:
    """Return the expected response body of a plain request."""
    return f'answer to {request}'.encode() * 20


def count_events(request: str) -> int:
    """Return the number of events in the response to a streaming request."""
    return 5 + sum(request.encode()) % 40


def _reserve_ports() -> tuple[socket.socket, typing.Iterator[int]]:
    """Reserve a block of ports against concurrent runs.

    :returns: a socket to be held for as long as the ports are used, and the
        first of each four ports of the block.
    """
    for block in random.sample(range(PORT_BLOCKS), PORT_BLOCKS):
        guard = socket.socket()
        try:
            guard.bind((ANY_PORT[0], FIRST_GUARD_PORT + block))
        except OSError:
            # Another run has this block.
            guard.close()
            continue
        first = FIRST_PORT + block * PORTS_PER_BLOCK
        return guard, iter(range(first, first + PORTS_PER_BLOCK, 4))
    raise OSError(
        f'expected a free port from {FIRST_GUARD_PORT} to '
        f'{FIRST_GUARD_PORT + PORT_BLOCKS - 1}, got none; wait for other runs'
    )


def _find_ports(firsts: typing.Iterator[int]) -> list[int]:
    """Return four consecutive free ports of the reserved block."""
    for first in firsts:
        ports = list(range(first, first + 4))
        try:
            for port in ports:
                with socket.socket() as sock:
                    # Gateways listen beside closed connections, too.
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    sock.bind((ANY_PORT[0], port))
        except OSError:
            # At least one port is in use.
            continue
        return ports
    raise OSError('expected four free ports in the reserved block, got none')
