"""A gateway process on loopback, beside clients outside the limits.

The process isn't ended at its memory limit, so that the peak shows.
"""

import contextlib
import dataclasses
import fcntl
import os
import pathlib
import random
import resource
import socket
import subprocess
import sys
import tempfile
import typing

import trio

from foxtailpick.core import types
from foxtailpick.gateway import http1
from foxtailpick.platform import boot
from foxtailpick.platform import items
from foxtailpick.platform.standins import endpoint_server
from foxtailpick.platform.standins import store_server

HOST = 'crowd.example'
API_KEY = 'crowd-key'
SERVICE = 'plain'
# Limits of the tests' own settings and configuration.
MEMORY_MB = 120
MAX_FDS = 1_000
LIMITS = {
    'max_header_bytes': 16_384,
    'max_body_bytes': 1_048_576,
    'header_timeout_ms': 10_000,
    'idle_timeout_ms': 60_000,
}
ENDPOINTS = 2
SLOTS = 16
MAX_CONNECTIONS = 96
# The platform ends a process above its memory limit, whose unit is this.
MB = 1_000_000
SAMPLE_INTERVAL_MS = 20.0
READY_TIMEOUT_MS = 20_000.0
READY_POLL_MS = 50.0
ASK_TIMEOUT_MS = 5_000.0
# An ordinary caller returns this often, and waits as long as it is told.
MAX_ASKS = 12
DEFAULT_RETRY_MS = 500.0
MAX_RETRY_MS = 5_000.0
READY_PATH = '/foxtailpick/readyz'
LOCALHOST = '127.0.0.1'
# Below the ephemeral ports of common systems.
FIRST_PORT = 12_000
LAST_PORT = 18_000
PORTS = 5
_LOCK = pathlib.Path(tempfile.gettempdir()) / 'foxtailpick-crowd.lock'
_ROOT = pathlib.Path(__file__).parents[2]
_BOOT = """node_name=crowd-edge
zone=north
ip=127.0.0.1
listen.frontend=127.0.0.1:{ports[0]}
listen.readiness=127.0.0.1:{ports[1]}
internal_ports={ports[2]},{ports[3]}
limits.cpu_share=1.0
limits.memory_mb={memory_mb}
limits.max_fds={max_fds}
bounds.grace_s=8
platform.address=127.0.0.1:{store}
platform.ttl_min_ms=1000
"""


@dataclasses.dataclass
class Peaks:
    """The most that a process has used."""

    memory_mb: float = 0.0
    descriptors: int = 0


@dataclasses.dataclass
class CrowdGateway:
    """A gateway process that is sampled while it runs.

    :param process: the process.
    :param port: port for callers.
    :param readiness_port: port of the readiness check.
    :param metrics_port: port of the metrics.
    :param memory_mb: its memory limit.
    :param max_fds: its limit of descriptors.
    :param endpoints: the stand-ins that serve its requests.
    :param log_path: its log.
    """

    process: subprocess.Popen
    port: int
    readiness_port: int
    metrics_port: int
    memory_mb: float
    max_fds: int
    endpoints: list[endpoint_server.EndpointStandIn]
    log_path: pathlib.Path
    peaks: Peaks = dataclasses.field(default_factory=Peaks)
    asked: int = 0

    async def connect(
        self, receive_bytes: int | None = None
    ) -> trio.socket.SocketType:
        """Open a connection as a caller.

        :param receive_bytes: size of its receive buffer, None for the
            usual one.
        """
        sock = trio.socket.socket()
        if receive_bytes is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        try:
            await sock.connect((LOCALHOST, self.port))
        except BaseException:
            sock.close()
            raise
        return sock

    async def ask(self) -> int:
        """Send an ordinary booking as a caller that honours Retry-After.

        :returns: the last status, 0 if there was no answer.
        """
        status = 0
        for _ in range(MAX_ASKS):
            status, retry_ms = await self._ask_once()
            if status == 200:
                return status
            await trio.sleep(min(retry_ms, MAX_RETRY_MS) / types.SECOND_MS)
        return status

    async def _ask_once(self) -> tuple[int, float]:
        self.asked += 1
        data = format_booking(f'ordinary-{self.asked}', b'span 12 done')
        answer = bytearray()
        with trio.move_on_after(ASK_TIMEOUT_MS / types.SECOND_MS):
            try:
                with await self.connect() as sock:
                    await sock.send(data)
                    while part := await sock.recv(http1.RECEIVE_BYTES):
                        answer += part
            except OSError:
                return 0, DEFAULT_RETRY_MS
        return parse_status(answer), parse_retry_ms(answer)

    def sample(self) -> None:
        """Note the memory and the descriptors that are in use."""
        folder = pathlib.Path(f'/proc/{self.process.pid}')
        with contextlib.suppress(OSError, IndexError):
            for line in (folder / 'status').read_text().splitlines():
                if line.startswith('VmHWM:'):
                    peak_mb = int(line.split()[1]) * 1_024 / MB
                    self.peaks.memory_mb = max(self.peaks.memory_mb, peak_mb)
            used = len(os.listdir(folder / 'fd'))
            self.peaks.descriptors = max(self.peaks.descriptors, used)

    async def run_sampling(self) -> None:
        """Sample until cancelled."""
        while True:
            self.sample()
            await trio.sleep(SAMPLE_INTERVAL_MS / types.SECOND_MS)

    async def check_afterwards(self) -> None:
        """Check what has to hold after any crowd of clients."""
        status = await self.ask()
        self.sample()
        seen = (
            f'peak {self.peaks.memory_mb:.0f} MB of {self.memory_mb:.0f}, '
            f'{self.peaks.descriptors} descriptors of {self.max_fds}, '
            f'ordinary request answered {status}'
        )
        assert self.process.poll() is None, f'the process ended; {seen}'
        assert status == 200, seen
        assert self.peaks.memory_mb <= self.memory_mb, seen
        assert self.peaks.descriptors <= self.max_fds, seen


