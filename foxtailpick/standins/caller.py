"""HTTP client for a router: sends chats and service calls."""

import dataclasses
import json
import typing

import httpcore

from foxtailpick.core import types

# Longer than the default deadline, so that the router times out first.
TIMEOUT_S = 45.0
KEEP_ALIVE_S = 20.0
_DATA = 'data: '
_ID = 'id: '
_DONE = '[DONE]'


@dataclasses.dataclass(slots=True)
class ChatAnswer:
    """The response to a chat completion.

    :param status: HTTP status.
    :param texts: the tokens, in order of arrival.
    :param location: location hint for the next request of the chat.
    :param position: id of the last event, from which to resume.
    :param is_complete: whether the stream ended with the `[DONE]` event.
    :param cached_tokens: prompt tokens found in the engine's cache.
    :param problem: problem details if the request failed.
    """

    status: int
    texts: list[str] = dataclasses.field(default_factory=list)
    location: str = ''
    position: str = ''
    is_complete: bool = False
    cached_tokens: int = 0
    problem: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class CallAnswer:
    """The response to a service call.

    :param status: HTTP status.
    :param body: JSON body, or problem details.
    """

    status: int
    body: dict


class Caller:
    """Client of one client account; an async context manager.

    :param url: base URL of a router; may be changed between requests.
    :param credential: `ACCOUNT:SECRET`.
    """

    def __init__(self, url: str, credential: str) -> None:
        self.url = url
        self._credential = credential
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=None, keepalive_expiry=KEEP_ALIVE_S
        )

    async def __aenter__(self) -> 'Caller':
        return self

    async def __aexit__(self, *exc_info: typing.Any) -> None:
        await self._pool.aclose()

    async def complete_chat(
        self,
        model: str,
        prompt: str,
        max_tokens: int,
        headers: typing.Mapping[str, str] | None = None,
        stop_after: int | None = None,
        answer: ChatAnswer | None = None,
    ) -> ChatAnswer:
        """Request a chat completion and read the stream to its end.

        :param model: the model.
        :param prompt: content of the user message.
        :param max_tokens: number of tokens to generate.
        :param headers: additional headers.
        :param stop_after: disconnect after this many tokens.
        :param answer: filled incrementally, so that the part received is
            kept if the connection is lost; None for a new one.
        """
        body = {
            'model': model,
            'messages': [{'role': 'user', 'content': prompt}],
            'max_tokens': max_tokens,
            'stream': True,
            # Used by an engine that is called directly, without a router.
            'request_id': (headers or {}).get('foxtailpick-request', ''),
        }
        async with self._open(
            'POST', '/v1/chat/completions', json.dumps(body), headers
        ) as response:
            answer = answer or ChatAnswer(0)
            answer.status = response.status
            if response.status != 200:
                answer.problem = json.loads(await response.aread())
                return answer
            answer.location = _find_header(response, 'foxtailpick-location')
            await _read_events(response, answer, stop_after)
            return answer

    async def call_service(
        self,
        service: str,
        path: str,
        body: str,
        key: str = '',
        method: str = 'POST',
        headers: typing.Mapping[str, str] | None = None,
    ) -> CallAnswer:
        """Call a plain service.

        :param service: the service.
        :param path: path below the service.
        :param body: JSON body.
        :param key: idempotency key, empty for none.
        :param method: HTTP method.
        :param headers: additional headers.
        """
        sent = dict(headers or {})
        if key:
            sent['idempotency-key'] = key
        url = f'/v1/services/{service}/{path}'
        async with self._open(method, url, body, sent) as response:
            content = await response.aread()
            return CallAnswer(response.status, json.loads(content))

    def _open(
        self,
        method: str,
        path: str,
        body: str,
        headers: typing.Mapping[str, str] | None,
    ) -> typing.AsyncContextManager[httpcore.Response]:
        sent = {
            'authorization': f'Bearer {self._credential}',
            'content-type': 'application/json',
            'content-length': str(len(body.encode())),
            **(headers or {}),
        }
        timeouts = dict.fromkeys(('connect', 'read', 'write'), TIMEOUT_S)
        return self._pool.stream(
            method,
            self.url + path,
            headers=list(sent.items()),
            content=body.encode(),
            extensions={'timeout': timeouts},
        )


async def _read_events(
    response: httpcore.Response, answer: ChatAnswer, stop_after: int | None
) -> None:
    rest = ''
    async for part in response.aiter_stream():
        *events, rest = (rest + part.decode()).split('\n\n')
        for event in events:
            _apply_event(event, answer)
            if stop_after is not None and len(answer.texts) >= stop_after:
                return


def _apply_event(event: str, answer: ChatAnswer) -> None:
    lines = event.split('\n')
    data = next(line for line in lines if line.startswith(_DATA))
    data = data[len(_DATA) :]
    if data == _DONE:
        answer.is_complete = True
        return
    fields = json.loads(data)
    if lines[0] == 'event: error':
        answer.problem = fields
        return
    if lines[0].startswith(_ID):
        answer.position = lines[0][len(_ID) :]
    usage = fields.get('usage')
    if usage:
        details = usage['prompt_tokens_details']
        answer.cached_tokens = details['cached_tokens']
    text = fields['choices'][0]['delta'].get('content')
    if text:
        answer.texts.append(text)


def _find_header(response: httpcore.Response, name: str) -> str:
    wanted = name.encode()
    for key, value in response.headers:
        if key.lower() == wanted:
            return value.decode()
    return ''


def make_request_headers(
    request: str, chat: str, location: str = ''
) -> dict[str, str]:
    """Return the headers of a chat request.

    :param request: request id.
    :param chat: chat id.
    :param location: location hint of the previous response.
    """
    headers = {
        'foxtailpick-request': types.RequestId(request),
        'foxtailpick-chat': chat,
    }
    if location:
        headers['foxtailpick-location'] = location
    return headers
