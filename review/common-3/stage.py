"""Stand-ins of a small deployment, and its gateways as processes.

Only the standard library is used. The store, the servers and the clients
speak what the operators' pages say; what a page leaves open is done as a
sound store, server or client would.
"""

import asyncio
import base64
import dataclasses
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import typing
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'ficu95.example'
KEY = 'n2ctnfzs989anu6wsjnb'
TENANT = 'hule930'
BEAT_S = 1.2
STORE_ANSWER_S = 0.004
STORE_HISTORY_S = 20.0
ZONES = ('kandy-a', 'peradeniya-b', 'gampola-c')

Headers = dict[str, str]


def now() -> float:
    """Return the steady clock in seconds."""
    return time.monotonic()


class Record:
    """What was sent, answered and run, written to record.txt."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / 'record.txt').open('w', encoding='utf-8')
        self._began = now()

    def write(self, text: str) -> None:
        """Write one line with the time since the start."""
        self._file.write(f'{now() - self._began:8.3f} s  {text}\n')

    def close(self) -> None:
        """Write what is left."""
        self._file.close()


@dataclasses.dataclass
class Message:
    """A request or a response."""

    line: str
    headers: Headers
    body: bytes

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.line.split(' ')[1])

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.line.split(' ')[0]

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.line.split(' ')[1]


async def read_message(
    reader: asyncio.StreamReader, is_response: bool = False
) -> Message | None:
    """Read a message with its whole body; None at the end of the stream.

    :raises EOFError: if it is not complete.
    """
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as exc:
        if not exc.partial:
            return None
        raise EOFError('the head is not complete') from exc
    line, *rest = head.decode('latin-1').rstrip('\r\n').split('\r\n')
    headers = {}
    for item in rest:
        name, _, value = item.partition(':')
        headers[name.strip().lower()] = value.strip()
    body = b''
    if headers.get('transfer-encoding') == 'chunked':
        body = b''.join([part async for part in read_chunks(reader)])
    elif 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    elif is_response:
        body = await reader.read()
    return Message(line, headers, body)


async def read_chunks(
    reader: asyncio.StreamReader,
) -> typing.AsyncIterator[bytes]:
    """Yield the chunks of a body.

    :raises EOFError: if the last chunk doesn't come.
    """
    while True:
        size = int((await reader.readuntil(b'\r\n')).strip(), 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


def format_message(line: str, headers: Headers, body: bytes) -> bytes:
    """Return a message with the length of its body."""
    fields = {**headers, 'Content-Length': str(len(body))}
    lines = [line, *(f'{name}: {value}' for name, value in fields.items())]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


def choose_network() -> str:
    """Return the first three numbers of loopback addresses nobody uses."""
    while True:
        prefix = f'127.{random.randint(20, 220)}.{random.randint(1, 250)}'
        with socket.socket() as sock:
            try:
                sock.bind((f'{prefix}.1', 9464))
            except OSError:
                continue
        return prefix


class Store:
    """The platform's store: items, leases, watches, a history."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.items: dict[str, dict[str, typing.Any]] = {}
        self.revision = 7
        self._history: list[tuple[float, dict[str, typing.Any]]] = []
        self._dropped = 7
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 1000
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Accept calls."""
        host, port = self.address.rsplit(':', 1)
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self._expiry = asyncio.create_task(self._expire())

    def put(self, key: str, value: typing.Any, lease: int = 0) -> None:
        """Write an item, as the operator and the servers do."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        before = self.items.get(key)
        self.items[key] = {
            'key': key,
            'value': base64.b64encode(raw).decode(),
            'revision': self.revision,
            'created': before['created'] if before else self.revision,
            'lease': lease,
        }
        self._record(self.items[key])

    def remove(self, key: str) -> None:
        """Remove an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record(
                {'key': key, 'revision': self.revision, 'removed': True}
            )

    def _record(self, event: dict[str, typing.Any]) -> None:
        self._history.append((now(), event))
        while now() - self._history[0][0] > STORE_HISTORY_S:
            self._dropped = self._history.pop(0)[1]['revision']
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            for lease, (until, _) in list(self._leases.items()):
                if now() >= until:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self._leases[lease]
        for key, item in list(self.items.items()):
            if item['lease'] == lease:
                self.remove(key)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (req := await read_message(reader)) is not None:
                await asyncio.sleep(STORE_ANSWER_S)
                status, reply = await self._answer(req)
                writer.write(
                    format_message(
                        f'HTTP/1.1 {status} Status',
                        {'Content-Type': 'application/json', 'Store-Era': '1'},
                        json.dumps(reply).encode(),
                    )
                )
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, req: Message) -> tuple[int, dict[str, typing.Any]]:
        url = urllib.parse.urlsplit(req.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        call = url.path.removeprefix('/foxtailpick/')
        fields = json.loads(req.body) if req.body else {}
        if call == 'kv-key':
            item = self.items.get(query['key'])
            state = {'current_rev': self.revision}
            return (200, {**item, **state}) if item else (404, state)
        if call == 'kv-range':
            return 200, self._list(query)
        if call == 'kv-watch':
            return await self._watch(query)
        if call == 'kv-txn':
            return self._transact(fields)
        if call == 'kv-lease':
            lease, self._next_lease = self._next_lease, self._next_lease + 1
            ttl_s = fields['ttl_ms'] / 1000
            self._leases[lease] = (now() + ttl_s, ttl_s)
            return 200, {'lease': lease, 'ttl_ms': fields['ttl_ms']}
        name, _, number = call.partition('/')
        lease = int(number)
        if lease not in self._leases:
            return 404, {}
        if name == 'kv-lease-end':
            self._end_lease(lease)
            return 200, {}
        ttl_s = self._leases[lease][1]
        self._leases[lease] = (now() + ttl_s, ttl_s)
        return 200, {'ttl_ms': round(ttl_s * 1000)}

    def _list(self, query: Headers) -> dict[str, typing.Any]:
        prefix, after = query.get('prefix', ''), query.get('after', '')
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        return {
            'items': [self.items[key] for key in keys[:500]],
            'truncated': len(keys) > 500,
            'current_rev': self.revision,
        }

    async def _watch(
        self, query: Headers
    ) -> tuple[int, dict[str, typing.Any]]:
        after, prefix = int(query['after']), query.get('prefix', '')
        until = now() + int(query['wait_ms']) / 1000
        while True:
            if after < self._dropped:
                return 410, {}
            events = [
                event
                for _, event in self._history
                if event['revision'] > after
                and event['key'].startswith(prefix)
            ]
            changed = self._changed
            if not events and now() < until:
                try:
                    await asyncio.wait_for(changed.wait(), until - now())
                    continue
                except TimeoutError:
                    pass
            return 200, {'events': events, 'current_rev': self.revision}

    def _transact(
        self, fields: dict[str, typing.Any]
    ) -> tuple[int, dict[str, typing.Any]]:
        for row in fields['expect']:
            item = self.items.get(row['key'])
            if row['revision'] != (item['revision'] if item else 0):
                found = [
                    self.items[part['key']]
                    for part in fields['expect']
                    if part['key'] in self.items
                ]
                return 412, {'items': found, 'current_rev': self.revision}
        for row in fields['writes']:
            if row['lease'] and row['lease'] not in self._leases:
                return 404, {}
        for row in fields['writes']:
            self.put(row['key'], base64.b64decode(row['value']), row['lease'])
        for key in fields['deletes']:
            self.remove(key)
        return 200, {'revision': self.revision}


Handler = typing.Callable[
    ['Server', Message, asyncio.StreamWriter], typing.Awaitable[bool]
]


class Server:
    """A server at one address.

    :param entry: its entry in the store, with its id.
    :param handle: answers a request; tells whether the connection stays.
    :param log: writes a line to the log of its process.
    """

    def __init__(
        self,
        entry: typing.Mapping[str, typing.Any],
        handle: Handler,
        log: typing.Callable[[str], None],
        keep_alive_s: int = 5,
    ) -> None:
        self.id = entry['id']
        self.stamp = f'{random.getrandbits(32):08x}'
        self.slots = entry['slots']
        self.log = log
        self.busy = 0
        self.keep_alive_s = keep_alive_s
        self._handle = handle
        self._address = entry['address']

    async def listen(self) -> None:
        """Accept requests."""
        host, port = self._address.rsplit(':', 1)
        self._server = await asyncio.start_server(
            self._serve, host, int(port), backlog=1024
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (req := await read_message(reader)) is not None:
                expected = req.headers.get('x-expect-instance', self.id)
                if expected != self.id:
                    writer.write(
                        self.format(
                            req,
                            '421 Misdirected Request',
                            b'',
                            {'X-Instance-Id': self.id},
                            False,
                        )
                    )
                elif not await self._handle(self, req, writer):
                    break
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def format(
        self,
        req: Message,
        status: str,
        body: bytes,
        extra: Headers | None = None,
        is_signed: bool = True,
    ) -> bytes:
        """Return an answer to a request."""
        headers = {'X-Attempt-Id': req.headers.get('x-attempt-id', '')}
        if is_signed:
            headers['X-Server-Stamp'] = self.stamp
        headers['Keep-Alive'] = f'timeout={self.keep_alive_s}'
        headers.update(extra or {})
        return format_message(f'HTTP/1.1 {status}', headers, body)


class Fleet:
    """The gateways, started as the deploy file says."""

    def __init__(self, store: Store, network: str, record: Record) -> None:
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self._role = deploy['roles']['router']
        self._store = store
        self._network = network
        self._record = record
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix='fleet-'))
        self._count = 0
        self.processes: dict[str, subprocess.Popen] = {}
        self.addresses: dict[str, tuple[str, str]] = {}

    def start(self) -> str:
        """Start a gateway on a machine of its own; return its name."""
        self._count += 1
        ip = f'{self._network}.{10 + self._count}'
        name = f'edge-{ZONES[self._count % 3]}-{self._count}'
        settings = make_settings(name, ip, self._store.address)
        path = self._folder / f'{name}.conf'
        path.write_text(settings)
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        env['FOXTAILPICK_BOOT'] = str(path)
        env.update(self._role.get('env', {}))
        self.processes[name] = subprocess.Popen(
            self._role['run'].split(),
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        self.addresses[name] = (f'{ip}:8227', f'{ip}:8220')
        self._record.write(f'{name} started at {ip}')
        return name

    async def wait_ready(self, name: str, within_s: float = 15.0) -> None:
        """Wait until a gateway says that it is ready."""
        until = now() + within_s
        while now() < until:
            if await self.is_ready(name):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f'gateway {name} is not ready')

    async def is_ready(self, name: str) -> bool:
        """Ask a gateway whether it is ready, as the platform does."""
        host, port = self.addresses[name][1].rsplit(':', 1)
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        try:
            writer.write(
                b'GET /foxtailpick/readyz HTTP/1.1\r\nHost: '
                + host.encode()
                + b'\r\n\r\n'
            )
            reply = await asyncio.wait_for(read_message(reader, True), 1.0)
            return reply is not None and reply.status == 200
        except (OSError, EOFError, TimeoutError):
            return False
        finally:
            writer.close()

    def check(self) -> None:
        """Check that all gateways still run.

        :raises RuntimeError: if one ended.
        """
        for name, process in self.processes.items():
            if process.poll() is not None:
                raise RuntimeError(f'gateway {name} ended')

    def stop(self) -> None:
        """End all gateways and remove their files."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        shutil.rmtree(self._folder, ignore_errors=True)


