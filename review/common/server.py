"""A stand-in for the platform's servers.

It answers with its signature and the caller's id, refuses requests that name
another instance, and records the time of each arrival.
"""

import asyncio
import time

HEALTH_PATH = '/healthz'


class Server:
    """One server at a loopback address.

    :param name: its id in the store.
    :param service: its service.
    :param zone: its zone.
    :param events: events of a streaming answer; 0 for plain answers.
    :param gap_s: time between events, or the work of a plain answer.
    :param crash_per_s: arrivals in a second at which it crashes while cold.
    """

    def __init__(self, name, service, zone='kandy-a', events=3, gap_s=0.03,
                 slots=64, crash_per_s=None):
        self.name, self.service, self.zone = name, service, zone
        self.events, self.gap_s, self.slots = events, gap_s, slots
        self.crash_per_s = crash_per_s
        self.cold_until = self.cold_from = 0.0
        self.running = 0
        # (id, time, target) of each request that it began to run.
        self.arrivals = []
        self.finished = set()
        self.crashed_at = None
        # Whether it says in all its answers that it leaves.
        self.is_leaving = False
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self._writers = set()
        self._server = None
        self.port = None

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', self.port or 0, backlog=256
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def warm_up(self, seconds):
        self.cold_until = time.monotonic() + seconds
        self.cold_from = time.time()

    def make_entry(self, state='ready'):
        self.sequence += 1
        left_ms = max(0, round((self.cold_until - time.monotonic()) * 1000))
        return {
            'service': self.service,
            'address': f'127.0.0.1:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': state,
            'warmup_left_ms': left_ms,
            'sequence': self.sequence,
            'born': self.born,
        }

    def crash(self):
        if self.crashed_at is None:
            self.crashed_at = time.time()
            self._server.close()
            for writer in list(self._writers):
                writer.transport.abort()

    async def heartbeat(self, store, interval_s=1.2):
        """Write its entry until it crashes, when more than a number changes."""
        last = None
        while self.crashed_at is None:
            entry = self.make_entry()
            told = {k: v for k, v in entry.items() if k != 'sequence'}
            if told != last:
                store.put(f'servers/{self.name}', entry)
                last = told
            await asyncio.sleep(interval_s)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                lines = head.decode('latin-1').split('\r\n')
                method, target, _ = lines[0].split(' ')
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(':')
                    headers[name.lower()] = value.strip()
                size = int(headers.get('content-length', 0))
                if size:
                    await reader.readexactly(size)
                if target == HEALTH_PATH:
                    await self._answer_health(writer)
                    continue
                await self._answer(target, headers, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer_health(self, writer):
        left_ms = max(0, round((self.cold_until - time.monotonic()) * 1000))
        writer.write(
            b'HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\n'
            b'X-Warmup-Ms: %d\r\nX-Server-Load: %d,0,%d\r\n'
            b'Content-Length: 0\r\n\r\n'
            % (self.name.encode(), left_ms, self.running, self.slots)
        )
        await writer.drain()

    async def _answer(self, target, headers, writer):
        request = headers.get('x-attempt-id', '')
        echo = f'X-Attempt-Id: {request}\r\n'.encode()
        if headers.get('x-expect-instance', self.name) != self.name:
            writer.write(
                b'HTTP/1.1 421 No\r\nX-Not-Executed: 1\r\n' + echo
                + b'Content-Length: 0\r\n\r\n'
            )
            await writer.drain()
            return
        self.arrivals.append((request, time.time(), target))
        self._check_rate()
        if self.crashed_at is not None:
            raise ConnectionError
        self.running += 1
        try:
            await self._run(echo, request, writer)
        finally:
            self.running -= 1
        self.finished.add(request)

    def _check_rate(self):
        if self.crash_per_s is None or time.monotonic() >= self.cold_until:
            return
        since = max(time.time() - 1, self.cold_from)
        recent = sum(at >= since for _, at, _ in self.arrivals)
        if recent > self.crash_per_s:
            self.crash()

    async def _run(self, echo, request, writer):
        load = f'X-Server-Load: {self.running},0,{self.slots}\r\n'.encode()
        stamp = f'X-Server-Stamp: {self.name}.{request}\r\n'.encode()
        keep = b'Keep-Alive: timeout=20\r\n'
        if self.is_leaving:
            keep = b'Server-Leaving: 1\r\nConnection: close\r\n'
        if not self.events:
            await asyncio.sleep(self.gap_s)
            body = f'{self.name} {request}'.encode()
            writer.write(
                b'HTTP/1.1 200 OK\r\n' + echo + stamp + load
                + keep + b'Content-Length: %d\r\n\r\n' % len(body) + body
            )
            await writer.drain()
            return
        await asyncio.sleep(self.gap_s)
        writer.write(
            b'HTTP/1.1 200 OK\r\n' + echo + stamp + load
            + keep + b'Content-Type: text/event-stream\r\n'
            + b'Transfer-Encoding: chunked\r\n\r\n'
        )
        for number in range(1, self.events + 1):
            data = b'id: %d\ndata: %s\n\n' % (number, request.encode())
            writer.write(b'%x\r\n%s\r\n' % (len(data), data))
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(b'0\r\n\r\n')
        await writer.drain()
