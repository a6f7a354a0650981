"""Adapter for a model engine with a chat completion API over HTTP."""

import contextlib
import json
import typing

import httpcore

from foxtailpick.adapters import base
from foxtailpick.adapters import http
from foxtailpick.core import errors
from foxtailpick.core import types
from foxtailpick.core import verdict as verdict_lib

CHAT_PATH = '/v1/chat/completions'
CANCEL_PATH = '/v1/cancel'
LOAD_PATH = '/load'
CACHE_EVENTS_PATH = '/cache_events'
ORDERS_PATH = '/orders'

_DATA_PREFIX = b'data:'
_DONE = b'[DONE]'
_MAX_LINE_BYTES = 1_000_000


class HttpEngine(base.Engine):
    """Client of a model engine.

    An async context manager; closes the connections on exit.

    :param client: HTTP client of the engine.
    """

    def __init__(self, client: http.JsonClient) -> None:
        self._client = client

    @classmethod
    def from_url(cls, base_url: str) -> 'HttpEngine':
        """Create an adapter with its own connections.

        :param base_url: scheme, host and port of the engine.
        """
        return cls(http.JsonClient(base_url))

    async def __aenter__(self) -> 'HttpEngine':
        return self

    async def __aexit__(self, *_exc: object) -> None:
        await self._client.__aexit__()

    @contextlib.asynccontextmanager
    async def stream_chat(
        self, call: base.ChatCall
    ) -> typing.AsyncIterator[typing.AsyncIterator[base.TokenChunk]]:
        body = http.encode_json(_make_chat_body(call))
        async with self._client.open_response(
            'POST', CHAT_PATH, body
        ) as response:
            if response.status != http.HTTP_OK:
                content = await http.read_body(response)
                http.require_ok(
                    response.status, content, self._client.base_url
                )
            yield _ChunkStream(response, call.resume_from)

    async def cancel(self, request: types.RequestId) -> bool:
        answer = await self._client.call_json(
            'POST', CANCEL_PATH, {'request_id': request}
        )
        return bool(answer['cancelled'])

    async def read_load(self) -> base.EngineLoad:
        answer = await self._client.call_json('GET', LOAD_PATH)
        return base.EngineLoad(
            running=int(answer['running']),
            cached_tokens=int(answer['cached_tokens']),
            age_ms=float(answer['age_ms']),
        )

    async def read_cache_events(self, after: int) -> list[base.CacheEvent]:
        answer = await self._client.call_json(
            'GET', f'{CACHE_EVENTS_PATH}?after={after}'
        )
        return [
            base.CacheEvent(
                sequence=int(item['sequence']),
                kind=base.CacheEventKind(item['kind']),
                chat=types.ChatId(item['chat_id']),
                tokens=int(item['tokens']),
            )
            for item in answer['events']
        ]

    async def send_order(self, order: base.Order) -> None:
        message = {
            'kind': order.kind.value,
            'target': order.target,
            'fencing': order.fencing,
        }
        await self._client.call_json('POST', ORDERS_PATH, message)


class _ChunkStream:
    """The chunks of an event stream; requires the `[DONE]` marker at its end.

    :param response: the open response.
    :param offset: index of the first token.
    """

    def __init__(self, response: httpcore.Response, offset: int) -> None:
        self._parts = response.aiter_stream()
        self._lines: list[bytes] = []
        self._partial_line = b''
        self._offset = offset

    def __aiter__(self) -> '_ChunkStream':
        return self

    async def __anext__(self) -> base.TokenChunk:
        while True:
            line = await self._read_line()
            if not line.startswith(_DATA_PREFIX):
                continue
            data = line[len(_DATA_PREFIX) :].strip()
            if data == _DONE:
                raise StopAsyncIteration
            return self._make_chunk(data)

    async def _read_line(self) -> bytes:
        while not self._lines:
            part = await anext(self._parts, None)
            if part is None:
                raise _make_truncated_error('it ended before [DONE]')
            *whole, self._partial_line = (self._partial_line + part).split(
                b'\n'
            )
            self._lines = whole[::-1]
            if len(self._partial_line) > _MAX_LINE_BYTES:
                raise _make_truncated_error(
                    f'a line is longer than {_MAX_LINE_BYTES} bytes'
                )
        return self._lines.pop()

    def _make_chunk(self, data: bytes) -> base.TokenChunk:
        try:
            message = json.loads(data)
            choice = message['choices'][0]
            text = choice['delta'].get('content') or ''
        except (ValueError, LookupError, TypeError, AttributeError) as exc:
            raise _make_truncated_error(f'got {data[:80]!r}') from exc
        chunk = base.TokenChunk(
            offset=self._offset,
            text=text,
            finish_reason=choice.get('finish_reason'),
            usage=_parse_usage(message.get('usage')),
        )
        if text:
            self._offset += 1
        return chunk


def _make_chat_body(call: base.ChatCall) -> dict[str, typing.Any]:
    message = {
        'model': call.model,
        'messages': [
            {'role': item.role, 'content': item.content}
            for item in call.messages
        ],
        'max_tokens': call.max_tokens,
        'stream': True,
        'request_id': call.request,
        'priority': call.priority.value,
        'resume_from': call.resume_from,
    }
    if call.chat is not None:
        message['chat_id'] = call.chat
    return message


def _parse_usage(usage: dict[str, typing.Any] | None) -> base.Usage | None:
    if not usage:
        return None
    details = usage.get('prompt_tokens_details') or {}
    return base.Usage(
        prompt_tokens=int(usage.get('prompt_tokens', 0)),
        cached_tokens=int(details.get('cached_tokens', 0)),
        completion_tokens=int(usage.get('completion_tokens', 0)),
    )


def _make_truncated_error(reason: str) -> errors.RequestError:
    return errors.RequestError(
        errors.ErrorCode.ENDPOINT_FAILED,
        f'expected a complete event stream from the engine, but {reason}; '
        f'resume from the last token received',
        verdict_lib.Verdict.MAY_HAVE_RUN,
    )
