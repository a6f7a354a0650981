"""A small stand-in for the platform's key-value store, over HTTP."""

import base64
import dataclasses
import json
import math
import typing
import urllib.parse

import trio

from foxtailpick.core.dispatch import model
from foxtailpick.core import types
from foxtailpick.gateway import http1

_PATH = '/foxtailpick/'
FIRST_REVISION = 7
# Size of the pieces in which a response is sent at a limited rate.
_PIECE_BYTES = 8_192


@dataclasses.dataclass(frozen=True, slots=True)
class Copy:
    """The state of a store at a moment."""

    items: dict[str, dict[str, typing.Any]]
    revision: int
    history: list[dict[str, typing.Any]]
    leases: dict[int, float]


class PlatformStoreStandIn:
    """In-memory store that answers the platform's store calls.

    Tests set `refuse_with`, `is_silent` and `history_from` to inject the
    failures of the platform, `bytes_per_s` to limit the rate of responses,
    and `stop_after_bytes` to make each of them fall silent midway. While
    `is_compacting`, watches report nothing. `era` is stated in each response,
    None for a platform that doesn't state it.
    """

    def __init__(self) -> None:
        self.items: dict[str, dict[str, typing.Any]] = {}
        self.revision = FIRST_REVISION
        self.history: list[dict[str, typing.Any]] = []
        self.history_from = FIRST_REVISION
        self.leases: dict[int, float] = {}
        self.refuse_with: int | None = None
        self.is_silent = False
        self.is_compacting = False
        self._watches: set[trio.CancelScope] = set()
        self.page_items = 500
        self.bytes_per_s = math.inf
        self.stop_after_bytes = math.inf
        self.era: int | None = None
        self.calls: list[str] = []
        self._changed = trio.Event()

    def put(self, key: str, value: typing.Any, lease: int = 0) -> None:
        """Write an item, as operators or servers do."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        known = self.items.get(key)
        self.items[key] = {
            'key': key,
            'value': base64.b64encode(raw).decode(),
            'revision': self.revision,
            'created': known['created'] if known else self.revision,
            'lease': lease,
        }
        self._record(self.items[key])

    def remove(self, key: str) -> None:
        """Remove an item and record the change."""
        self.revision += 1
        del self.items[key]
        self._record({'key': key, 'revision': self.revision, 'removed': True})

    def drop_history(self) -> None:
        """End the compaction: drop the history, and cut all watches."""
        self.is_compacting = False
        self.history_from = self.revision
        for scope in self._watches:
            scope.cancel()

    def expire_without_history(self, key: str) -> None:
        """Remove an item and drop the history that contains the change."""
        self.remove(key)
        self.history_from = self.revision + 1
        self.revision += 1

    def take_copy(self) -> 'Copy':
        """Return a copy of the items and leases."""
        return Copy(
            dict(self.items),
            self.revision,
            list(self.history),
            dict(self.leases),
        )

    def restore(self, copy: 'Copy') -> None:
        """Lose what was written since a copy, and begin a new era.

        The same revisions and lease numbers are given out again.
        """
        self.items = dict(copy.items)
        self.revision = copy.revision
        self.history = list(copy.history)
        self.leases = dict(copy.leases)
        self.history_from = min(self.history_from, copy.revision)
        self.era = (self.era or 0) + 1

    async def serve(self, sock: trio.socket.SocketType) -> None:
        """Accept connections and answer calls until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                peer, _ = await sock.accept()
                nursery.start_soon(self.serve_one, peer)

    def _record(self, event: dict[str, typing.Any]) -> None:
        self.history.append(event)
        self._changed.set()
        self._changed = trio.Event()

    async def serve_one(self, sock: trio.socket.SocketType) -> None:
        """Answer the calls on one connection."""
        reader = http1.RequestReader(model.Limits)
        with sock:
            while True:
                try:
                    data = await http1.receive(sock)
                    if not data:
                        return
                    for req in reader.feed(data, 0.0):
                        if not await self._answer(sock, req):
                            return
                except http1.BrokenConnectionError:
                    return

    async def _answer(
        self, sock: trio.socket.SocketType, req: http1.Request
    ) -> bool:
        url = urllib.parse.urlsplit(req.target.decode())
        query = dict(urllib.parse.parse_qsl(url.query))
        call = url.path.removeprefix(_PATH)
        self.calls.append(call)
        if self.is_silent:
            await trio.sleep_forever()
        if self.refuse_with is not None:
            status, reply = self.refuse_with, {}
        else:
            with trio.CancelScope() as scope:
                if call == 'kv-watch':
                    self._watches.add(scope)
                status, reply = await self._run(call, query, req.body)
            self._watches.discard(scope)
            if scope.cancelled_caught:
                return False
            if self.is_silent:
                # The reply is lost, and the connection with it.
                await trio.sleep_forever()
        body = json.dumps(reply).encode()
        era = () if self.era is None else [(b'Store-Era', b'%d' % self.era)]
        head = http1.format_response(status, era, len(body), True)
        await self._send(sock, head + body)
        return True

    async def _send(self, sock: trio.socket.SocketType, data: bytes) -> None:
        if self.bytes_per_s == math.inf:
            await http1.send_all(sock, data)
            return
        for start in range(0, len(data), _PIECE_BYTES):
            if start >= self.stop_after_bytes:
                await trio.sleep_forever()
            piece = data[start : start + _PIECE_BYTES]
            await trio.sleep(len(piece) / self.bytes_per_s)
            await http1.send_all(sock, piece)

    async def _run(
        self, call: str, query: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, typing.Any]]:
        fields = json.loads(body) if body else {}
        if call == 'kv-key':
            item = self.items.get(query['key'])
            return (200, item) if item else (404, {})
        if call == 'kv-range':
            return 200, self._list(query)
        if call == 'kv-watch':
            return await self._watch(query)
        if call == 'kv-txn':
            return self._transact(fields)
        if call == 'kv-lease':
            lease = 1000 + len(self.leases)
            self.leases[lease] = fields['ttl_ms']
            return 200, {'lease': lease, 'ttl_ms': fields['ttl_ms']}
        name, _, number = call.partition('/')
        if int(number) not in self.leases:
            return 404, {}
        if name == 'kv-lease-end':
            del self.leases[int(number)]
        return 200, {}

    def _list(self, query: dict[str, str]) -> dict[str, typing.Any]:
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query.get('prefix', ''))
            and key > query.get('after', '')
        )
        page = keys[: self.page_items]
        return {
            'items': [self.items[key] for key in page],
            'truncated': len(page) < len(keys),
            'current_rev': self.revision,
        }

    async def _watch(
        self, query: dict[str, str]
    ) -> tuple[int, dict[str, typing.Any]]:
        after = int(query['after'])
        prefix = query.get('prefix', '')
        with trio.move_on_after(int(query['wait_ms']) / types.SECOND_MS):
            while True:
                if after < self.history_from:
                    return 410, {}
                events = [
                    item
                    for item in self.history
                    if item['revision'] > after
                    and item['key'].startswith(prefix)
                ]
                if events and not self.is_compacting:
                    return 200, {
                        'events': events,
                        'current_rev': self.revision,
                    }
                await self._changed.wait()
        return 200, {'events': [], 'current_rev': self.revision}

    def _transact(
        self, fields: dict[str, typing.Any]
    ) -> tuple[int, dict[str, typing.Any]]:
        for row in fields['expect']:
            item = self.items.get(row['key'])
            if row['revision'] != (item['revision'] if item else 0):
                current = [
                    self.items[part['key']]
                    for part in fields['expect']
                    if part['key'] in self.items
                ]
                return 412, {'items': current}
        for row in fields['writes']:
            value = base64.b64decode(row['value'])
            self.put(row['key'], value, row['lease'])
        for key in fields['deletes']:
            self.remove(key)
        return 200, {'revision': self.revision}