@contextlib.asynccontextmanager
async def run_gateway(
    path: pathlib.Path,
    memory_mb: float = MEMORY_MB,
    max_fds: int = MAX_FDS,
    limits: typing.Mapping[str, float] | None = None,
    script: endpoint_server.Script | None = None,
    max_connections: int = MAX_CONNECTIONS,
) -> typing.AsyncIterator[CrowdGateway]:
    """Run a gateway with stand-ins, one at a time on a machine.

    An ordinary booking is answered before the block begins.

    :param path: folder for its settings and its log.
    :param memory_mb: its memory limit.
    :param max_fds: its limit of descriptors.
    :param limits: limits of the operators' configuration that differ.
    :param script: what the endpoints do, `answer_shortly` if None.
    :param max_connections: connections to each endpoint.
    """
    raise_descriptor_limit()
    with _LOCK.open('w') as lock:
        await trio.to_thread.run_sync(fcntl.flock, lock, fcntl.LOCK_EX)
        async with trio.open_nursery() as nursery:
            endpoints, store_port = _serve_standins(
                nursery,
                script or answer_shortly,
                {**LIMITS, **(limits or {})},
                max_connections,
            )
            ports = _find_ports()
            boot_path = path / 'crowd-edge.conf'
            boot_path.write_text(
                _BOOT.format(
                    ports=ports,
                    memory_mb=memory_mb,
                    max_fds=max_fds,
                    store=store_port,
                ),
                'utf-8',
            )
            log_path = path / 'crowd-edge.log'
            with _start(boot_path, log_path, ports[4]) as process:
                gw = CrowdGateway(
                    process,
                    ports[0],
                    ports[1],
                    ports[4],
                    memory_mb,
                    max_fds,
                    endpoints,
                    log_path,
                )
                await _wait_ready(gw)
                assert await gw.ask() == 200
                nursery.start_soon(gw.run_sampling)
                yield gw
                nursery.cancel_scope.cancel()