def make_settings(name: str, ip: str, store: str) -> str:
    """Return the settings of a gateway of a small deployment."""
    zone = name.split('-', 1)[1].rsplit('-', 1)[0]
    fields = {
        'node_name': name,
        'role': 'router',
        'machine_class': 'edge',
        'serves': 'edge',
        'ip': ip,
        'zone': zone,
        'region': 'central-hills',
        **{f'zones.{item}': 'central-hills' for item in ZONES},
        'listen.frontend': f'{ip}:8227',
        'listen.readiness': f'{ip}:8220',
        'internal_ports': '7340,7355',
        'bootstrap': 'true',
        'limits.cpu_share': '0.817',
        'limits.cores': '1',
        'limits.memory_mb': '300',
        'limits.max_fds': '4100',
        'limits.link_mbps': '1000.0',
        'discovery': 'platform',
        'entry': 'vip',
        'heartbeat_ms': '1200',
        'bounds.contact_ms': '3000',
        'bounds.drain_ms': '2000',
        'bounds.grace_s': '8',
        'bounds.loss_slack_ms': '200',
        'bounds.config_apply_ms': '2000',
        'bounds.revoke_ms': '5000',
        'bounds.retry_budget_ratio': '0.2',
        'bounds.retry_window_s': '10',
        'bounds.retry_budget_extra': '52',
        'bounds.evacuation_ms': '5000',
        'bounds.recovery_s': '12',
        'platform.address': store,
        'platform.form': 'kv',
        'platform.writes_per_s': '400',
        'platform.reads_per_s': '2000',
        'platform.history_s': '20',
        'platform.value_bytes': '1048576',
        'platform.ttl_min_ms': '1000',
    }
    return ''.join(f'{key}={value}\n' for key, value in fields.items())


