"""A stand-in for the platform's store: one revision, leases that expire.

It follows the published protocol: linearizable items, watches, conditional
transactions, and leases that run from the arrival of the call and remove
their keys when they end. A hook may hold back a write that is done later and
never answered.
"""

import asyncio
import base64
import json
import time
import urllib.parse


class Store:
    """Items, history and leases of the store, served over HTTP/1.1.

    :param lose: asked for each write with its call and fields; returns the
        delay in seconds after which a lost write is done, or None.
    """

    def __init__(self, lose=lambda call, fields: None):
        self.items = {}
        self.history = []
        self.revision = 10
        self.leases = {}
        self.next_lease = 1000
        self.changed = asyncio.Event()
        self.lose = lose
        # (time, call, summary, fate) of each write.
        self.writes = []
        # Open connections, and those that went silent.
        self.open = set()
        self.silent = set()

    def put(self, key, value, lease=0):
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        known = self.items.get(key)
        item = {
            'key': key,
            'value': base64.b64encode(raw).decode(),
            'revision': self.revision,
            'created': known['created'] if known else self.revision,
            'lease': lease,
        }
        self.items[key] = item
        self._record(item)

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._record({'key': key, 'revision': self.revision, 'removed': True})

    def _record(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def expire_leases(self):
        now = time.monotonic()
        for lease, (_, end) in list(self.leases.items()):
            if now >= end:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, v in self.items.items() if v['lease'] == lease]:
            self.remove(key)

    def silence(self):
        """Let all open connections go silent for good; return how many.

        They stay open, and nothing comes back on them. New ones work.
        """
        self.silent |= self.open
        return len(self.open)

    async def run_leases(self):
        while True:
            await asyncio.sleep(0.05)
            self.expire_leases()

    async def serve(self, host, port):
        return await asyncio.start_server(self._serve_one, host, port)

    async def _serve_one(self, reader, writer):
        self.open.add(writer)
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                lines = head.decode('latin-1').split('\r\n')
                method, target, _ = lines[0].split(' ')
                size = 0
                for line in lines[1:]:
                    name, _, value = line.partition(':')
                    if name.lower() == 'content-length':
                        size = int(value)
                body = await reader.readexactly(size) if size else b''
                if writer in self.silent:
                    # What is sent on it never arrives.
                    await asyncio.sleep(3600)
                answer = await self._run(method, target, body)
                if answer is None or writer in self.silent:
                    # The answer is lost; the connection returns nothing more.
                    await asyncio.sleep(3600)
                status, reply = answer
                data = json.dumps(reply).encode()
                writer.write(
                    b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\n'
                    b'Store-Era: 1\r\n'
                    b'Content-Length: %d\r\n\r\n' % (status, len(data)) + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    async def _run(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        call = url.path.removeprefix('/foxtailpick/')
        fields = json.loads(body) if body else {}
        self.expire_leases()
        await asyncio.sleep(0.004)
        if call in ('kv-txn', 'kv-lease'):
            delay = self.lose(call, fields)
            keys = [row['key'] for row in fields.get('writes', ())]
            self.writes.append(
                (time.time(), call, keys, 'lost, done late' if delay else 'ok')
            )
            if delay is not None:
                asyncio.get_running_loop().call_later(
                    delay, self._write, call, fields
                )
                return None
            return self._write(call, fields)
        if call == 'kv-key':
            item = self.items.get(query['key'])
            return (200, item) if item else (404, {})
        if call == 'kv-range':
            return 200, self._list(query)
        if call == 'kv-watch':
            return await self._watch(query)
        name, _, number = call.partition('/')
        lease = int(number)
        if lease not in self.leases:
            return 404, {}
        if name == 'kv-lease-end':
            self.end_lease(lease)
        else:
            ttl_s, _ = self.leases[lease]
            self.leases[lease] = ttl_s, time.monotonic() + ttl_s
        return 200, {}

    def _write(self, call, fields):
        if call == 'kv-lease':
            self.next_lease += 1
            ttl_s = fields['ttl_ms'] / 1000
            self.leases[self.next_lease] = ttl_s, time.monotonic() + ttl_s
            reply = {'lease': self.next_lease, 'ttl_ms': fields['ttl_ms']}
            return 200, reply
        for row in fields['expect']:
            item = self.items.get(row['key'])
            if row['revision'] != (item['revision'] if item else 0):
                keys = [part['key'] for part in fields['expect']]
                found = [self.items[k] for k in keys if k in self.items]
                return 412, {'items': found, 'current_rev': self.revision}
        for row in fields['writes']:
            if row['lease'] and row['lease'] not in self.leases:
                return 404, {}
        for row in fields['writes']:
            value = base64.b64decode(row['value'])
            self.put(row['key'], value, row['lease'])
        for key in fields['deletes']:
            self.remove(key)
        return 200, {'revision': self.revision}

    def _list(self, query):
        prefix, after = query.get('prefix', ''), query.get('after', '')
        keys = sorted(k for k in self.items if k.startswith(prefix))
        keys = [k for k in keys if k > after]
        return {
            'items': [self.items[k] for k in keys[:500]],
            'truncated': len(keys) > 500,
            'current_rev': self.revision,
        }

    async def _watch(self, query):
        after, prefix = int(query['after']), query.get('prefix', '')
        loop = asyncio.get_running_loop()
        end = loop.time() + int(query['wait_ms']) / 1000
        while True:
            events = [
                item
                for item in self.history
                if item['revision'] > after and item['key'].startswith(prefix)
            ]
            left = end - loop.time()
            if events or left <= 0:
                return 200, {
                    'events': events, 'current_rev': self.revision
                }
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass
