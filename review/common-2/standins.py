"""Stand-ins of the platform's store, its servers and its clients.

They follow PROTOCOL.md and need nothing but the standard library.
"""

import asyncio
import base64
import contextlib
import json
import random
import socket
import time
import urllib.parse

HOST = 'ficu95.example'
KEY = 'n2ctnfzs989anu6wsjnb'
TENANT = 'hule930'
# Time in which an engine makes the tokens of an event.
EVENT_S = 0.04


def now():
    """Return the steady clock, in seconds."""
    return time.monotonic()


def find_ports(count):
    """Return free ports of the loopback address."""
    socks = []
    for _ in range(count):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(('127.0.0.1', 0))
        socks.append(sock)
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


async def read_head(reader):
    """Return the first line and the headers of a message, None at the end."""
    try:
        data = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = data.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, found, value = line.partition(':')
        if found:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 10
        self.leases = {}
        self.next_lease = 1000
        self.changed = asyncio.Event()
        self.router_reads = []

    def put(self, key, value, lease=0):
        self.revision += 1
        before = self.items.get(key)
        item = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self.revision,
            'created': before['created'] if before else self.revision,
            'lease': lease,
        }
        self.items[key] = item
        self._note(item)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({'key': key, 'revision': self.revision, 'removed': 1})

    def _note(self, event):
        self.history.append(event)
        del self.history[:-4000]
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.05)
            for lease, (ends, _) in list(self.leases.items()):
                if now() >= ends:
                    self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i['lease'] == lease]:
            self.remove(key)

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, OSError):
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                size = int(headers.get('content-length', 0))
                body = await reader.readexactly(size) if size else b''
                method, target, _ = line.split(' ', 2)
                status, reply = await self._answer(target, body)
                data = json.dumps(reply).encode()
                writer.write(
                    b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\n'
                    b'Content-Length: %d\r\n\r\n' % (status, len(data)) + data
                )
        writer.close()

    async def _answer(self, target, body):
        await asyncio.sleep(0.004)
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        call = url.path.removeprefix('/foxtailpick/')
        fields = json.loads(body) if body else {}
        if call == '/standin/beat':
            # How a server writes its own entry is not on our pages.
            self.put(fields['key'], json.dumps(fields['entry']).encode())
            return 200, {}
        if call == 'kv-key':
            item = self.items.get(query['key'])
            reply = {**(item or {}), 'current_rev': self.revision}
            return (200 if item else 404), reply
        if call == 'kv-range':
            prefix, after = query.get('prefix', ''), query.get('after', '')
            keys = sorted(
                k for k in self.items if k.startswith(prefix) and k > after
            )
            return 200, {
                'items': [self.items[k] for k in keys[:500]],
                'truncated': len(keys) > 500,
                'current_rev': self.revision,
            }
        if call == 'kv-watch':
            return await self._watch(query)
        if call == 'kv-txn':
            return self._transact(fields)
        if call == 'kv-lease':
            self.next_lease += 1
            ttl = fields['ttl_ms'] / 1000
            self.leases[self.next_lease] = (now() + ttl, ttl)
            return 200, {'lease': self.next_lease, 'ttl_ms': fields['ttl_ms']}
        name, _, number = call.partition('/')
        lease = int(number)
        if lease not in self.leases:
            return 404, {}
        if name == 'kv-lease-end':
            self.end_lease(lease)
        else:
            ttl = self.leases[lease][1]
            self.leases[lease] = (now() + ttl, ttl)
        return 200, {}

    async def _watch(self, query):
        prefix, after = query['prefix'], int(query['after'])
        ends = now() + int(query['wait_ms']) / 1000
        while True:
            events = [
                e
                for e in self.history
                if e['revision'] > after and e['key'].startswith(prefix)
            ]
            left = ends - now()
            if events or left <= 0:
                return 200, {'events': events, 'current_rev': self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)

    def _transact(self, fields):
        for row in fields['expect']:
            item = self.items.get(row['key'])
            if row['revision'] != (item['revision'] if item else 0):
                return 412, {
                    'items': [
                        self.items[r['key']]
                        for r in fields['expect']
                        if r['key'] in self.items
                    ],
                    'current_rev': self.revision,
                }
        for row in fields['writes']:
            if row['lease'] and row['lease'] not in self.leases:
                return 404, {}
        for row in fields['writes']:
            value = base64.b64decode(row['value'])
            self.put(row['key'], value, row['lease'])
        for key in fields['deletes']:
            self.remove(key)
        return 200, {'revision': self.revision}


class Server:
    """A server of the platform, registered in the store.

    :param write: writes its entry to the store.
    :param runs: record of the requests that it ran.
    """

    def __init__(self, write, ident, service, zone, slots, runs):
        self.write = write
        self.ident = ident
        self.service = service
        self.zone = zone
        self.slots = slots
        self.runs = runs
        self.running = 0
        self.stepped = asyncio.Event()
        self.address = None
        self.sequence = 0
        self.born = int(time.time() * 1000)

    async def start(self):
        server = await asyncio.start_server(
            self.serve, '127.0.0.1', 0, limit=2**20
        )
        host, port = server.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        return server

    async def step(self):
        """A step of the engine ends: all its streams get an event."""
        while True:
            await asyncio.sleep(EVENT_S)
            self.stepped.set()
            self.stepped = asyncio.Event()

    async def beat(self):
        while True:
            self.sequence += 1
            entry = {
                'service': self.service,
                'address': self.address,
                'zone': self.zone,
                'version': 'v1',
                'slots': self.slots,
                'state': 'ready',
                'warmup_left_ms': 0,
                'sequence': self.sequence,
                'born': self.born,
            }
            await self.write(f'servers/{self.ident}', entry)
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer):
        with contextlib.suppress(
            ConnectionError, OSError, asyncio.IncompleteReadError
        ):
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                size = int(headers.get('content-length', 0))
                if size:
                    await reader.readexactly(size)
                await self.answer(line, headers, writer)
        writer.close()

    def format_head(self, status, headers, extra):
        lines = [
            f'HTTP/1.1 {status} X',
            f'X-Attempt-Id: {headers.get("x-attempt-id", "")}',
            'Keep-Alive: timeout=10',
            f'X-Server-Load: {self.running},0,{self.slots}',
            *extra,
        ]
        return ('\r\n'.join(lines) + '\r\n\r\n').encode()

    async def answer(self, line, headers, writer):
        if headers.get('x-expect-instance') != self.ident:
            writer.write(
                self.format_head(421, headers, ['Content-Length: 0'])
            )
            return
        if self.running >= self.slots:
            extra = ['X-Not-Executed: 1', 'Content-Length: 0']
            writer.write(self.format_head(503, headers, extra))
            return
        self.running += 1
        run = {
            'id': headers['x-attempt-id'],
            'server': self.ident,
            'from': now(),
            'to': None,
        }
        self.runs.append(run)
        try:
            stamp = f'X-Server-Stamp: {self.ident}/{run["id"]}'
            if 'x-prefix-hash' in headers:
                await self._stream(headers, writer, stamp)
            else:
                await asyncio.sleep(random.uniform(0.02, 0.06))
                body = run['id'].encode() * 50
                extra = [stamp, f'Content-Length: {len(body)}']
                writer.write(self.format_head(200, headers, extra) + body)
            run['to'] = now()
        finally:
            self.running -= 1

    async def _stream(self, headers, writer, stamp):
        count = int(headers['x-token-count'].split(',')[1]) // 7
        await asyncio.sleep(random.uniform(0.05, 0.15))
        extra = [
            stamp,
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
        ]
        writer.write(self.format_head(200, headers, extra))
        first = int(headers.get('last-event-id', 0)) + 1
        for number in range(first, count + 1):
            event = b'id: %d\ndata: %s\n\n' % (number, b'token ' * 10)
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await self.stepped.wait()
            if writer.transport.is_closing():
                raise ConnectionError
        writer.write(b'0\r\n\r\n')


def make_config(version=1):
    """Return a configuration like that of a small deployment."""
    routes = []
    for name, service, kind, timeout, target, attempts, extra in (
        ('plan', 'llm', 'streaming', 12000, 500, 2, {'stream_resumption': True}),
        ('ask', 'llm', 'streaming', 10000, 250, 1, {}),
        ('tag', 'llm', 'streaming', 2500, 250, 2, {'stream_resumption': True}),
        ('book', 'desk', 'unsafe', 1500, 200, 1, {}),
        ('look', 'desk', 'safe', 1500, 200, 2, {}),
    ):
        if kind == 'streaming':
            extra = {**extra, 'gap_target_ms': 200, 'session_affinity': True}
        routes.append(
            {
                'name': name,
                'host': HOST,
                'prefix': f'/{name}/',
                'service': service,
                'kind': kind,
                'timeout_ms': timeout,
                'target_latency_ms': target,
                'priority': 1,
                'max_attempts': attempts,
                **extra,
            }
        )
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': 'llm',
                'max_connections': 360,
                'health_path': '/healthz',
                'warmup_s': 3,
                'warmup_per_s': 13,
                'engine': {'kv_capacity': 805879},
            },
            {'name': 'desk', 'max_connections': 96, 'health_path': '/healthz'},
        ],
        'limits': {
            'max_header_bytes': 65536,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 10000,
            'idle_timeout_ms': 60000,
        },
        'tenants': [{'name': TENANT, 'api_keys': [KEY]}],
    }