def make_route(
    name: str, prefix: str, kind: str, service: str, **fields: typing.Any
) -> dict[str, typing.Any]:
    """Return a route of the operator's configuration."""
    return {
        'name': name,
        'host': HOST,
        'prefix': prefix,
        'kind': kind,
        'timeout_ms': 1000,
        'target_latency_ms': 200,
        'priority': 2,
        'service': service,
        'max_attempts': 1,
        'anonymous': False,
        'session_affinity': False,
        'stream_resumption': False,
        **fields,
    }


def make_config(
    routes: list[dict[str, typing.Any]],
    services: list[dict[str, typing.Any]],
    version: int = 7,
) -> dict[str, typing.Any]:
    """Return the operator's configuration."""
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': TENANT, 'api_keys': [KEY], 'priority': 1}],
    }


def make_service(name: str, connections: int) -> dict[str, typing.Any]:
    """Return a service of the operator's configuration."""
    return {
        'name': name,
        'health_path': '/healthz',
        'max_connections': connections,
        'protocol': 'h1',
        'tls': False,
        'warmup_s': 0.0,
        'warmup_per_s': 0.0,
    }


def make_id() -> str:
    """Return the id of a client attempt."""
    return f'{random.getrandbits(64):016x}'


def make_request(
    method: str, target: str, deadline_ms: int, body: bytes = b'', **extra: str
) -> tuple[str, bytes]:
    """Return the id of a client attempt and its request."""
    attempt = make_id()
    headers = {
        'Host': HOST,
        'X-Attempt-Id': attempt,
        **extra,
        'X-Deadline-Ms': str(deadline_ms),
        'X-Key': KEY,
    }
    return attempt, format_message(
        f'{method} {target} HTTP/1.1', headers, body
    )


