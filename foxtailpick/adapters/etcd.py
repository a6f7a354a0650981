"""Key-value adapter for the JSON gateway of the etcd v3 API.

Uses `/v3/kv/range`, `/v3/kv/txn`, `/v3/lease/*` and `/v3/watch`. Keys and
values are encoded in base64, 64-bit numbers as strings.
"""

import base64
import contextlib
import json
import math
import typing

import httpcore

from foxtailpick.adapters import base
from foxtailpick.adapters import http
from foxtailpick.adapters import http_connections
from foxtailpick.core import errors
from foxtailpick.core import types
from foxtailpick.core import verdict as verdict_lib

_MAX_CONNECTIONS = 4
_HTTP_OK = 200
_HTTP_BAD_REQUEST = 400
_HTTP_NOT_FOUND = 404


class EtcdKeyValue(base.KeyValue):
    """Client of a store with one or more gateway URLs.

    An async context manager; closes the connections on exit.

    :param urls: gateway URLs; the next one is tried if a connection
        cannot be opened.
    :param timeout_ms: longest wait for a reply.
    """

    def __init__(self, urls: tuple[str, ...], timeout_ms: float) -> None:
        self._urls = urls
        self._timeouts = _make_timeouts(timeout_ms)
        self._pool = http_connections.open_pool(_MAX_CONNECTIONS)
        self._url_index = 0
        self.exchanged_bytes = 0

    @classmethod
    def from_settings(cls, cfg: typing.Any) -> 'EtcdKeyValue':
        """Create the adapter.

        :param cfg: a `settings.StoreSettings`.
        """
        return cls(cfg.urls, cfg.timeout)

    async def __aenter__(self) -> 'EtcdKeyValue':
        await self._pool.__aenter__()
        return self

    async def __aexit__(self, *exc_info: typing.Any) -> None:
        await self._pool.__aexit__(*exc_info)

    async def get(self, key: str) -> base.Entry | None:
        reply = await self._read('/v3/kv/range', {'key': _encode_key(key)})
        entries = _parse_entries(reply)
        return entries[0] if entries else None

    async def get_prefix(self, prefix: str) -> list[base.Entry]:
        query = {
            'key': _encode_key(prefix),
            'range_end': _encode_bytes(find_prefix_end(prefix)),
            'sort_target': 'KEY',
            'sort_order': 'ASCEND',
        }
        return _parse_entries(await self._read('/v3/kv/range', query))

    async def transact(
        self,
        compares: typing.Sequence[base.Compare],
        writes: typing.Sequence[base.Put | base.Delete],
    ) -> base.TxnResult:
        body = {
            'compare': [_format_compare(item) for item in compares],
            'success': [_format_write(item) for item in writes],
            'failure': [
                {'request_range': {'key': _encode_key(item.key)}}
                for item in compares
            ],
        }
        reply = await self._write('/v3/kv/txn', body)
        is_applied = bool(reply.get('succeeded'))
        revision = types.Revision(int(reply['header']['revision']))
        if is_applied:
            return base.TxnResult(True, revision)
        current = [
            entry
            for item in reply.get('responses', [])
            for entry in _parse_entries(item.get('response_range', {}))
        ]
        return base.TxnResult(False, revision, tuple(current))

    async def grant_lease(self, ttl_ms: float) -> types.LeaseId:
        seconds = math.ceil(ttl_ms / types.SECOND_MS)
        reply = await self._write('/v3/lease/grant', {'TTL': str(seconds)})
        return types.LeaseId(int(reply['ID']))

    async def renew_lease(self, lease: types.LeaseId) -> None:
        reply = await self._write('/v3/lease/keepalive', {'ID': str(lease)})
        if int(reply.get('result', {}).get('TTL', 0)) <= 0:
            raise errors.StoreError(
                errors.ErrorCode.LEASE_LOST,
                f'expected lease {lease} to be alive, but it has expired; '
                f'grant a new one',
            )

    async def revoke_lease(self, lease: types.LeaseId) -> None:
        await self._write('/v3/lease/revoke', {'ID': str(lease)})

    @contextlib.asynccontextmanager
    async def watch(
        self, prefix: str, after: types.Revision
    ) -> typing.AsyncIterator[typing.AsyncIterator[base.Change]]:
        create = {
            'key': _encode_key(prefix),
            'range_end': _encode_bytes(find_prefix_end(prefix)),
            'start_revision': str(after + 1),
        }
        body = json.dumps({'create_request': create}).encode()
        timeouts = {**self._timeouts, 'read': None}
        try:
            async with self._pool.stream(
                'POST',
                self._urls[self._url_index] + '/v3/watch',
                headers={'content-type': 'application/json'},
                content=body,
                extensions={'timeout': timeouts},
            ) as response:
                if response.status != _HTTP_OK:
                    raise _make_unavailable_error(response.status)
                yield _iterate_changes(response)
        except _NETWORK_ERRORS as exc:
            raise _make_unavailable_error(exc) from exc

    async def _read(self, path: str, body: dict) -> dict:
        try:
            return await self._post(path, body)
        except errors.StoreError as exc:
            if exc.code is errors.ErrorCode.STORE_OUTCOME_UNKNOWN:
                raise _make_unavailable_error(exc.message) from exc
            raise

    async def _write(self, path: str, body: dict) -> dict:
        return await self._post(path, body)

    async def _post(self, path: str, body: dict) -> dict:
        content = json.dumps(body).encode()
        self.exchanged_bytes += len(content)
        for _ in self._urls:
            try:
                response = await self._pool.request(
                    'POST',
                    self._urls[self._url_index] + path,
                    headers={'content-type': 'application/json'},
                    content=content,
                    extensions={'timeout': self._timeouts},
                )
            except (httpcore.ConnectError, httpcore.ConnectTimeout) as exc:
                self._url_index = (self._url_index + 1) % len(self._urls)
                connect_error = exc
                continue
            except _NETWORK_ERRORS as exc:
                raise _make_unknown_error(exc) from exc
            self.exchanged_bytes += len(response.content)
            return _parse_reply(response)
        raise _make_unavailable_error(connect_error) from connect_error


