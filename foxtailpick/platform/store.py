"""Client of the platform's key-value store."""

import base64
import contextlib
import json
import typing
import urllib.parse

import trio

from foxtailpick.adapters import base
from foxtailpick.core.dispatch import model
from foxtailpick.core import errors
from foxtailpick.core import types
from foxtailpick.core import verdict as verdict_lib
from foxtailpick.gateway import client as client_lib
from foxtailpick.gateway import exchange
from foxtailpick.gateway import http1

# Time until a response begins. Ten times the store's usual latency under
# load; a slow call is retried.
CALL_TIMEOUT_MS = 1_500.0
# Longest pause within a response. How long all of it takes depends on its
# size and the link: repeating a call would only start the transfer again.
MAX_SILENCE_MS = 1_000.0
# Longest transfer of a response.
MAX_TRANSFER_MS = 30_000.0
# Longest wait of a watch.
MAX_WATCH_WAIT_MS = 30_000.0
# Time allowed for the beginning of the reply after the wait.
WATCH_SLACK_MS = 1_000.0
# A connection on which a watch waits may go silent for good. The kernel
# then closes it within twice this time.
KEEP_ALIVE_MS = 1_000.0
_BASE_PATH = '/foxtailpick/'
_ERA_HEADER = b'store-era'


class PlatformStore(base.KeyValue):
    """Client of the store at one address, used as a context manager.

    The store may be restored from an older copy, which begins a new era.
    Positions and leases of earlier eras are not used any more: the same
    numbers are given out again.

    :param address: IP address and port.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._host = f'{address[0]}:{address[1]}'.encode()
        self._idle: list[client_lib.ClientConnection] = []
        self._leases: set[types.LeaseId] = set()
        # Prefixes of watches whose reply has begun.
        self._receiving: set[str] = set()
        self.era: types.Era | None = None
        self.calls = 0

    def __enter__(self) -> 'PlatformStore':
        return self

    def __exit__(self, *exc_info: typing.Any) -> None:
        for conn in self._idle:
            conn.close()
        self._idle.clear()

    async def get(self, key: str) -> base.Entry | None:
        query = urllib.parse.urlencode({'key': key})
        status, reply = await self._call('GET', f'kv-key?{query}')
        if status == 404:
            return None
        _check_status(status, reply)
        return _decode_entry(reply)

    async def get_prefix(self, prefix: str) -> list[base.Entry]:
        return (await self.read_snapshot(prefix)).entries

    async def read_snapshot(
        self, prefix: str, is_stale_ok: bool = False
    ) -> base.Snapshot:
        """Return all entries of a prefix and a revision to watch from.

        Pages are read at different revisions. The revision of the first
        page is returned, so that a watch from there also delivers the
        changes made between pages.

        :param prefix: key prefix, may be empty.
        :param is_stale_ok: whether entries may be some seconds old; such a
            call costs a tenth.
        :raises errors.StoreError: if the store cannot be read.
        """
        entries: list[base.Entry] = []
        position: base.Position | None = None
        after = ''
        while True:
            fields = {'prefix': prefix, **({'after': after} if after else {})}
            if is_stale_ok:
                fields['stale_ok'] = '1'
            query = urllib.parse.urlencode(fields)
            status, reply = await self._call('GET', f'kv-range?{query}')
            _check_status(status, reply)
            page = [_decode_entry(item) for item in reply['items']]
            entries.extend(page)
            if position is None:
                position = self._make_position(reply)
            self._check_era(position)
            if not reply.get('truncated') or not page:
                return base.Snapshot(entries, position)
            after = page[-1].key

    async def poll_changes(
        self,
        prefix: str,
        after: base.Position,
        wait_ms: float = MAX_WATCH_WAIT_MS,
    ) -> tuple[list[base.Change], base.Position]:
        """Long-poll for changes after a position.

        :param prefix: key prefix, may be empty.
        :param after: position up to which changes are already known.
        :param wait_ms: longest time to wait.
        :returns: the changes, none after a timeout, and the position to
            continue from.
        :raises errors.StoreError: with code `STORE_HISTORY_LOST` if the
            store no longer has the changes, `STORE_RESTORED` if the position
            belongs to an earlier era.
        """
        self._check_era(after)
        query = urllib.parse.urlencode(
            {
                'prefix': prefix,
                'after': after.revision,
                'wait_ms': int(min(wait_ms, MAX_WATCH_WAIT_MS)),
            }
        )
        try:
            status, reply = await self._call(
                'GET',
                f'kv-watch?{query}',
                wait_ms + WATCH_SLACK_MS,
                report_begun=lambda: self._receiving.add(prefix),
            )
        finally:
            self._receiving.discard(prefix)
        self._check_era(after)
        if status == 410:
            raise errors.StoreError(
                errors.ErrorCode.STORE_HISTORY_LOST,
                f'expected changes after revision {after.revision}, but the '
                f'store no longer has them; read all entries again',
            )
        _check_status(status, reply)
        changes = [_decode_change(item) for item in reply['events']]
        return changes, self._make_position(reply)

    def is_receiving(self, prefix: str) -> bool:
        """Tell whether the reply to a watch has begun.

        :param prefix: prefix of the watch.
        """
        return prefix in self._receiving

    async def transact(
        self,
        compares: typing.Sequence[base.Compare],
        writes: typing.Sequence[base.Put | base.Delete],
    ) -> base.TxnResult:
        leases = [
            item.lease
            for item in writes
            if isinstance(item, base.Put) and item.lease
        ]
        self._check_leases(leases)
        body = {
            'expect': [
                {'key': item.key, 'revision': item.revision}
                for item in compares
            ],
            'writes': [
                {
                    'key': item.key,
                    'value': base64.b64encode(item.value).decode(),
                    'lease': item.lease or 0,
                }
                for item in writes
                if isinstance(item, base.Put)
            ],
            'deletes': [
                item.key for item in writes if isinstance(item, base.Delete)
            ],
        }
        status, reply = await self._call('POST', 'kv-txn', body=body)
        if status == 412:
            current = tuple(_decode_entry(item) for item in reply['items'])
            revision = types.Revision(int(reply.get('current_rev') or 0))
            return base.TxnResult(False, revision, current)
        if status == 404:
            raise _make_lease_error('in the transaction')
        _check_status(status, reply)
        self._check_leases(leases)
        return base.TxnResult(True, types.Revision(int(reply['revision'])))

    async def grant_lease(self, ttl_ms: float) -> types.LeaseId:
        status, reply = await self._call(
            'POST', 'kv-lease', body={'ttl_ms': int(ttl_ms)}
        )
        _check_status(status, reply)
        lease = types.LeaseId(int(reply['lease']))
        self._leases.add(lease)
        return lease

    async def renew_lease(self, lease: types.LeaseId) -> None:
        self._check_leases([lease])
        status, reply = await self._call('POST', f'kv-keep/{lease}')
        if status == 404:
            self._leases.discard(lease)
            raise _make_lease_error(lease)
        _check_status(status, reply)
        self._check_leases([lease])

    async def revoke_lease(self, lease: types.LeaseId) -> None:
        if lease not in self._leases:
            return
        self._leases.discard(lease)
        status, reply = await self._call('DELETE', f'kv-lease-end/{lease}')
        if status != 404:
            _check_status(status, reply)

    @contextlib.asynccontextmanager
    async def watch(
        self, prefix: str, after: types.Revision
    ) -> typing.AsyncIterator[typing.AsyncIterator[base.Change]]:
        async def iterate() -> typing.AsyncIterator[base.Change]:
            position = base.Position(after, self.era)
            while True:
                changes, position = await self.poll_changes(prefix, position)
                for change in changes:
                    yield change

        async with contextlib.aclosing(iterate()) as changes:
            yield changes

    async def _call(
        self,
        method: str,
        path: str,
        timeout_ms: float = CALL_TIMEOUT_MS,
        body: typing.Mapping[str, typing.Any] | None = None,
        report_begun: typing.Callable[[], None] = lambda: None,
    ) -> tuple[int, typing.Any]:
        self.calls += 1
        data = b'' if body is None else json.dumps(body).encode()
        head = http1.format_request(
            method.encode(),
            (_BASE_PATH + path).encode(),
            self._host,
            [(b'Content-Type', b'application/json')] if data else [],
            len(data),
        )
        is_sent = False
        began_s = trio.current_time()
        received_before = 0
        conn: client_lib.ClientConnection | None = None
        try:
            with trio.fail_after(timeout_ms / types.SECOND_MS):
                conn = await self._take_connection()
                received_before = conn.received_bytes
                is_sent = True
                await conn.send(head + data)
                reply = await exchange.read_head(conn)
            report_begun()
            with trio.fail_after(MAX_TRANSFER_MS / types.SECOND_MS):
                raw = await exchange.read_body(conn, MAX_SILENCE_MS)
            self._update_era(reply.headers, method, path)
            if conn.is_clean and reply.is_reusable:
                self._idle.append(conn)
                conn = None
            return reply.status, json.loads(raw) if raw.strip() else {}
        except (OSError, ValueError, trio.TooSlowError) as exc:
            may_have_run = is_sent and method != 'GET'
            received = conn.received_bytes - received_before if conn else 0
            took_ms = (trio.current_time() - began_s) * types.SECOND_MS
            got = f'{exc!r} after {took_ms:.0f} ms and {received} bytes'
            raise _make_store_error(method, path, got, may_have_run) from exc
        finally:
            if conn is not None:
                conn.close()

    def _update_era(
        self, headers: typing.Sequence[model.RawHeader], method: str, path: str
    ) -> None:
        """Compare the era of a reply with the latest one.

        :raises errors.StoreError: with code `STORE_RESTORED` if the era has
            just risen, since the reply may rest on state of the one before;
            `STORE_UNAVAILABLE` if the reply is of an earlier era.
        """
        era = _get_era(headers)
        known = self.era
        if era is None or era == known:
            return
        if known is not None and era < known:
            got = f'one of era {era} after era {known}'
            raise _make_store_error(method, path, got, method != 'GET')
        self.era = era
        if known is not None:
            self._leases.clear()
            raise _make_restored_error(known, era)

    def _check_era(self, position: base.Position) -> None:
        if position.era is not None and position.era != self.era:
            raise _make_restored_error(position.era, self.era)

    def _check_leases(self, leases: typing.Iterable[types.LeaseId]) -> None:
        for lease in leases:
            if lease not in self._leases:
                raise _make_lease_error(lease)

    def _make_position(
        self, reply: typing.Mapping[str, typing.Any]
    ) -> base.Position:
        revision = types.Revision(int(reply['current_rev']))
        return base.Position(revision, self.era)

    async def _take_connection(self) -> client_lib.ClientConnection:
        while self._idle:
            conn = self._idle.pop()
            if conn.is_alive():
                return conn
            conn.close()
        return await client_lib.ClientConnection.connect(
            self._address, KEEP_ALIVE_MS
        )


def _decode_entry(item: typing.Mapping[str, typing.Any]) -> base.Entry:
    return base.Entry(
        key=item['key'],
        value=base64.b64decode(item['value']),
        revision=types.Revision(int(item['revision'])),
        lease=types.LeaseId(item['lease']) if item.get('lease') else None,
    )


def _decode_change(item: typing.Mapping[str, typing.Any]) -> base.Change:
    revision = types.Revision(int(item['revision']))
    if item.get('removed'):
        return base.Change(item['key'], None, revision)
    return base.Change(item['key'], _decode_entry(item), revision)


def _check_status(status: int, reply: typing.Any) -> None:
    if status != 200:
        raise errors.StoreError(
            errors.ErrorCode.STORE_UNAVAILABLE,
            f'expected status 200 from the store, got {status}; retry later',
        )


def _get_era(headers: typing.Sequence[model.RawHeader]) -> types.Era | None:
    value = dict(headers).get(_ERA_HEADER, b'')
    return types.Era(int(value)) if value.isdigit() else None


def _make_restored_error(
    known: types.Era, era: types.Era | None
) -> errors.StoreError:
    return errors.StoreError(
        errors.ErrorCode.STORE_RESTORED,
        f'expected the store in era {known}, got era {era}; read all '
        f'entries again',
    )


def _make_lease_error(lease: object) -> errors.StoreError:
    return errors.StoreError(
        errors.ErrorCode.LEASE_LOST,
        f'expected lease {lease} to be active, but it has expired; request '
        f'a new one',
    )


def _make_store_error(
    method: str, path: str, got: str, may_have_run: bool
) -> errors.StoreError:
    code = errors.ErrorCode.STORE_UNAVAILABLE
    verdict = verdict_lib.Verdict.NOT_RUN
    if may_have_run:
        code = errors.ErrorCode.STORE_OUTCOME_UNKNOWN
        verdict = verdict_lib.Verdict.MAY_HAVE_RUN
    name = path.partition('?')[0]
    return errors.StoreError(
        code,
        f'expected a reply from the store to {method} {name}, got {got}; '
        f'retry later',
        verdict,
    )
