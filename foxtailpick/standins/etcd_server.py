"""Stand-in for the JSON gateway of the etcd v3 API.

Serves a `keyvalue.KeyValueState` over HTTP and injects its faults. Only the
calls that the adapter uses are implemented.
"""

import base64
import json
import typing

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing
import trio

from foxtailpick.adapters import base
from foxtailpick.core import errors
from foxtailpick.core import types
from foxtailpick.standins import keyvalue

_HTTP_BAD_REQUEST = 400
_HTTP_SERVER_ERROR = 500
_HTTP_UNAVAILABLE = 503


def make_app(state: keyvalue.KeyValueState) -> applications.Starlette:
    """Return the ASGI app of the gateway.

    :param state: the data to serve and the faults to inject.
    """
    handlers: dict[str, typing.Callable[[dict], dict]] = {
        '/v3/kv/range': lambda body: _serve_range(state, body),
        '/v3/kv/txn': lambda body: _serve_transaction(state, body),
        '/v3/lease/grant': lambda body: _serve_grant(state, body),
        '/v3/lease/keepalive': lambda body: _serve_keepalive(state, body),
        '/v3/lease/revoke': lambda body: _serve_revoke(state, body),
    }
    routes = [
        routing.Route(path, _make_endpoint(state, handler), methods=['POST'])
        for path, handler in handlers.items()
    ]
    watch = _make_watch_endpoint(state)
    routes.append(routing.Route('/v3/watch', watch, methods=['POST']))
    return applications.Starlette(routes=routes)


def _make_endpoint(
    state: keyvalue.KeyValueState, handler: typing.Callable[[dict], dict]
) -> typing.Callable[..., typing.Any]:
    async def serve(req: requests.Request) -> responses.Response:
        body = json.loads(await req.body())
        faults = state.faults
        if faults.delay_ms > 0:
            await trio.sleep(faults.delay_ms / types.SECOND_MS)
        if faults.is_down:
            return responses.Response(status_code=_HTTP_UNAVAILABLE)
        is_write = req.url.path == '/v3/kv/txn'
        if is_write and faults.lost_requests > 0:
            faults.lost_requests -= 1
            return responses.Response(status_code=_HTTP_SERVER_ERROR)
        try:
            reply = handler(body)
        except errors.StoreError as exc:
            return _make_error_response(exc)
        if is_write and faults.lost_replies > 0:
            faults.lost_replies -= 1
            return responses.Response(status_code=_HTTP_SERVER_ERROR)
        return responses.JSONResponse(reply)

    return serve


def _make_error_response(exc: errors.StoreError) -> responses.Response:
    text = exc.message
    if exc.code is errors.ErrorCode.LEASE_LOST:
        text = 'etcdserver: requested lease not found'
    return responses.JSONResponse(
        {'error': text}, status_code=_HTTP_BAD_REQUEST
    )


def _make_watch_endpoint(
    state: keyvalue.KeyValueState,
) -> typing.Callable[..., typing.Any]:
    async def serve(req: requests.Request) -> responses.Response:
        create = json.loads(await req.body())['create_request']
        if state.faults.is_down:
            return responses.Response(status_code=_HTTP_UNAVAILABLE)
        prefix = _decode_key(create['key'])
        after = types.Revision(int(create.get('start_revision', 0)) - 1)
        return responses.StreamingResponse(
            _stream_changes(state, prefix, after),
            media_type='application/json',
        )

    return serve


async def _stream_changes(
    state: keyvalue.KeyValueState, prefix: str, after: types.Revision
) -> typing.AsyncIterator[bytes]:
    send, receive = state.add_watcher(prefix, after)
    try:
        yield _format_line(state, {'created': True})
        async for change in receive:
            yield _format_line(state, {'events': [_format_event(change)]})
    finally:
        state.remove_watcher(send)


def _format_line(state: keyvalue.KeyValueState, result: dict) -> bytes:
    line = {'result': {**_make_header(state), **result}}
    return json.dumps(line).encode() + b'\n'


def _format_event(change: base.Change) -> dict:
    if change.entry is None:
        return {'type': 'DELETE', 'kv': {'key': _encode(change.key.encode())}}
    return {'kv': _format_entry(change.entry)}


def _serve_range(state: keyvalue.KeyValueState, body: dict) -> dict:
    key = _decode_key(body['key'])
    if 'range_end' in body:
        entries = state.read_prefix(key)
    else:
        found = state.read(key)
        entries = [found] if found else []
    return {**_make_header(state), **_format_entries(entries)}


def _serve_transaction(state: keyvalue.KeyValueState, body: dict) -> dict:
    compares = [
        base.Compare(
            _decode_key(item['key']),
            types.Revision(int(item['mod_revision'])),
        )
        for item in body.get('compare', [])
    ]
    writes = [_parse_write(item) for item in body.get('success', [])]
    result = state.transact(compares, writes)
    reply = {**_make_header(state), 'succeeded': result.is_applied}
    if not result.is_applied:
        reply['responses'] = [
            {'response_range': _format_entries([entry])}
            for entry in result.current
        ]
    return reply


def _parse_write(item: dict) -> base.Put | base.Delete:
    if 'request_delete_range' in item:
        return base.Delete(_decode_key(item['request_delete_range']['key']))
    put = item['request_put']
    lease = int(put.get('lease', 0))
    return base.Put(
        _decode_key(put['key']),
        base64.b64decode(put['value']),
        types.LeaseId(lease) if lease else None,
    )


def _serve_grant(state: keyvalue.KeyValueState, body: dict) -> dict:
    lease = state.grant_lease(int(body['TTL']) * types.SECOND_MS)
    return {**_make_header(state), 'ID': str(lease), 'TTL': body['TTL']}


def _serve_keepalive(state: keyvalue.KeyValueState, body: dict) -> dict:
    state.renew_lease(types.LeaseId(int(body['ID'])))
    return {'result': {**_make_header(state), 'TTL': '1'}}


def _serve_revoke(state: keyvalue.KeyValueState, body: dict) -> dict:
    state.revoke_lease(types.LeaseId(int(body['ID'])))
    return _make_header(state)


def _make_header(state: keyvalue.KeyValueState) -> dict:
    return {'header': {'revision': str(state.revision)}}


def _format_entries(entries: list[base.Entry]) -> dict:
    if not entries:
        return {}
    kvs = [_format_entry(entry) for entry in entries]
    return {'kvs': kvs, 'count': str(len(kvs))}


def _format_entry(entry: base.Entry) -> dict:
    return {
        'key': _encode(entry.key.encode()),
        'value': _encode(entry.value),
        'mod_revision': str(entry.revision),
        'lease': str(entry.lease or 0),
    }


def _encode(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _decode_key(text: str) -> str:
    return base64.b64decode(text).decode()