def raise_descriptor_limit() -> None:
    """Let this process open as many descriptors as the machine allows."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


async def answer_shortly(exchange: endpoint_server.Exchange) -> None:
    """Answer a request with a few bytes."""
    # The stand-in would keep each body.
    exchange.received.body = b''
    await exchange.answer()


@contextlib.contextmanager
def _start(
    boot_path: pathlib.Path, log_path: pathlib.Path, metrics_port: int
) -> typing.Iterator[subprocess.Popen]:
    env = {
        **os.environ,
        boot.BOOT_VARIABLE: str(boot_path),
        boot.METRICS_VARIABLE: str(metrics_port),
    }
    with log_path.open('wb') as log:
        process = subprocess.Popen(
            [sys.executable, '-m', 'foxtailpick.platform'],
            cwd=_ROOT,
            env=env,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
    try:
        yield process
    finally:
        process.kill()
        process.wait()


def _serve_standins(
    nursery: trio.Nursery,
    script: endpoint_server.Script,
    limits: typing.Mapping[str, float],
    max_connections: int,
) -> tuple[list[endpoint_server.EndpointStandIn], int]:
    store = store_server.PlatformStoreStandIn()
    store.era = 1
    store_sock = http1.listen((LOCALHOST, 0), 64)
    nursery.start_soon(store.serve, store_sock)
    endpoints = []
    for number in range(ENDPOINTS):
        sock = http1.listen((LOCALHOST, 0), 256)
        endpoint = endpoint_server.EndpointStandIn(script)
        nursery.start_soon(endpoint.serve, sock)
        endpoints.append(endpoint)
        store.put(
            items.make_endpoint_key(f'{SERVICE}-{number}'),
            {
                'service': SERVICE,
                'address': f'{LOCALHOST}:{sock.getsockname()[1]}',
                'zone': 'north',
                'version': 'v1',
                'slots': SLOTS,
                'state': 'ready',
                'warmup_left_ms': 0,
                'sequence': 1,
                'born': 1_700_000_000_000,
            },
        )
    route = {
        'name': 'book',
        'host': HOST,
        'prefix': '/book/',
        'kind': 'unsafe',
        'timeout_ms': 4_000,
        'target_latency_ms': 500,
        'priority': 1,
        'service': SERVICE,
        'max_attempts': 2,
    }
    service = {'name': SERVICE, 'max_connections': max_connections}
    store.put(
        items.CONFIG_KEY,
        {
            'version': 1,
            'routes': [route],
            'services': [service],
            'tenants': [{'name': 'crowd', 'api_keys': [API_KEY]}],
            'limits': dict(limits),
        },
    )
    return endpoints, store_sock.getsockname()[1]


async def _wait_ready(gw: CrowdGateway) -> None:
    with trio.fail_after(READY_TIMEOUT_MS / types.SECOND_MS):
        while not await _is_ready(gw):
            assert gw.process.poll() is None, gw.log_path.read_text()
            await trio.sleep(READY_POLL_MS / types.SECOND_MS)


async def _is_ready(gw: CrowdGateway) -> bool:
    ask = f'GET {READY_PATH} HTTP/1.1\r\nHost: x\r\n\r\n'.encode()
    with trio.socket.socket() as sock:
        try:
            await sock.connect((LOCALHOST, gw.readiness_port))
            await sock.send(ask)
            return parse_status(await sock.recv(1_024)) == 200
        except OSError:
            return False


def _find_ports() -> list[int]:
    """Return consecutive free ports."""
    firsts = range(FIRST_PORT, LAST_PORT, PORTS)
    for first in random.sample(firsts, len(firsts)):
        ports = list(range(first, first + PORTS))
        if all(map(_is_free, ports)):
            return ports
    raise OSError('expected consecutive free ports, got none')


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((LOCALHOST, port))
            except OSError:
                return False
    return True


def format_head(
    request: str | None, path: str = 'a', fields: typing.Sequence[str] = ()
) -> bytes:
    """Return the head of a booking without its last empty line.

    :param request: id of the client attempt, None for none.
    :param path: path within the route.
    :param fields: further header fields.
    """
    lines = [
        f'POST /book/{path} HTTP/1.1',
        f'Host: {HOST}',
        f'X-Key: {API_KEY}',
        'X-Deadline-Ms: 4000',
        *fields,
    ]
    if request is not None:
        lines.append(f'X-Attempt-Id: {request}')
    return '\r\n'.join(lines).encode() + b'\r\n'


def format_booking(request: str | None, body: bytes) -> bytes:
    """Return a booking on a connection that is closed afterwards."""
    fields = [f'Content-Length: {len(body)}', 'Connection: close']
    return format_head(request, fields=fields) + b'\r\n' + body


def parse_status(answer: bytes) -> int:
    """Return the status of an answer, 0 if there is none."""
    line = bytes(answer).partition(b'\r\n')[0].split(b' ')
    return int(line[1]) if len(line) > 1 else 0


def parse_retry_ms(answer: bytes) -> float:
    """Return how long an answer tells its caller to wait."""
    head = bytes(answer).partition(b'\r\n\r\n')[0]
    for line in head.split(b'\r\n'):
        name, _, value = line.partition(b':')
        if name.lower() == b'retry-after':
            return float(value) * types.SECOND_MS
    return DEFAULT_RETRY_MS


async def send_until(
    sock: trio.socket.SocketType,
    parts: typing.Iterable[bytes],
    duration_ms: float,
) -> None:
    """Send parts until they end, the gateway closes, or time is over."""
    with (
        trio.move_on_after(duration_ms / types.SECOND_MS),
        contextlib.suppress(OSError),
    ):
        for part in parts:
            await send_all(sock, part)


async def send_all(sock: trio.socket.SocketType, data: bytes) -> None:
    """Send all bytes.

    :raises OSError: if the gateway has closed the connection.
    """
    view = memoryview(data)
    while view:
        view = view[await sock.send(view) :]


async def is_closed(sock: trio.socket.SocketType) -> bool:
    """Tell whether the gateway has closed a connection."""
    with trio.move_on_after(READY_POLL_MS / types.SECOND_MS):
        try:
            while await sock.recv(http1.RECEIVE_BYTES):
                pass
        except OSError:
            pass
        return True
    return False


async def hold_open(sock: trio.socket.SocketType, duration_ms: float) -> bytes:
    """Return what arrives until the gateway closes or time is over."""
    answer = bytearray()
    with (
        trio.move_on_after(duration_ms / types.SECOND_MS),
        contextlib.suppress(OSError),
    ):
        while part := await sock.recv(http1.RECEIVE_BYTES):
            answer += part
    return bytes(answer)
