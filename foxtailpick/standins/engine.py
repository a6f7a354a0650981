"""HTTP API of the model engine stand-in."""

import typing

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing
import trio

from foxtailpick.adapters import base
from foxtailpick.adapters import engine as engine_adapter
from foxtailpick.adapters import http
from foxtailpick.core import types
from foxtailpick.standins import engine_state
from foxtailpick.standins import weights

HTTP_BAD_REQUEST = 400
HTTP_NOT_FOUND = 404


def make_app(engine: engine_state.EngineState) -> applications.Starlette:
    """Return the ASGI app of an engine.

    :param engine: state of the engine.
    """

    async def complete_chat(req: requests.Request) -> responses.Response:
        try:
            message = await req.json()
            call = _parse_call(message)
        except (ValueError, LookupError, TypeError) as exc:
            return _make_problem(HTTP_BAD_REQUEST, f'invalid request: {exc!r}')
        if engine.models and call.model not in engine.models:
            return _make_problem(
                HTTP_NOT_FOUND, f'model not loaded: {call.model}'
            )
        if message.get('stream'):
            return _EventStream(engine, call)
        return await _complete_without_streaming(engine, call)

    async def cancel(req: requests.Request) -> responses.Response:
        message = await req.json()
        is_found = engine.cancel(types.RequestId(message['request_id']))
        return responses.JSONResponse({'cancelled': is_found})

    async def show_load(req: requests.Request) -> responses.Response:
        report = engine.read_load()
        return responses.JSONResponse(
            {
                'running': report.running,
                'cached_tokens': report.cached_tokens,
                'age_ms': report.age_ms,
            }
        )

    async def show_cache_events(req: requests.Request) -> responses.Response:
        after = int(req.query_params.get('after', '0'))
        events = [
            {
                'sequence': event.sequence,
                'kind': event.kind.value,
                'chat_id': event.chat,
                'tokens': event.tokens,
            }
            for event in engine.read_cache_events(after)
        ]
        return responses.JSONResponse({'events': events})

    async def receive_order(req: requests.Request) -> responses.Response:
        message = await req.json()
        order = base.Order(
            kind=base.OrderKind(message['kind']),
            target=message['target'],
            fencing=int(message['fencing']),
        )
        try:
            await engine.apply_order(order)
        except engine_state.OrderFencedError as exc:
            return _make_problem(http.HTTP_CONFLICT, str(exc))
        except weights.WeightsBusyError as exc:
            return _make_problem(http.HTTP_UNAVAILABLE, str(exc))
        return responses.JSONResponse({'applied': True})

    return applications.Starlette(
        routes=[
            routing.Route(
                engine_adapter.CHAT_PATH, complete_chat, methods=['POST']
            ),
            routing.Route(
                engine_adapter.CANCEL_PATH, cancel, methods=['POST']
            ),
            routing.Route(engine_adapter.LOAD_PATH, show_load),
            routing.Route(engine_adapter.CACHE_EVENTS_PATH, show_cache_events),
            routing.Route(
                engine_adapter.ORDERS_PATH, receive_order, methods=['POST']
            ),
        ]
    )


class _EventStream(responses.Response):
    """A completion as server-sent events; a disconnect cancels it.

    :param engine: state of the engine.
    :param call: the request.
    """

    def __init__(
        self, engine: engine_state.EngineState, call: base.ChatCall
    ) -> None:
        super().__init__(media_type='text/event-stream')
        del self.headers['content-length']
        self._engine = engine
        self._call = call

    async def __call__(
        self,
        scope: typing.Any,
        receive: typing.Callable,
        send: typing.Callable,
    ) -> None:
        try:
            with self._engine.admit(self._call) as run:
                await self._send_while_connected(run, receive, send)
        except engine_state.EngineOverloadedError as exc:
            problem = _make_problem(http.HTTP_UNAVAILABLE, str(exc))
            await problem(scope, receive, send)

    async def _send_while_connected(
        self,
        run: engine_state.Run,
        receive: typing.Callable,
        send: typing.Callable,
    ) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _cancel_on_disconnect, receive, nursery.cancel_scope
            )
            await self._send_events(run, send)
            nursery.cancel_scope.cancel()

    async def _send_events(
        self, run: engine_state.Run, send: typing.Callable
    ) -> None:
        await send(
            {
                'type': 'http.response.start',
                'status': http.HTTP_OK,
                'headers': self.raw_headers,
            }
        )
        while (token := await run.generate_token()) is not None:
            chunk = _make_chunk(run.call, {'content': token}, None)
            await _send_body(send, _make_event(http.encode_json(chunk)), True)
        reason = 'cancelled' if run.is_cancelled else 'stop'
        closing = _make_chunk(run.call, {}, reason)
        closing['usage'] = _make_usage(run.make_usage())
        last = _make_event(http.encode_json(closing)) + _make_event(b'[DONE]')
        await _send_body(send, last, False)


async def _cancel_on_disconnect(
    receive: typing.Callable, scope: trio.CancelScope
) -> None:
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            scope.cancel()
            return


async def _send_body(
    send: typing.Callable, body: bytes, is_more: bool
) -> None:
    await send(
        {'type': 'http.response.body', 'body': body, 'more_body': is_more}
    )


async def _complete_without_streaming(
    engine: engine_state.EngineState, call: base.ChatCall
) -> responses.Response:
    tokens = []
    try:
        with engine.admit(call) as run:
            while (token := await run.generate_token()) is not None:
                tokens.append(token)
    except engine_state.EngineOverloadedError as exc:
        return _make_problem(http.HTTP_UNAVAILABLE, str(exc))
    answer = {
        'id': call.request,
        'object': 'chat.completion',
        'model': call.model,
        'choices': [
            {
                'index': 0,
                'message': {'role': 'assistant', 'content': ''.join(tokens)},
                'finish_reason': 'stop',
            }
        ],
        'usage': _make_usage(run.make_usage()),
    }
    return responses.JSONResponse(answer)


def _parse_call(message: dict[str, typing.Any]) -> base.ChatCall:
    chat = message.get('chat_id')
    return base.ChatCall(
        request=types.RequestId(str(message['request_id'])),
        model=types.ModelId(message['model']),
        messages=tuple(
            base.ChatMessage(item['role'], item['content'])
            for item in message['messages']
        ),
        max_tokens=int(message.get('max_tokens', 16)),
        chat=None if chat is None else types.ChatId(chat),
        priority=types.Priority(message.get('priority', 1)),
        resume_from=int(message.get('resume_from', 0)),
    )


def _make_event(data: bytes) -> bytes:
    return b'data: ' + data + b'\n\n'


def _make_chunk(
    call: base.ChatCall, delta: dict[str, str], reason: str | None
) -> dict[str, typing.Any]:
    return {
        'id': call.request,
        'object': 'chat.completion.chunk',
        'model': call.model,
        'choices': [{'index': 0, 'delta': delta, 'finish_reason': reason}],
    }


def _make_usage(usage: base.Usage) -> dict[str, typing.Any]:
    return {
        'prompt_tokens': usage.prompt_tokens,
        'completion_tokens': usage.completion_tokens,
        'total_tokens': usage.prompt_tokens + usage.completion_tokens,
        'prompt_tokens_details': {'cached_tokens': usage.cached_tokens},
    }


def _make_problem(status: int, detail: str) -> responses.JSONResponse:
    return responses.JSONResponse({'detail': detail}, status_code=status)