_NETWORK_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


def find_prefix_end(prefix: str) -> bytes:
    """Return the exclusive end of the key range of a prefix.

    :param prefix: a prefix that does not consist of 0xff bytes only.
    """
    data = prefix.encode().rstrip(b'\xff')
    return data[:-1] + bytes([data[-1] + 1])


def _make_timeouts(timeout_ms: float) -> dict[str, float | None]:
    seconds = timeout_ms / types.SECOND_MS
    names = ('connect', 'read', 'write', 'pool')
    return dict.fromkeys(names, seconds)


def _encode_key(key: str) -> str:
    return _encode_bytes(key.encode())


def _encode_bytes(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _format_compare(compare: base.Compare) -> dict:
    return {
        'key': _encode_key(compare.key),
        'target': 'MOD',
        'result': 'EQUAL',
        'mod_revision': str(compare.revision),
    }


def _format_write(write: base.Put | base.Delete) -> dict:
    key = _encode_key(write.key)
    if isinstance(write, base.Delete):
        return {'request_delete_range': {'key': key}}
    put = {'key': key, 'value': _encode_bytes(write.value)}
    if write.lease is not None:
        put['lease'] = str(write.lease)
    return {'request_put': put}


def _parse_reply(response: httpcore.Response) -> dict:
    if response.status == _HTTP_OK:
        return json.loads(response.content)
    text = response.content.decode('utf-8', 'replace')[:200]
    if response.status in (_HTTP_BAD_REQUEST, _HTTP_NOT_FOUND):
        code = errors.ErrorCode.STORE_REFUSED
        if 'lease not found' in text:
            code = errors.ErrorCode.LEASE_LOST
        raise errors.StoreError(
            code, f'expected the store to accept the call, got {text}'
        )
    raise _make_unknown_error(f'status {response.status} {text}')


def _parse_entries(reply: dict) -> list[base.Entry]:
    return [_parse_entry(item) for item in reply.get('kvs', [])]


def _parse_entry(item: dict) -> base.Entry:
    lease = int(item.get('lease', 0))
    return base.Entry(
        key=base64.b64decode(item['key']).decode(),
        value=base64.b64decode(item.get('value', '')),
        revision=types.Revision(int(item['mod_revision'])),
        lease=types.LeaseId(lease) if lease else None,
    )


async def _iterate_changes(
    response: httpcore.Response,
) -> typing.AsyncIterator[base.Change]:
    buffer = b''
    async for part in response.aiter_stream():
        *lines, buffer = (buffer + part).split(b'\n')
        if len(buffer) > http.MAX_BODY_BYTES:
            raise _make_unavailable_error(
                f'a line of more than {http.MAX_BODY_BYTES} bytes'
            )
        for line in lines:
            for change in _parse_events(line):
                yield change
    raise _make_unavailable_error('the end of the watch stream')


def _parse_events(line: bytes) -> typing.Iterator[base.Change]:
    if not line.strip():
        return
    for event in json.loads(line).get('result', {}).get('events', []):
        if event.get('type') == 'DELETE':
            key = base64.b64decode(event['kv']['key']).decode()
            yield base.Change(key, None)
            continue
        entry = _parse_entry(event['kv'])
        yield base.Change(entry.key, entry)


def _make_unavailable_error(received: object) -> errors.StoreError:
    return errors.StoreError(
        errors.ErrorCode.STORE_UNAVAILABLE,
        f'expected an answer of the store, got {received}; retry later',
    )


def _make_unknown_error(received: object) -> errors.StoreError:
    return errors.StoreError(
        errors.ErrorCode.STORE_OUTCOME_UNKNOWN,
        f'expected a reply to a write, got {received}; read the key back',
        verdict_lib.Verdict.MAY_HAVE_RUN,
    )
