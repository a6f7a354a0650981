"""Runs a router and a sidecar as processes for crowds of clients."""

import contextlib
import dataclasses
import fcntl
import functools
import json
import pathlib
import re
import resource
import socket
import subprocess
import sys
import tempfile
import typing

import httpcore
import trio

from foxtailpick.adapters import base
from foxtailpick.core import codec
from foxtailpick.core import configuration
from foxtailpick.core import invariants
from foxtailpick.core import messages
from foxtailpick.core import types
from foxtailpick.standins import engine
from foxtailpick.standins import engine_state
from foxtailpick.standins import fleet as fleet_lib

# The memory of the machine that a process gets.
MEMORY_MB = 300
# Limits of open descriptors: the usual one, and one that a crowd reaches.
DESCRIPTORS = 1_024
FEW_DESCRIPTORS = 256
# Longer than the deadline of a request that names none.
ANSWER_TIMEOUT_S = 40.0
START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 60.0
LOOPBACK = '127.0.0.1'
MODEL = 'hill-species'
CREDENTIAL = 'crew:secret'
DIGEST = configuration.digest_credential(CREDENTIAL).hex()
CONFIG = f"""
[domain kandy-a]
region = central-hills
[partner railway]
share = 1
[model hill-species]
[service foxtail-pool]
kind = model
models = hill-species
[account crew]
partner = railway
credential_digest = {DIGEST}
"""
NODE_TEMPLATE = """
[node]
id = {name}
region = central-hills
failure_domain = kandy-a
[listen]
host = 127.0.0.1
port = {port}
admin_port = {admin_port}
[store]
urls = {store}
[membership]
url = {members}
poll_interval = 200 ms
[limits]
shutdown = 1 s
"""
ENDPOINT_TEMPLATE = """
[endpoint]
service = foxtail-pool
kind = model
url = {engine}
models = hill-species
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Node:
    """A router or a sidecar in a process of its own.

    :param process: the process.
    :param port: port for callers or routers.
    :param admin_port: port for operators.
    :param descriptors: most open descriptors.
    """

    process: subprocess.Popen
    port: int
    admin_port: int
    descriptors: int

    def read_peak_mb(self) -> float:
        """Return the peak of the resident memory."""
        text = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        return int(re.search(r'VmHWM:\s*(\d+) kB', text)[1]) / 1_024

    def count_descriptors(self) -> int:
        """Return the number of open descriptors."""
        folder = pathlib.Path(f'/proc/{self.process.pid}/fd')
        return len(list(folder.iterdir()))

    def check_bounds(self, record: typing.Callable) -> None:
        """Check that the process lives and keeps its bounds.

        :param record: records a property of the test.
        """
        assert self.process.poll() is None, 'the process ended'
        peak_mb = self.read_peak_mb()
        record('peak_mb', round(peak_mb))
        record('descriptors', self.count_descriptors())
        assert peak_mb < MEMORY_MB
        assert self.count_descriptors() <= self.descriptors


class Platform:
    """The stand-ins of a deployment, and its processes.

    :param fleet: runs the stand-ins.
    :param engine_url: URL of the engine.
    :param descriptors: most open descriptors of each process.
    """

    def __init__(
        self, fleet: fleet_lib.Fleet, engine_url: str, descriptors: int
    ) -> None:
        self._fleet = fleet
        self._engine_url = engine_url
        self._descriptors = descriptors

    @contextlib.asynccontextmanager
    async def open_router(self) -> typing.AsyncIterator[Node]:
        """Run a router until the context exits."""
        async with self._open_node('router', '') as node:
            await wait_ready(node.port)
            yield node

    @contextlib.asynccontextmanager
    async def open_sidecar(self) -> typing.AsyncIterator[Node]:
        """Run the sidecar of the engine until the context exits."""
        endpoint = ENDPOINT_TEMPLATE.format(engine=self._engine_url)
        async with self._open_node('sidecar', endpoint) as node:
            self._fleet.members.put(_make_member(node.port))
            await wait_ready(node.admin_port)
            yield node

    @contextlib.asynccontextmanager
    async def _open_node(
        self, role: str, more: str
    ) -> typing.AsyncIterator[Node]:
        port, admin_port = _find_free_ports(2)
        text = NODE_TEMPLATE.format(
            name=f'{role}-1',
            port=port,
            admin_port=admin_port,
            store=self._fleet.store_url,
            members=self._fleet.members_url,
        )
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / f'{role}.ini'
            path.write_text(text + more)
            process = subprocess.Popen(
                [
                    *(sys.executable, '-m', 'foxtailpick', role, str(path)),
                    *('--log-level', 'ERROR'),
                ],
                preexec_fn=functools.partial(
                    _limit_descriptors, self._descriptors
                ),
                stderr=subprocess.DEVNULL,
            )
            try:
                yield Node(process, port, admin_port, self._descriptors)
            finally:
                process.kill()
                process.wait(STOP_TIMEOUT_S)


@contextlib.asynccontextmanager
async def open_platform(
    descriptors: int = DESCRIPTORS,
) -> typing.AsyncIterator[Platform]:
    """Run the stand-ins of a deployment until the context exits.

    :param descriptors: most open descriptors of each process.
    """
    cfg = configuration.Configuration.from_ini(CONFIG)
    async with fleet_lib.open_fleet(cfg, invariants.Monitor()) as fleet:
        state = engine_state.EngineState(engine_state.EngineSettings())
        state.warm_up()
        url = await fleet.serve('engine', engine.make_app(state))
        yield Platform(fleet, url, descriptors)


@contextlib.contextmanager
def hold_lock() -> typing.Iterator[None]:
    """Keep tests of crowds from running side by side."""
    path = pathlib.Path(tempfile.gettempdir()) / 'foxtailpick-crowd.lock'
    with path.open('a') as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


async def wait_ready(port: int) -> None:
    """Wait until a process says that it is ready."""
    with trio.fail_after(START_TIMEOUT_S):
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                with contextlib.suppress(
                    httpcore.NetworkError, httpcore.ProtocolError
                ):
                    url = f'http://{LOOPBACK}:{port}/ready'
                    response = await pool.request('GET', url)
                    if response.status == 200:
                        return
                await trio.sleep(0.05)


def make_chat_body() -> bytes:
    """Return the body of an ordinary chat completion."""
    message = {'role': 'user', 'content': 'Where does the foxtail grow?'}
    return json.dumps(
        {'model': MODEL, 'messages': [message], 'max_tokens': 4}
    ).encode()


async def ask(port: int) -> int:
    """Send one ordinary request and return the status of its answer."""
    with trio.fail_after(ANSWER_TIMEOUT_S):
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request(
                'POST',
                f'http://{LOOPBACK}:{port}/v1/chat/completions',
                headers={'authorization': f'Bearer {CREDENTIAL}'},
                content=make_chat_body(),
            )
            return response.status


def format_head(path: str, *more: str) -> bytes:
    """Return the head of a POST request of the test's account."""
    lines = [
        f'POST {path} HTTP/1.1',
        f'Host: {LOOPBACK}',
        f'Authorization: Bearer {CREDENTIAL}',
        *more,
    ]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


