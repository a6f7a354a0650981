"""Clients of the platform: kept connections, open arrivals.

Run as a process of its own. It writes one line of JSON per request to its
standard output, and ends at the end of its standard input.
"""

import asyncio
import json
import os
import random
import sys

import standins

# Requests a second of each kind, and the tokens of their answers.
KINDS = {
    'plan': (23.5, 55 * 7, 12000),
    'ask': (29.7, 42 * 7, 10000),
    'tag': (41.7, 3 * 7, 2500),
    'book': (23.7, 0, 1500),
    'look': (9.5, 0, 1500),
}

BODY_BYTES = {'plan': 12000, 'ask': 830, 'tag': 2400, 'book': 600, 'look': 0}

# Share of the requests that come on a new connection.
NEW_SHARE = 0.5


class Client:
    def __init__(self, rng):
        self.rng = rng
        self.idle = []
        self.addresses = []
        self.rate = 1.0

    def format(self, kind, ident):
        _, tokens, deadline = KINDS[kind]
        body = b'x' * BODY_BYTES[kind]
        method = 'GET' if kind == 'look' else 'POST'
        lines = [
            f'{method} /{kind}/{self.rng.randrange(40)} HTTP/1.1',
            f'Host: {standins.HOST}',
            f'X-Attempt-Id: {ident}',
            f'X-Deadline-Ms: {deadline}',
            f'X-Key: {standins.KEY}',
        ]
        if tokens:
            own = f'{self.rng.getrandbits(32):08x}'
            shared = f'5c1e07a2:800,91bd{self.rng.randrange(40):04x}:410'
            lines.append('X-Model: m')
            lines.append(f'X-Token-Count: 1460,{tokens}')
            lines.append(f'X-Prefix-Hash: {shared},{own}:250')
        if body:
            lines.append(f'Content-Length: {len(body)}')
        return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body

    async def connect(self):
        address = self.rng.choice(self.addresses)
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(*address, limit=2**20), 1.0
        )
        return reader, writer, address, [0]

    async def request(self, kind):
        ident = f'{self.rng.getrandbits(64):016x}'
        record = {'id': ident, 'kind': kind, 'sent': standins.now()}
        deadline = KINDS[kind][2] / 1000
        conn = None
        try:
            while self.idle and self.rng.random() >= NEW_SHARE:
                conn = self.idle.pop()
                if conn[2] in self.addresses and not conn[0].at_eof():
                    break
                conn[1].close()
                conn = None
            conn = conn or await self.connect()
            reader, writer, address, answered = conn
            record['node'] = address[0]
            record['kept'] = answered[0] > 0
            async with asyncio.timeout(deadline):
                writer.write(self.format(kind, ident))
                got = await self.read_answer(reader, record)
            record['end'] = 'complete'
            answered[0] += 1
            if got:
                self.idle.append(conn)
                conn = None
        except TimeoutError:
            record['end'] = 'deadline' if conn else 'no connection'
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            record['end'] = 'closed' if conn else 'no connection'
        finally:
            if conn is not None:
                conn[1].close()
        record['done'] = standins.now()
        print(json.dumps(record), flush=False)

    async def read_answer(self, reader, record):
        record['bytes'] = 0
        head = await reader.readuntil(b'\r\n\r\n')
        record['bytes'] = len(head)
        lines = head.decode('latin-1').split('\r\n')
        record['status'] = int(lines[0].split(' ')[1])
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(':')
            headers[name.lower()] = value.strip()
        record['answer_to'] = headers.get('x-attempt-id')
        if headers.get('transfer-encoding') == 'chunked':
            while True:
                size = int(await reader.readuntil(b'\r\n'), 16)
                await reader.readexactly(size + 2)
                if not size:
                    break
        else:
            await reader.readexactly(int(headers.get('content-length', 0)))
        return headers.get('connection', '').lower() != 'close'

    async def arrive(self, kind):
        while True:
            rate = KINDS[kind][0] * self.rate
            await asyncio.sleep(self.rng.expovariate(rate))
            asyncio.ensure_future(self.request(kind))


async def main(share):
    client = Client(random.Random())
    client.rate = 0.0001
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    tasks = []
    while line := await reader.readline():
        order = json.loads(line)
        client.rate = order['rate'] * share
        client.addresses = [tuple(a) for a in order['addresses']]
        if not tasks:
            tasks = [
                asyncio.ensure_future(client.arrive(kind)) for kind in KINDS
            ]
    for task in tasks:
        task.cancel()
    sys.stdout.flush()
    # Requests that are still under way are not judged.
    os._exit(0)


if __name__ == '__main__':
    asyncio.run(main(float(sys.argv[1])))