class Connection:
    """A kept connection of a client."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, address: str) -> 'Connection':
        """Connect to a gateway within a second."""
        host, port = address.rsplit(':', 1)
        return cls(
            *await asyncio.wait_for(
                asyncio.open_connection(host, int(port)), 1.0
            )
        )

    async def exchange(self, data: bytes, within_s: float) -> Message | None:
        """Send a request and return the answer, None if it was closed."""
        self.writer.write(data)
        return await asyncio.wait_for(
            read_message(self.reader, True), within_s
        )

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


class Helpers:
    """Processes of the servers and the clients, which write a log each.

    :param script: the script of the case, called with the kind of the
        process and its settings as JSON.
    """

    def __init__(self, script: str) -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='case-'))
        self._script = script
        self._logs: dict[str, list[pathlib.Path]] = {}
        self._processes: list[subprocess.Popen] = []

    def start(self, kind: str, **settings: typing.Any) -> None:
        """Start a process."""
        logs = self._logs.setdefault(kind, [])
        logs.append(self.folder / f'{kind}-{len(logs)}.txt')
        data = json.dumps({'log': str(logs[-1]), **settings})
        command = [sys.executable, self._script, kind, data]
        self._processes.append(subprocess.Popen(command))

    def stop(self) -> None:
        """End all processes."""
        for process in self._processes:
            process.kill()
            process.wait()
        self._processes.clear()

    def read(self, kind: str) -> list[list[str]]:
        """Return the words of all lines that processes of a kind wrote."""
        return [
            line.split()
            for log in self._logs.get(kind, ())
            for line in log.read_text().splitlines()
        ]

    def write_ready(self, ready: typing.Mapping[str, str]) -> str:
        """Tell the clients which gateways there are; return the file."""
        path = self.folder / 'ready.json'
        path.with_suffix('.new').write_text(json.dumps(ready))
        os.replace(path.with_suffix('.new'), path)
        return str(path)

    def remove(self) -> None:
        """Remove the files."""
        shutil.rmtree(self.folder, ignore_errors=True)


def list_servers(
    network: str, counts: typing.Mapping[str, tuple[int, int]]
) -> list[dict[str, typing.Any]]:
    """Return the entries of servers, with their ids.

    :param counts: number of servers and their slots by service.
    """
    return [
        {
            'id': f'i-{random.getrandbits(32):08x}',
            'service': service,
            'address': f'{network}.{200 + row * 20 + number}:8080',
            'zone': ZONES[number % 3],
            'slots': slots,
        }
        for row, (service, (count, slots)) in enumerate(counts.items())
        for number in range(count)
    ]


async def beat(store: Store, servers: list[dict[str, typing.Any]]) -> None:
    """Write the entries of servers again and again."""
    born, sequence = int(time.time() * 1000), 0
    while True:
        sequence += 1
        for server in servers:
            entry = {
                'version': 'v1',
                'state': 'ready',
                'warmup_left_ms': 0,
                'sequence': sequence,
                'born': born,
                **server,
            }
            store.put(f'servers/{entry.pop("id")}', entry)
        await asyncio.sleep(BEAT_S)


def run(
    folder: pathlib.Path,
    play: typing.Callable[[Record], typing.Awaitable[int]],
) -> None:
    """Play a case and exit with its status, 2 if it couldn't run."""

    async def play_quietly() -> int:
        # Connections that are cut at the end are no errors.
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda *_: None)
        return await play(record)

    # What was started is ended then, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(folder)
    try:
        status = asyncio.run(play_quietly())
    except Exception as exc:
        record.write(f'could not run: {exc!r}')
        print(f'could not run: {exc!r}', file=sys.stderr)
        status = 2
    record.close()
    sys.exit(status)