def format_chunk(data: bytes) -> bytes:
    """Return a chunk of a body."""
    return b'%x\r\n%b\r\n' % (len(data), data)


async def connect(port: int) -> trio.SocketStream:
    """Open a connection of a client that reads little."""
    sock = trio.socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    await sock.connect((LOOPBACK, port))
    return trio.SocketStream(sock)


async def send_parts(
    port: int, parts: typing.Iterable[bytes], limit_s: float
) -> trio.SocketStream | None:
    """Send bytes on a new connection, which stays open.

    :param port: port to connect to.
    :param parts: what to send.
    :param limit_s: longest time; a peer may stop to read.
    """
    stream = None
    with trio.move_on_after(limit_s):
        with contextlib.suppress(trio.BrokenResourceError, OSError):
            stream = await connect(port)
            for part in parts:
                await stream.send_all(part)
    return stream


@contextlib.asynccontextmanager
async def open_crowd(
    client: typing.Callable[[], typing.Awaitable],
    count: int,
    at_once: int = 1_000,
) -> typing.AsyncIterator[None]:
    """Run clients; their connections stay open until the context exits.

    :param client: opens a connection and returns it when it is done.
    :param count: number of clients.
    :param at_once: how many of them open their connection side by side.
    """
    streams = []
    limiter = trio.CapacityLimiter(at_once)

    async def run_client() -> None:
        async with limiter:
            streams.append(await client())

    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(run_client)
    try:
        yield
    finally:
        for stream in streams:
            if stream is not None:
                await trio.aclose_forcefully(stream)


class Peer:
    """A peer of a sidecar that says hello and then reads nothing.

    :param stream: its connection.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream

    @classmethod
    async def from_port(cls, port: int) -> 'Peer':
        """Connect to a sidecar and say hello."""
        sock = await connect(port)
        await sock.send_all(
            b'GET / HTTP/1.1\r\nHost: 127.0.0.1\r\nUpgrade: websocket\r\n'
            b'Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n'
            b'Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n'
        )
        head = b''
        while b'\r\n\r\n' not in head:
            part = await sock.receive_some(1)
            if not part:
                raise trio.BrokenResourceError('the sidecar closed')
            head += part
        peer = cls(sock)
        hello = messages.Hello(
            messages.PROTOCOL_VERSION, 'router-9', types.Incarnation('one')
        )
        await peer.send(hello)
        return peer

    async def send(self, message: messages.Message) -> None:
        """Send a message in a frame of its own."""
        await self.stream.send_all(format_frame(message))


def format_frame(message: messages.Message) -> bytes:
    """Return a message as a masked frame of the WebSocket protocol."""
    data = codec.encode_frame(messages.Frame(types.ConfigNumber(1), message))
    return format_frame_head(len(data)) + data


def format_frame_head(size: int) -> bytes:
    """Return the head of a binary frame; its mask changes nothing."""
    if size < 126:
        length = bytes([0x80 | size])
    elif size < 65_536:
        length = b'\xfe' + size.to_bytes(2, 'big')
    else:
        length = b'\xff' + size.to_bytes(8, 'big')
    return b'\x82' + length + bytes(4)


def _limit_descriptors(count: int) -> None:
    resource.setrlimit(resource.RLIMIT_NOFILE, (count, count))


def _find_free_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            sock = stack.enter_context(socket.socket())
            sock.bind((LOOPBACK, 0))
            ports.append(sock.getsockname()[1])
        return ports


def _make_member(port: int) -> base.Member:
    return base.Member(
        endpoint=types.EndpointId('sidecar-1'),
        incarnation=types.Incarnation('unknown'),
        address=f'{LOOPBACK}:{port}',
        region=types.RegionId('central-hills'),
        domain=types.FailureDomainId('kandy-a'),
        service=types.ServiceId('foxtail-pool'),
    )
